//! This entry's lease of the settled configuration.

use super::Entry;
use crate::clock::{ms, wall};
use bn_limit::RateGrant;
use bn_state::{Command, State};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::log_entry::Kind;
use bn_wire::messages::{self as wire, AccountRate, LeaseAsk, LeaseGrant, LogEntry};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two askings while the leader answers.
const RENEW: Duration = Duration::from_secs(1);
/// Between two askings while it does not.
const SEEK: Duration = Duration::from_millis(200);

/// What an entry knows of its lease.
pub(crate) struct Lease {
    control: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// Which control process to ask while no leader is known.
    turn: usize,
    until: Duration,
    due: Duration,
    /// The last grant came then.
    granted: Duration,
    /// The leader's fencing number.
    pub(crate) fence: u64,
    /// Entries that callers should not be sent to.
    pub(crate) away: Vec<String>,
    held: bool,
    demand_due: Duration,
    /// `sent_ms` of the latest grant acted on.
    acted_ms: u64,
}

impl Lease {
    pub(crate) fn new(control: Vec<SocketAddr>) -> Lease {
        Lease {
            control,
            leader: None,
            turn: 0,
            until: Duration::ZERO,
            due: Duration::ZERO,
            granted: Duration::ZERO,
            fence: 0,
            away: Vec::new(),
            held: false,
            demand_due: Duration::ZERO,
            acted_ms: 0,
        }
    }

    pub(crate) fn valid(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Time left.
    pub(crate) fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// The leader, or the next control process to try.
    pub(crate) fn target(&self) -> Option<SocketAddr> {
        let turn = self.turn % self.control.len().max(1);
        self.leader.or_else(|| self.control.get(turn).copied())
    }

    /// The leader's inbox, empty where none is known.
    pub(crate) fn leader_inbox(&self) -> String {
        self.leader.map(|a| a.to_string()).unwrap_or_default()
    }

    fn lost_leader(&mut self) {
        self.leader = None;
        self.turn += 1;
    }
}

impl Entry {
    pub(super) fn renew_lease(&mut self, now: Duration) {
        if now >= self.lease.due {
            let answered = now < self.lease.granted + RENEW + SEEK;
            if !answered {
                self.lease.lost_leader();
            }
            self.ask_lease(now);
            self.lease.due = now + if answered { RENEW } else { SEEK };
        }
        let valid = self.lease.valid(now);
        if valid != self.lease.held {
            self.lease.held = valid;
            let what = if valid { "held" } else { "lapsed: no new work" };
            self.common.events.note(
                "lease",
                format!("{what} at revision {}", self.state.revision),
            );
        }
    }

    pub(super) fn ask_lease(&mut self, now: Duration) {
        let ask = LeaseAsk {
            sent_ms: ms(now).max(1),
            revision: self.state.revision,
            leaving: self.stopping.is_some(),
            demand: self.demand(now),
            acted_ms: self.lease.acted_ms,
        };
        if let Some(target) = self.lease.target() {
            self.common.net.send(target, Body::LeaseAsk(ask));
        }
    }

    /// Demand goes out with the renewals only: a look too soon would say little.
    fn demand(&mut self, now: Duration) -> Vec<AccountRate> {
        if now < self.lease.demand_due {
            return Vec::new();
        }
        self.lease.demand_due = now + RENEW.mul_f64(0.9);
        let rate = |(account, rate): (String, f64)| AccountRate {
            account,
            rate: rate as f32,
        };
        self.buckets
            .take_demand(now)
            .into_iter()
            .map(rate)
            .collect()
    }

    pub(super) fn on_grant(&mut self, grant: LeaseGrant) {
        let now = self.now();
        if !grant.refusal.is_empty() {
            self.lease.leader = grant.leader.parse().ok();
            if self.lease.leader.is_none() {
                self.lease.turn += 1;
            }
            self.lease.due = self.lease.due.min(now + SEEK);
            return;
        }
        // An old leader's grant must not pull the configuration back.
        if grant.fence < self.lease.fence {
            return;
        }
        let before = self.state.revision;
        if !self.take_configuration(grant.snapshot, grant.entries, grant.revision) {
            return;
        }
        self.lease.fence = grant.fence;
        if grant.sent_ms > 0 {
            let until = Duration::from_millis(grant.sent_ms + grant.lease_ms);
            self.lease.until = self.lease.until.max(until);
            self.lease.granted = now;
            self.lease.away = grant.away;
            self.lease.acted_ms = self.lease.acted_ms.max(grant.sent_ms);
            for part in grant.parts {
                let rate = f64::from(part.rate);
                self.buckets.grant(&part.account, RateGrant { rate, until });
            }
            if self.lease.leader.is_none() {
                self.lease.leader = self.lease.target();
            }
        }
        if self.state.revision != before {
            self.configuration_changed();
            // The leader counts a change as in force once every holder said so.
            self.ask_lease(now);
        }
    }

    /// Brings the configuration to `revision`; `false` where something is missing.
    fn take_configuration(
        &mut self,
        snapshot: Option<wire::State>,
        entries: Vec<LogEntry>,
        revision: u64,
    ) -> bool {
        if let Some(Ok(state)) = snapshot.map(State::try_from)
            && state.revision > self.state.revision
        {
            self.state = state;
        }
        for entry in entries {
            let Some(Kind::Command(bytes)) = entry.kind else {
                continue;
            };
            let Ok(command) = wire::Command::decode(&bytes[..]) else {
                continue;
            };
            if entry.index > self.state.revision {
                // A refused command is refused here alike; the leader has answered.
                let _ = self.state.apply(entry.index, &Command::from(command));
            }
        }
        self.state.revision >= revision
    }

    fn configuration_changed(&mut self) {
        self.router.drained = self.state.drained.clone();
        self.attach_lists.clear();
        self.holder.new_epoch(wall(), self.state.claim_epoch);
        metrics::gauge!("revision").set(self.state.revision as f64);
    }
}

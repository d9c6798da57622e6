//! This entry's configuration lease.

use super::Entry;
use crate::clock::{ms, unix_time};
use bn_limit::RateGrant;
use bn_state::{Command, State};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::log_entry::Kind;
use bn_wire::messages::{self as wire, AccountRate, LeaseAsk, LeaseGrant, LogEntry};
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between lease requests while the leader answers.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// Interval between lease requests while it does not.
const SEARCH_EVERY: Duration = Duration::from_millis(200);

/// State of an entry's lease.
pub(crate) struct Lease {
    control: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// Index of the control process to try while no leader is known.
    next_control: usize,
    until: Duration,
    renew_at: Duration,
    /// Time of the latest grant.
    granted_at: Duration,
    /// Fencing token of the leader.
    pub(crate) fence: u64,
    /// Entries that callers should not be directed to.
    pub(crate) unavailable: Vec<String>,
    was_valid: bool,
    demand_at: Duration,
    /// `sent_ms` of the latest grant applied.
    applied_ms: u64,
}

impl Lease {
    pub(crate) fn new(control: Vec<SocketAddr>) -> Lease {
        Lease {
            control,
            leader: None,
            next_control: 0,
            until: Duration::ZERO,
            renew_at: Duration::ZERO,
            granted_at: Duration::ZERO,
            fence: 0,
            unavailable: Vec::new(),
            was_valid: false,
            demand_at: Duration::ZERO,
            applied_ms: 0,
        }
    }

    pub(crate) fn valid(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns the remaining validity.
    pub(crate) fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Returns the leader, or the next control process to try.
    pub(crate) fn target(&self) -> Option<SocketAddr> {
        let next = self.next_control % self.control.len().max(1);
        self.leader.or_else(|| self.control.get(next).copied())
    }

    /// Returns the leader's inbox, or an empty string if no leader is known.
    pub(crate) fn leader_inbox(&self) -> String {
        self.leader.map(|a| a.to_string()).unwrap_or_default()
    }

    fn clear_leader(&mut self) {
        self.leader = None;
        self.next_control += 1;
    }
}

impl Entry {
    pub(super) fn renew_lease(&mut self, now: Duration) {
        if now >= self.lease.renew_at {
            let answered = now < self.lease.granted_at + RENEW_EVERY + SEARCH_EVERY;
            if !answered {
                self.lease.clear_leader();
            }
            self.request_lease(now);
            self.lease.renew_at = now + if answered { RENEW_EVERY } else { SEARCH_EVERY };
        }
        let valid = self.lease.valid(now);
        if valid != self.lease.was_valid {
            self.lease.was_valid = valid;
            let what = if valid { "held" } else { "lapsed: no new work" };
            self.common.events.note(
                "lease",
                format!("{what} at revision {}", self.state.revision),
            );
        }
    }

    pub(super) fn request_lease(&mut self, now: Duration) {
        let request = LeaseAsk {
            sent_ms: ms(now).max(1),
            revision: self.state.revision,
            leaving: self.stopping.is_some(),
            demand: self.demand(now),
            acted_ms: self.lease.applied_ms,
        };
        if let Some(target) = self.lease.target() {
            self.common.net.send(target, Body::LeaseAsk(request));
        }
    }

    /// Returns the demand, sent only with renewals: a shorter interval would yield a poor estimate.
    fn demand(&mut self, now: Duration) -> Vec<AccountRate> {
        if now < self.lease.demand_at {
            return Vec::new();
        }
        self.lease.demand_at = now + RENEW_EVERY.mul_f64(0.9);
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
                self.lease.next_control += 1;
            }
            self.lease.renew_at = self.lease.renew_at.min(now + SEARCH_EVERY);
            return;
        }
        // A grant from an old leader must not revert the configuration.
        if grant.fence < self.lease.fence {
            return;
        }
        let before = self.state.revision;
        if !self.apply_configuration(grant.snapshot, grant.entries, grant.revision) {
            return;
        }
        self.lease.fence = grant.fence;
        if grant.sent_ms > 0 {
            let until = Duration::from_millis(grant.sent_ms + grant.lease_ms);
            self.lease.until = self.lease.until.max(until);
            self.lease.granted_at = now;
            self.lease.unavailable = grant.away;
            self.lease.applied_ms = self.lease.applied_ms.max(grant.sent_ms);
            for part in grant.parts {
                let rate = f64::from(part.rate);
                self.buckets.grant(&part.account, RateGrant { rate, until });
            }
            if self.lease.leader.is_none() {
                self.lease.leader = self.lease.target();
            }
        }
        if self.state.revision != before {
            self.on_configuration_change();
            // The leader considers a change in force once every holder has confirmed it.
            self.request_lease(now);
        }
    }

    /// Updates the configuration to `revision`; returns `false` if changes are missing.
    fn apply_configuration(
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
                // A refused command is refused in the same way here; the leader has answered it.
                let _ = self.state.apply(entry.index, &Command::from(command));
            }
        }
        self.state.revision >= revision
    }

    fn on_configuration_change(&mut self) {
        self.router.drained = self.state.drained.clone();
        self.attach_lists.clear();
        self.holder.new_epoch(unix_time(), self.state.claim_epoch);
        metrics::gauge!("revision").set(self.state.revision as f64);
    }
}

//! Leases of the configuration to entries. Without one an entry takes no new work,
//! so an entry that is cut off cannot act on an older configuration for long.

use super::Control;
use crate::clock::ms;
use bn_limit::{RateAllocator, ShareRequest};
use bn_quorum::Payload;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{AccountRate, LeaseAsk, LeaseGrant, LogEntry};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an entry may act on a configuration after it asked.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Entries sent in one grant at most; past that a snapshot goes.
const MAX_DELTA: usize = 256;

/// One entry's lease as the leader knows it.
struct Holder {
    inbox: SocketAddr,
    expires_at: Duration,
    acked: u64,
    leaving: bool,
}

/// All leases that this leader granted.
#[derive(Default)]
pub(crate) struct Leases {
    holders: IndexMap<String, Holder>,
    started_at: Duration,
    allocator: RateAllocator,
}

impl Leases {
    /// A new leader: leases of an earlier one are unknown and may hold for a while.
    pub(crate) fn start(&mut self, now: Duration) {
        self.holders.clear();
        self.allocator = RateAllocator::default();
        self.started_at = now;
    }

    /// Every entry acts on `revision` or later, or on nothing.
    pub(crate) fn in_force(&self, now: Duration, revision: u64) -> bool {
        let reached = |h: &Holder| h.acked >= revision || h.expires_at <= now;
        now >= self.started_at + LEASE_DURATION && self.holders.values().all(reached)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = (&String, Duration, u64, bool)> {
        self.holders
            .iter()
            .map(|(id, h)| (id, h.expires_at, h.acked, h.leaving))
    }

    /// Entries that callers should not be sent to.
    fn unavailable(&self, now: Duration, entries: impl Iterator<Item = String>) -> Vec<String> {
        if now < self.started_at + LEASE_DURATION {
            return Vec::new();
        }
        let absent = |id: &String| {
            let holder = self.holders.get(id);
            holder.is_none_or(|h| h.leaving || h.expires_at <= now)
        };
        entries.filter(absent).collect()
    }
}

impl Control {
    pub(super) fn on_lease_request(&mut self, from: &str, inbox: SocketAddr, request: &LeaseAsk) {
        let now = self.now();
        let refusal = match () {
            () if !self.replica.holds_lease(now) => "not a leader under lease",
            () if !self.state.entries.contains_key(from) => "unknown entry: create it first",
            // It has applied what this leader has not committed: it follows another
            // log, or this leader is the old one. Granting would revert it.
            () if request.revision > self.replica.commit() => "ahead of this leader",
            () => "",
        };
        if !refusal.is_empty() {
            let leader = self
                .leader_inbox()
                .map(|a| a.to_string())
                .unwrap_or_default();
            let grant = LeaseGrant {
                refusal: refusal.into(),
                leader,
                ..LeaseGrant::default()
            };
            self.common.net.send(inbox, Body::LeaseGrant(grant));
            return;
        }
        let holder = Holder {
            inbox,
            expires_at: now + LEASE_DURATION,
            acked: request.revision,
            leaving: request.leaving,
        };
        let known = self.leases.holders.insert(from.into(), holder);
        if known.is_none() {
            self.common
                .events
                .note("lease", format!("first lease to {from}"));
        }
        let rate_shares = self.rate_shares(now, from, request);
        self.grant(now, inbox, request.revision, request.sent_ms, rate_shares);
    }

    /// Sends every holder what it lacks; the lease itself is not lengthened, since
    /// a grant counts from the entry's own asking.
    pub(super) fn push_revision(&mut self) {
        let now = self.now();
        let targets: Vec<_> = self
            .leases
            .holders
            .values()
            .map(|h| (h.inbox, h.acked))
            .collect();
        for (inbox, acked) in targets {
            self.grant(now, inbox, acked, 0, Vec::new());
        }
    }

    pub(super) fn leader_inbox(&self) -> Option<SocketAddr> {
        let leader = self.replica.leader()?;
        self.replica.members().get(leader)?.address.parse().ok()
    }

    /// This entry's parts of the rates of the accounts it has demand for. Parts that
    /// an earlier leader gave are unknown and hold for a lease: until they have lapsed
    /// nothing is given, or the sum could pass an account's rate.
    fn rate_shares(&mut self, now: Duration, entry: &str, request: &LeaseAsk) -> Vec<AccountRate> {
        if now < self.leases.started_at + LEASE_DURATION {
            return Vec::new();
        }
        let entries = self.state.entries.len();
        let mut rate_shares = Vec::new();
        for demand in &request.demand {
            let Some(account) = self.state.accounts.get(&demand.account) else {
                continue;
            };
            let share_request = ShareRequest {
                account: &demand.account,
                entry,
                demand: f64::from(demand.rate),
                rate: account.rate,
                entries,
                until: now + LEASE_DURATION,
                sequence: request.sent_ms,
                applied: request.acted_ms,
            };
            let rate = self.leases.allocator.allocate(now, &share_request) as f32;
            rate_shares.push(AccountRate {
                account: demand.account.clone(),
                rate,
            });
        }
        rate_shares
    }

    fn grant(
        &self,
        now: Duration,
        inbox: SocketAddr,
        revision: u64,
        sent_ms: u64,
        rate_shares: Vec<AccountRate>,
    ) {
        let names = self.state.entries.keys().cloned();
        let mut grant = LeaseGrant {
            sent_ms,
            lease_ms: if sent_ms == 0 { 0 } else { ms(LEASE_DURATION) },
            revision: self.state.revision,
            fence: self.replica.term(),
            away: self.leases.unavailable(now, names),
            parts: rate_shares,
            ..LeaseGrant::default()
        };
        match self
            .replica
            .committed_after(revision)
            .filter(|d| d.len() <= MAX_DELTA)
        {
            Some(delta) => {
                let commands = delta
                    .iter()
                    .filter(|e| matches!(e.payload, Payload::Command(_)));
                grant.entries = commands.map(LogEntry::from).collect();
            }
            None => grant.snapshot = Some((&self.state).into()),
        }
        self.common.net.send(inbox, Body::LeaseGrant(grant));
    }
}

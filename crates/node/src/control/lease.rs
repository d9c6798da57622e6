//! Configuration leases for entries. An entry without a lease accepts no new requests, so a
//! partitioned entry cannot act on an outdated configuration for long.

use super::Control;
use crate::clock::ms;
use bn_limit::{RateAllocator, ShareRequest};
use bn_quorum::Payload;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{AccountRate, LeaseAsk, LeaseGrant, LogEntry};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an entry may act on a configuration after it requested the lease.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Maximum number of log entries in one grant; beyond it a snapshot is sent.
const MAX_DELTA: usize = 256;

/// The leader's view of an entry's lease.
struct Holder {
    inbox: SocketAddr,
    expires_at: Duration,
    acked: u64,
    leaving: bool,
}

/// Leases that this leader granted.
#[derive(Default)]
pub(crate) struct Leases {
    holders: IndexMap<String, Holder>,
    started_at: Duration,
    allocator: RateAllocator,
}

impl Leases {
    /// Resets for a new leader: leases of an earlier one are unknown and may be valid for a while.
    pub(crate) fn start(&mut self, now: Duration) {
        self.holders.clear();
        self.allocator = RateAllocator::default();
        self.started_at = now;
    }

    /// Whether every entry acts on `revision` or later, or holds no lease.
    pub(crate) fn in_force(&self, now: Duration, revision: u64) -> bool {
        let reached = |h: &Holder| h.acked >= revision || h.expires_at <= now;
        now >= self.started_at + LEASE_DURATION && self.holders.values().all(reached)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = (&String, Duration, u64, bool)> {
        self.holders
            .iter()
            .map(|(id, h)| (id, h.expires_at, h.acked, h.leaving))
    }

    /// Returns the entries that callers should not be directed to.
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
            // The entry has applied what this leader has not committed: it follows another log, or
            // this leader is outdated. A grant would revert its configuration.
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

    /// Sends every holder the changes that it lacks. This does not extend the lease, which counts
    /// from the time of the entry's own request.
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

    /// Returns this entry's shares of the rates of the accounts for which it has demand. Shares
    /// granted by an earlier leader are unknown and valid for one lease duration: until they have
    /// expired no share is granted, or the sum could exceed an account's rate.
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

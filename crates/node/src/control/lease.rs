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
pub(crate) const LEASE: Duration = Duration::from_secs(3);
/// Entries sent in one grant at most; past that a snapshot goes.
const DELTA: usize = 256;

/// One entry's lease as the leader knows it.
struct Holder {
    inbox: SocketAddr,
    until: Duration,
    acked: u64,
    leaving: bool,
}

/// All leases that this leader granted.
#[derive(Default)]
pub(crate) struct Leases {
    holders: IndexMap<String, Holder>,
    since: Duration,
    split: RateAllocator,
}

impl Leases {
    /// A new leader: leases of an earlier one are unknown and may hold for a while.
    pub(crate) fn start(&mut self, now: Duration) {
        self.holders.clear();
        self.split = RateAllocator::default();
        self.since = now;
    }

    /// Every entry acts on `revision` or later, or on nothing.
    pub(crate) fn in_force(&self, now: Duration, revision: u64) -> bool {
        let holds = |h: &Holder| h.acked >= revision || h.until <= now;
        now >= self.since + LEASE && self.holders.values().all(holds)
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = (&String, Duration, u64, bool)> {
        self.holders
            .iter()
            .map(|(id, h)| (id, h.until, h.acked, h.leaving))
    }

    /// Entries that callers should not be sent to.
    fn away(&self, now: Duration, entries: impl Iterator<Item = String>) -> Vec<String> {
        if now < self.since + LEASE {
            return Vec::new();
        }
        let gone = |id: &String| {
            let holder = self.holders.get(id);
            holder.is_none_or(|h| h.leaving || h.until <= now)
        };
        entries.filter(gone).collect()
    }
}

impl Control {
    pub(super) fn on_lease_ask(&mut self, from: &str, inbox: SocketAddr, ask: &LeaseAsk) {
        let now = self.now();
        let refusal = match () {
            () if !self.quorum.holds_lease(now) => "not a leader under lease",
            () if !self.state.entries.contains_key(from) => "unknown entry: create it first",
            // It has applied what this leader has not committed: it follows another
            // log, or this leader is the old one. Granting would revert it.
            () if ask.revision > self.quorum.commit() => "ahead of this leader",
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
            until: now + LEASE,
            acked: ask.revision,
            leaving: ask.leaving,
        };
        let known = self.leases.holders.insert(from.into(), holder);
        if known.is_none() {
            self.common
                .events
                .note("lease", format!("first lease to {from}"));
        }
        let parts = self.parts(now, from, ask);
        self.grant(now, inbox, ask.revision, ask.sent_ms, parts);
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
        let leader = self.quorum.leader()?;
        self.quorum.members().get(leader)?.address.parse().ok()
    }

    /// This entry's parts of the rates of the accounts it has demand for. Parts that
    /// an earlier leader gave are unknown and hold for a lease: until they have lapsed
    /// nothing is given, or the sum could pass an account's rate.
    fn parts(&mut self, now: Duration, entry: &str, ask: &LeaseAsk) -> Vec<AccountRate> {
        if now < self.leases.since + LEASE {
            return Vec::new();
        }
        let entries = self.state.entries.len();
        let mut parts = Vec::new();
        for asked in &ask.demand {
            let Some(account) = self.state.accounts.get(&asked.account) else {
                continue;
            };
            let part = ShareRequest {
                account: &asked.account,
                entry,
                demand: f64::from(asked.rate),
                rate: account.rate,
                entries,
                until: now + LEASE,
                sequence: ask.sent_ms,
                applied: ask.acted_ms,
            };
            let rate = self.leases.split.allocate(now, &part) as f32;
            parts.push(AccountRate {
                account: asked.account.clone(),
                rate,
            });
        }
        parts
    }

    fn grant(
        &self,
        now: Duration,
        inbox: SocketAddr,
        revision: u64,
        sent_ms: u64,
        parts: Vec<AccountRate>,
    ) {
        let names = self.state.entries.keys().cloned();
        let mut grant = LeaseGrant {
            sent_ms,
            lease_ms: if sent_ms == 0 { 0 } else { ms(LEASE) },
            revision: self.state.revision,
            fence: self.quorum.term(),
            away: self.leases.away(now, names),
            parts,
            ..LeaseGrant::default()
        };
        match self
            .quorum
            .committed_after(revision)
            .filter(|d| d.len() <= DELTA)
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

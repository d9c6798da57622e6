//! Leader side: splits an account's rate across entries by demand. A granted share is valid until
//! its lease ends, so a share grows only by what others returned or let expire; the sum never
//! exceeds the rate.

use crate::{AccountId, EntryId};
use indexmap::IndexMap;
use std::time::Duration;

/// Fraction of an equal share that every entry keeps, so that a first request is admitted.
const MIN_SHARE: f64 = 0.25;
/// Factor by which a share exceeds the requested demand, so that demand can grow.
const HEADROOM: f64 = 1.2;

/// An entry's request for its share of an account's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareRequest<'a> {
    /// Client account.
    pub account: &'a str,
    /// Entry.
    pub entry: &'a str,
    /// Requests per second received there.
    pub demand: f64,
    /// The account's rate across all entries.
    pub rate: f64,
    /// Number of entries.
    pub entries: usize,
    /// Expiry of the share.
    pub until: Duration,
    /// Sequence number of this request, increasing per entry.
    pub sequence: u64,
    /// Sequence number of the latest request whose answer the entry has applied.
    pub applied: u64,
}

/// A granted share that the entry may be using.
#[derive(Debug, Clone, Copy)]
struct Grant {
    sequence: u64,
    rate: f64,
    until: Duration,
}

#[derive(Debug, Clone, Default)]
struct EntryShare {
    demand: f64,
    /// An answer may be lost, and the entry then uses an earlier one: all count until the entry
    /// reports which one it has applied, or they expire.
    grants: Vec<Grant>,
}

impl EntryShare {
    /// Highest rate that the entry may use.
    fn max_rate(&self, floor: f64) -> f64 {
        self.grants.iter().map(|g| g.rate).fold(floor, f64::max)
    }
}

/// Shares of all accounts, as granted by one leader.
#[derive(Debug, Clone, Default)]
pub struct RateAllocator {
    accounts: IndexMap<AccountId, IndexMap<EntryId, EntryShare>>,
}

impl RateAllocator {
    /// Grants an entry its share, in requests per second. The default share of each entry is
    /// reserved.
    pub fn allocate(&mut self, now: Duration, request: &ShareRequest<'_>) -> f64 {
        let floor = default_share(request.rate, request.entries);
        let shares = self.accounts.entry(request.account.into()).or_default();
        for share in shares.values_mut() {
            share.grants.retain(|g| now < g.until);
        }
        let own = shares.entry(request.entry.into()).or_default();
        own.demand = request.demand;
        own.grants.retain(|g| g.sequence >= request.applied);
        shares.retain(|entry, s| entry == request.entry || !s.grants.is_empty());
        let wanted: f64 = shares.values().map(|s| s.demand * HEADROOM).sum();
        let shareable = (request.rate - floor * request.entries as f64).max(0.0);
        let fraction = if wanted > 0.0 {
            request.demand * HEADROOM / wanted
        } else {
            0.0
        };
        let fair = floor + shareable * fraction.min(1.0);
        // Others keep their grants; entries that made no request keep their default share.
        let others = shares.iter().filter(|(entry, _)| *entry != request.entry);
        let granted: f64 = others.map(|(_, s)| s.max_rate(floor)).sum();
        let idle_reserve = request.entries.saturating_sub(shares.len()) as f64 * floor;
        let rate = fair.min((request.rate - idle_reserve - granted).max(0.0));
        if let Some(own) = shares.get_mut(request.entry) {
            own.grants.push(Grant {
                sequence: request.sequence,
                rate,
                until: request.until,
            });
        }
        rate
    }
}

/// Rate of an account that an entry may use without a grant.
pub fn default_share(rate: f64, entries: usize) -> f64 {
    MIN_SHARE * rate / entries.max(1) as f64
}

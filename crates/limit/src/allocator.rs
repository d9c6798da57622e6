//! The leader's side: an account's rate is split over entries by demand. A part that
//! was given holds until its lease ends, so a part only grows by what others gave back
//! or let lapse; the sum never passes the rate.

use crate::{AccountId, EntryId};
use indexmap::IndexMap;
use std::time::Duration;

/// Every entry keeps this part of an equal share, so that a first request passes.
const FLOOR: f64 = 0.25;
/// An entry gets this much more than it asked for, so that demand can grow.
const HEADROOM: f64 = 1.2;

/// An entry's request for its part of an account's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartAsk<'a> {
    /// The account.
    pub account: &'a str,
    /// The entry.
    pub entry: &'a str,
    /// Requests a second that came there.
    pub demand: f64,
    /// The account's rate over all entries.
    pub rate: f64,
    /// How many entries there are.
    pub entries: usize,
    /// When the part lapses.
    pub until: Duration,
    /// Number of this asking, growing for each entry.
    pub number: u64,
    /// Number of the latest asking whose answer the entry acts on.
    pub acted: u64,
}

/// A part that was given and that the entry may act on.
#[derive(Debug, Clone, Copy)]
struct Given {
    number: u64,
    rate: f64,
    until: Duration,
}

#[derive(Debug, Clone, Default)]
struct Part {
    demand: f64,
    /// An answer may be lost, and the entry then acts on an earlier one: all count
    /// until the entry says which it acts on, or they lapse.
    given: Vec<Given>,
}

impl Part {
    /// The most that the entry may use.
    fn most(&self, floor: f64) -> f64 {
        self.given.iter().map(|g| g.rate).fold(floor, f64::max)
    }
}

/// The parts of all accounts, as one leader gave them.
#[derive(Debug, Clone, Default)]
pub struct Split {
    accounts: IndexMap<AccountId, IndexMap<EntryId, Part>>,
}

impl Split {
    /// Gives an entry its part, in requests a second. What entries use unasked is set
    /// aside for each of them.
    pub fn ask(&mut self, now: Duration, ask: &PartAsk<'_>) -> f64 {
        let floor = unasked(ask.rate, ask.entries);
        let parts = self.accounts.entry(ask.account.into()).or_default();
        for part in parts.values_mut() {
            part.given.retain(|g| now < g.until);
        }
        let own = parts.entry(ask.entry.into()).or_default();
        own.demand = ask.demand;
        own.given.retain(|g| g.number >= ask.acted);
        parts.retain(|entry, p| entry == ask.entry || !p.given.is_empty());
        let wanted: f64 = parts.values().map(|p| p.demand * HEADROOM).sum();
        let above = (ask.rate - floor * ask.entries as f64).max(0.0);
        let portion = if wanted > 0.0 {
            ask.demand * HEADROOM / wanted
        } else {
            0.0
        };
        let fair = floor + above * portion.min(1.0);
        // Others keep what they were given; those that asked nothing, their floor.
        let others = parts.iter().filter(|(entry, _)| *entry != ask.entry);
        let kept: f64 = others.map(|(_, p)| p.most(floor)).sum();
        let silent = ask.entries.saturating_sub(parts.len()) as f64 * floor;
        let rate = fair.min((ask.rate - silent - kept).max(0.0));
        if let Some(own) = parts.get_mut(ask.entry) {
            own.given.push(Given {
                number: ask.number,
                rate,
                until: ask.until,
            });
        }
        rate
    }
}

/// What an entry may use of an account's rate before it was given a part.
pub fn unasked(rate: f64, entries: usize) -> f64 {
    FLOOR * rate / entries.max(1) as f64
}

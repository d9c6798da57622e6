//! Work that client accounts got while others of their priority had to wait.

use crate::floors::{MIN_STARTS_PER_TURN, starts_per_turn};
use crate::{AccountId, Priority};
use indexmap::IndexMap;
use std::time::Duration;

/// Time constant of the decay of work and arrivals: bursts last some seconds.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// An account is reported for this time after its last start while others waited, so that messages
/// list no accounts once a burst is over.
const REPORTED_FOR: Duration = Duration::from_secs(8);
/// Arrivals below which an account without recent work is forgotten.
const MIN_ARRIVALS: f64 = 0.05;
/// Maximum number of accounts that a report lists.
pub(crate) const MAX_REPORTED: usize = 8;

#[derive(Debug, Clone, Default)]
struct Account {
    /// Tokens given lately, and first attempts that arrived lately; both decay.
    work: f64,
    arrivals: f64,
    updated: Duration,
    /// Last start while other accounts waited.
    started: Option<Duration>,
    /// Tokens per second in the last report to a coordinator.
    reported: f64,
    /// Starts of other accounts since its last one while it waited.
    passed: u32,
}

impl Account {
    fn is_recent(&self, now: Duration) -> bool {
        self.started.is_some_and(|at| now < at + REPORTED_FOR)
    }

    fn decay(&mut self, now: Duration) {
        let fade = fade(now, self.updated);
        self.work *= fade;
        self.arrivals *= fade;
        self.updated = now;
    }
}

fn fade(now: Duration, updated: Duration) -> f64 {
    (-now.saturating_sub(updated).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// Recent work of the accounts at one gateway, by priority.
#[derive(Debug, Clone, Default)]
pub struct Usage {
    accounts: IndexMap<(Priority, AccountId), Account>,
}

impl Usage {
    /// Counts a first attempt of an account.
    pub fn record_arrival(&mut self, now: Duration, priority: Priority, account: &str) {
        let key = (priority, account.to_string());
        let entry = self.accounts.entry(key).or_default();
        entry.decay(now);
        entry.arrivals += 1.0;
    }

    /// Counts a start worth `work` tokens; `waiting` are the accounts of this priority that wait.
    pub fn record_start(
        &mut self,
        now: Duration,
        priority: Priority,
        account: &str,
        work: f64,
        waiting: &[AccountId],
    ) {
        for other in waiting.iter().filter(|a| *a != account) {
            if let Some(entry) = self.accounts.get_mut(&(priority, other.clone())) {
                entry.passed = entry.passed.saturating_add(1);
            }
        }
        let key = (priority, account.to_string());
        let entry = self.accounts.entry(key).or_default();
        entry.decay(now);
        entry.work += work;
        entry.started = Some(now);
        entry.passed = 0;
    }

    /// Tokens per second that an account got lately.
    pub fn rate(&self, now: Duration, priority: Priority, account: &str) -> f64 {
        let found = self.accounts.get(&(priority, account.to_string()));
        found.map_or(0.0, |a| {
            a.work * fade(now, a.updated) / DECAY_TIME.as_secs_f64()
        })
    }

    /// Tokens per second of all accounts with recent work.
    pub fn rates(&self, now: Duration) -> impl Iterator<Item = (&(Priority, AccountId), f64)> {
        let recent = self.accounts.iter().filter(move |(_, a)| a.is_recent(now));
        let rate = move |a: &Account| a.work * fade(now, a.updated) / DECAY_TIME.as_secs_f64();
        recent.map(move |(key, a)| (key, rate(a)))
    }

    /// Whether it is an account's turn regardless of the work that it got: an account whose demand
    /// is a large part of all must not be starved by the others.
    pub fn is_due(&self, now: Duration, priority: Priority, account: &str) -> bool {
        let Some(own) = self.accounts.get(&(priority, account.to_string())) else {
            return false;
        };
        let passed = f64::from(own.passed) + 1.0;
        // Decided without the sum over all accounts: a waiting request is looked at often.
        if passed < MIN_STARTS_PER_TURN {
            return false;
        }
        let of_priority = self.accounts.iter().filter(|((p, _), _)| *p == priority);
        let all: f64 = of_priority
            .map(|(_, a)| a.arrivals * fade(now, a.updated))
            .sum();
        let share = own.arrivals * fade(now, own.updated) / all.max(f64::MIN_POSITIVE);
        passed >= starts_per_turn(share)
    }

    /// Tokens per second of an account at this gateway that a coordinator's sum may include: the
    /// last reported rate or the current one, whichever is higher.
    pub fn reported(&self, now: Duration, priority: Priority, account: &str) -> f64 {
        let found = self.accounts.get(&(priority, account.to_string()));
        let reported = found.map_or(0.0, |a| a.reported);
        reported.max(self.rate(now, priority, account))
    }

    /// Remembers that the rates of now are reported.
    pub fn record_report(&mut self, now: Duration) {
        for account in self.accounts.values_mut() {
            account.decay(now);
            account.reported = account.work / DECAY_TIME.as_secs_f64();
        }
    }

    /// Forgets accounts without recent requests.
    pub fn evict_idle(&mut self, now: Duration) {
        self.accounts
            .retain(|_, a| a.is_recent(now) || a.arrivals * fade(now, a.updated) > MIN_ARRIVALS);
    }
}

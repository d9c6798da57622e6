//! Admission to one service.

use crate::arrivals::Arrivals;
use crate::first_events::FirstEvents;
use crate::floors::{Floors, starts_per_turn};
use crate::rank::Rank;
use crate::reserve::{VIEW_LAG, reserved_slots};
use crate::retries::RetrySchedule;
use crate::usage::Usage;
use crate::view::View;
use crate::{AccountId, Priority};
use indexmap::IndexSet;
use std::time::Duration;

/// Fraction of the slots by which the limit of an account is lowered while requests of its priority
/// wait, for each multiple of the accounts' mean work by which its own exceeds the mean. An account
/// that reaches few gateways then finds free slots there. In the model of 40 gateways, the served
/// shares of an account at one gateway and one at all differ by 0.27 without a margin, by 0.09 with
/// this one, and by 0.22 if both constants are 0.05.
const ACCOUNT_MARGIN: f64 = 0.03;
/// Maximum of this fraction.
const MAX_ACCOUNT_MARGIN: f64 = 0.03;

/// Fill limits of a unit for requests of the most urgent rank and for late ones, as the fill
/// controller allows them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimits {
    /// For requests in time.
    pub in_time: f64,
    /// For late ones.
    pub late: f64,
}

/// Size of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceCapacity {
    /// Slots of the usable backend servers.
    pub slots: f64,
    /// Number of gateways that callers are sent to.
    pub gateways: u32,
}

/// Inputs for the expected wait of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitInput {
    /// Its rank.
    pub rank: Rank,
    /// Requests that go before it here.
    pub ahead: f64,
    /// Requests that start per second here.
    pub start_rate: f64,
    /// Mean load of the unit above what the rank may use; negative if below.
    pub excess: f64,
}

/// Decides about the requests of one service that differ in priority.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    arrivals: Arrivals,
    /// Times to the first event after sending.
    pub first_events: FirstEvents,
    floors: Floors,
    /// Retries that callers were told to make.
    pub retries: RetrySchedule,
    /// Work of client accounts at this gateway.
    pub usage: Usage,
    /// Demand at all gateways.
    pub view: View,
}

impl Admission {
    /// Counts a first attempt.
    pub fn record_arrival(&mut self, now: Duration, priority: Priority) {
        self.arrivals.record(now, priority);
        self.floors.record_waiting(priority);
    }

    /// Counts a start.
    pub fn record_start(&mut self, priority: Priority) {
        self.floors.record_start(priority);
    }

    /// Rate of first attempts at this gateway of priorities below `below`, which are more urgent.
    pub fn local_rate(&self, now: Duration, below: Priority) -> f64 {
        let rates = self.arrivals.rates(now);
        rates.filter(|(p, _)| *p < below).map(|(_, r)| r).sum()
    }

    /// Rates of first attempts at this gateway by priority.
    pub fn local_rates(&self, now: Duration) -> Vec<(Priority, f64)> {
        self.arrivals.rates(now).collect()
    }

    /// Rate at all gateways of first attempts of priorities below `below`: as coordinators report
    /// it, otherwise as if all gateways had as many as this one.
    pub fn rate(&self, now: Duration, below: Priority, capacity: ServiceCapacity) -> f64 {
        let local = self.local_rate(now, below);
        let gateways = capacity.gateways.max(1);
        match self.view.rate(now, below, gateways) {
            Some(rate) => rate.max(local),
            None => local * f64::from(gateways),
        }
    }

    /// Counts the work of a request that starts. Only work that was given while requests of the
    /// same priority waited, here or elsewhere, takes capacity from other accounts.
    pub fn record_work(
        &mut self,
        now: Duration,
        priority: Priority,
        account: &str,
        work: f64,
        waiting: &[AccountId],
    ) {
        if !waiting.is_empty() || self.view.is_waiting(now, priority) {
            self.usage
                .record_start(now, priority, account, work, waiting);
        }
    }

    /// Tokens per second that an account got lately at all gateways.
    fn work(&self, now: Duration, priority: Priority, account: &str) -> f64 {
        self.usage.rate(now, priority, account) + self.view.others(now, priority, account)
    }

    /// Position of an account among those of its priority that wait: the lowest goes first.
    pub fn account_order(&self, now: Duration, priority: Priority, account: &str) -> f64 {
        match self.usage.is_due(now, priority, account) {
            true => -1.0,
            false => self.work(now, priority, account),
        }
    }

    /// Fraction of the slots that an account may not use while others of its priority have to wait.
    /// `waiting` says whether some wait at this gateway.
    pub fn account_margin(
        &self,
        now: Duration,
        priority: Priority,
        account: &str,
        waiting: bool,
    ) -> f64 {
        // The work at this gateway alone doesn't show what an account got: one that reaches no other
        // gateway would leave its slots here to accounts that get most of theirs elsewhere.
        let known = self.view.is_fresh(now);
        if !known || (!waiting && !self.view.is_waiting(now, priority)) {
            return 0.0;
        }
        let own = self.usage.rates(now);
        let own = own.filter(|((p, _), _)| *p == priority);
        let mut accounts: IndexSet<&AccountId> = own.map(|((_, a), _)| a).collect();
        accounts.extend(self.view.accounts(now, priority));
        let all: f64 = accounts.iter().map(|a| self.work(now, priority, a)).sum();
        let mean = all / accounts.len().max(1) as f64;
        if mean <= 0.0 || self.usage.is_due(now, priority, account) {
            return 0.0;
        }
        let excess = self.work(now, priority, account) / mean - 1.0;
        (ACCOUNT_MARGIN * excess).clamp(0.0, MAX_ACCOUNT_MARGIN)
    }

    /// Load over slots that is kept free for requests more urgent than this rank.
    pub fn reserve(&self, now: Duration, rank: Rank, capacity: ServiceCapacity) -> f64 {
        let rate = self.rate(now, rank.reserve_below(), capacity);
        reserved_slots(rate, VIEW_LAG, 0.0) / capacity.slots.max(1.0)
    }

    /// Mean load over slots of a unit below which a request of this rank is placed. `margin` is
    /// what its account may not use.
    pub fn max_load(
        &self,
        now: Duration,
        rank: Rank,
        limits: LoadLimits,
        capacity: ServiceCapacity,
        margin: f64,
    ) -> f64 {
        let reduced = limits.in_time - self.reserve(now, rank, capacity) - margin;
        // A large reserve must not stop less urgent requests while most slots are free.
        let reduced = reduced.max(limits.in_time / 2.0);
        match rank.late {
            true => reduced.max(limits.late),
            false => reduced,
        }
    }

    /// The priority whose turn it is regardless of the reserve, of those with waiting requests.
    pub fn due(&self, now: Duration, waiting: &[Priority]) -> Option<Priority> {
        self.floors.due(waiting, |p| self.share(now, p))
    }

    /// Share of a priority in all first attempts at this gateway.
    fn share(&self, now: Duration, priority: Priority) -> f64 {
        let all = self.local_rate(now, Priority::MAX);
        self.arrivals.rate(now, priority) / all.max(f64::MIN_POSITIVE)
    }

    /// How long a request in time may wait: its target less the upper tail of the time to the first
    /// event, at least `min`.
    pub fn max_wait(&self, target: Duration, min: Duration) -> Duration {
        let tail = self.first_events.tail();
        tail.map_or(min, |tail| target.saturating_sub(tail).max(min))
    }

    /// Expected wait of a request: until the load has fallen to what its rank may use, and until
    /// the requests ahead of it have started. More urgent requests that arrive meanwhile take their
    /// part of the starts, but never more than the floor of its priority leaves.
    pub fn expected_wait(
        &self,
        now: Duration,
        input: &WaitInput,
        capacity: ServiceCapacity,
    ) -> Duration {
        if input.start_rate <= 0.0 {
            return Duration::ZERO;
        }
        let floor = input.start_rate / starts_per_turn(self.share(now, input.rank.priority));
        let urgent = self.local_rate(now, input.rank.reserve_below());
        let free = (input.start_rate - urgent).max(floor);
        // Each gateway releases its part of the load above the limit.
        let excess = input.excess.max(0.0) * capacity.slots / f64::from(capacity.gateways.max(1));
        Duration::from_secs_f64(((excess + input.ahead) / free).min(3600.0))
    }
}

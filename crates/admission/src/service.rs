//! Admission to one service.

use crate::Priority;
use crate::arrivals::Arrivals;
use crate::first_events::FirstEvents;
use crate::floors::{Floors, start_interval};
use crate::rank::Rank;
use crate::reserve::{VIEW_LAG, reserved_slots};
use crate::retries::RetrySchedule;
use std::time::Duration;

/// Fill limits of a unit for requests of the most urgent rank and for late ones, as the fill
/// controller allows them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimits {
    /// For requests in time.
    pub in_time: f64,
    /// For late ones.
    pub late: f64,
}

/// What a service's gateways and backend servers have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
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

    /// Rate at all gateways of first attempts of priorities below `below`.
    pub fn rate(&self, now: Duration, below: Priority, load: ServiceLoad) -> f64 {
        self.local_rate(now, below) * f64::from(load.gateways.max(1))
    }

    /// Load over slots that is kept free for requests more urgent than this rank.
    pub fn reserve(&self, now: Duration, rank: Rank, load: ServiceLoad) -> f64 {
        let rate = self.rate(now, rank.reserve_below(), load);
        reserved_slots(rate, VIEW_LAG, 0.0) / load.slots.max(1.0)
    }

    /// Mean load over slots of a unit below which a request of this rank is placed.
    pub fn max_load(
        &self,
        now: Duration,
        rank: Rank,
        limits: LoadLimits,
        load: ServiceLoad,
    ) -> f64 {
        let reduced = limits.in_time - self.reserve(now, rank, load);
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
    pub fn expected_wait(&self, now: Duration, input: &WaitInput, load: ServiceLoad) -> Duration {
        if input.start_rate <= 0.0 {
            return Duration::ZERO;
        }
        let floor = input.start_rate / start_interval(self.share(now, input.rank.priority));
        let urgent = self.local_rate(now, input.rank.reserve_below());
        let free = (input.start_rate - urgent).max(floor);
        // Each gateway releases its part of the load above the limit.
        let excess = input.excess.max(0.0) * load.slots / f64::from(load.gateways.max(1));
        Duration::from_secs_f64(((excess + input.ahead) / free).min(3600.0))
    }
}

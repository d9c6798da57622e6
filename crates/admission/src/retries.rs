//! Times at which refused requests should be retried.

use crate::Priority;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum delay: bursts last some seconds, and a caller retries only once.
const MIN_DELAY: Duration = Duration::from_millis(900);
/// Fraction of the delay by which it is spread.
const SPREAD: f64 = 0.3;
/// Width of a band, as a fraction of the latest delay. If no capacity is expected before its band, a
/// priority's retries are spread over it; bands of more urgent priorities come first.
const BAND_WIDTH: f64 = 0.15;
/// Number of bands, up to the latest delay; less urgent priorities share the last one.
const BANDS: u32 = 3;
/// Fraction of the starts that is assumed to be left for retries even if more urgent first attempts
/// take all of them now.
const MIN_FREE: f64 = 0.02;
/// Maximum number of retries kept per priority.
const MAX_KEPT: usize = 256;

/// Inputs for the delay of one refused request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryInput {
    /// Its priority.
    pub priority: Priority,
    /// Requests of at least this urgency that wait.
    pub waiting: usize,
    /// Requests that start per second.
    pub start_rate: f64,
    /// First attempts of at least this urgency that arrive per second.
    pub urgent_rate: f64,
    /// Latest delay that the caller honours.
    pub latest: Duration,
}

/// Retries that callers were told to make, by priority.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    due: IndexMap<Priority, VecDeque<Duration>>,
}

impl RetrySchedule {
    /// Delay for a refused request; `random` is in `0..1`. Never longer than the latest one.
    pub fn delay(&mut self, now: Duration, input: &RetryInput, random: f64) -> Duration {
        let ahead = input.waiting + self.pending(now, input.priority);
        let min_free = (input.start_rate * MIN_FREE).max(f64::MIN_POSITIVE);
        let free = (input.start_rate - input.urgent_rate).max(min_free);
        let latest = input.latest.as_secs_f64();
        let expected = MIN_DELAY.as_secs_f64().max((ahead as f64 + 1.0) / free);
        let delay = expected * (1.0 + SPREAD * random);
        // Where the band of this priority starts.
        let band = f64::from(input.priority.min(BANDS - 1));
        let start = latest * (1.0 - BAND_WIDTH * (f64::from(BANDS) - band));
        let delay = match expected > start {
            true => start + BAND_WIDTH * latest * random,
            false => delay.min(latest),
        };
        let delay = Duration::from_secs_f64(delay);
        let due = self.due.entry(input.priority).or_default();
        if due.len() == MAX_KEPT {
            due.pop_front();
        }
        due.push_back(now + delay);
        delay
    }

    /// Retries of at least this urgency that are still to come.
    pub fn pending(&mut self, now: Duration, priority: Priority) -> usize {
        for due in self.due.values_mut() {
            due.retain(|at| *at > now);
        }
        let urgent = self.due.iter().filter(|(p, _)| **p <= priority);
        urgent.map(|(_, due)| due.len()).sum()
    }
}

//! Recent rates of first attempts by priority.

use crate::Priority;
use indexmap::IndexMap;
use std::time::Duration;

/// Width of a counting bucket.
const BUCKET: Duration = Duration::from_millis(100);
/// Number of buckets in the short window of 1 s: a burst doubles a rate within a second.
const SHORT_BUCKETS: usize = 10;
/// Number of buckets in the long window of 5 s.
const LONG_BUCKETS: usize = 50;

/// Arrivals of one priority in a ring of buckets.
#[derive(Debug, Clone)]
struct Counts {
    buckets: [u32; LONG_BUCKETS],
    /// Number of the newest bucket.
    newest: u64,
    /// Number of the first bucket: rates are taken over the time since then.
    first: u64,
}

impl Counts {
    fn new(bucket: u64) -> Counts {
        Counts {
            buckets: [0; LONG_BUCKETS],
            newest: bucket,
            first: bucket,
        }
    }

    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.newest).min(LONG_BUCKETS as u64);
        for step in 1..=passed {
            let index = (bucket - passed + step) % LONG_BUCKETS as u64;
            self.buckets[index as usize] = 0;
        }
        self.newest = self.newest.max(bucket);
    }

    /// Number of arrivals in the last `window` buckets, and the seconds that these cover.
    fn sum(&self, bucket: u64, window: usize) -> (f64, f64) {
        let oldest = (bucket + 1).saturating_sub(window as u64).max(self.first);
        let kept = (self.newest + 1).saturating_sub(LONG_BUCKETS as u64);
        let counted = oldest.max(kept)..=self.newest;
        let sum: u32 = counted
            .map(|b| self.buckets[(b % LONG_BUCKETS as u64) as usize])
            .sum();
        // A shorter time than the short window would show one arrival as a high rate.
        let covered = ((bucket + 1).saturating_sub(oldest)).max(SHORT_BUCKETS as u64);
        (f64::from(sum), covered as f64 * BUCKET.as_secs_f64())
    }
}

/// Counts first attempts by priority.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    by_priority: IndexMap<Priority, Counts>,
}

impl Arrivals {
    /// Counts a first attempt.
    pub fn record(&mut self, now: Duration, priority: Priority) {
        let bucket = bucket(now);
        let counts = self
            .by_priority
            .entry(priority)
            .or_insert_with(|| Counts::new(bucket));
        counts.advance(bucket);
        counts.buckets[(bucket % LONG_BUCKETS as u64) as usize] += 1;
    }

    /// Requests per second of a priority: the mean of the last 5 s, or that of the last second less
    /// its sampling error if that is higher. Without the deduction, the larger of two noisy figures
    /// would on average be a third too high at a gateway with a few requests per second.
    pub fn rate(&self, now: Duration, priority: Priority) -> f64 {
        let Some(counts) = self.by_priority.get(&priority) else {
            return 0.0;
        };
        let (long, long_s) = counts.sum(bucket(now), LONG_BUCKETS);
        let (short, short_s) = counts.sum(bucket(now), SHORT_BUCKETS);
        (long / long_s).max((short - short.sqrt()) / short_s)
    }

    /// Priorities of which requests have arrived, with their rates.
    pub fn rates(&self, now: Duration) -> impl Iterator<Item = (Priority, f64)> + '_ {
        self.by_priority
            .keys()
            .map(move |p| (*p, self.rate(now, *p)))
    }
}

fn bucket(now: Duration) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}

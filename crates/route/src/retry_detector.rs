//! Distinguishes first attempts of callers from retries.
//!
//! A caller that was refused or cut off retries with less time left; it can no longer be in time,
//! so a slot is better used by one that still can. Requests do not say which they are. But callers
//! of a route wait for about the same time, within a seventh, and a refused caller is told to retry
//! after a second or more: one with much less time left than the recent maximum is a retry. Neither
//! the route's timeout nor a narrow margin can tell them apart: where few are refused, most of
//! those marked as retries would be callers with a slightly shorter wait.

use indexmap::IndexMap;
use std::time::Duration;

/// The longest wait of a route is remembered for at least this long, and at most twice as long: a
/// new document brings a route other callers.
const RETENTION: Duration = Duration::from_secs(10);
/// Minimum wait of a first attempt, as a fraction of the longest: callers of a route differ by a
/// seventh. Retries after a short delay may have more time left than that, and are missed.
const MIN_WAIT_RATIO: f64 = 0.84;

#[derive(Debug, Clone, Copy, Default)]
struct MaxWait {
    window_start: Duration,
    current: Duration,
    previous: Duration,
}

/// Longest recent waits announced by callers, by route.
#[derive(Debug, Clone, Default)]
pub struct RetryDetector(IndexMap<String, MaxWait>);

impl RetryDetector {
    /// Whether a caller of `route` that waits for another `wait` is retrying.
    pub fn is_retry(&mut self, now: Duration, route: &str, wait: Duration) -> bool {
        let window = match self.0.get_mut(route) {
            Some(window) => window,
            None => self.0.entry(route.into()).or_default(),
        };
        if now >= window.window_start + RETENTION {
            let idle = now >= window.window_start + 2 * RETENTION;
            window.previous = if idle { Duration::ZERO } else { window.current };
            window.current = Duration::ZERO;
            window.window_start = now;
        }
        window.current = window.current.max(wait);
        wait < window.current.max(window.previous).mul_f64(MIN_WAIT_RATIO)
    }
}

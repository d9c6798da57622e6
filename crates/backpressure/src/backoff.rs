//! The backoff that a backend server requests of one gateway.

use std::time::Duration;

/// Longest backoff that is honoured: a backend server that by mistake requests a longer one, or an
/// endless one, is probed once an hour.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Gateways that were turned away together return spread over this fraction of the backoff, and at
/// most over `MAX_JITTER`.
const JITTER: f64 = 0.1;
const MAX_JITTER: Duration = Duration::from_millis(300);
/// After the backoff a single request is sent, and the next one after this interval: until one was
/// accepted, more would be turned away like those before.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A backoff. It lasts until a request sent after it was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    requested_at: Duration,
    until: Duration,
}

impl Backoff {
    /// A backoff of length `time` requested at `now`; `None` if `time` is zero. `draw` is a random
    /// number in `0..1`.
    pub fn new(now: Duration, time: Duration, draw: f64) -> Option<Backoff> {
        let time = time.min(MAX_BACKOFF);
        let jitter = time.mul_f64(JITTER).min(MAX_JITTER).mul_f64(draw);
        let backoff = Backoff {
            requested_at: now,
            until: now + time + jitter,
        };
        (!time.is_zero()).then_some(backoff)
    }

    /// Merges a backoff from another response. The later end wins: responses overtake each other,
    /// and a requested backoff is never shortened.
    pub fn merge(self, other: Backoff) -> Backoff {
        Backoff {
            requested_at: self.requested_at.max(other.requested_at),
            until: self.until.max(other.until),
        }
    }

    /// When the next request may be sent.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// A request is sent to probe whether more are accepted.
    pub(crate) fn on_probe(&mut self, now: Duration) {
        self.until = self.until.max(now + PROBE_INTERVAL);
    }

    /// Whether a response that requests no backoff ends this one: only if its request was sent
    /// after the backoff was requested.
    pub(crate) fn ends_with(&self, sent_at: Duration) -> bool {
        sent_at > self.requested_at
    }
}

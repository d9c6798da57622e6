//! The retry budget: retries are a fixed part of requests, so that a failing service
//! is not finished off by its callers' second tries.

use std::time::Duration;

/// Retries earned by each request.
const PART: f64 = 0.1;
/// Retries earned each second whatever the load, so that quiet services retry too.
const TRICKLE: f64 = 5.0;
/// Retries saved up at most.
const MOST: f64 = 50.0;

/// A token bucket of retries.
#[derive(Debug, Clone)]
pub struct Budget {
    saved: f64,
    at: Duration,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            saved: MOST,
            at: Duration::ZERO,
        }
    }
}

impl Budget {
    /// A first try was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + PART).min(MOST);
    }

    /// Takes one retry if there is one.
    pub fn spend(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.saved = (self.saved + passed * TRICKLE).min(MOST);
        let some = self.saved >= 1.0;
        if some {
            self.saved -= 1.0;
        }
        some
    }
}

//! Detects that the process was stopped for a while.

use std::time::Duration;

/// Time between two iterations of the event loop from which it counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(400);
/// For how long orders are refused after a stall.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Refuses calls for some time after a stall: they may have waited in a socket meanwhile, and be
/// older than orders that were acknowledged by other coordinators.
#[derive(Debug, Clone, Default)]
pub struct StallGuard {
    last_iteration: Duration,
    refuses_until: Duration,
}

impl StallGuard {
    /// Creates the guard of an event loop that starts at `now`.
    pub fn new(now: Duration) -> StallGuard {
        StallGuard {
            last_iteration: now,
            refuses_until: Duration::ZERO,
        }
    }

    /// Records that an iteration of the event loop begins.
    pub fn on_iteration(&mut self, now: Duration) {
        if now > self.last_iteration + STALL_TIME {
            self.refuses_until = now + REFUSAL_TIME;
        }
        self.last_iteration = now;
    }

    /// Whether calls are refused now: there was a stall, or the present iteration is one.
    pub fn refuses(&self, now: Duration) -> bool {
        now < self.refuses_until || now > self.last_iteration + STALL_TIME
    }
}

//! The process's clocks: monotonic for decisions, wall for the ages of keys.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time since the process's start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock(Instant::now())
    }

    pub(crate) fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Wall time since 1970.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Whole milliseconds.
pub(crate) fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}

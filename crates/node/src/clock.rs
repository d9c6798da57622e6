//! Clocks of the process: monotonic time for decisions, wall-clock time for the age of keys.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time since the start of the process.
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

/// Wall-clock time since the Unix epoch.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Converts a duration to whole milliseconds.
pub(crate) fn ms(d: Duration) -> u64 {
    d.as_millis() as u64
}

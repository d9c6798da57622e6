//! Passive health checks: ejection after consecutive failures, and gradual readmission.

use std::time::Duration;

/// Consecutive failures that cause an ejection.
const EJECT_AFTER: u32 = 3;
/// First ejection time; doubles with each successive ejection.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time over which a readmitted backend server is ramped up to its full share.
const RAMP_UP: Duration = Duration::from_secs(5);

/// Health of a backend server as observed from this entry's requests.
#[derive(Debug, Clone, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// Records a failed request; `true` if this ejects the backend server.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < EJECT_AFTER || self.is_ejected(now) {
            return false;
        }
        let ejection =
            (BASE_EJECTION * 2u32.saturating_pow(self.ejections.min(5))).min(MAX_EJECTION);
        self.ejected_until = Some(now + ejection);
        self.ejections += 1;
        self.consecutive_failures = 0;
        true
    }

    /// Records a successful request.
    pub fn record_success(&mut self, now: Duration) {
        self.consecutive_failures = 0;
        if self.capacity_share(now) >= 1.0 {
            self.ejections = 0;
            self.ejected_until = None;
        }
    }

    /// Whether the backend server is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Fraction of its capacity that it is given: ramps up from a tenth after an ejection, so that
    /// a backend server that still fails affects few requests.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let ramp = now.saturating_sub(until).as_secs_f64() / RAMP_UP.as_secs_f64();
        ramp.clamp(0.1, 1.0)
    }
}

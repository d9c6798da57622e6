//! Health of a backend server from the outcomes of requests sent to it: failures eject it for a
//! short time, and its failure rate adds to its cost.

use std::time::Duration;

/// Consecutive failures that cause an ejection; one severe failure (no listener) suffices.
const EJECT_AFTER: u32 = 3;
/// First ejection time; doubles with each successive ejection.
const BASE_EJECTION: Duration = Duration::from_millis(400);
/// Maximum ejection time. Short, because callers are served again only after it: a service whose
/// backend servers were all down must recover within the recovery bound (12 s).
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// Time over which a readmitted backend server is ramped up to its full share.
const RAMP_UP: Duration = Duration::from_secs(2);
/// Share of its fill limit right after readmission: a probe or two.
const INITIAL_SHARE: f64 = 0.1;
/// Weight of the latest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Health record of one backend server.
#[derive(Debug, Clone, Default)]
pub struct HealthRecord {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    failure_rate: f64,
}

impl HealthRecord {
    /// Records a failed request; `true` if this ejects the backend server.
    pub fn record_failure(&mut self, now: Duration, severe: bool) -> bool {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += 1;
        if self.is_ejected(now) || (self.consecutive_failures < EJECT_AFTER && !severe) {
            return false;
        }
        let ejection = BASE_EJECTION * 2u32.saturating_pow(self.ejections.min(5));
        self.ejected_until = Some(now + ejection.min(MAX_EJECTION));
        self.ejections += 1;
        self.consecutive_failures = 0;
        true
    }

    /// Records a successful request.
    pub fn record_success(&mut self, now: Duration) {
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        self.consecutive_failures = 0;
        if !self.is_ejected(now) {
            self.ejections = 0;
        }
        if self.capacity_share(now) >= 1.0 {
            self.ejected_until = None;
        }
    }

    /// Whether the backend server is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When its latest ejection ends or ended.
    pub fn readmitted_at(&self) -> Duration {
        self.ejected_until.unwrap_or(Duration::ZERO)
    }

    /// Recent failure rate, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Share of its fill limit that it is given now.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let ramp = now.saturating_sub(until).as_secs_f64() / RAMP_UP.as_secs_f64();
        ramp.clamp(INITIAL_SHARE, 1.0)
    }
}

//! An entry's view of one backend server, and its load corrected for report lag.

use crate::health::Health;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Every report accounts for requests that ended longer ago than this.
const ENDED_RETENTION: Duration = Duration::from_secs(5);

/// A load report, with the time on this entry's clock to which it applies.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Service of the backend server.
    pub service: String,
    /// Lock-step group; empty for plain services.
    pub group: String,
    /// Rank in the group.
    pub rank: u32,
    /// Failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Requests running.
    pub running: u32,
    /// Requests queued at the backend server.
    pub queued: u32,
    /// Tokens batched and queued.
    pub tokens: u64,
    /// Accepts no new work.
    pub leaving: bool,
    /// Its own health checks pass.
    pub healthy: bool,
    /// Can start an answer at an offset.
    pub resumes: bool,
    /// Time to which the load figures apply.
    pub as_of: Duration,
}

/// A backend server as seen by this entry.
#[derive(Debug, Clone, Default)]
pub struct Backend {
    /// Latest report.
    pub report: Report,
    /// When the latest report arrived.
    pub reported_at: Duration,
    /// Ejection and readmission.
    pub health: Health,
    last_sent: Duration,
    /// This entry's requests in flight there: attempt to send time.
    in_flight: HashMap<u64, Duration>,
    /// Recently ended requests: send time, end time.
    recent_ends: VecDeque<(Duration, Duration)>,
}

impl Backend {
    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Duration, attempt: u64) {
        self.last_sent = now;
        self.in_flight.insert(attempt, now);
    }

    /// Records that a request ended.
    pub fn record_end(&mut self, now: Duration, attempt: u64) {
        if let Some(sent) = self.in_flight.remove(&attempt) {
            self.recent_ends.push_back((sent, now));
        }
        while self
            .recent_ends
            .front()
            .is_some_and(|(_, ended)| *ended + ENDED_RETENTION < now)
        {
            self.recent_ends.pop_front();
        }
    }

    /// When this entry last sent a request there.
    pub fn last_sent(&self) -> Duration {
        self.last_sent
    }

    /// Number of this entry's requests in flight there.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Predicted number of requests there: the report, plus those sent since, minus those that it
    /// includes and that have ended since.
    pub fn load(&self) -> f64 {
        let as_of = self.report.as_of;
        let sent_since = self.in_flight.values().filter(|at| **at > as_of).count();
        let ended_since = self
            .recent_ends
            .iter()
            .filter(|(sent, ended)| *sent <= as_of && *ended > as_of)
            .count();
        let reported = (self.report.running + self.report.queued) as f64;
        (reported + sent_since as f64 - ended_since as f64).max(self.in_flight() as f64)
    }

    /// Load over capacity; 1 is full.
    pub fn utilization(&self) -> f64 {
        self.load() / f64::from(self.report.capacity.max(1))
    }
}

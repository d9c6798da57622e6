//! What one entry knows of a backend server, and its load corrected for lag.

use crate::health::Health;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Ends older than this are in every report by now.
const ENDS_KEPT: Duration = Duration::from_secs(5);

/// A load report, with the time on this entry's clock that it describes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Service it belongs to.
    pub service: String,
    /// Lock-step group, empty for plain services.
    pub group: String,
    /// Rank in the group.
    pub rank: u32,
    /// Failure domain.
    pub domain: String,
    /// Requests that run at once.
    pub capacity: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Tokens batched and queued.
    pub tokens: u64,
    /// It takes no new work.
    pub leaving: bool,
    /// Its own checks pass.
    pub healthy: bool,
    /// It can start an answer at an offset.
    pub resumes: bool,
    /// The time the load figures describe.
    pub as_of: Duration,
}

/// A backend server as this entry sees it.
#[derive(Debug, Clone, Default)]
pub struct Backend {
    /// Its latest report.
    pub report: Report,
    /// When the latest report came.
    pub heard: Duration,
    /// Ejection and return.
    pub health: Health,
    last_sent: Duration,
    /// This entry's requests there: attempt to time sent.
    sent: HashMap<u64, Duration>,
    /// Requests that ended lately: time sent, time ended.
    ended: VecDeque<(Duration, Duration)>,
}

impl Backend {
    /// Notes a request sent.
    pub fn send(&mut self, now: Duration, attempt: u64) {
        self.last_sent = now;
        self.sent.insert(attempt, now);
    }

    /// Notes that a request ended.
    pub fn end(&mut self, now: Duration, attempt: u64) {
        if let Some(sent) = self.sent.remove(&attempt) {
            self.ended.push_back((sent, now));
        }
        while self
            .ended
            .front()
            .is_some_and(|(_, end)| *end + ENDS_KEPT < now)
        {
            self.ended.pop_front();
        }
    }

    /// When this entry last sent a request there.
    pub fn last_sent(&self) -> Duration {
        self.last_sent
    }

    /// Requests of this entry that are there now.
    pub fn mine(&self) -> usize {
        self.sent.len()
    }

    /// Requests there now, predicted: the report, plus what was sent since it was
    /// made, minus what was in it and ended since.
    pub fn load(&self) -> f64 {
        let as_of = self.report.as_of;
        let since = self.sent.values().filter(|at| **at > as_of).count();
        let over = self
            .ended
            .iter()
            .filter(|(sent, end)| *sent <= as_of && *end > as_of)
            .count();
        let reported = (self.report.running + self.report.queued) as f64;
        (reported + since as f64 - over as f64).max(self.mine() as f64)
    }

    /// Load over capacity; 1 is full.
    pub fn pressure(&self) -> f64 {
        self.load() / f64::from(self.report.capacity.max(1))
    }
}

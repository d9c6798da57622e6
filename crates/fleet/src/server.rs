//! A simulated backend server.

use bn_backpressure::Limit;
use bn_coordinator::Health;
use bn_registry::{BackendId, Condition, Record, StartTime};
use std::time::Duration;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// It announces itself to one coordinator until that one does not accept it.
pub(crate) struct Server {
    pub(crate) record: Record,
    pub(crate) coordinator: usize,
    due: Duration,
    /// It announces itself: it has neither crashed nor departed.
    pub(crate) announces: bool,
    /// What its health check says.
    pub(crate) health: Health,
}

impl Server {
    pub(crate) fn new(number: usize, start_time: StartTime, coordinator: usize) -> Server {
        Server {
            record: record(number, start_time),
            coordinator,
            due: Duration::ZERO,
            announces: true,
            health: Health::Serving,
        }
    }

    /// The announcement that is due now.
    pub(crate) fn announce(&mut self, now: Duration) -> Option<Record> {
        if !self.announces || now < self.due {
            return None;
        }
        self.due = now + ANNOUNCE_INTERVAL;
        self.record.sequence += 1;
        Some(self.record.clone())
    }
}

pub(crate) fn server_id(number: usize) -> BackendId {
    format!("server-{number:08}")
}

/// The record of a simulated backend server.
pub fn record(number: usize, start_time: StartTime) -> Record {
    Record {
        id: server_id(number),
        start_time,
        service: "service".into(),
        address: Some(([10, 2, (number >> 8) as u8, number as u8], 8_000).into()),
        domain: "domain-1".into(),
        slots: 6,
        condition: Condition::Ready,
        sequence: 1,
        group: "group-1".into(),
        slowdown: 0,
        rank_version: 1 << 32,
        limit: Limit::default(),
        cold_left: None,
    }
}

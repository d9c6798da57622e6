//! Departures, and which start one that names none may be of.

use crate::record::{BackendId, Condition, Record, SharedRecord, StartTime};
use crate::table::{Change, Registry};
use bn_backpressure::Limit;
use std::time::Duration;

/// For how long after a restart a departure that names no start may be the earlier start's: as long
/// as a network partition may delay a message.
pub(crate) const HELD_UP_WINDOW: Duration = Duration::from_secs(60);

impl Registry {
    /// Records the departure of a start; the rest of the record is unchanged. A later start goes on.
    pub fn record_departure(&mut self, now: Duration, id: &str, start_time: StartTime) -> Change {
        let gone = self.departed(id, start_time);
        self.merge(now, SharedRecord::announced(gone))
    }

    /// Records a departure that named no start; `start_time` is the latest one known.
    pub fn record_unnamed_departure(
        &mut self,
        now: Duration,
        id: &str,
        start_time: StartTime,
    ) -> Change {
        let shared = SharedRecord {
            departed_age: Some(Duration::ZERO),
            ..SharedRecord::announced(self.departed(id, start_time))
        };
        self.merge(now, shared)
    }

    fn departed(&self, id: &str, start_time: StartTime) -> Record {
        let known = self.get(id).filter(|r| r.start_time == start_time);
        let record = known.cloned().unwrap_or_else(|| Record {
            id: id.into(),
            start_time,
            service: String::new(),
            address: None,
            domain: String::new(),
            slots: 0,
            condition: Condition::Gone,
            sequence: 0,
            group: String::new(),
            slowdown: 0,
            rank_version: 0,
            limit: Limit::default(),
            cold_left: None,
        });
        Record {
            condition: Condition::Gone,
            ..record
        }
    }

    /// Whether a departure of this id that names no start may be that of an earlier start, held up
    /// on its way.
    pub fn is_unsettled(&self, now: Duration, id: &str) -> bool {
        let row = self.rows.get(id).filter(|r| !r.is_gone());
        let restarted = row.is_some_and(|r| now < r.unsettled_until);
        restarted || row.is_some_and(|r| r.departs_unseen(now))
    }

    /// Backend servers that may have departed, each returned once for a departure: one that named no
    /// start was recorded for an earlier start, and nothing is known of a contact since. The
    /// coordinators that recorded it may not have known the later start, which had announced itself
    /// to one that was cut off.
    pub fn take_doubtful_departures(&mut self, now: Duration) -> Vec<BackendId> {
        let doubtful = std::mem::take(&mut self.unchecked).into_iter();
        let departs = |id: &BackendId| {
            let row = self.rows.get(id).filter(|r| !r.is_gone());
            row.is_some_and(|r| r.departs_unseen(now))
        };
        doubtful.filter(departs).collect()
    }
}

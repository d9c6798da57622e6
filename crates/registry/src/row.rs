//! A row of the table: a record, and what this process knows beside it.

use crate::contacts::{CONTACT_TIMEOUT, DEPARTED_RETENTION};
use crate::record::{Condition, Record, Sequence};
use crate::table::Cursor;
use std::time::Duration;

/// Times of one departure differ by less, as they are passed on.
const SAME_DEPARTURE: Duration = Duration::from_secs(2);
/// Smaller moves of the end of a cold period are the varying delay of announcements. If each were an
/// update, every announcement of a cold backend server would be pushed to all gateways.
const COLD_TOLERANCE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) record: Record,
    /// Change at which it was last [`Change::Updated`].
    pub(crate) cursor: Cursor,
    /// Highest sequence announced to any coordinator, which may be ahead of the record's.
    pub(crate) contact_sequence: Sequence,
    /// When it is forgotten unless there is a contact; when its departure is, if it departed.
    pub(crate) expires_at: Duration,
    /// It announced itself here since contacts were last taken for other processes.
    pub(crate) announced: bool,
    /// Until when a departure that names no start may be that of an earlier start.
    pub(crate) unsettled_until: Duration,
    /// There was no contact for [`CONTACT_TIMEOUT`]. The row is kept, so that one that returns has its
    /// group, slowdown and limit, and so that gateways are notified.
    pub(crate) forgotten: bool,
    /// When a coordinator received the latest departure of the id that named no start.
    pub(crate) departed_at: Option<Duration>,
    /// When the time left of its cold period was received.
    pub(crate) cold_at: Duration,
}

impl Row {
    pub(crate) fn is_gone(&self) -> bool {
        self.record.condition == Condition::Gone
    }

    /// Records a departure that named no start; `false` if it was known.
    pub(crate) fn record_departure(&mut self, at: Duration) -> bool {
        let new = self
            .departed_at
            .is_none_or(|known| at > known + SAME_DEPARTURE);
        if new {
            self.departed_at = Some(at);
        }
        new
    }

    /// Whether a departure that named no start came after the last contact that is known.
    pub(crate) fn departs_unseen(&self, now: Duration) -> bool {
        let last_contact = self.expires_at.saturating_sub(CONTACT_TIMEOUT);
        let departed_at = self.departed_at.filter(|at| now < *at + DEPARTED_RETENTION);
        !self.forgotten && departed_at.is_some_and(|at| at >= last_contact)
    }

    /// Marks the row as changed for processes that read changes from a cursor.
    pub(crate) fn touch(&mut self, cursor: &mut Cursor) {
        *cursor += 1;
        self.cursor = *cursor;
    }

    pub(crate) fn cold_left(&self, now: Duration) -> Option<Duration> {
        let passed = now.saturating_sub(self.cold_at);
        self.record.cold_left.map(|t| t.saturating_sub(passed))
    }

    /// Whether a cold period that ends after `left` differs from what is known. Ends in the past
    /// are all the same.
    pub(crate) fn moves_cold_end(&self, now: Duration, left: Duration) -> bool {
        self.cold_left(now)
            .is_none_or(|known| known.abs_diff(left) >= COLD_TOLERANCE)
    }
}

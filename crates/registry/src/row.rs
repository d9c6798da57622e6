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
    /// The latest departure of the id that named no start.
    pub(crate) departure: Option<UnnamedDeparture>,
    /// When the time left of its cold period was received.
    pub(crate) cold_at: Duration,
}

/// A departure that named no start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnnamedDeparture {
    /// When a coordinator received it.
    pub(crate) at: Duration,
    /// Whether it may be that of the held start has been checked.
    checked: bool,
}

impl Row {
    pub(crate) fn is_gone(&self) -> bool {
        self.record.condition == Condition::Gone
    }

    pub(crate) fn record_departure(&mut self, at: Duration) {
        let known = self.departure.map(|d| d.at);
        if known.is_none_or(|known| at > known + SAME_DEPARTURE) {
            self.departure = Some(UnnamedDeparture { at, checked: false });
        }
    }

    /// Whether a departure that named no start came after the last contact that is known.
    pub(crate) fn departs_unseen(&self, now: Duration) -> bool {
        let last_contact = self.expires_at.saturating_sub(CONTACT_TIMEOUT);
        let departure = self.departure.filter(|d| now < d.at + DEPARTED_RETENTION);
        !self.forgotten && departure.is_some_and(|d| d.at >= last_contact)
    }

    pub(crate) fn take_unchecked(&mut self) -> bool {
        let departure = self.departure.as_mut();
        departure.is_some_and(|d| !std::mem::replace(&mut d.checked, true))
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

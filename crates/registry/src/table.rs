//! The table of backend servers and its merge rules.

use crate::contacts::{CONTACT_TIMEOUT, DEPARTED_RETENTION, Touch};
use bn_backpressure::Limit;
use indexmap::IndexMap;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of a backend server; a restart may reuse it.
pub type BackendId = String;
/// Unix milliseconds at which a backend server started; 0 if it does not report it. Orders its
/// starts, however much later an announcement of an earlier one arrives.
pub type StartTime = u64;
/// Number of an announcement within one start; increases with each one.
pub type Sequence = u64;
/// Version of a rank's group and slowdown as set by a leader; increases with each update, across
/// leader changes too.
pub type RankVersion = u64;
/// Position in the table's sequence of changes, from which other processes request updates.
pub type Cursor = u64;

/// For how long after a restart a departure that names no start may be the earlier start's: as long
/// as a network partition may delay a message.
const HELD_UP_WINDOW: Duration = Duration::from_secs(60);
/// Times of one departure differ by less, as they are passed on.
const SAME_DEPARTURE: Duration = Duration::from_secs(2);
/// Smaller moves of the end of a cold period are the varying delay of announcements. If each were an
/// update, every announcement of a cold backend server would be pushed to all gateways.
const COLD_TOLERANCE: Duration = Duration::from_millis(250);

/// Condition that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Accepts new work.
    Ready,
    /// Departs soon and accepts no new work.
    Draining,
    /// This start has departed for good.
    Gone,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its id.
    pub id: BackendId,
    /// The start that this record describes.
    pub start_time: StartTime,
    /// Service it belongs to; empty if only its departure is known.
    pub service: String,
    /// Where it accepts requests; `None` if only its departure is known.
    pub address: Option<SocketAddr>,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Condition that it reports.
    pub condition: Condition,
    /// Number of its latest announcement.
    pub sequence: Sequence,
    /// Lock-step group that it is a rank of, as it reported to the leading coordinator; empty if
    /// none is known. It arrives separately from announcements, so these do not clear it.
    pub group: String,
    /// Time that it takes for the same work, in hundredths of a healthy rank's; 0 if it is healthy
    /// or this is not known. It arrives in the same way as the group.
    pub slowdown: u32,
    /// Version of group and slowdown. Without an order, two processes that hold an older and a
    /// newer value would exchange them forever.
    pub rank_version: RankVersion,
    /// Requests per second that it accepts from all gateways together, as gateways received it.
    pub limit: Limit,
    /// Time for which it stays cold, counted from when this record was received; `None` if it was
    /// not announced.
    pub cold_left: Option<Duration>,
}

/// Effect of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Something that decisions depend on changed: other processes must be notified.
    Updated,
    /// Only the sequence number advanced.
    Refreshed,
    /// The record was older than what is known.
    Stale,
}

#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) record: Record,
    /// Change at which it was last [`Change::Updated`].
    cursor: Cursor,
    /// Highest sequence that any process heard, which may be ahead of the record's.
    pub(crate) heard_sequence: Sequence,
    /// When it is forgotten unless it is heard from; when its departure is, if it departed.
    pub(crate) expires_at: Duration,
    /// It announced itself here since contacts were last taken for other processes.
    pub(crate) announced: bool,
    /// Until when a departure that names no start may be that of an earlier start.
    pub(crate) unsettled_until: Duration,
    /// Nobody heard of it for [`CONTACT_TIMEOUT`]. The row is kept, so that one that is heard again
    /// has its group, slowdown and limit, and so that gateways are told.
    pub(crate) forgotten: bool,
    /// The latest departure of the id that named no start.
    departure: Option<UnnamedDeparture>,
    /// When the time left of its cold period was received.
    cold_at: Duration,
}

/// A departure that named no start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnnamedDeparture {
    /// When a coordinator received it.
    at: Duration,
    /// Whether it may be that of the held start has been checked.
    checked: bool,
}

/// The table of one process.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    pub(crate) rows: IndexMap<BackendId, Row>,
    pub(crate) cursor: Cursor,
    pub(crate) touch: Touch,
}

/// A record as another process sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedRecord {
    /// The record.
    pub record: Record,
    /// Highest sequence that the sender knows of.
    pub heard_sequence: Sequence,
    /// Time since any process heard of it; `None` if the sender does not say.
    pub heard_age: Option<Duration>,
    /// Time since this start replaced an earlier one of the same id; `None` if none did lately.
    pub replaced_age: Option<Duration>,
    /// The sender has forgotten it.
    pub forgotten: bool,
    /// Time since a departure of the id that named no start; `None` if none is known.
    pub departed_age: Option<Duration>,
}

impl SharedRecord {
    /// One that was announced just now.
    pub fn announced(record: Record) -> SharedRecord {
        SharedRecord {
            heard_sequence: record.sequence,
            heard_age: Some(Duration::ZERO),
            replaced_age: None,
            forgotten: false,
            departed_age: None,
            record,
        }
    }
}

impl Record {
    /// Merges this record over `held`, the one known so far; `None` if it adds nothing.
    pub fn merged_over(&self, held: &Record) -> Option<Record> {
        let newer = supersedes(held, self);
        let same_start = self.start_time == held.start_time;
        let rank_updated = same_start && self.rank_version > held.rank_version;
        let limit = held.limit.merge(self.limit);
        let limit_changed = same_start && limit != held.limit;
        if !newer && !rank_updated && !limit_changed {
            return None;
        }
        let mut record = if newer { self.clone() } else { held.clone() };
        if same_start {
            let latest = if rank_updated { self } else { held };
            record.group.clone_from(&latest.group);
            record.slowdown = latest.slowdown;
            record.rank_version = latest.rank_version;
            record.limit = limit;
            // One without this time says nothing of it.
            record.cold_left = record.cold_left.or(held.cold_left);
        }
        Some(record)
    }
}

impl Registry {
    /// Merges an announcement that was received here.
    pub fn announce(&mut self, now: Duration, record: Record) -> Change {
        let (id, start_time) = (record.id.clone(), record.start_time);
        let change = self.merge(now, SharedRecord::announced(record));
        let row = self.rows.get_mut(&id);
        if let Some(row) = row.filter(|r| r.record.start_time == start_time && !r.is_gone()) {
            row.announced = true;
        }
        change
    }

    /// Merges a change of what is known of a backend server: that is no contact with it.
    pub fn update(&mut self, now: Duration, record: Record) -> Change {
        self.merge(now, self.shared(now, record))
    }

    /// Merges a record that another process sent.
    pub fn merge(&mut self, now: Duration, shared: SharedRecord) -> Change {
        let lifetime = retention(shared.record.condition);
        let age = shared.heard_age.unwrap_or_default();
        let Some(left) = lifetime.checked_sub(age).filter(|_| !shared.forgotten) else {
            return Change::Stale;
        };
        let id = shared.record.id.clone();
        let held = self.rows.get(&id);
        let restarted = held.is_some_and(|r| shared.record.start_time > r.record.start_time);
        let same_start = held.is_some_and(|r| shared.record.start_time == r.record.start_time);
        let change = self.merge_state(now, &shared, restarted);
        let Some(row) = self.rows.get_mut(&id) else {
            return change;
        };
        if let Some(age) = shared.departed_age {
            row.record_departure(now.saturating_sub(age));
        }
        if row.record.start_time != shared.record.start_time {
            return change;
        }
        let settled = HELD_UP_WINDOW.checked_sub(shared.replaced_age.unwrap_or(HELD_UP_WINDOW));
        row.unsettled_until = row.unsettled_until.max(now + settled.unwrap_or_default());
        if restarted {
            row.unsettled_until = row.unsettled_until.max(now + HELD_UP_WINDOW);
        }
        let departed = change != Change::Stale && row.is_gone();
        if departed || !same_start {
            row.expires_at = now + left;
            row.heard_sequence = shared.heard_sequence;
            row.forgotten = false;
        } else if shared.record.condition != Condition::Gone {
            return match self.record_heard(now, &id, shared.heard_sequence, left) {
                true => Change::Updated,
                false => change,
            };
        }
        change
    }

    /// Merges the state; contacts are the caller's.
    fn merge_state(&mut self, now: Duration, shared: &SharedRecord, restarted: bool) -> Change {
        let record = shared.record.clone();
        // The earlier start is void, including its position in the order of first contact.
        let earlier = match restarted {
            true => self.rows.shift_remove(&record.id),
            false => None,
        };
        let departure = earlier.and_then(|r| r.departure);
        let Some(row) = self.rows.get_mut(&record.id) else {
            self.cursor += 1;
            let (id, cursor) = (record.id.clone(), self.cursor);
            let row = Row {
                record,
                cursor,
                heard_sequence: 0,
                expires_at: now,
                announced: false,
                unsettled_until: Duration::ZERO,
                forgotten: false,
                departure,
                cold_at: now,
            };
            self.rows.insert(id, row);
            return Change::Updated;
        };
        let announced = record
            .cold_left
            .filter(|_| supersedes(&row.record, &record));
        let Some(mut record) = record.merged_over(&row.record) else {
            return Change::Stale;
        };
        let cold_moved = announced.is_some_and(|left| row.moves_cold_end(now, left));
        match cold_moved {
            true => row.cold_at = now,
            false => record.cold_left = row.record.cold_left,
        }
        let same = Record {
            sequence: row.record.sequence,
            rank_version: row.record.rank_version,
            ..record.clone()
        } == row.record;
        row.record = record;
        if same && !cold_moved {
            return Change::Refreshed;
        }
        row.touch(&mut self.cursor);
        Change::Updated
    }

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
        let mut doubtful = Vec::new();
        for (id, row) in &mut self.rows {
            if !row.is_gone() && row.departs_unseen(now) {
                doubtful.extend(row.take_unchecked().then(|| id.clone()));
            }
        }
        doubtful
    }

    /// A record with what this table knows of contacts with its start.
    pub(crate) fn shared(&self, now: Duration, record: Record) -> SharedRecord {
        let row = self.rows.get(&record.id);
        let row = row.filter(|r| r.record.start_time == record.start_time);
        let replaced = row.filter(|r| now < r.unsettled_until);
        SharedRecord {
            heard_sequence: row.map_or(record.sequence, |r| r.heard_sequence),
            heard_age: row.and_then(|_| self.heard_age(now, &record.id)),
            replaced_age: replaced.map(|r| HELD_UP_WINDOW.saturating_sub(r.unsettled_until - now)),
            forgotten: row.is_some_and(|r| r.forgotten),
            departed_age: row
                .and_then(|r| r.departure)
                .map(|d| now.saturating_sub(d.at)),
            record,
        }
    }

    /// Latest change.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Records updated after `cursor`.
    pub fn changed_since(&self, cursor: Cursor) -> Vec<Record> {
        let newer = self.rows.values().filter(|r| r.cursor > cursor);
        newer.map(|r| r.record.clone()).collect()
    }

    /// Time left of the cold period of the start that `record` describes.
    pub fn cold_left(&self, now: Duration, record: &Record) -> Option<Duration> {
        let row = self.rows.get(&record.id);
        let row = row.filter(|r| r.record.start_time == record.start_time)?;
        row.cold_left(now)
    }

    /// The record of an id.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.rows.get(id).map(|r| &r.record)
    }

    /// All records that have neither departed nor been forgotten.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        let present = self.rows.values().filter(|r| !r.is_gone() && !r.forgotten);
        present.map(|r| &r.record)
    }

    /// Of the records that have not departed, the one with the latest first contact per address. A
    /// crash announces no departure: the record remains beside that of the successor at the same
    /// address, which answers for both if it does not check the id that is addressed.
    pub fn latest_by_address(&self) -> impl Iterator<Item = &Record> {
        let mut by_address: IndexMap<_, &Record> = IndexMap::new();
        for record in self.present() {
            by_address.insert(record.address, record);
        }
        by_address.into_values()
    }
}

impl Row {
    pub(crate) fn is_gone(&self) -> bool {
        self.record.condition == Condition::Gone
    }

    fn record_departure(&mut self, at: Duration) {
        let known = self.departure.map(|d| d.at);
        if known.is_none_or(|known| at > known + SAME_DEPARTURE) {
            self.departure = Some(UnnamedDeparture { at, checked: false });
        }
    }

    /// Whether a departure that named no start came after the last contact that is known.
    fn departs_unseen(&self, now: Duration) -> bool {
        let last_contact = self.expires_at.saturating_sub(CONTACT_TIMEOUT);
        let departure = self.departure.filter(|d| now < d.at + DEPARTED_RETENTION);
        !self.forgotten && departure.is_some_and(|d| d.at >= last_contact)
    }

    fn take_unchecked(&mut self) -> bool {
        let departure = self.departure.as_mut();
        departure.is_some_and(|d| !std::mem::replace(&mut d.checked, true))
    }

    /// Marks the row as changed for processes that read changes from a cursor.
    pub(crate) fn touch(&mut self, cursor: &mut Cursor) {
        *cursor += 1;
        self.cursor = *cursor;
    }

    fn cold_left(&self, now: Duration) -> Option<Duration> {
        let passed = now.saturating_sub(self.cold_at);
        self.record.cold_left.map(|t| t.saturating_sub(passed))
    }

    /// Whether a cold period that ends after `left` differs from what is known. Ends in the past
    /// are all the same.
    fn moves_cold_end(&self, now: Duration, left: Duration) -> bool {
        self.cold_left(now)
            .is_none_or(|known| known.abs_diff(left) >= COLD_TOLERANCE)
    }
}

fn retention(condition: Condition) -> Duration {
    match condition {
        Condition::Gone => DEPARTED_RETENTION,
        _ => CONTACT_TIMEOUT,
    }
}

/// Whether `next` replaces `held`: a later start always does, an earlier one never. Within a start
/// departures are final, otherwise the higher sequence number wins; numbering restarts with each
/// start. A late announcement cannot change draining back to ready, since its sequence number
/// is lower.
fn supersedes(held: &Record, next: &Record) -> bool {
    match (
        next.start_time.cmp(&held.start_time),
        held.condition,
        next.condition,
    ) {
        (Ordering::Greater, ..) => true,
        (Ordering::Less, ..) => false,
        (Ordering::Equal, Condition::Gone, _) => false,
        (Ordering::Equal, _, Condition::Gone) => true,
        (Ordering::Equal, ..) => next.sequence > held.sequence,
    }
}

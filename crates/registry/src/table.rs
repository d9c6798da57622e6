//! The table of backend servers and its merge rules.

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

/// How long a departed start is remembered. Far longer than a network partition may delay an
/// announcement (tens of seconds), and bounded so that the table does not grow.
const DEPARTED_RETENTION: Duration = Duration::from_secs(600);
/// A backend server without contact for this long is evicted: 50 times the usual interval between
/// announcements. Until then each entry judges it by its own requests.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(60);
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
struct Row {
    record: Record,
    /// Change at which it was last [`Change::Updated`].
    cursor: Cursor,
    last_contact: Duration,
    /// When the time left of its cold period was received.
    cold_at: Duration,
}

/// The table of one process.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    rows: IndexMap<BackendId, Row>,
    cursor: Cursor,
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
    /// Merges a record, whether announced or received from another process.
    pub fn merge(&mut self, now: Duration, record: Record) -> Change {
        let later = |r: &Row| record.start_time > r.record.start_time;
        if self.rows.get(&record.id).is_some_and(later) {
            // The earlier start is void, including its position in the order of first contact.
            self.rows.shift_remove(&record.id);
        }
        let Some(row) = self.rows.get_mut(&record.id) else {
            self.cursor += 1;
            let (id, cursor) = (record.id.clone(), self.cursor);
            let row = Row {
                record,
                cursor,
                last_contact: now,
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
        row.last_contact = now;
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
        self.cursor += 1;
        row.cursor = self.cursor;
        Change::Updated
    }

    /// Records the departure of the known start; the rest of the record is unchanged.
    pub fn record_departure(&mut self, now: Duration, id: &str) -> Change {
        let known = self.rows.get(id).map(|r| r.record.clone());
        let record = known.unwrap_or_else(|| Record {
            id: id.into(),
            start_time: 0,
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
        let gone = Record {
            condition: Condition::Gone,
            ..record
        };
        self.merge(now, gone)
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

    /// All records that have not departed.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        let records = self.rows.values().map(|r| &r.record);
        records.filter(|r| r.condition != Condition::Gone)
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

    /// Evicts expired records; returns how many.
    pub fn evict_expired(&mut self, now: Duration) -> usize {
        let before = self.rows.len();
        self.rows.retain(|_, r| {
            let retention = match r.record.condition {
                Condition::Gone => DEPARTED_RETENTION,
                _ => CONTACT_TIMEOUT,
            };
            now.saturating_sub(r.last_contact) < retention
        });
        before - self.rows.len()
    }
}

impl Row {
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

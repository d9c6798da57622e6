//! The table of backend servers and its merge rules.

use crate::contacts::{CONTACT_TIMEOUT, DEPARTED_RETENTION, Touch};
use crate::departures::HELD_UP_WINDOW;
use crate::record::{BackendId, Condition, Record, SharedRecord, supersedes};
use crate::row::Row;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Position in the table's sequence of changes, from which other processes request updates.
pub type Cursor = u64;

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

/// The table of one process.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    pub(crate) rows: IndexMap<BackendId, Row>,
    pub(crate) cursor: Cursor,
    pub(crate) touch: Touch,
    /// Backend servers of which a departure that named no start, or a start after one, is new.
    pub(crate) unchecked: IndexSet<BackendId>,
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
        let age = shared.contact_age.unwrap_or_default();
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
        let departed_at = shared.departed_age.map(|age| now.saturating_sub(age));
        let departed_anew = departed_at.is_some_and(|at| row.record_departure(at));
        if departed_anew || (restarted && row.departed_at.is_some()) {
            self.unchecked.insert(id.clone());
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
            row.contact_sequence = shared.contact_sequence;
            row.forgotten = false;
        } else if shared.record.condition != Condition::Gone {
            return match self.refresh(now, &id, shared.contact_sequence, left) {
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
        let departed_at = earlier.and_then(|r| r.departed_at);
        let Some(row) = self.rows.get_mut(&record.id) else {
            self.cursor += 1;
            let (id, cursor) = (record.id.clone(), self.cursor);
            let row = Row {
                record,
                cursor,
                contact_sequence: 0,
                expires_at: now,
                announced: false,
                unsettled_until: Duration::ZERO,
                forgotten: false,
                departed_at,
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

    /// A record with what this table knows of contacts with its start.
    pub(crate) fn shared(&self, now: Duration, record: Record) -> SharedRecord {
        let row = self.rows.get(&record.id);
        let row = row.filter(|r| r.record.start_time == record.start_time);
        let replaced = row.filter(|r| now < r.unsettled_until);
        SharedRecord {
            contact_sequence: row.map_or(record.sequence, |r| r.contact_sequence),
            contact_age: row.and_then(|_| self.contact_age(now, &record.id)),
            replaced_age: replaced.map(|r| HELD_UP_WINDOW.saturating_sub(r.unsettled_until - now)),
            forgotten: row.is_some_and(|r| r.forgotten),
            departed_age: row
                .and_then(|r| r.departed_at)
                .map(|at| now.saturating_sub(at)),
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

fn retention(condition: Condition) -> Duration {
    match condition {
        Condition::Gone => DEPARTED_RETENTION,
        _ => CONTACT_TIMEOUT,
    }
}

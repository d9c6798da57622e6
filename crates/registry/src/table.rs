//! The table and its rules of merging.

use bn_backpressure::Limit;
use indexmap::IndexMap;
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of a backend server. It may start again under the id that it had.
pub type BackendId = String;
/// Unix milliseconds at which a backend server started; 0 where it does not tell. Orders its
/// starts, however much later an announcement of an earlier one arrives.
pub type Began = u64;
/// Number of an announcement within one start; later ones are higher.
pub type Sequence = u64;
/// Number of what a leader told of a rank; later ones are higher, over changes of leader too.
pub type Telling = u64;
/// Position in a table's changes, by which others ask for what is new.
pub type Mark = u64;

/// How long a departed start is remembered. Far above the time for which a cut may hold an
/// announcement back (tens of seconds), and bounded so that the table does not grow.
const REMEMBERED: Duration = Duration::from_secs(600);
/// A backend server that nobody has heard of for this long is dropped: 50 times the
/// usual gap between announcements. Until then each entry judges by its own requests.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// What a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It takes new work.
    Ready,
    /// It leaves soon and takes no new work.
    Draining,
    /// This start of it has left, for good.
    Gone,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its id.
    pub id: BackendId,
    /// The start that this speaks of.
    pub began: Began,
    /// Service it belongs to; empty where only its departure is known.
    pub service: String,
    /// Where it takes requests; none where only its departure is known.
    pub address: Option<SocketAddr>,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it says of itself.
    pub condition: Condition,
    /// Number of its latest announcement.
    pub sequence: Sequence,
    /// Lock-step group that it is a rank of, as it told the coordinator that leads; empty where
    /// none is known. It comes apart from announcements, so these don't take it away.
    pub group: String,
    /// Time that it takes for the same work, in hundredths of a sound one's; 0 where it is sound, or
    /// that is not known. It comes as the group does.
    pub pace: u32,
    /// Number of what a leader told of group and pace. Without an order two processes that hear
    /// the older and the newer from each other would exchange them for ever.
    pub told: Telling,
    /// Requests a second that it takes from all gateways together, as gateways heard it.
    pub limit: Limit,
}

/// What taking a record in did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Something that decisions depend on is different: others must be told.
    News,
    /// Only the sequence went on.
    Fresh,
    /// It was older than what is known.
    Stale,
}

#[derive(Debug, Clone)]
struct Row {
    record: Record,
    /// Change at which it last became news.
    mark: Mark,
    heard: Duration,
}

/// The table of one process.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    rows: IndexMap<BackendId, Row>,
    mark: Mark,
}

impl Record {
    /// What holds of a backend server of which `held` is known, once this has come too; none
    /// where it brings nothing.
    pub fn over(&self, held: &Record) -> Option<Record> {
        let newer = follows(held, self);
        let same_start = self.began == held.began;
        let retold = same_start && self.told > held.told;
        let limit = held.limit.merge(self.limit);
        let limited = same_start && limit != held.limit;
        if !newer && !retold && !limited {
            return None;
        }
        let mut record = if newer { self.clone() } else { held.clone() };
        if same_start {
            let teller = if retold { self } else { held };
            record.group.clone_from(&teller.group);
            record.pace = teller.pace;
            record.told = teller.told;
            record.limit = limit;
        }
        Some(record)
    }
}

impl Registry {
    /// Takes a record in, whether announced or told by another process.
    pub fn take(&mut self, now: Duration, record: Record) -> Change {
        let later = |r: &Row| record.began > r.record.began;
        if self.rows.get(&record.id).is_some_and(later) {
            // Nothing of the earlier start holds, nor its place among those heard of.
            self.rows.shift_remove(&record.id);
        }
        let Some(row) = self.rows.get_mut(&record.id) else {
            self.mark += 1;
            let (id, mark) = (record.id.clone(), self.mark);
            let row = Row {
                record,
                mark,
                heard: now,
            };
            self.rows.insert(id, row);
            return Change::News;
        };
        let Some(record) = record.over(&row.record) else {
            return Change::Stale;
        };
        row.heard = now;
        let same = Record {
            sequence: row.record.sequence,
            told: row.record.told,
            ..record.clone()
        } == row.record;
        row.record = record;
        if same {
            return Change::Fresh;
        }
        self.mark += 1;
        row.mark = self.mark;
        Change::News
    }

    /// Notes a departure of the start that is known; the rest of the record stays as it was.
    pub fn leave(&mut self, now: Duration, id: &str) -> Change {
        let known = self.rows.get(id).map(|r| r.record.clone());
        let record = known.unwrap_or_else(|| Record {
            id: id.into(),
            began: 0,
            service: String::new(),
            address: None,
            domain: String::new(),
            slots: 0,
            condition: Condition::Gone,
            sequence: 0,
            group: String::new(),
            pace: 0,
            told: 0,
            limit: Limit::default(),
        });
        let gone = Record {
            condition: Condition::Gone,
            ..record
        };
        self.take(now, gone)
    }

    /// Latest change.
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// Records that became news after `mark`.
    pub fn since(&self, mark: Mark) -> Vec<Record> {
        let newer = self.rows.values().filter(|r| r.mark > mark);
        newer.map(|r| r.record.clone()).collect()
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

    /// Of the records that have not departed, the one heard of first last at each address.
    /// One that crashed says nothing of it: its record stays beside that of its successor
    /// at the same address, which answers for both where it does not check who is meant.
    pub fn latest(&self) -> impl Iterator<Item = &Record> {
        let mut by_address: IndexMap<_, &Record> = IndexMap::new();
        for record in self.present() {
            by_address.insert(record.address, record);
        }
        by_address.into_values()
    }

    /// Drops what is too old to matter; returns how many.
    pub fn forget(&mut self, now: Duration) -> usize {
        let before = self.rows.len();
        self.rows.retain(|_, r| {
            let kept = match r.record.condition {
                Condition::Gone => REMEMBERED,
                _ => FORGOTTEN,
            };
            now.saturating_sub(r.heard) < kept
        });
        before - self.rows.len()
    }
}

/// `next` may replace `held`: a later start always does, an earlier one never. Within a start
/// departures are final, else the higher sequence counts; sequences begin anew with each
/// start. An announcement never goes back from draining to ready by being late, since its
/// sequence is lower.
fn follows(held: &Record, next: &Record) -> bool {
    match (next.began.cmp(&held.began), held.condition, next.condition) {
        (Ordering::Greater, ..) => true,
        (Ordering::Less, ..) => false,
        (Ordering::Equal, Condition::Gone, _) => false,
        (Ordering::Equal, _, Condition::Gone) => true,
        (Ordering::Equal, ..) => next.sequence > held.sequence,
    }
}

//! What is known of one start of a backend server, and which of two records goes first.

use bn_backpressure::Limit;
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

/// A record as another process sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct SharedRecord {
    /// The record.
    pub record: Record,
    /// Highest sequence that the sender knows of.
    pub contact_sequence: Sequence,
    /// Time since the last contact, or since the departure; `None` if the sender does not say.
    pub contact_age: Option<Duration>,
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
            contact_sequence: record.sequence,
            contact_age: Some(Duration::ZERO),
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

/// Whether `next` replaces `held`: a later start always does, an earlier one never. Within a start
/// departures are final, otherwise the higher sequence number wins; numbering restarts with each
/// start. A late announcement cannot change draining back to ready, since its sequence number
/// is lower.
pub(crate) fn supersedes(held: &Record, next: &Record) -> bool {
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

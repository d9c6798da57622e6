//! Bytes that a gateway buffers for its callers: decides which callers are ended because they make no
//! progress, and whether a new request is admitted.

use indexmap::IndexMap;
use std::time::Duration;

/// Time without progress after which a caller is ended while data is waiting for it. Backend servers
/// cut off an answer that is unread for some seconds, so the gateway has to act before.
pub const MAX_STALL: Duration = Duration::from_secs(2);
/// Share of the process's memory that may be buffered. The rest is for the program, for the
/// connections' own buffers and for unused space of the allocator.
const BUFFER_SHARE: f64 = 0.4;
/// Share of the bound up to which new requests are admitted; the rest is for those in progress.
const ADMISSION_SHARE: f64 = 0.9;
/// Shortest and default retry-after time of a request that is refused for memory.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Id of a holder: one request or answer that bytes are buffered for.
pub type HolderId = u64;

/// What a holder's bytes wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A request body that a caller is sending. Ended without progress only if memory is short;
    /// otherwise the request's deadline ends it.
    Receiving,
    /// A request or an answer that waits for a backend server: the caller is not at fault.
    Waiting,
    /// An answer that waits for the caller.
    Sending,
}

/// A holder that has to be ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stalled {
    /// The holder.
    pub id: HolderId,
    /// What its bytes wait for.
    pub phase: Phase,
    /// Bytes buffered for it.
    pub bytes: u64,
    /// Time without progress.
    pub stalled: Duration,
}

#[derive(Debug)]
struct Holder {
    phase: Phase,
    bytes: u64,
    /// Last time at which the caller took or sent data, or at which data began to wait for it.
    progress: Duration,
}

/// Buffered bytes by holder. Times are durations since an arbitrary fixed start.
#[derive(Debug, Default)]
pub struct BufferUsage {
    bound: Option<u64>,
    total: u64,
    next_id: HolderId,
    holders: IndexMap<HolderId, Holder>,
}

impl BufferUsage {
    /// Creates the counts of a process with this much memory; `None`: there is no overall bound.
    pub fn new(memory_bytes: Option<u64>) -> BufferUsage {
        BufferUsage {
            bound: memory_bytes.map(|m| (m as f64 * BUFFER_SHARE) as u64),
            ..BufferUsage::default()
        }
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, now: Duration, phase: Phase) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder {
            phase,
            bytes: 0,
            progress: now,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Records that bytes were buffered for a holder.
    pub fn add(&mut self, now: Duration, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            // Data that starts to wait gives the caller its whole time; more data does not.
            if holder.bytes == 0 || holder.phase == Phase::Receiving {
                holder.progress = now;
            }
            holder.bytes += bytes;
            self.total += bytes;
        }
    }

    /// Records that the caller took data, and that `bytes` of memory are free again; 0 if the memory
    /// is only freed later.
    pub fn release(&mut self, now: Duration, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            holder.progress = now;
            self.total -= bytes;
        }
    }

    /// Records that the holder's bytes now wait for something else.
    pub fn set_phase(&mut self, now: Duration, id: HolderId, phase: Phase) {
        if let Some(holder) = self.holders.get_mut(&id) {
            (holder.phase, holder.progress) = (phase, now);
        }
    }

    /// Excludes a pause of the process, which ends now, from the times without progress.
    pub fn exclude_pause(&mut self, now: Duration, pause: Duration) {
        for holder in self.holders.values_mut() {
            holder.progress = (holder.progress + pause).min(now);
        }
    }

    /// Removes a holder with its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.total -= holder.bytes;
        }
    }

    /// Bytes buffered for all holders.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Bytes buffered for one holder.
    pub fn held(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |h| h.bytes)
    }

    /// Whether a holder may buffer this many more bytes. The only holder with bytes always may: an
    /// answer larger than the bound would otherwise never be read.
    pub fn fits(&self, id: HolderId, bytes: u64) -> bool {
        let alone = self.total == self.held(id);
        alone || self.bound.is_none_or(|b| self.total + bytes <= b)
    }

    /// Whether a new request is admitted.
    pub fn admits(&self) -> bool {
        self.bound
            .is_none_or(|b| self.total as f64 <= b as f64 * ADMISSION_SHARE)
    }

    /// When a refused request may come back: when the next holder is due to be ended.
    pub fn retry_after(&self, now: Duration) -> Duration {
        let sending = |h: &&Holder| h.phase == Phase::Sending && h.bytes > 0;
        let due = self.holders.values().filter(sending);
        let due = due.map(|h| (h.progress + MAX_STALL).saturating_sub(now));
        due.min().unwrap_or_default().max(MIN_RETRY_AFTER)
    }

    /// Holders that have to be ended now, those with the most bytes first. Each is returned until it
    /// is closed.
    pub fn stalled(&self, now: Duration) -> Vec<Stalled> {
        let stalled = |(id, h): (&HolderId, &Holder)| {
            let ends = match h.phase {
                Phase::Receiving => !self.admits(),
                Phase::Waiting => false,
                Phase::Sending => true,
            };
            let stalled = now.saturating_sub(h.progress);
            let due = ends && h.bytes > 0 && stalled >= MAX_STALL;
            due.then_some(Stalled {
                id: *id,
                phase: h.phase,
                bytes: h.bytes,
                stalled,
            })
        };
        let mut due: Vec<Stalled> = self.holders.iter().filter_map(stalled).collect();
        due.sort_by_key(|s| std::cmp::Reverse(s.bytes));
        due
    }
}

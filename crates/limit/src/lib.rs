//! Limits of client accounts: rates enforced across all entries, fair shares within a priority, and
//! queues that refuse early. The decisions do no I/O: they take inputs and the time, and return
//! verdicts.

mod allocator;
mod bucket;
mod queue;

pub use allocator::{RateAllocator, ShareRequest, default_share};
pub use bucket::{RateGrant, TokenBuckets};
pub use queue::{Queue, QueuedRequest};

/// Name of a client account.
pub type AccountId = String;
/// Id of an entry.
pub type EntryId = String;

//! Limits of client accounts: rates that hold over all entries together, fair shares
//! within a priority, and queues that refuse early. Plain decisions: inputs and the
//! time go in, verdicts come out.

mod allocator;
mod bucket;
mod queue;

pub use allocator::{PartAsk, Split, unasked};
pub use bucket::{Buckets, Rate};
pub use queue::{Queue, Waiting};

/// Name of a client account.
pub type AccountId = String;
/// Id of an entry.
pub type EntryId = String;

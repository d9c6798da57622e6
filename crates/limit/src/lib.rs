//! Limits of client accounts: rates that hold over all entries together, fair shares
//! within a priority, and queues that refuse early. Plain decisions: inputs and the
//! time go in, verdicts come out.

mod bucket;
mod queue;
mod split;

pub use bucket::{Buckets, Rate};
pub use queue::{Queue, Waiting};
pub use split::{PartAsk, Split, unasked};

/// Name of a client account.
pub type AccountId = String;
/// Id of an entry.
pub type EntryId = String;

//! At most once: a request that may not be repeated claims its idempotency key at a
//! majority of three holders before it is dispatched. Holders keep claims in memory
//! only, and refuse what they cannot know about. The gate before a backend server keeps
//! late and repeated dispatches from starting. Pure decisions.

mod gate;
mod holder;
mod holders;
mod pending;

pub use gate::{FULL, Gate, RunKey};
pub use holder::{Answer, Holder};
pub use holders::{HOLDERS, choose, minted};
pub use pending::{Chain, ChainId, Outcome};

/// An idempotency key, with its account before it.
pub type Key = String;
/// Revision of the set of holders.
pub type Epoch = u64;

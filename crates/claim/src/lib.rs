//! At-most-once execution: a request that must not be repeated claims its idempotency key at a
//! majority of three holders before it is dispatched. Holders keep claims in memory only, and
//! refuse keys whose earlier claims they may not know. The gate of a backend server rejects late
//! and repeated dispatches. Pure decision logic.

mod gate;
mod holder;
mod holders;
mod pending;

pub use gate::{FULL, Gate, RunKey};
pub use holder::{Answer, Holder};
pub use holders::{HOLDERS, mint_time, rendezvous};
pub use pending::{ChainId, Outcome, PendingClaim};

/// An idempotency key, prefixed with its account.
pub type Key = String;
/// Revision of the set of holders.
pub type Epoch = u64;

//! Which backend servers there are: soft state that every control process and every
//! entry keeps for itself, built from announcements and from what others tell.
//!
//! Announcements are ordered by the sequence within one start of a backend server (its
//! id). A departure is final for an id: a late announcement revives nobody. Being absent
//! from another process's news says nothing, since that process may just have started.

mod table;
mod wire;

pub use table::{BackendId, Change, Condition, Mark, Record, Registry, Sequence};
pub use wire::Incomplete;

//! Which backend servers there are: soft state that every control process and every
//! entry keeps for itself, built from announcements and from what others tell.
//!
//! Announcements are ordered by the start that they speak of, and by the sequence within one
//! start. A departure is final for a start: a late announcement revives nobody, but the next
//! start under the same id is news. Being absent
//! from another process's news says nothing, since that process may just have started.

mod table;
mod wire;

pub use table::{BackendId, Began, Change, Condition, Mark, Record, Registry, Sequence, Telling};
pub use wire::Incomplete;

//! Table of known backend servers: soft state that every control process and every entry keeps
//! for itself, built from announcements and from what other processes report.
//!
//! Announcements are ordered by the start time they refer to, and by sequence number within one
//! start. A departure is final for a start: a late announcement does not bring it back, but the
//! next start under the same id is accepted as new. A backend server missing from another
//! process's updates means nothing, since that process may just have started.

mod contacts;
mod departures;
mod record;
mod row;
mod table;
mod wire;

pub use contacts::{CONTACT_INTERVAL, CONTACT_TIMEOUT, Contact, ContactEffect, DEPARTED_RETENTION};
pub use record::{BackendId, Condition, RankVersion, Record, Sequence, SharedRecord, StartTime};
pub use table::{Change, Cursor, Registry};
pub use wire::InvalidRegistration;

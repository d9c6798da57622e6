//! Which backend server gets a request: predicted wait from lagged reports, corrected
//! by what this entry sent and saw end since; prefix affinity under bounded load;
//! health with ejection and slow return; a retry budget. Plain decisions: inputs,
//! the time and a random number go in, a choice comes out.

mod asked;
mod backend;
mod budget;
mod fleet;
mod health;
mod pace;
mod patience;
mod prefix;
mod retries;
mod router;
mod server;
mod standing;

pub use backend::{Backend, Report};
pub use budget::Budget;
pub use fleet::{Fleet, Lack, Want};
pub use health::Health;
pub use pace::{Bounds, Judged, Pace, room_for};
pub use patience::Patience;
pub use prefix::Prefixes;
pub use retries::{Allowance, Retries};
pub use router::{Ask, Policy, Router, least_reported, predicted};
pub use server::{Began, Server, ServerId, Told, Unit};
pub use standing::Standing;

/// Id of a backend server.
pub type BackendId = String;
/// Name of a service.
pub type ServiceId = String;

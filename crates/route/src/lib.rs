//! Which backend server gets a request: predicted wait from lagged reports, corrected
//! by what this entry sent and saw end since; prefix affinity under bounded load;
//! health with ejection and slow return; a retry budget. Plain decisions: inputs,
//! the time and a random number go in, a choice comes out.

mod backend;
mod budget;
mod health;
mod prefix;
mod router;

pub use backend::{Backend, Report};
pub use budget::Budget;
pub use health::Health;
pub use prefix::Prefixes;
pub use router::{Ask, Policy, Router, least_reported, predicted};

/// Id of a backend server.
pub type BackendId = String;
/// Name of a service.
pub type ServiceId = String;

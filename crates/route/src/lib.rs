//! Which backend server gets a request: predicted wait from lagged reports, corrected
//! by what this entry sent and saw end since; prefix affinity under bounded load;
//! health with ejection and slow return; a retry budget. Plain decisions: inputs,
//! the time and a random number go in, a choice comes out.

mod backend;
mod backpressure;
mod fill_controller;
mod fleet;
mod health;
mod health_record;
mod prefix;
mod retry_budget;
mod retry_detector;
mod retry_tokens;
mod router;
mod server;

pub use backend::{Backend, Report};
pub use fill_controller::{Bounds, Judged, Pace, room_for};
pub use fleet::{Fleet, Lack, Want};
pub use health::Health;
pub use health_record::Standing;
pub use prefix::Prefixes;
pub use retry_budget::{Allowance, Retries};
pub use retry_detector::Patience;
pub use retry_tokens::Budget;
pub use router::{Ask, Policy, Router, least_reported, predicted};
pub use server::{Began, Server, ServerId, Told, Unit};

/// Id of a backend server.
pub type BackendId = String;
/// Name of a service.
pub type ServiceId = String;

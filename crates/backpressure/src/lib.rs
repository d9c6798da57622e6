//! Backpressure that backend servers apply to those that send them requests. Pure decision logic:
//! responses and the time go in, and when a request may be sent comes out.
//!
//! A [`Limit`] belongs to one start of a backend server and binds all gateways together. Gateways
//! exchange it through the coordinators, and each derives from the list of all gateways whether it
//! is one of the few that may send there, and how often ([`send_interval`]). A [`Backoff`] is
//! requested of a single gateway and applies to that gateway only. During a cold period a backend
//! server may get a bounded number of requests in any second; the same few gateways send them.
//! [`Backpressure`] combines these for one gateway.

mod backoff;
mod cold;
mod limit;
mod schedule;
mod senders;
mod state;
mod wire;

pub use backoff::Backoff;
pub use cold::{ColdReport, ColdSource};
pub use limit::{Limit, LimitVersion, ServerLimit};
pub use senders::{GatewaySet, send_interval};
pub use state::{Backpressure, Directives, Feedback};
pub use wire::InvalidLimit;

/// Id of a backend server.
pub type ServerId = String;
/// Start time of a backend server in Unix milliseconds; 0 if it does not report one.
pub type StartTime = u64;

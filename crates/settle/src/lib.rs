//! The settled configuration of a system as one versioned document: routes, services,
//! limits and client accounts, checked as a whole, and the look-ups that requests need.

mod check;
mod plan;

pub use plan::{
    Account, AccountId, Engine, Experts, Kind, Limits, Part, Plan, Route, Service, ServiceId,
    Version,
};

use snafu::Snafu;

/// Why a document cannot be settled.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A route names a service that the document does not define.
    #[snafu(display("route {route}: unknown service {service:?}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Service it names.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("routes {first} and {second} share host and path prefix"))]
    SamePlace {
        /// The earlier route.
        first: String,
        /// The later route.
        second: String,
    },
    /// No service of a route has a weight above 0.
    #[snafu(display("route {route}: all weights are 0"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// A route has no time to answer in.
    #[snafu(display("route {route}: the timeout is 0"))]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two accounts have the same key. The key is not shown.
    #[snafu(display("accounts {first} and {second} share a key"))]
    SharedKey {
        /// The earlier account.
        first: String,
        /// The later account.
        second: String,
    },
}

/// Result of checking a document.
pub type Result<T, E = Error> = std::result::Result<T, E>;

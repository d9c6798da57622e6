//! The committed configuration of a system as one versioned document: routes, services,
//! limits and client accounts, validated together, and the look-ups that requests need.

mod check;
mod document;

pub use document::{
    Account, AccountId, ColdStart, Document, Engine, Experts, Kind, Limits, Route, Service,
    ServiceId, Version, WeightedService,
};

use snafu::Snafu;

/// Why a document is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A route refers to a service that the document does not define.
    #[snafu(display("route {route}: unknown service {service:?}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// The undefined service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display("routes {first} and {second} share host and path prefix"))]
    DuplicateRoute {
        /// The earlier route.
        first: String,
        /// The later route.
        second: String,
    },
    /// No service of a route has a weight above 0.
    #[snafu(display("route {route}: all weights are 0"))]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[snafu(display("route {route}: the timeout is 0"))]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two accounts have the same key. The key is not shown.
    #[snafu(display("accounts {first} and {second} share a key"))]
    DuplicateKey {
        /// The earlier account.
        first: String,
        /// The later account.
        second: String,
    },
}

/// Result of validating a document.
pub type Result<T, E = Error> = std::result::Result<T, E>;

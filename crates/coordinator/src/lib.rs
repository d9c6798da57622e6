//! The coordinator process: settles documents in a replicated log, keeps registrations of
//! backend servers, and tells callers which gateways there are.
//!
//! One thread owns all state (`core`); HTTP and the inbox reach it over two bounded rings.

mod announcements;
mod asks;
mod carry;
mod cases;
mod core;
mod durable;
mod groups;
mod http;
mod members;
mod news;
mod pages;
mod reads;
mod relays;
mod ring;
mod settled;
mod settling;
mod subscribers;
mod supervise;
mod tell;

pub use self::carry::{Way, way};
pub use self::core::start;
pub use self::news::Lag;
pub use self::pages::{LIMITS, MEMBERS, QUARANTINE, pages};
pub use self::relays::{About, Ask as RelayAsk, GroupId, Relays, is_counted, part, parts};
pub use self::ring::{Event, Inlet, Ring, ring};
pub use self::subscribers::Subscribers;

use snafu::Snafu;

/// Why a coordinator could not start, or had to end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The inbox could not be opened.
    #[snafu(display("{source}"), context(false))]
    Net {
        /// What the links said.
        source: bn_net::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: std::net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The thread for calls could not be made.
    #[snafu(display("thread for calls: {source}"))]
    Calls {
        /// What the system said.
        source: std::io::Error,
    },
    /// The data folder cannot be used, or a write failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// What it said.
        source: bn_store::Error,
    },
    /// What the data folder holds does not decode.
    #[snafu(display("undecodable {what}"))]
    Decode {
        /// What it was.
        what: &'static str,
    },
}

/// Result of starting and running.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The coordinator process: commits documents in a replicated log, keeps registrations of backend
//! servers, and resolves the addresses of gateways for callers.
//!
//! One thread owns all state (`core`); HTTP and the inbox send events to it over two bounded
//! queues.

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

/// Why a coordinator could not start, or stopped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The inbox could not be opened.
    #[snafu(display("{source}"), context(false))]
    Net {
        /// Error of the links.
        source: bn_net::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the socket.
        address: std::net::SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The thread for outgoing calls could not be started.
    #[snafu(display("thread for calls: {source}"))]
    Calls {
        /// Error of the system.
        source: std::io::Error,
    },
    /// The data directory cannot be used, or a write failed.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Error of the store.
        source: bn_store::Error,
    },
    /// Content of the data directory cannot be decoded.
    #[snafu(display("undecodable {what}"))]
    Decode {
        /// What could not be decoded.
        what: &'static str,
    },
}

/// Result of starting and running.
pub type Result<T, E = Error> = std::result::Result<T, E>;

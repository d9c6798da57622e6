//! The coordinator process: commits documents in a replicated log, keeps registrations of backend
//! servers, and resolves the addresses of gateways for callers.
//!
//! One thread owns all state (`core`); HTTP and the inbox send events to it over two bounded
//! queues.

mod announcements;
mod cases;
mod core;
mod departures;
mod document;
mod durable;
mod engine_calls;
mod engine_requests;
mod evacuations;
mod events;
mod groups;
mod http;
mod members;
mod pages;
mod peer_cursor;
mod proposals;
mod pushes;
mod reads;
mod relays;
mod subscribers;
mod supervise;
mod updates;

pub use self::core::start;
pub use self::departures::{Departure, Health, Step};
pub use self::document::{
    Command, VersionedDocument, decode, decode_state, encode, encode_order, encode_state,
};
pub use self::engine_calls::{CallPath, call_path};
pub use self::evacuations::EvacuationCall;
pub use self::events::{Event, EventReceiver, EventSender, event_queue};
pub use self::pages::{EVACUATIONS, LIMITS, MEMBERS, QUARANTINE, pages};
pub use self::peer_cursor::{AnswerRange, PeerCursor};
pub use self::relays::{
    GroupId, PendingRequest, Relays, RequestKind, batch_size, batches, reports_counts,
};
pub use self::subscribers::Subscribers;
pub use self::updates::{GatewayLag, assigned_coordinator};

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
    #[snafu(display("cannot start the thread for outgoing calls: {source}"))]
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
    #[snafu(display("cannot decode {what}"))]
    Decode {
        /// What could not be decoded.
        what: &'static str,
    },
}

/// Result of starting and running.
pub type Result<T, E = Error> = std::result::Result<T, E>;

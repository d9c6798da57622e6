//! The gateway process: takes callers' requests and sends them to backend servers itself.
//!
//! `frontend` takes a request in, `placement` finds it a backend server, `attempt` sends it
//! there over pooled connections, `plain` and `stream` bring the answer back; `link` hears from the
//! coordinators what is settled and which backend servers there are, `suspects` keeps requests that
//! end backend servers from ending more.

mod answer;
mod attempt;
mod cases;
mod context;
mod dispatch;
mod events;
mod feedback;
mod frontend;
mod link;
mod placement;
mod plain;
mod shared;
mod sources;
mod start;
mod stream;
mod suspects;

pub use events::Splitter;
pub use sources::{Heard, Position, Sources, Telling};
pub use start::{Handle, start};

use snafu::Snafu;

/// Why a gateway could not start.
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
    /// The runtime could not be made.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Result of starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The gateway process: accepts callers' requests and sends them to backend servers itself.
//!
//! `frontend` accepts a request, `placement` reserves a slot at a backend server for it, `attempt`
//! sends it there over pooled connections, `plain` and `stream` return the response; `link`
//! receives the settled configuration and the known backend servers from the coordinators,
//! `suspects` keeps requests that terminate backend servers from terminating more.

mod answer;
mod attempt;
mod buffer_guard;
mod buffers;
mod cases;
mod context;
mod departure;
mod dispatch;
mod events;
mod feedback;
mod frontend;
mod link;
mod liveness;
mod lost_runs;
mod placement;
mod plain;
mod registrations;
mod shared;
mod silence;
mod sources;
mod start;
mod stream;
mod suspects;
mod urgency;

pub use buffers::{BufferUsage, HolderId, MAX_STALL, Phase, Stalled};
pub use events::Splitter;
pub use registrations::Registrations;
pub use sources::{PollState, Receipt, Sources, UpdateRange};
pub use start::{Handle, start};

use snafu::Snafu;

/// Why a gateway could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The inbox could not be opened.
    #[snafu(display("{source}"), context(false))]
    Net {
        /// The underlying network error.
        source: bn_net::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address to listen on.
        address: std::net::SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The async runtime could not be created.
    #[snafu(display("cannot create the runtime: {source}"))]
    Runtime {
        /// The underlying I/O error.
        source: std::io::Error,
    },
}

/// Result of starting a gateway.
pub type Result<T, E = Error> = std::result::Result<T, E>;

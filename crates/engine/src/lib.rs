//! Calls to engines of lock-step groups: polls and orders over HTTP ([`EngineClient`]), and the
//! relay, a process beside an engine that makes such calls for a coordinator ([`start`]).

mod calls;
mod forward;
mod placements;
mod relay;

pub use calls::{Answer, Call, CallRequest, EngineClient, HttpAnswer};
pub use placements::{compress_placements, decompress_placements};
pub use relay::{Handle, start};

use snafu::Snafu;

/// Error in starting a relay.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The inbox could not be opened.
    #[snafu(display("{source}"), context(false))]
    Net {
        /// Error of the link layer.
        source: bn_net::Error,
    },
    /// The runtime of the relay's thread could not be created.
    #[snafu(display("cannot create the relay's runtime: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a relay.
pub type Result<T, E = Error> = std::result::Result<T, E>;

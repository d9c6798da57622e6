//! Calls to engines of lock-step groups: looks at them and orders to them, over HTTP
//! ([`Calls`]), and the relay, a process beside an engine that makes such calls for a
//! coordinator ([`start`]).

mod calls;
mod others;
mod places;
mod relay;

pub use calls::{Answer, Call, Calls, What};
pub use places::{pack_places, unpack_places};
pub use relay::{Handle, start};

use snafu::Snafu;

/// Why a relay could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The inbox could not be opened.
    #[snafu(display("{source}"), context(false))]
    Net {
        /// What the links said.
        source: bn_net::Error,
    },
    /// The thread could not be made.
    #[snafu(display("the relay's thread: {source}"))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Result of starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

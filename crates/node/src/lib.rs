//! The node process: threads, sockets and clocks around the logic of the other crates. Each role
//! runs on its own thread; threads communicate over bounded channels.

mod agent;
mod caller;
mod clock;
mod control;
mod entry;
mod http_client;
mod pages;
mod run;
mod tls;
mod verdict;

pub use pages::{Handler, serve_metrics};
pub use run::{ProcessHandle, start};
pub use verdict::{Refusal, Verdict};

use snafu::Snafu;

/// Why a process could not start, or had to terminate.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The inbox could not be opened.
    #[snafu(display("{source}"), context(false))]
    Net {
        /// Error of the network links.
        source: bn_net::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to bind.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Logs, metrics or events could not be set up.
    #[snafu(display("{source}"), context(false))]
    Trace {
        /// Underlying error.
        source: bn_trace::Error,
    },
    /// The data directory cannot be used.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// Underlying error.
        source: bn_store::Error,
    },
    /// Content of the data directory or of a message cannot be decoded.
    #[snafu(display("cannot decode {what}"))]
    Decode {
        /// Kind of the content.
        what: &'static str,
    },
    /// The seed file with the initial statements could not be read.
    #[snafu(display("cannot read seed file {}: {source}", path.display()))]
    Seed {
        /// The file.
        path: std::path::PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A certificate or its key cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    Tls {
        /// The file.
        path: std::path::PathBuf,
        /// Cause of the failure.
        reason: String,
    },
    /// The thread of a role panicked.
    #[snafu(display("the {role} thread panicked"))]
    Panicked {
        /// The role.
        role: &'static str,
    },
}

/// Result of starting or running a process.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The processes: threads, sockets and clocks around the decisions of the other
//! crates. A thread for each duty, joined by bounded rings.

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

/// Why a process could not start, or had to end.
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
    /// Logs, metrics or events could not be set up.
    #[snafu(display("{source}"), context(false))]
    Trace {
        /// What it said.
        source: bn_trace::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Store {
        /// What it said.
        source: bn_store::Error,
    },
    /// What the data folder or a message holds does not decode.
    #[snafu(display("undecodable {what}"))]
    Decode {
        /// What it was.
        what: &'static str,
    },
    /// The file of first statements could not be read.
    #[snafu(display("seed {}: {source}", path.display()))]
    Seed {
        /// The file.
        path: std::path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A certificate or its key cannot be used.
    #[snafu(display("{}: {reason}", path.display()))]
    Tls {
        /// The file.
        path: std::path::PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// A role's thread ended where it should not.
    #[snafu(display("the {role} thread ended"))]
    Panicked {
        /// Which role.
        role: &'static str,
    },
}

/// Result of starting and running.
pub type Result<T, E = Error> = std::result::Result<T, E>;

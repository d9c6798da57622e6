//! Errors of the commands, as shown to the user, and their exit codes.

use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{source}"), context(false))]
    Settings { source: bn_conf::Error },
    #[snafu(display("{source}"), context(false))]
    Node { source: bn_node::Error },
    #[snafu(display("{source}"), context(false))]
    Gateway { source: bn_gateway::Error },
    #[snafu(display("{source}"), context(false))]
    Coordinator { source: bn_coordinator::Error },
    #[snafu(display("{source}"), context(false))]
    Relay { source: bn_engine::Error },
    #[snafu(display("{source}"), context(false))]
    Trace { source: bn_trace::Error },
    #[snafu(display("{name}: {source}"))]
    Io {
        name: String,
        source: std::io::Error,
    },
    #[snafu(display("{url}: {reason}"))]
    Http { url: String, reason: String },
    #[snafu(display("refused: {reason}"))]
    Refused { reason: String },
    #[snafu(display("{reason}"))]
    Failed { reason: String },
}

impl Error {
    /// Exit code. 1: failed; 2: invalid settings; 3: refused; 4: no answer, or one with an
    /// unexpected status or unreadable content.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Error::Settings { .. } => 2,
            Error::Refused { .. } => 3,
            Error::Http { .. } => 4,
            _ => 1,
        }
    }
}

/// Result of a command.
pub(crate) type CliResult<T = ()> = Result<T, Error>;

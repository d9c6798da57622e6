//! Settings of one process: parsed from JSON by the schema's types, checked as a whole and
//! converted to domain types. Every error contains field, value and remedy.

mod check;
mod roles;

pub use check::{Agent, Control, Entry, FieldError, Logging, POLICIES, Peer, Settings, Tls, parse};

pub use roles::{Admission, Coordinator, Gateway, Relay};

use snafu::Snafu;
use std::path::PathBuf;

/// Error in loading settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON, or a value has the wrong type.
    #[snafu(display("not valid settings JSON: {source}"))]
    Json {
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// One or more settings are invalid; all are listed.
    #[snafu(display("{}", errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// All errors found.
        errors: Vec<FieldError>,
    },
}

/// Result of loading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads and checks the settings file at `path`.
pub fn load(path: &std::path::Path) -> Result<Settings> {
    use snafu::ResultExt;
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&text)
}

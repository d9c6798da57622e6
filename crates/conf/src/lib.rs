//! Settings of one process: read from JSON through the schema's types, checked
//! as a whole, turned into domain types. Every fault names field, value and remedy.

mod check;
mod roles;

pub use check::{Agent, Control, Entry, Fault, Logging, POLICIES, Peer, Settings, Tls, parse};

pub use roles::{Coordinator, Gateway, Relay};

use snafu::Snafu;
use std::path::PathBuf;

/// Why settings were not taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file could not be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file asked for.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not JSON, or a value has the wrong type.
    #[snafu(display("not valid settings JSON: {source}"))]
    Json {
        /// What the reader said, with line and column.
        source: serde_json::Error,
    },
    /// One or more settings are wrong; all are listed.
    #[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
    Faults {
        /// Every fault found.
        faults: Vec<Fault>,
    },
}

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reads and checks the settings file at `path`.
pub fn load(path: &std::path::Path) -> Result<Settings> {
    use snafu::ResultExt;
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    parse(&text)
}

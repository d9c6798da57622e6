//! The data directory of a control replica: identity, log and snapshot. Everything is
//! synced before a call returns. A torn last write is cut; earlier damage refuses.

mod atomic_file;
mod disk;
mod frame;
mod store;

pub use atomic_file::AtomicFile;
pub use disk::{Disk, DiskOperation};
pub use store::{LoadedState, Store};

use snafu::Snafu;
use std::path::PathBuf;

/// Why the data directory cannot be used (further).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file system failed; nothing after it can be trusted to be on disk.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A part that was synced is damaged: this replica has forgotten something it
    /// promised, so it must not vote. Empty the directory to join again as a new one.
    #[snafu(display("{}: damaged at byte {offset}: {reason}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// An earlier write or sync failed; that is final for this process.
    #[snafu(display("the data directory failed earlier; restart the process"))]
    Failed,
}

/// Result of using the data directory.
pub type Result<T, E = Error> = std::result::Result<T, E>;

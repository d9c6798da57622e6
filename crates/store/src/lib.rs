//! The data directory of a control replica: identity, log and snapshot. Everything is synced
//! before a call returns. A torn last write is truncated; earlier damage is an error.

mod atomic_file;
mod disk;
mod frame;
mod store;

pub use atomic_file::AtomicFile;
pub use disk::{Disk, DiskOperation};
pub use store::{LoadedState, Store};

use snafu::Snafu;
use std::path::PathBuf;

/// Why the data directory cannot be used, or not any longer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file system operation failed; later ones cannot be trusted to reach the disk.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Synced content is damaged: this replica has lost something that it acknowledged, so it must
    /// not vote. Empty the directory to join again as a new replica.
    #[snafu(display("{}: damaged at byte {offset}: {reason}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Byte offset of the damage.
        offset: u64,
        /// Kind of damage.
        reason: String,
    },
    /// An earlier write or sync failed, after which this process makes no more of them.
    #[snafu(display("an earlier write or sync of the data directory failed; restart the process"))]
    Failed,
}

/// Result of using the data directory.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The disk operations of the store. A callback runs before each of them, so that a test can make
//! any of them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A disk operation that is about to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskOperation {
    /// Write to a file, or truncate the log.
    Write,
    /// Sync a file.
    Sync,
    /// Rename a file over another.
    Rename,
    /// Sync a directory, so that the names in it are durable.
    SyncDirectory,
}

/// Runs disk operations, each after a callback; an error of the callback is the operation's error.
pub struct Disk(Box<dyn FnMut(DiskOperation) -> io::Result<()> + Send>);

impl Default for Disk {
    fn default() -> Disk {
        Disk::new(|_| Ok(()))
    }
}

impl Disk {
    /// Returns a disk that calls `check` before each operation.
    pub fn new(check: impl FnMut(DiskOperation) -> io::Result<()> + Send + 'static) -> Disk {
        Disk(Box::new(check))
    }

    pub(crate) fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        (self.0)(DiskOperation::Write)?;
        file.write_all(bytes)?;
        (self.0)(DiskOperation::Sync)?;
        file.sync_data()
    }

    /// Atomically replaces the content of `path`: after a crash the file has either the complete
    /// old or the complete new content.
    pub(crate) fn replace(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let temporary = path.with_extension("new");
        let mut file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&temporary)?;
        (self.0)(DiskOperation::Write)?;
        file.write_all(bytes)?;
        (self.0)(DiskOperation::Sync)?;
        file.sync_all()?;
        (self.0)(DiskOperation::Rename)?;
        fs::rename(&temporary, path)?;
        (self.0)(DiskOperation::SyncDirectory)?;
        sync_directory(path)
    }

    /// Syncs what an earlier process wrote, since it may have been killed between a write and its
    /// sync. Without this, content that was read back would be acknowledged to others as durable,
    /// and a power loss could destroy it.
    pub(crate) fn sync_existing(&mut self, file: &File, path: &Path) -> io::Result<()> {
        (self.0)(DiskOperation::Sync)?;
        file.sync_all()?;
        (self.0)(DiskOperation::SyncDirectory)?;
        sync_directory(path)
    }

    pub(crate) fn truncate(&mut self, file: &File, length: u64) -> io::Result<()> {
        (self.0)(DiskOperation::Write)?;
        file.set_len(length)?;
        (self.0)(DiskOperation::Sync)?;
        file.sync_all()
    }
}

fn sync_directory(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}

//! The few disk operations the store makes, each announced first, so that a test
//! can fail or stop at any of them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A disk operation about to happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskOperation {
    /// Bytes go to a file.
    Write,
    /// A file's bytes are synced.
    Sync,
    /// A file takes another's name.
    Rename,
    /// A directory is synced, so that names in it last.
    SyncDirectory,
}

/// Announces each operation; an error from it is the operation's error.
pub struct Disk(Box<dyn FnMut(DiskOperation) -> io::Result<()> + Send>);

impl Default for Disk {
    fn default() -> Disk {
        Disk::new(|_| Ok(()))
    }
}

impl Disk {
    /// A disk whose operations `check` may fail.
    pub fn new(check: impl FnMut(DiskOperation) -> io::Result<()> + Send + 'static) -> Disk {
        Disk(Box::new(check))
    }

    pub(crate) fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        (self.0)(DiskOperation::Write)?;
        file.write_all(bytes)?;
        (self.0)(DiskOperation::Sync)?;
        file.sync_data()
    }

    /// Replaces `path` by a file with these bytes: after a crash either the old or
    /// the new content stands there, whole.
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

    /// Makes what a process before this one wrote last: it may have been killed between a
    /// write and its sync. Read back without this, it would be acknowledged to others as
    /// synced, and a power loss would take it.
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

//! The few disk operations the store makes, each announced first, so that a test
//! can fail or stop at any of them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A disk operation about to happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Bytes go to a file.
    Write,
    /// A file's bytes are synced.
    Sync,
    /// A file takes another's name.
    Rename,
    /// A folder is synced, so that names in it last.
    SyncFolder,
}

/// Announces each operation; an error from it is the operation's error.
pub struct Disk(Box<dyn FnMut(Step) -> io::Result<()> + Send>);

impl Default for Disk {
    fn default() -> Disk {
        Disk::new(|_| Ok(()))
    }
}

impl Disk {
    /// A disk whose operations `check` may fail.
    pub fn new(check: impl FnMut(Step) -> io::Result<()> + Send + 'static) -> Disk {
        Disk(Box::new(check))
    }

    pub(crate) fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        (self.0)(Step::Write)?;
        file.write_all(bytes)?;
        (self.0)(Step::Sync)?;
        file.sync_data()
    }

    /// Replaces `path` by a file with these bytes: after a crash either the old or
    /// the new content stands there, whole.
    pub(crate) fn replace(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let side = path.with_extension("new");
        let mut file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&side)?;
        (self.0)(Step::Write)?;
        file.write_all(bytes)?;
        (self.0)(Step::Sync)?;
        file.sync_all()?;
        (self.0)(Step::Rename)?;
        fs::rename(&side, path)?;
        (self.0)(Step::SyncFolder)?;
        sync_folder(path)
    }

    /// Makes what a process before this one wrote last: it may have been killed between a
    /// write and its sync. Read back without this, it would be acknowledged to others as
    /// synced, and a power loss would take it.
    pub(crate) fn make_last(&mut self, file: &File, path: &Path) -> io::Result<()> {
        (self.0)(Step::Sync)?;
        file.sync_all()?;
        (self.0)(Step::SyncFolder)?;
        sync_folder(path)
    }

    pub(crate) fn cut(&mut self, file: &File, length: u64) -> io::Result<()> {
        (self.0)(Step::Write)?;
        file.set_len(length)?;
        (self.0)(Step::Sync)?;
        file.sync_all()
    }
}

fn sync_folder(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

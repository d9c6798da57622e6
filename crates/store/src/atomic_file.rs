//! A small file in the data directory that is replaced atomically.

use crate::disk::Disk;
use crate::frame;
use crate::{DamagedSnafu, IoSnafu, Result};
use snafu::{OptionExt, ResultExt};
use std::io;
use std::path::{Path, PathBuf};

/// A file whose content is replaced atomically and is durable once a write has returned.
pub struct AtomicFile {
    path: PathBuf,
    disk: Disk,
}

impl AtomicFile {
    /// Returns the file `name` of a data directory.
    pub fn new(directory: &Path, name: &str, disk: Disk) -> AtomicFile {
        let path = directory.join(name);
        AtomicFile { path, disk }
    }

    /// Reads the content that was written last, if any.
    pub fn read(&self) -> Result<Option<Vec<u8>>> {
        let path = &self.path;
        let bytes = match std::fs::read(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            read => read.context(IoSnafu { path })?,
        };
        let reason = "the content does not match its checksum";
        let damaged = DamagedSnafu {
            path,
            offset: 0u64,
            reason,
        };
        Ok(Some(frame::decode(&bytes).context(damaged)?.to_vec()))
    }

    /// Replaces the content: after a crash the file has the complete old or the complete new one.
    pub fn write(&mut self, content: &[u8]) -> Result<()> {
        let bytes = frame::encode(content);
        let written = self.disk.replace(&self.path, &bytes);
        written.context(IoSnafu { path: &self.path })
    }
}

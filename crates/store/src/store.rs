//! Loads and writes the data directory.

use crate::disk::Disk;
use crate::frame;
use crate::{DamagedSnafu, Error, FailedSnafu, IoSnafu, Result};
use bn_wire::messages::{Batch, HardState, LogEntry, Snapshot};
use prost::Message;
use snafu::{OptionExt, ResultExt, ensure};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const IDENTITY: &str = "identity";

/// Content of a data directory when it was opened.
#[derive(Debug, Default, PartialEq)]
pub struct LoadedState {
    /// Random number that identifies this directory; new if the directory was empty.
    pub identity: u64,
    /// Last hard state.
    pub hard: HardState,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Bytes of a torn last write that were truncated.
    pub truncated_bytes: u64,
}

/// An open data directory.
pub struct Store {
    directory: PathBuf,
    log: File,
    hard: HardState,
    disk: Disk,
    failed: bool,
    /// Size of the log file.
    log_bytes: u64,
}

impl Store {
    /// Opens the directory, or creates it if it is missing. `new_identity` becomes its identity if
    /// it has none.
    pub fn open(
        directory: &Path,
        new_identity: u64,
        mut disk: Disk,
    ) -> Result<(Store, LoadedState)> {
        fs::create_dir_all(directory).context(IoSnafu { path: directory })?;
        let identity = read_or_create_identity(directory, new_identity, &mut disk)?;
        let snapshot = read_snapshot(&directory.join(SNAPSHOT))?;
        let path = directory.join(LOG);
        let bytes = read_if_exists(&path)?.unwrap_or_default();
        let (batches, complete_bytes) = read_log(&path, &bytes)?;
        let log = open_log(&path)?;
        if complete_bytes < bytes.len() {
            disk.truncate(&log, complete_bytes as u64)
                .context(IoSnafu { path: &path })?;
        }
        disk.sync_existing(&log, &path)
            .context(IoSnafu { path: &path })?;
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        let (hard, entries) = replay(batches, snapshot_index);
        ensure_contiguous(&path, snapshot_index, &entries)?;
        let store = Store {
            directory: directory.into(),
            log,
            hard: hard.clone(),
            disk,
            failed: false,
            log_bytes: complete_bytes as u64,
        };
        let truncated_bytes = (bytes.len() - complete_bytes) as u64;
        Ok((
            store,
            LoadedState {
                identity,
                hard,
                snapshot,
                entries,
                truncated_bytes,
            },
        ))
    }

    /// Appends one batch and syncs it: either all of it is durable or none.
    pub fn append(&mut self, batch: &Batch) -> Result<()> {
        if let Some(hard) = &batch.hard {
            self.hard = hard.clone();
        }
        let bytes = frame::encode(&batch.encode_to_vec());
        let path = self.directory.join(LOG);
        self.run_unless_failed(&path, |s| s.disk.append(&mut s.log, &bytes))?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, and then the log by the entries that follow it. A crash in between
    /// leaves a log with entries that the snapshot covers; the next start skips these.
    pub fn replace_snapshot(&mut self, snapshot: &Snapshot, entries: Vec<LogEntry>) -> Result<()> {
        let path = self.directory.join(SNAPSHOT);
        let bytes = frame::encode(&snapshot.encode_to_vec());
        self.run_unless_failed(&path, |s| s.disk.replace(&path, &bytes))?;
        let batch = Batch {
            hard: Some(self.hard.clone()),
            cut_from: 0,
            entries,
        };
        let path = self.directory.join(LOG);
        let bytes = frame::encode(&batch.encode_to_vec());
        self.run_unless_failed(&path, |s| s.disk.replace(&path, &bytes))?;
        self.log_bytes = bytes.len() as u64;
        self.log = open_log(&path)?;
        Ok(())
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Runs a write unless an earlier one failed. After a failed write or sync the kernel may have
    /// dropped the dirty pages, and a later sync would succeed without them; so the first failure
    /// is final.
    fn run_unless_failed(
        &mut self,
        path: &Path,
        operation: impl FnOnce(&mut Store) -> io::Result<()>,
    ) -> Result<()> {
        ensure!(!self.failed, FailedSnafu);
        let result = operation(self);
        self.failed = result.is_err();
        result.context(IoSnafu { path })
    }
}

fn read_or_create_identity(directory: &Path, new_identity: u64, disk: &mut Disk) -> Result<u64> {
    let path = directory.join(IDENTITY);
    if let Some(bytes) = read_if_exists(&path)? {
        let damaged = DamagedSnafu {
            path: &path,
            offset: 0u64,
            reason: "the identity file is not valid",
        };
        let payload = frame::decode(&bytes).context(damaged)?;
        return payload
            .try_into()
            .ok()
            .map(u64::from_le_bytes)
            .context(damaged);
    }
    // A directory with a log or snapshot but no identity has lost its identity file.
    for name in [LOG, SNAPSHOT] {
        let path = directory.join(name);
        let reason = "the identity file is missing";
        ensure!(
            !path.exists(),
            DamagedSnafu {
                path,
                offset: 0u64,
                reason
            }
        );
    }
    let bytes = frame::encode(&new_identity.to_le_bytes());
    disk.replace(&path, &bytes).context(IoSnafu { path })?;
    Ok(new_identity)
}

fn read_if_exists(path: &Path) -> Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(Error::Io {
            path: path.into(),
            source,
        }),
    }
}

fn read_snapshot(path: &Path) -> Result<Option<Snapshot>> {
    let Some(bytes) = read_if_exists(path)? else {
        return Ok(None);
    };
    let payload = frame::decode(&bytes);
    let decoded = payload.and_then(|p| Snapshot::decode(p).ok());
    let reason = "the snapshot does not match its checksum";
    decoded
        .context(DamagedSnafu {
            path,
            offset: 0u64,
            reason,
        })
        .map(Some)
}

/// Returns the batches of the complete frames and the total size of these frames. Anything after
/// them must be a torn last write.
fn read_log(path: &Path, bytes: &[u8]) -> Result<(Vec<Batch>, usize)> {
    let (mut batches, mut offset) = (Vec::new(), 0);
    while let Some(rest) = bytes.get(offset..).filter(|r| !r.is_empty()) {
        let Some(payload) = frame::decode(rest) else {
            let later = rest.get(1..).is_some_and(frame::contains_complete_frame);
            let reason = "a synced write is damaged, and a later one is complete";
            ensure!(
                !later,
                DamagedSnafu {
                    path,
                    offset: offset as u64,
                    reason
                }
            );
            break;
        };
        let batch = Batch::decode(payload).ok();
        let reason = "the checksum matches, but the content cannot be decoded";
        batches.push(batch.context(DamagedSnafu {
            path,
            offset: offset as u64,
            reason,
        })?);
        offset += frame::HEADER_BYTES + payload.len();
    }
    Ok((batches, offset))
}

fn replay(batches: Vec<Batch>, snapshot_index: u64) -> (HardState, Vec<LogEntry>) {
    let mut hard = HardState::default();
    let mut entries: Vec<LogEntry> = Vec::new();
    for batch in batches {
        hard = batch.hard.unwrap_or(hard);
        if batch.cut_from > 0 {
            entries.retain(|e| e.index < batch.cut_from);
        }
        entries.extend(
            batch
                .entries
                .into_iter()
                .filter(|e| e.index > snapshot_index),
        );
    }
    (hard, entries)
}

/// Checks that the entries follow the snapshot without a gap.
fn ensure_contiguous(path: &Path, snapshot_index: u64, entries: &[LogEntry]) -> Result<()> {
    let contiguous = entries
        .iter()
        .zip(snapshot_index + 1..)
        .all(|(e, i)| e.index == i);
    let reason = "entries are missing between the snapshot and the log";
    ensure!(
        contiguous,
        DamagedSnafu {
            path,
            offset: 0u64,
            reason
        }
    );
    Ok(())
}

fn open_log(path: &Path) -> Result<File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .context(IoSnafu { path })
}

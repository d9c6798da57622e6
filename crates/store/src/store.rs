//! Loading and writing the data folder.

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

/// What a data folder held.
#[derive(Debug, Default, PartialEq)]
pub struct Loaded {
    /// Random number of this folder, new where it was empty.
    pub identity: u64,
    /// Last hard state.
    pub hard: HardState,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<LogEntry>,
    /// Bytes of a torn last write that were cut.
    pub cut_bytes: u64,
}

/// An open data folder.
pub struct Store {
    folder: PathBuf,
    log: File,
    hard: HardState,
    disk: Disk,
    failed: bool,
    /// Bytes in the log file.
    length: u64,
}

impl Store {
    /// Opens the folder, making it where it is missing. `fresh` is the identity it
    /// gets if it has none.
    pub fn open(folder: &Path, fresh: u64, mut disk: Disk) -> Result<(Store, Loaded)> {
        fs::create_dir_all(folder).context(IoSnafu { path: folder })?;
        let identity = identity(folder, fresh, &mut disk)?;
        let snapshot = read_snapshot(&folder.join(SNAPSHOT))?;
        let path = folder.join(LOG);
        let bytes = read(&path)?.unwrap_or_default();
        let (batches, whole) = read_log(&path, &bytes)?;
        let log = open_log(&path)?;
        if whole < bytes.len() {
            disk.cut(&log, whole as u64)
                .context(IoSnafu { path: &path })?;
        }
        disk.make_last(&log, &path)
            .context(IoSnafu { path: &path })?;
        let covered = snapshot.as_ref().map_or(0, |s| s.index);
        let (hard, entries) = replay(batches, covered);
        ensure_joined(&path, covered, &entries)?;
        let store = Store {
            folder: folder.into(),
            log,
            hard: hard.clone(),
            disk,
            failed: false,
            length: whole as u64,
        };
        let cut_bytes = (bytes.len() - whole) as u64;
        Ok((
            store,
            Loaded {
                identity,
                hard,
                snapshot,
                entries,
                cut_bytes,
            },
        ))
    }

    /// Appends one batch and syncs it: all of it lasts, or none.
    pub fn append(&mut self, batch: &Batch) -> Result<()> {
        if let Some(hard) = &batch.hard {
            self.hard = hard.clone();
        }
        let bytes = frame::seal(&batch.encode_to_vec());
        let path = self.folder.join(LOG);
        self.guarded(&path, |s| s.disk.append(&mut s.log, &bytes))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, then the log by the entries that follow it. A crash in
    /// between leaves a log whose covered part is passed over at the next start.
    pub fn snapshot(&mut self, snapshot: &Snapshot, entries: Vec<LogEntry>) -> Result<()> {
        let path = self.folder.join(SNAPSHOT);
        let bytes = frame::seal(&snapshot.encode_to_vec());
        self.guarded(&path, |s| s.disk.replace(&path, &bytes))?;
        let batch = Batch {
            hard: Some(self.hard.clone()),
            cut_from: 0,
            entries,
        };
        let path = self.folder.join(LOG);
        let bytes = frame::seal(&batch.encode_to_vec());
        self.guarded(&path, |s| s.disk.replace(&path, &bytes))?;
        self.length = bytes.len() as u64;
        self.log = open_log(&path)?;
        Ok(())
    }

    /// Bytes in the log file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// After a failed write or sync the kernel may have dropped the pages and a
    /// later sync would succeed without them; so the first failure is final.
    fn guarded(
        &mut self,
        path: &Path,
        work: impl FnOnce(&mut Store) -> io::Result<()>,
    ) -> Result<()> {
        ensure!(!self.failed, FailedSnafu);
        let done = work(self);
        self.failed = done.is_err();
        done.context(IoSnafu { path })
    }
}

fn identity(folder: &Path, fresh: u64, disk: &mut Disk) -> Result<u64> {
    let path = folder.join(IDENTITY);
    if let Some(bytes) = read(&path)? {
        let damaged = DamagedSnafu {
            path: &path,
            offset: 0u64,
            reason: "not an identity",
        };
        let payload = frame::open(&bytes).context(damaged)?;
        return payload
            .try_into()
            .ok()
            .map(u64::from_le_bytes)
            .context(damaged);
    }
    // A log or snapshot without an identity is a folder that lost a file.
    for name in [LOG, SNAPSHOT] {
        let path = folder.join(name);
        let reason = "there is no identity file beside it";
        ensure!(
            !path.exists(),
            DamagedSnafu {
                path,
                offset: 0u64,
                reason
            }
        );
    }
    let bytes = frame::seal(&fresh.to_le_bytes());
    disk.replace(&path, &bytes).context(IoSnafu { path })?;
    Ok(fresh)
}

fn read(path: &Path) -> Result<Option<Vec<u8>>> {
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
    let Some(bytes) = read(path)? else {
        return Ok(None);
    };
    let payload = frame::open(&bytes);
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

/// The whole frames, and the length they take. What follows must be a torn write.
fn read_log(path: &Path, bytes: &[u8]) -> Result<(Vec<Batch>, usize)> {
    let (mut batches, mut at) = (Vec::new(), 0);
    while let Some(rest) = bytes.get(at..).filter(|r| !r.is_empty()) {
        let Some(payload) = frame::open(rest) else {
            let later = rest.get(1..).is_some_and(frame::any_whole);
            let reason = "a synced write is damaged and later ones are whole";
            ensure!(
                !later,
                DamagedSnafu {
                    path,
                    offset: at as u64,
                    reason
                }
            );
            break;
        };
        let batch = Batch::decode(payload).ok();
        let reason = "the checksum holds but the content does not decode";
        batches.push(batch.context(DamagedSnafu {
            path,
            offset: at as u64,
            reason,
        })?);
        at += frame::HEADER + payload.len();
    }
    Ok((batches, at))
}

fn replay(batches: Vec<Batch>, covered: u64) -> (HardState, Vec<LogEntry>) {
    let mut hard = HardState::default();
    let mut entries: Vec<LogEntry> = Vec::new();
    for batch in batches {
        hard = batch.hard.unwrap_or(hard);
        if batch.cut_from > 0 {
            entries.retain(|e| e.index < batch.cut_from);
        }
        entries.extend(batch.entries.into_iter().filter(|e| e.index > covered));
    }
    (hard, entries)
}

/// Entries must follow the snapshot without a gap.
fn ensure_joined(path: &Path, covered: u64, entries: &[LogEntry]) -> Result<()> {
    let joined = entries.iter().zip(covered + 1..).all(|(e, i)| e.index == i);
    let reason = "entries are missing between the snapshot and the log";
    ensure!(
        joined,
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

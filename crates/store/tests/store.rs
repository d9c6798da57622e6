//! The data directory under crashes at every point, full disks and damage.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_store::{AtomicFile, Disk, DiskOperation, Error, LoadedState, Store};
use bn_wire::messages::{Batch, HardState, LogEntry, Snapshot, log_entry::Kind};
use googletest::prelude::*;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tempfile::TempDir;

const IDENTITY: u64 = 77;

fn directory() -> TempDir {
    tempfile::tempdir().unwrap()
}

fn entry(index: u64) -> LogEntry {
    LogEntry {
        index,
        term: 1,
        kind: Some(Kind::Command(format!("command {index}").into())),
    }
}

fn batch(from: u64, to: u64) -> Batch {
    let hard = Some(HardState {
        term: 1,
        vote: "c1".into(),
    });
    Batch {
        hard,
        cut_from: 0,
        entries: (from..=to).map(entry).collect(),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        members: None,
        state: vec![7; 100],
    }
}

fn open(path: &Path) -> bn_store::Result<(Store, LoadedState)> {
    Store::open(path, IDENTITY, Disk::default())
}

fn last(loaded: &LoadedState) -> u64 {
    let covered = loaded.snapshot.as_ref().map_or(0, |s| s.index);
    loaded.entries.last().map_or(covered, |e| e.index)
}

#[gtest]
fn what_was_appended_comes_back() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 3))?;
    store.append(&batch(4, 4))?;

    let (_, loaded) = open(dir.path())?;

    verify_that!(loaded.entries, eq(&(1..=4).map(entry).collect::<Vec<_>>()))?;
    verify_that!(loaded.hard.vote.as_str(), eq("c1"))?;
    verify_that!(loaded.identity, eq(IDENTITY))
}

/// Symptom: a replica refuses to start after a power cut, or starts with half a
/// write. Sequence: power fails while the last batch is written; any part of its
/// bytes is on disk. Cause: the tail is not told from synced content.
#[gtest]
fn a_torn_last_write_is_cut_at_every_byte() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 2))?;
    let whole = store.log_bytes() as usize;
    store.append(&batch(3, 4))?;
    let log = dir.path().join("log");
    let bytes = fs::read(&log)?;

    for length in whole..bytes.len() {
        fs::write(&log, &bytes[..length])?;
        let (mut store, loaded) = open(dir.path())?;
        expect_that!(last(&loaded), eq(2), "cut at byte {length}");
        store.append(&batch(3, 3))?;
        let (_, again) = open(dir.path())?;
        expect_that!(last(&again), eq(3), "after a cut at byte {length}");
    }
    Ok(())
}

/// Symptom: an acknowledged command is gone after a restart and nobody was told.
/// Sequence: a synced part of the log rots; later writes are whole. Cause: the
/// damage is taken for a torn tail and everything after it is cut.
#[gtest]
fn damage_before_the_last_write_is_refused_at_every_byte() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 2))?;
    let first = store.log_bytes() as usize;
    store.append(&batch(3, 4))?;
    let log = dir.path().join("log");
    let bytes = fs::read(&log)?;

    for at in 0..first {
        let mut rotten = bytes.clone();
        rotten[at] ^= 0x55;
        fs::write(&log, &rotten)?;
        let opened = open(dir.path());
        expect_true!(matches!(opened, Err(Error::Damaged { .. })), "byte {at}");
    }
    Ok(())
}

#[gtest]
fn a_damaged_snapshot_or_identity_is_refused() -> Result<()> {
    for file in ["snapshot", "identity"] {
        let dir = directory();
        let (mut store, _) = open(dir.path())?;
        store.append(&batch(1, 2))?;
        store.replace_snapshot(&snapshot(2), Vec::new())?;
        let path = dir.path().join(file);
        let mut bytes = fs::read(&path)?;
        let middle = bytes.len() - 2;
        bytes[middle] ^= 1;
        fs::write(&path, bytes)?;

        let opened = open(dir.path());

        expect_true!(matches!(opened, Err(Error::Damaged { .. })), "{file}");
    }
    Ok(())
}

/// Symptom: a replica whose identity file is lost votes again under a new identity
/// but with its old log. Sequence: the file is deleted by hand. Cause: a missing
/// identity is taken for an empty directory.
#[gtest]
fn a_log_without_identity_is_refused() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 2))?;
    fs::remove_file(dir.path().join("identity"))?;

    let opened = open(dir.path());

    verify_true!(matches!(opened, Err(Error::Damaged { .. })))
}

/// A disk that fails at its operation number `at`, and at all later ones.
fn failing(at: usize, kind: io::ErrorKind) -> (Disk, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    let disk = Disk::new(
        move |_: DiskOperation| match seen.fetch_add(1, Ordering::Relaxed) {
            n if n < at => Ok(()),
            _ => Err(io::Error::from(kind)),
        },
    );
    (disk, count)
}

/// Work that appends, snapshots and appends again; returns the last index that was
/// acknowledged.
fn work(path: &Path, disk: Disk) -> u64 {
    let mut acked = 0;
    let _ = (|| -> bn_store::Result<()> {
        let (mut store, _) = Store::open(path, IDENTITY, disk)?;
        for i in 1..=3 {
            store.append(&batch(i, i))?;
            acked = i;
        }
        store.replace_snapshot(&snapshot(2), vec![entry(3)])?;
        store.append(&batch(4, 5))?;
        acked = 5;
        store.replace_snapshot(&snapshot(5), Vec::new())?;
        store.append(&batch(6, 6))?;
        acked = 6;
        Ok(())
    })();
    acked
}

/// Symptom: acknowledged entries are missing, or the directory does not open, after a
/// crash. Sequence: power fails before any one disk operation, snapshots included.
/// Cause: a step of the replacement of log and snapshot is out of order.
#[gtest]
fn a_crash_before_any_disk_operation_loses_nothing_acknowledged() -> Result<()> {
    let (disk, count) = failing(usize::MAX, io::ErrorKind::Other);
    let dir = directory();
    expect_that!(work(dir.path(), disk), eq(6));
    let operations = count.load(Ordering::Relaxed);
    expect_that!(operations, gt(20));

    for at in 0..operations {
        let dir = directory();
        let acked = work(dir.path(), failing(at, io::ErrorKind::Other).0);
        let (_, loaded) = open(dir.path())?;
        expect_that!(last(&loaded), ge(acked), "operation {at}");
    }
    Ok(())
}

/// Symptom: a vote or entry is acknowledged that is not on disk. Sequence: a sync
/// fails, the next one succeeds without the lost pages. Cause: going on after it.
#[gtest]
fn a_failed_write_or_sync_is_final() -> Result<()> {
    for kind in [io::ErrorKind::StorageFull, io::ErrorKind::Other] {
        for first in [DiskOperation::Write, DiskOperation::Sync] {
            let dir = directory();
            let mut armed = 0;
            // Opening takes one write and two syncs, of the identity and of what was there;
            // the next of its kind fails once.
            let opening = if first == DiskOperation::Write { 1 } else { 2 };
            let disk = Disk::new(move |step| {
                armed += usize::from(step == first);
                if armed == opening + 1 && step == first {
                    armed += 1;
                    return Err(io::Error::from(kind));
                }
                Ok(())
            });
            let (mut store, _) = Store::open(dir.path(), IDENTITY, disk)?;

            let failed = store.append(&batch(1, 1));
            let after = store.append(&batch(1, 1));

            expect_true!(
                matches!(failed, Err(Error::Io { .. })),
                "{kind:?} at {first:?}"
            );
            expect_true!(matches!(after, Err(Error::Failed)), "{kind:?} at {first:?}");
        }
    }
    Ok(())
}

/// Symptom: an acknowledged entry is gone after a power loss. Sequence: a process is killed
/// between a write and its sync, the next one reads the entry back, answers for it, and
/// the power goes. Cause: what was read was taken for synced.
#[gtest]
fn what_is_read_back_is_synced_before_it_is_used() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 1))?;
    drop(store);
    let refusing = Disk::new(|step| match step {
        DiskOperation::Sync => Err(io::Error::from(io::ErrorKind::Other)),
        _ => Ok(()),
    });

    let opened = Store::open(dir.path(), IDENTITY, refusing);

    expect_true!(matches!(opened, Err(Error::Io { .. })));
    Ok(())
}

/// Symptom: a file beside the log is half of the old and half of the new content, or gone. Sequence: the
/// process ends at each step of a write. Cause: it was written in place.
#[gtest]
fn a_side_file_holds_the_old_or_the_new_content_whole() -> Result<()> {
    for steps in 0..4 {
        let directory = directory();
        let mut side = AtomicFile::new(directory.path(), "side", Disk::default());
        verify_that!(side.read().unwrap(), none())?;
        side.write(b"old").unwrap();
        let left = Arc::new(AtomicUsize::new(steps));
        let failing = Disk::new(move |_| {
            let left = left.fetch_sub(1, Ordering::Relaxed);
            match left {
                0 => Err(io::Error::other("the process ends here")),
                _ => Ok(()),
            }
        });

        let written = AtomicFile::new(directory.path(), "side", failing).write(b"new");

        verify_that!(written, err(anything()))?;
        let held = side.read().unwrap().unwrap();
        // The last step makes the new name last; it stands there already.
        let expected = if steps == 3 { b"new" } else { b"old" };
        verify_that!(held.as_slice(), eq(expected.as_slice()))?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_side_file_says_so() {
    let directory = directory();
    let mut side = AtomicFile::new(directory.path(), "side", Disk::default());
    side.write(b"content").unwrap();
    let path = directory.path().join("side");
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();

    expect_that!(side.read(), err(matches_pattern!(Error::Damaged { .. })));
}

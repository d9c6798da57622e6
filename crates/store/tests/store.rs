//! The data directory under crashes at every disk operation, full disks and damage.

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

fn last_index(loaded: &LoadedState) -> u64 {
    let covered = loaded.snapshot.as_ref().map_or(0, |s| s.index);
    loaded.entries.last().map_or(covered, |e| e.index)
}

#[gtest]
fn appended_entries_are_loaded_again() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 3))?;
    store.append(&batch(4, 4))?;

    let (_, loaded) = open(dir.path())?;

    verify_that!(loaded.entries, eq(&(1..=4).map(entry).collect::<Vec<_>>()))?;
    verify_that!(loaded.hard.vote.as_str(), eq("c1"))?;
    verify_that!(loaded.identity, eq(IDENTITY))
}

/// Guards against a replica that refuses to start, or starts with part of a write, after a power
/// loss during the last batch left any part of its bytes on disk: the tail must be distinguished
/// from synced content.
#[gtest]
fn a_torn_last_write_is_truncated_at_every_byte() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 2))?;
    let complete_bytes = store.log_bytes() as usize;
    store.append(&batch(3, 4))?;
    let log = dir.path().join("log");
    let bytes = fs::read(&log)?;

    for length in complete_bytes..bytes.len() {
        fs::write(&log, &bytes[..length])?;
        let (mut store, loaded) = open(dir.path())?;
        expect_that!(last_index(&loaded), eq(2), "truncated at byte {length}");
        store.append(&batch(3, 3))?;
        let (_, again) = open(dir.path())?;
        expect_that!(
            last_index(&again),
            eq(3),
            "after truncation at byte {length}"
        );
    }
    Ok(())
}

/// Guards against the silent loss of an acknowledged command on restart: a synced part of the log
/// is corrupted, later writes are intact, and the damage is mistaken for a torn tail and truncated
/// with everything after it.
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
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x55;
        fs::write(&log, &damaged)?;
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

/// Guards against a replica that votes again under a new identity but with its old log: its
/// identity file was deleted by hand, and the missing file is mistaken for an empty directory.
#[gtest]
fn a_log_without_identity_is_refused() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 2))?;
    fs::remove_file(dir.path().join("identity"))?;

    let opened = open(dir.path());

    verify_true!(matches!(opened, Err(Error::Damaged { .. })))
}

/// Returns a disk that fails at operation number `at` and all later ones, and its operation count.
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

/// Appends, writes snapshots and appends again; returns the last acknowledged index.
fn append_and_snapshot(path: &Path, disk: Disk) -> u64 {
    let mut acknowledged = 0;
    let _ = (|| -> bn_store::Result<()> {
        let (mut store, _) = Store::open(path, IDENTITY, disk)?;
        for i in 1..=3 {
            store.append(&batch(i, i))?;
            acknowledged = i;
        }
        store.replace_snapshot(&snapshot(2), vec![entry(3)])?;
        store.append(&batch(4, 5))?;
        acknowledged = 5;
        store.replace_snapshot(&snapshot(5), Vec::new())?;
        store.append(&batch(6, 6))?;
        acknowledged = 6;
        Ok(())
    })();
    acknowledged
}

/// Guards against missing acknowledged entries, or a directory that does not open, after a power
/// loss before any single disk operation, snapshots included, due to a wrong order of the steps
/// that replace the log and the snapshot.
#[gtest]
fn a_crash_before_any_disk_operation_loses_nothing_acknowledged() -> Result<()> {
    let (disk, count) = failing(usize::MAX, io::ErrorKind::Other);
    let dir = directory();
    expect_that!(append_and_snapshot(dir.path(), disk), eq(6));
    let operations = count.load(Ordering::Relaxed);
    expect_that!(operations, gt(20));

    for at in 0..operations {
        let dir = directory();
        let acknowledged = append_and_snapshot(dir.path(), failing(at, io::ErrorKind::Other).0);
        let (_, loaded) = open(dir.path())?;
        expect_that!(last_index(&loaded), ge(acknowledged), "operation {at}");
    }
    Ok(())
}

/// Guards against acknowledging a vote or entry that is not on disk: a sync fails, the store
/// continues, and the next sync succeeds without the lost pages.
#[gtest]
fn a_failed_write_or_sync_is_final() -> Result<()> {
    for kind in [io::ErrorKind::StorageFull, io::ErrorKind::Other] {
        for first in [DiskOperation::Write, DiskOperation::Sync] {
            let dir = directory();
            let mut armed = 0;
            // Opening makes one write and two syncs, of the identity and of the existing log; the
            // next operation of the kind fails once.
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

/// Guards against losing an acknowledged entry in a power loss: a process is killed between a write
/// and its sync, the next one reads the entry back and acknowledges it as if it had been synced,
/// and then the power fails.
#[gtest]
fn existing_content_is_synced_before_it_is_used() -> Result<()> {
    let dir = directory();
    let (mut store, _) = open(dir.path())?;
    store.append(&batch(1, 1))?;
    drop(store);
    let failing = Disk::new(|step| match step {
        DiskOperation::Sync => Err(io::Error::from(io::ErrorKind::Other)),
        _ => Ok(()),
    });

    let opened = Store::open(dir.path(), IDENTITY, failing);

    expect_true!(matches!(opened, Err(Error::Io { .. })));
    Ok(())
}

/// Guards against an atomic file that mixes old and new content, or is missing, when the process
/// terminates at any step of a write, because the file was written in place.
#[gtest]
fn an_atomic_file_has_the_complete_old_or_new_content() -> Result<()> {
    for steps in 0..4 {
        let directory = directory();
        let mut file = AtomicFile::new(directory.path(), "side", Disk::default());
        verify_that!(file.read().unwrap(), none())?;
        file.write(b"old").unwrap();
        let left = Arc::new(AtomicUsize::new(steps));
        let failing = Disk::new(move |_| {
            let left = left.fetch_sub(1, Ordering::Relaxed);
            match left {
                0 => Err(io::Error::other("simulated termination")),
                _ => Ok(()),
            }
        });

        let written = AtomicFile::new(directory.path(), "side", failing).write(b"new");

        verify_that!(written, err(anything()))?;
        let content = file.read().unwrap().unwrap();
        // The last step makes the new name durable; the rename has already happened.
        let expected = if steps == 3 { b"new" } else { b"old" };
        verify_that!(content.as_slice(), eq(expected.as_slice()))?;
    }
    Ok(())
}

#[gtest]
fn a_damaged_atomic_file_is_reported() {
    let directory = directory();
    let mut file = AtomicFile::new(directory.path(), "side", Disk::default());
    file.write(b"content").unwrap();
    let path = directory.path().join("side");
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();

    expect_that!(file.read(), err(matches_pattern!(Error::Damaged { .. })));
}

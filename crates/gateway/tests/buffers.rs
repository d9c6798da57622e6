//! The use of buffer memory by callers, on a manual clock.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_gateway::{BufferUsage, HolderId, MAX_STALL, Phase};
use googletest::prelude::*;
use std::time::Duration;

/// The bound is 0.4 of this: 40,000 bytes.
const MEMORY: u64 = 100_000;
const STEP: Duration = Duration::from_millis(100);

fn at(steps: u32) -> Duration {
    STEP * steps
}

fn sending(usage: &mut BufferUsage, now: Duration, bytes: u64) -> HolderId {
    let id = usage.open(now, Phase::Sending);
    usage.add(now, id, bytes);
    id
}

fn stalled_ids(usage: &BufferUsage, now: Duration) -> Vec<HolderId> {
    usage.stalled(now).iter().map(|s| s.id).collect()
}

/// Guards against a caller that pauses and goes on reading and is ended all the same, and against
/// one that never reads and is not ended: only the time since its last progress counts.
#[gtest]
fn a_caller_is_ended_after_two_seconds_without_progress() {
    let mut usage = BufferUsage::new(None);
    let pausing = sending(&mut usage, at(0), 9_000);
    let silent = sending(&mut usage, at(0), 1_000);
    // More data does not give a caller more time.
    usage.add(at(10), silent, 1_000);
    usage.release(at(19), pausing, 1);

    let before = stalled_ids(&usage, MAX_STALL - Duration::from_millis(1));
    let after = usage.stalled(MAX_STALL);
    let later = stalled_ids(&usage, at(38));

    expect_that!(before, is_empty());
    expect_that!(after.len(), eq(1));
    expect_that!((after[0].id, after[0].bytes), eq((silent, 2_000)));
    expect_that!(after[0].stalled, eq(MAX_STALL));
    expect_that!(later, eq(&vec![silent]));
}

/// Guards against the end of a stream whose backend server is quiet, or of a caller whose answer
/// is not complete: no data waits for the caller.
#[gtest]
fn a_caller_that_no_data_waits_for_is_never_ended() {
    let mut usage = BufferUsage::new(Some(MEMORY));
    let quiet = sending(&mut usage, at(0), 500);
    usage.release(at(1), quiet, 500);
    let held = usage.open(at(0), Phase::Waiting);
    usage.add(at(0), held, 45_000);

    let ended = stalled_ids(&usage, at(1_000));
    usage.add(at(1_000), quiet, 500);
    usage.set_phase(at(1_000), held, Phase::Sending);

    expect_that!(ended, is_empty());
    expect_that!(stalled_ids(&usage, at(1_019)), is_empty());
    expect_that!(stalled_ids(&usage, at(1_020)), eq(&vec![held, quiet]));
}

/// Guards against memory that grows without bound: requests are admitted, and answers read, while
/// callers that do not read hold all of it. Those that hold the most are ended first.
#[gtest]
fn at_the_bound_nothing_is_admitted_until_the_largest_are_ended() {
    let mut usage = BufferUsage::new(Some(MEMORY));
    let small = sending(&mut usage, at(0), 8_000);
    let large = sending(&mut usage, at(0), 30_000);
    let new = usage.open(at(5), Phase::Waiting);

    let full = (usage.admits(), usage.fits(new, 2_001));
    let retry_after = usage.retry_after(at(5));
    let ended = stalled_ids(&usage, MAX_STALL);
    usage.close(large);

    expect_that!(full, eq((false, false)));
    expect_that!(retry_after, eq(at(15)));
    expect_that!(ended, eq(&vec![large, small]));
    expect_that!((usage.admits(), usage.fits(new, 2_001)), eq((true, true)));
    expect_that!(usage.total(), eq(8_000));
}

/// Guards against an answer that is larger than the bound and is never read, although nothing else
/// is buffered.
#[gtest]
fn a_single_answer_larger_than_the_bound_is_read() {
    let mut usage = BufferUsage::new(Some(MEMORY));
    let only = usage.open(at(0), Phase::Waiting);

    let fits = usage.fits(only, 50_000);
    usage.add(at(0), only, 50_000);

    expect_that!((fits, usage.fits(only, 50_000)), eq((true, true)));
}

/// Guards against slow request bodies that use up the memory, and against ending them while there
/// is enough of it: their deadline does that.
#[gtest]
fn a_slow_request_body_is_ended_only_if_memory_is_short() {
    let mut usage = BufferUsage::new(Some(MEMORY));
    let upload = usage.open(at(0), Phase::Receiving);
    usage.add(at(0), upload, 1_000);

    let enough = stalled_ids(&usage, at(50));
    sending(&mut usage, at(50), 38_000);

    expect_that!(enough, is_empty());
    expect_that!(stalled_ids(&usage, at(50)), eq(&vec![upload]));
}

/// Guards against the end of callers that read, after the gateway itself was stopped for longer
/// than a caller may make no progress.
#[gtest]
fn a_pause_of_the_process_does_not_count_as_time_without_progress() {
    let mut usage = BufferUsage::new(None);
    let before = sending(&mut usage, at(0), 1_000);
    let resumed = at(35);
    let during = sending(&mut usage, at(34), 1_000);

    usage.exclude_pause(resumed, at(30));
    let at_once = stalled_ids(&usage, resumed);
    let later = stalled_ids(&usage, at(50));
    let last = stalled_ids(&usage, at(55));

    expect_that!(at_once, is_empty());
    expect_that!(later, eq(&vec![before]));
    expect_that!(last, unordered_elements_are![eq(&before), eq(&during)]);
}

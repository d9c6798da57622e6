//! How a gateway learns what a group bears, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{Bounds, Pace};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn bounds() -> Bounds {
    Bounds {
        limit: Duration::from_millis(120),
        idle: Duration::from_millis(30),
    }
}

/// Plays a full group for `from..to`, in tens of ms, whose pauses grow with what is admitted,
/// as `pause` says; returns the longest.
fn play(pace: &mut Pace, from: u64, to: u64, pause: impl Fn(f64) -> u64) -> u64 {
    let mut longest = 0;
    for n in from..to {
        let (now, room) = (Duration::from_millis(n * 10), pace.room());
        let pause = pause(room);
        longest = longest.max(pause);
        pace.saw(now, Duration::from_millis(pause), bounds(), || room);
    }
    longest
}

fn settled_room(pause: impl Fn(f64) -> u64) -> f64 {
    let mut pace = Pace::default();
    play(&mut pace, 0, 4_000, pause);
    pace.room()
}

/// Symptom: every stream is late whenever the load has grown to what the group bears.
/// Sequence: room grows step by step until pauses are too long, then shrinks, then grows
/// again. Cause: the limit was found by passing it, each time.
#[googletest::test]
fn once_found_the_limit_is_not_passed_again() {
    let mut pace = Pace::default();
    let group = |room: f64| 30 + (180.0 * room) as u64;
    play(&mut pace, 0, 100, group);

    let longest = play(&mut pace, 100, 4_000, group);

    expect_that!(longest, all![ge(80), lt(110)]);
}

/// Symptom: streams that begin seconds after other experts are in demand are late too.
/// Sequence: each request suddenly costs twice as much of a pass; room shrinks by a sixth
/// each quarter of a second, while more is let in. Cause: steps where the cost was known.
#[googletest::test]
fn a_jump_in_cost_is_followed_within_two_windows() {
    let mut pace = Pace::default();
    play(&mut pace, 0, 400, |room| 30 + (80.0 * room) as u64);

    play(&mut pace, 400, 425, |room| 30 + (200.0 * room) as u64);

    expect_that!(30.0 + 200.0 * pace.room(), lt(110.0));
}

#[googletest::test]
fn a_group_that_stood_still_once_is_filled_as_before() {
    let mut pace = Pace::default();
    let group = |room: f64| 30 + (60.0 * room) as u64;
    play(&mut pace, 0, 400, group);

    play(&mut pace, 400, 413, |_| 900);

    expect_that!(pace.room(), gt(0.9));
}

/// Symptom: after an outage all streams are late for seconds. Sequence: callers wait for the
/// group, which runs again with a map that fits no demand; half of its slots are filled at once.
/// Cause: it was taken to bear what it bore before.
#[googletest::test]
fn a_group_that_runs_again_is_filled_from_the_least() {
    let mut pace = Pace::default();
    play(&mut pace, 0, 400, |room| 30 + (60.0 * room) as u64);

    pace.forget();
    let room = pace.room();
    play(&mut pace, 400, 520, |room| 30 + (60.0 * room) as u64);

    expect_that!(room, le(0.25));
    expect_that!(pace.room(), gt(0.9));
}

/// Symptom: for as long as one rank is slow nine in ten callers are refused, and get no answer at all.
/// Sequence: passes take longer than allowed however few requests there are; room shrinks to the least
/// and stays there. Cause: room was for streams in time, of which there can be none.
#[googletest::test]
fn where_nobody_can_be_in_time_late_answers_are_better_than_none() {
    let beside_a_slow_rank = |ms: u64| Bounds {
        idle: Duration::from_millis(ms),
        ..bounds()
    };
    let mut now = NOW;
    let mut settled = |pace: &mut Pace, bounds: Bounds, pause: &dyn Fn(f64) -> u64| {
        for _ in 0..4_000 {
            now += Duration::from_millis(10);
            let room = pace.room().min(1.0);
            pace.saw(now, Duration::from_millis(pause(room)), bounds, || room);
        }
        pace.room()
    };
    let mut pace = Pace::default();

    let slow = settled(&mut pace, beside_a_slow_rank(170), &|room| {
        170 + (60.0 * room) as u64
    });
    let hopeless = settled(&mut Pace::default(), beside_a_slow_rank(400), &|room| {
        400 + (60.0 * room) as u64
    });
    let sound_again = settled(&mut pace, bounds(), &|room| 30 + (200.0 * room) as u64);

    expect_that!(slow, gt(0.9));
    // No caller would wait for the end of such a stream.
    expect_that!(hopeless, le(Pace::FIRST));
    expect_that!(30.0 + 200.0 * sound_again, lt(118.0));
}

/// Symptom: all streams are late at once. Sequence: the group is filled up to its slots
/// and every pass takes longer than the allowed pause. Cause: slots alone were the limit.
#[googletest::test]
fn as_much_is_admitted_as_stays_in_time() {
    let slow = settled_room(|room| 40 + (200.0 * room) as u64);
    let quick = settled_room(|room| 20 + (40.0 * room) as u64);

    let pause = 40.0 + 200.0 * slow;
    // In time is what stays below 120 ms, with a little left for the slowest tenth.
    expect_that!(pause, all![ge(80.0), lt(118.0)]);
    expect_that!(quick, gt(0.999));
}

#[googletest::test]
fn some_requests_are_admitted_whatever_the_pauses() {
    let room = settled_room(|_| 500);

    expect_that!(room, gt(0.1));
}

/// Symptom: for half a second after an outage callers are refused by a group that is nearly
/// empty. Sequence: room is the least, a gateway has three streams, and sees three pauses a
/// window. Cause: windows with too few pauses were thrown away.
#[googletest::test]
fn few_streams_suffice_to_learn_the_room() {
    let mut pace = Pace::default();

    for n in 0..24u64 {
        // Three streams, a pause of 50 ms each, one after the other.
        let now = Duration::from_millis(n * 50);
        pace.saw(now, Duration::from_millis(50), bounds(), || 0.25);
    }

    expect_that!(pace.room(), gt(0.45));
}

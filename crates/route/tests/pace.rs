//! How a gateway determines the fill limit of a group, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{FillController, PauseBounds};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn bounds() -> PauseBounds {
    PauseBounds {
        max_pause: Duration::from_millis(120),
        idle_pass: Duration::from_millis(30),
    }
}

/// Simulates a full group for `from..to`, in tens of ms, whose pauses grow with the admitted load
/// as `pause` says; returns the longest.
fn simulate(
    controller: &mut FillController,
    from: u64,
    to: u64,
    pause: impl Fn(f64) -> u64,
) -> u64 {
    let mut longest = 0;
    for n in from..to {
        let (now, limit) = (Duration::from_millis(n * 10), controller.fill_limit());
        let pause = pause(limit);
        longest = longest.max(pause);
        controller.observe_pause(now, Duration::from_millis(pause), bounds(), || limit);
    }
    longest
}

fn settled_limit(pause: impl Fn(f64) -> u64) -> f64 {
    let mut controller = FillController::default();
    simulate(&mut controller, 0, 4_000, pause);
    controller.fill_limit()
}

/// Guards against every stream being late whenever the load reaches the group's limit: stepwise,
/// the fill limit rises until pauses are too long, falls, and rises again. The limit was found by
/// exceeding it each time.
#[googletest::test]
fn limit_is_not_exceeded_again_once_found() {
    let mut controller = FillController::default();
    let group = |load: f64| 30 + (180.0 * load) as u64;
    simulate(&mut controller, 0, 100, group);

    let longest = simulate(&mut controller, 100, 4_000, group);

    expect_that!(longest, all![ge(80), lt(110)]);
}

/// Guards against late streams that start seconds after the demand for experts shifts: each request
/// suddenly takes twice as much of a pass, and the fill limit falls by a sixth per quarter of a
/// second while more is admitted. It was adjusted in steps although the cost was known.
#[googletest::test]
fn cost_jump_is_followed_within_two_windows() {
    let mut controller = FillController::default();
    simulate(&mut controller, 0, 400, |load| 30 + (80.0 * load) as u64);

    simulate(&mut controller, 400, 425, |load| 30 + (200.0 * load) as u64);

    expect_that!(30.0 + 200.0 * controller.fill_limit(), lt(110.0));
}

#[googletest::test]
fn single_stall_does_not_lower_the_fill_limit() {
    let mut controller = FillController::default();
    let group = |load: f64| 30 + (60.0 * load) as u64;
    simulate(&mut controller, 0, 400, group);

    simulate(&mut controller, 400, 413, |_| 900);

    expect_that!(controller.fill_limit(), gt(0.9));
}

/// Guards against all streams being late for seconds after an outage: callers wait for the group,
/// which runs again with a map that fits no demand, and half of its slots are filled at once. The
/// fill limit from before the outage was still used.
#[googletest::test]
fn fill_limit_restarts_at_the_minimum_after_an_outage() {
    let mut controller = FillController::default();
    simulate(&mut controller, 0, 400, |load| 30 + (60.0 * load) as u64);

    controller.reset();
    let limit = controller.fill_limit();
    simulate(&mut controller, 400, 520, |load| 30 + (60.0 * load) as u64);

    expect_that!(limit, le(0.25));
    expect_that!(controller.fill_limit(), gt(0.9));
}

/// Guards against refusing nine in ten callers, without any answer, for as long as one rank is
/// slow: passes take longer than allowed at any load, and the fill limit falls to the minimum and
/// stays there. Only streams in time were admitted, of which there can be none.
#[googletest::test]
fn late_answers_are_allowed_when_none_can_be_in_time() {
    let with_slow_rank = |ms: u64| PauseBounds {
        idle_pass: Duration::from_millis(ms),
        ..bounds()
    };
    let mut now = NOW;
    let mut settled = |controller: &mut FillController,
                       bounds: PauseBounds,
                       pause: &dyn Fn(f64) -> u64| {
        for _ in 0..4_000 {
            now += Duration::from_millis(10);
            let limit = controller.fill_limit().min(1.0);
            controller.observe_pause(now, Duration::from_millis(pause(limit)), bounds, || limit);
        }
        controller.fill_limit()
    };
    let mut controller = FillController::default();

    let slow = settled(&mut controller, with_slow_rank(170), &|load| {
        170 + (60.0 * load) as u64
    });
    let hopeless = settled(
        &mut FillController::default(),
        with_slow_rank(400),
        &|load| 400 + (60.0 * load) as u64,
    );
    let sound_again = settled(&mut controller, bounds(), &|load| {
        30 + (200.0 * load) as u64
    });

    expect_that!(slow, gt(0.9));
    // No caller would wait for such a stream to end.
    expect_that!(hopeless, le(FillController::INITIAL));
    expect_that!(30.0 + 200.0 * sound_again, lt(118.0));
}

/// Guards against all streams being late at once: the group is filled up to its slots and every
/// pass takes longer than the allowed pause. Slots were the only limit.
#[googletest::test]
fn load_is_admitted_up_to_the_allowed_pause() {
    let slow = settled_limit(|load| 40 + (200.0 * load) as u64);
    let quick = settled_limit(|load| 20 + (40.0 * load) as u64);

    let pause = 40.0 + 200.0 * slow;
    // In time is below 120 ms, with some margin for the slowest tenth.
    expect_that!(pause, all![ge(80.0), lt(118.0)]);
    expect_that!(quick, gt(0.999));
}

#[googletest::test]
fn some_requests_are_admitted_at_any_pause() {
    let limit = settled_limit(|_| 500);

    expect_that!(limit, gt(0.1));
}

/// Guards against refusing callers for half a second after an outage while the group is nearly
/// empty: at the minimum fill limit a gateway has three streams, and sees three pauses per window.
/// Windows with too few pauses were discarded.
#[googletest::test]
fn few_streams_suffice_to_raise_the_fill_limit() {
    let mut controller = FillController::default();

    for n in 0..24u64 {
        // Three streams with a pause of 50 ms each, one after the other.
        let now = Duration::from_millis(n * 50);
        controller.observe_pause(now, Duration::from_millis(50), bounds(), || 0.25);
    }

    expect_that!(controller.fill_limit(), gt(0.45));
}

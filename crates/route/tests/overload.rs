//! What callers get from an overloaded group, simulated without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{FillController, PauseBounds, fill_limit_for};
use googletest::prelude::*;
use std::time::Duration;

/// Minimum time in tenths of a second for which a stream holds its slot, and how much longer the
/// longest does.
const STREAM_MIN: usize = 10;
const STREAM_SPREAD: usize = 11;
const SLOTS: f64 = 144.0;
/// Requests per tenth of a second: the group can serve 9.6.
const BURST: usize = 13;
const NORMAL: usize = 8;
/// Tenths of a second from a refusal to its retry: the minimum, and how much longer the longest is.
const RETRY_MIN: usize = 9;
const RETRY_SPREAD: usize = 14;
/// Length in tenths of a second of the burst, and of the simulation.
const BURST_LEN: usize = 60;
const SIMULATION_LEN: usize = 160;

/// Requests per tenth of a second that take seven in ten slots.
const STEADY: usize = 7;
/// Tenths of a second for which an outage makes the group unavailable.
const OUTAGE_LEN: usize = 20;

/// What became of the requests of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Started in time in the first six seconds.
    early: usize,
    /// Started in time after that.
    after: usize,
    /// Never started: each caller retries once.
    lost: usize,
}

/// Simulates `fresh` new requests per tenth of a second, with `fill_limit` for late and other ones.
fn simulate(fresh: impl Fn(usize) -> usize, fill_limit: impl Fn(usize, bool) -> f64) -> Outcome {
    let mut ends = vec![0usize; SIMULATION_LEN + STREAM_MIN + STREAM_SPREAD];
    let mut retries = vec![0usize; SIMULATION_LEN + RETRY_MIN + RETRY_SPREAD];
    let mut outcome = Outcome::default();
    let (mut load, mut streams, mut refused) = (0usize, 0usize, 0usize);
    for now in 0..SIMULATION_LEN {
        load -= ends[now];
        let mut admit = |count: usize, late: bool, load: &mut usize| {
            let free = (SLOTS * fill_limit(now, late)) as usize;
            let admitted = count.min(free.saturating_sub(*load));
            *load += admitted;
            for _ in 0..admitted {
                streams += 1;
                ends[now + STREAM_MIN + streams * 7 % STREAM_SPREAD] += 1;
            }
            admitted
        };
        let fresh = fresh(now);
        // Retries and first attempts arrive alternately.
        let (early, late) = (fresh / 2, retries[now]);
        let mut in_time = admit(early, false, &mut load);
        outcome.lost += late - admit(late, true, &mut load);
        in_time += admit(fresh - early, false, &mut load);
        for _ in in_time..fresh {
            refused += 1;
            retries[now + RETRY_MIN + refused * 5 % RETRY_SPREAD] += 1;
        }
        match now < BURST_LEN {
            true => outcome.early += in_time,
            false => outcome.after += in_time,
        }
    }
    outcome
}

fn burst(now: usize) -> usize {
    if now < BURST_LEN { BURST } else { NORMAL }
}

/// Guards against most streams being late until long after a burst: part of the burst is refused;
/// the refused callers retry, too late, and take the slots of first attempts, which are refused and
/// retry in turn. Late requests got all of the fill limit.
#[googletest::test]
fn retries_leave_capacity_for_requests_in_time() {
    let separate = simulate(burst, |_, late| fill_limit_for(late, 1.0));
    let shared = simulate(burst, |_, _| 1.0);

    expect_that!(separate.early as f64, ge(1.1 * shared.early as f64));
    expect_that!(separate.after, ge(shared.after));
    // All that arrive after the burst, but for the first second.
    expect_that!(
        separate.after,
        ge((SIMULATION_LEN - BURST_LEN - 10) * NORMAL)
    );
}

/// Fill limit of a group whose passes take this long with all slots taken, of 120 ms allowed.
fn fill_limit_when_full_passes_take(pause: Duration) -> f64 {
    let bounds = PauseBounds {
        max_pause: Duration::from_millis(120),
        idle_pass: Duration::from_millis(30),
    };
    let mut controller = FillController::default();
    for n in 0..400 {
        controller.observe_pause(Duration::from_millis(n * 50), pause, bounds, || 1.0);
    }
    controller.fill_limit()
}

/// Guards against refusing hundreds of retries for good after an outage while passes take half of
/// the allowed pause: the slots run out long before passes get long, and retries get only a part of
/// them. The fill limit was capped at the slots before taking that part.
#[googletest::test]
fn retries_get_all_slots_when_slots_are_the_limit() {
    let allowed = fill_limit_when_full_passes_take(Duration::from_millis(60));
    let with_outage = |now: usize, fill_limit: f64| if now < OUTAGE_LEN { 0.0 } else { fill_limit };

    let uncapped = simulate(
        |_| STEADY,
        |now, late| with_outage(now, fill_limit_for(late, allowed)),
    );
    let capped = simulate(
        |_| STEADY,
        |now, late| with_outage(now, fill_limit_for(late, 1.0)),
    );

    // What does not fit into the slots is lost in either case; without the cap a third less is.
    expect_that!(uncapped.lost * 3, le(capped.lost * 2));
    // Requests in time lose little by it once the group runs.
    let (in_time, in_time_capped) = (uncapped.early + uncapped.after, capped.early + capped.after);
    expect_that!(in_time as f64, ge(0.95 * in_time_capped as f64));
}

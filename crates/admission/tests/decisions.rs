//! The single decisions: reserve, rank, floor, wait and retry delay.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_admission::{
    Admission, FirstEvents, LoadLimits, Rank, RetryInput, RetrySchedule, ServiceCapacity,
    reserved_slots,
};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const CAPACITY: ServiceCapacity = ServiceCapacity {
    slots: 720.0,
    gateways: 40,
};
const LIMITS: LoadLimits = LoadLimits {
    in_time: 1.0,
    late: 0.6,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn rank(priority: u32, late: bool) -> Rank {
    Rank { priority, late }
}

/// Arrivals of a priority at an even rate for five seconds.
fn with_rate(priority: u32, per_second: u64) -> Admission {
    let mut admission = Admission::default();
    for n in 0..5 * per_second {
        admission.record_arrival(ms(n * 1_000 / per_second), priority);
    }
    admission
}

fn input(priority: u32, waiting: usize) -> RetryInput {
    RetryInput {
        priority,
        waiting,
        start_rate: 10.0,
        urgent_rate: 4.0,
        latest: ms(2_500),
    }
}

/// Guards against slots that stay empty although no more urgent requests arrive.
#[gtest]
fn nothing_is_reserved_where_no_more_urgent_requests_arrive() {
    let admission = with_rate(2, 10);
    expect_that!(
        admission.reserve(ms(5_000), rank(2, false), CAPACITY),
        eq(0.0)
    );
    expect_that!(
        admission.reserve(ms(60_000), rank(3, false), CAPACITY),
        eq(0.0)
    );
}

/// Guards against a reserve that is too small for the urgent requests that arrive while the view of
/// the load lags, and against a rate that is not a number.
#[gtest]
fn the_reserve_is_the_arrivals_within_the_lag_and_two_deviations() {
    let admission = with_rate(0, 2);
    let reserve = admission.reserve(ms(4_999), rank(1, false), CAPACITY) * CAPACITY.slots;
    // 2 per second at each of 40 gateways.
    expect_that!(reserve, near(16.0 + 2.0 * 4.0, 0.01));
    expect_that!(reserved_slots(80.0, ms(200), 7.0), near(16.0 + 14.0, 0.01));
    expect_that!(reserved_slots(f64::NAN, ms(200), 0.0), eq(0.0));
}

/// Guards against a reserve that follows a burst only after the burst has ended.
#[gtest]
fn a_burst_shows_in_the_rate_within_a_second() {
    let mut admission = with_rate(0, 10);
    for n in 0..30 {
        admission.record_arrival(ms(5_000 + n * 33), 0);
    }
    expect_that!(admission.local_rate(ms(5_999), 1), ge(20.0));
}

/// Guards against a retry that queues behind newcomers of lower urgency and is never served in a
/// burst.
#[gtest]
fn a_retry_is_placed_before_less_urgent_newcomers_and_may_use_as_much_load() {
    let admission = with_rate(0, 2);
    let (retry, newcomer) = (rank(0, true), rank(1, false));
    expect_that!(retry.queue_priority(), gt(newcomer.queue_priority()));
    let load = |rank| admission.max_load(ms(4_999), rank, LIMITS, CAPACITY, 0.0);
    expect_that!(load(retry), ge(load(newcomer)));
    expect_that!(load(rank(5, true)), ge(LIMITS.late));
}

/// Guards against services of one priority that are admitted differently from before there were
/// ranks.
#[gtest]
fn requests_of_one_priority_keep_their_order_and_load() {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..10_000 {
        let (priority, late) = (rng.random_range(0..14_u32), rng.random_bool(0.5));
        let earlier = 2 * 10_u32.saturating_sub(priority) + u32::from(!late);
        expect_that!(rank(priority, late).queue_priority(), eq(earlier));
        let mut admission = Admission::default();
        for _ in 0..rng.random_range(0..20) {
            admission.record_arrival(ms(rng.random_range(0..5_000)), priority);
        }
        let limits = LoadLimits {
            in_time: rng.random_range(0.25..1.0),
            late: 0.1,
        };
        let load = admission.max_load(ms(5_000), rank(priority, false), limits, CAPACITY, 0.0);
        expect_that!(load, eq(limits.in_time));
        expect_that!(admission.due(ms(5_000), &[priority]), none());
    }
}

/// Guards against less urgent requests that are starved while urgent ones take all capacity.
#[gtest]
fn a_waiting_priority_has_its_turn_after_a_number_of_starts() {
    let mut admission = Admission::default();
    for n in 0..100 {
        admission.record_arrival(ms(n * 50), u32::from(n % 2 == 0));
    }
    let now = ms(5_000);
    let starts = (1..=40).find(|_| {
        admission.record_start(0);
        admission.due(now, &[0, 1]) == Some(1)
    });
    // Half of the arrivals: 0.3 of a half of the starts.
    expect_that!(starts, some(eq(6)));
    admission.record_start(1);
    expect_that!(admission.due(now, &[0, 1]), none());
}

/// Guards against requests that wait so long that their first event is late, or are refused
/// although they could still be in time.
#[gtest]
fn the_wait_is_what_the_first_event_leaves_of_the_target() {
    let mut events = FirstEvents::default();
    expect_that!(events.tail(), none());
    for n in 0..64 {
        events.record(ms(200 + n));
    }
    let mut admission = Admission::default();
    admission.first_events = events;
    expect_that!(admission.max_wait(ms(1_000), ms(400)), eq(ms(1_000 - 259)));
    expect_that!(admission.max_wait(ms(400), ms(160)), eq(ms(160)));
}

/// Guards against requests that are refused together, retry together and are refused together
/// again, and against retry-after times that callers do not honour.
#[gtest]
fn retries_are_spread_and_never_later_than_callers_honour() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut schedule = RetrySchedule::default();
    let mut delays: Vec<Duration> = (0..200)
        .map(|_| schedule.delay(Duration::ZERO, &input(2, 0), rng.random()))
        .collect();
    delays.sort_unstable();
    expect_that!(delays.last().unwrap(), le(&ms(2_500)));
    expect_that!(delays.first().unwrap(), ge(&ms(900)));
    let busiest = delays.chunk_by(|a, b| a.as_millis() / 100 == b.as_millis() / 100);
    expect_that!(busiest.map(<[Duration]>::len).max().unwrap(), le(80));
}

/// Guards against an urgent request that is refused and comes back after the less urgent ones.
#[gtest]
fn more_urgent_requests_retry_earlier() {
    for waiting in [0, 5, 50] {
        let mut schedule = RetrySchedule::default();
        for _ in 0..waiting {
            schedule.delay(Duration::ZERO, &input(1, waiting), 0.5);
        }
        let urgent = schedule.delay(Duration::ZERO, &input(0, 0), 0.5);
        let least = schedule.delay(Duration::ZERO, &input(2, waiting), 0.5);
        expect_that!(urgent, le(least));
    }
}

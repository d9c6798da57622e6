//! Backend servers that owe answers and send nothing, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{Fleet, PickArgs, ResponseTimer, Server};
use googletest::prelude::*;
use std::time::Duration;

const START: Duration = Duration::from_secs(100);
const DOUBT_AFTER: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(300);
const SLOTS: u32 = 4;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Backend servers b0, b1, ... of one service.
fn fleet(servers: u32) -> Fleet {
    let mut fleet = Fleet::new("d0");
    for n in 0..servers {
        let address = ([10, 0, 0, n as u8], 80).into();
        let mut server = Server::new(&format!("b{n}"), "s", address, "d0", SLOTS);
        server.start_time = 1;
        fleet.upsert(server);
    }
    fleet
}

fn pick(fleet: &Fleet, now: Duration) -> String {
    let args = PickArgs {
        service: "s",
        tried: &[],
        final_attempt: false,
        doubt_after: DOUBT_AFTER,
        fill_limit: &|_| 1.0,
    };
    let picked = fleet.pick(now, &args, || 0.0);
    picked.map(|s| s.id.clone()).unwrap_or_default()
}

/// Guards against a frozen instance that attracts all requests once its callers have left.
#[googletest::test]
fn a_silent_backend_server_is_picked_only_if_no_other_has_capacity() {
    let mut fleet = fleet(2);
    fleet.mark_silent("b0");

    let with_capacity: Vec<_> = (0..SLOTS)
        .map(|_| {
            let id = pick(&fleet, START);
            fleet.record_sent(START, &id);
            id
        })
        .collect();

    expect_that!(with_capacity, each(eq("b1")));
    expect_that!(pick(&fleet, START), eq("b0"));
}

/// Guards against requests that follow the first one to an instance that stands still, before that
/// one is overdue.
#[googletest::test]
fn a_backend_server_that_owes_an_answer_for_long_is_avoided() {
    let mut fleet = fleet(2);
    fleet.record_sent(START, "b0");
    fleet.record_sent(START, "b1");
    fleet.record_sent(START, "b1");
    fleet.record_heard(START + ms(150), "b1", 1);

    expect_that!(pick(&fleet, START + ms(199)), eq("b0"));
    expect_that!(pick(&fleet, START + ms(200)), eq("b1"));
}

#[googletest::test]
fn a_backend_server_without_requests_owes_nothing() {
    let mut fleet = fleet(2);
    fleet.record_sent(START, "b0");
    fleet.record_end("b0", 1);
    fleet.record_sent(START, "b1");

    expect_that!(pick(&fleet, START + ms(500)), eq("b0"));
}

#[googletest::test]
fn a_backend_server_that_is_heard_is_used_again() {
    let mut fleet = fleet(2);
    expect_true!(fleet.mark_silent("b0"));
    expect_false!(fleet.mark_silent("b0"));
    fleet.record_sent(START, "b1");

    expect_true!(fleet.record_heard(START, "b0", 1));

    expect_false!(fleet.is_silent("b0", 1));
    expect_that!(pick(&fleet, START), eq("b0"));
}

/// Guards against a late answer of an earlier start that vouches for its silent successor.
#[googletest::test]
fn an_earlier_start_does_not_count_as_a_sign_of_life() {
    let mut fleet = fleet(2);
    fleet.mark_silent("b0");

    expect_false!(fleet.record_heard(START, "b0", 0));

    expect_true!(fleet.is_silent("b0", 1));
}

/// Guards against requests that all change places while the whole service pauses, for example for a
/// new map, or after this process stood still.
#[googletest::test]
fn silence_of_most_backend_servers_is_common() {
    let mut fleet = fleet(4);
    for n in 0..4 {
        fleet.record_sent(START, &format!("b{n}"));
    }
    let now = START + TIMEOUT;
    let is_common = |fleet: &Fleet| fleet.is_silence_common(now, "b0", TIMEOUT);

    let none_heard = is_common(&fleet);
    fleet.record_heard(now - ms(20), "b1", 1);
    let one_heard = is_common(&fleet);
    fleet.record_heard(now - ms(20), "b2", 1);
    let two_heard = is_common(&fleet);

    expect_that!((none_heard, one_heard, two_heard), eq((true, true, false)));
}

#[googletest::test]
fn silence_of_the_only_one_that_owes_an_answer_is_not_common() {
    let mut fleet = fleet(4);
    fleet.record_sent(START, "b0");

    expect_false!(fleet.is_silence_common(START + TIMEOUT, "b0", TIMEOUT));
}

#[googletest::test]
fn answers_are_overdue_by_their_usual_time_and_its_deviation() {
    let mut steady = ResponseTimer::default();
    let mut varying = ResponseTimer::default();
    for n in 0..200 {
        steady.record(ms(100));
        varying.record(ms(if n % 2 == 0 { 60 } else { 140 }));
    }
    let timeout = |timer: &ResponseTimer| timer.timeout(ms(50), ms(1_000));

    expect_that!(
        ResponseTimer::default().timeout(ms(50), ms(1_000)),
        eq(ms(1_000))
    );
    expect_that!(timeout(&steady), all!(ge(ms(100)), lt(ms(105))));
    expect_that!(timeout(&varying), all!(gt(ms(220)), lt(ms(300))));
    expect_that!(varying.timeout(ms(400), ms(1_000)), eq(ms(400)));
    expect_that!(varying.timeout(ms(50), ms(150)), eq(ms(150)));
}

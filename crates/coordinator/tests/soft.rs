//! Soft state of coordinators: the directory, and which gateways are behind.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{Directory, Lag};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn gateway(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[googletest::test]
fn gateways_that_are_silent_or_not_ready_are_left_out() {
    let mut directory = Directory::default();
    directory.hear(at(0), gateway(1), gateway(1), true);
    directory.hear(at(1_000), gateway(2), gateway(2), true);
    directory.hear(at(1_000), gateway(3), gateway(3), false);

    expect_that!(directory.addresses(at(1_500)).len(), eq(2));
    expect_that!(directory.addresses(at(2_000)), eq(&vec![gateway(2)]));
}

/// Symptom: callers get no address though gateways serve. Sequence: a coordinator is cut
/// off from all gateways. Cause: silence of all was taken for the end of all.
#[googletest::test]
fn where_all_are_silent_those_known_are_named() {
    let mut directory = Directory::default();
    directory.hear(at(0), gateway(1), gateway(1), true);
    directory.hear(at(0), gateway(2), gateway(2), true);

    expect_that!(directory.addresses(at(5_000)).len(), eq(2));
    expect_that!(directory.addresses(at(16_000)).len(), eq(0));
}

/// Symptom: a gateway acts on an old document for seconds. Sequence: the coordinator that
/// tells it is down while documents come every 300 ms. Cause: the others waited for the
/// newest document to get old.
#[googletest::test]
fn a_gateway_that_stays_behind_is_helped_in_a_storm() {
    let mut lag = Lag::default();

    let asked: Vec<bool> = (0..4)
        .map(|n| lag.late(at(n * 400), gateway(1), 5))
        .collect();
    let moved_on = lag.late(at(1_600), gateway(1), 6);
    let knows_none = lag.late(at(0), gateway(2), 0);

    expect_that!(asked, eq(&vec![false, false, true, true]));
    expect_that!((moved_on, knows_none), eq((false, true)));
}

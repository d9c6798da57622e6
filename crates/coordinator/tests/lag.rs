//! Gateways that are behind, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::Lag;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn gateway(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Failure: a gateway acts on an old document for seconds. The coordinator assigned to it is down
/// while documents arrive every 300 ms, and the others waited for the newest document to age.
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

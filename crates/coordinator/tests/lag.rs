//! Gateways that are behind, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::GatewayLag;
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
fn a_gateway_that_stays_behind_is_helped_during_frequent_updates() {
    let mut lag = GatewayLag::default();

    let helped: Vec<bool> = (0..4)
        .map(|n| lag.needs_help(at(n * 400), gateway(1), 5))
        .collect();
    let advanced = lag.needs_help(at(1_600), gateway(1), 6);
    let without_document = lag.needs_help(at(0), gateway(2), 0);

    expect_that!(helped, eq(&vec![false, false, true, true]));
    expect_that!((advanced, without_document), eq((false, true)));
}

//! Which coordinator sends a gateway its documents.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::assigned_coordinator;
use googletest::prelude::*;
use std::net::SocketAddr;

fn address(domain: u8, host: u8) -> SocketAddr {
    SocketAddr::from(([10, domain, 0, host], 7340))
}

/// Guards against gateways that get each document about a second late, for two minutes or, if it is
/// one of the seeds, for ever: they are assigned to a coordinator that was replaced.
#[gtest]
fn no_gateway_is_assigned_to_a_coordinator_that_is_gone() {
    let coordinators: Vec<SocketAddr> = (1..=4).map(|n| address(n, 40)).collect();
    let gateways = (1..=60).map(|n| address(n % 3 + 1, n));
    for gone in &coordinators {
        for gateway in gateways.clone() {
            // Each of those that are there has its own order of the others.
            let views = (0..4).map(|turns| {
                let mut view = coordinators.clone();
                view.rotate_left(turns);
                assigned_coordinator(gateway, view, |inbox| inbox == gone)
            });
            let views: Vec<Option<SocketAddr>> = views.collect();

            let assigned = views[0].unwrap();
            expect_that!(assigned, not(eq(*gone)), "{gateway}");
            expect_that!(views, eq(&vec![Some(assigned); 4]), "{gateway}");
        }
    }
}

//! Which gateways get changes of backend servers from a coordinator, and when.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::Subscribers;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn gateway(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 7340).into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[googletest::test]
fn those_that_know_as_much_are_told_the_same_once() {
    let mut subscribers = Subscribers::default();
    subscribers.told(gateway(1), 3);
    subscribers.told(gateway(2), 3);
    subscribers.told(gateway(3), 5);

    let first = subscribers.behind(at(0), 6, false);
    let again = subscribers.behind(at(1_000), 6, false);

    expect_that!(first.get(&3), some(eq(&vec![gateway(1), gateway(2)])));
    expect_that!(first.get(&5), some(eq(&vec![gateway(3)])));
    expect_true!(again.is_empty());
}

/// Guards against a message to each gateway for each of many changes.
#[googletest::test]
fn changes_in_quick_succession_are_told_together() {
    let mut subscribers = Subscribers::default();
    subscribers.told(gateway(1), 0);

    let pushes = (1..=100).map(|n| subscribers.behind(at(10 * n), n, false).len());
    let pushes: usize = pushes.sum();

    expect_that!(pushes, le(6));
}

/// Guards against requests to a backend server that leaves, from gateways that learn of it later.
#[googletest::test]
fn what_is_urgent_is_told_at_once() {
    let mut subscribers = Subscribers::default();
    subscribers.told(gateway(1), 0);
    subscribers.behind(at(0), 1, false);

    let soon = subscribers.behind(at(10), 2, false);
    let urgent = subscribers.behind(at(10), 2, true);

    expect_true!(soon.is_empty());
    expect_that!(urgent.get(&1), some(eq(&vec![gateway(1)])));
}

#[googletest::test]
fn one_that_others_tell_is_told_no_more() {
    let mut subscribers = Subscribers::default();
    subscribers.told(gateway(1), 0);

    subscribers.drop(gateway(1));

    expect_false!(subscribers.has(gateway(1)));
    expect_true!(subscribers.behind(at(0), 9, true).is_empty());
}

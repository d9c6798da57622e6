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
fn gateways_with_the_same_cursor_get_the_same_changes_once() {
    let mut subscribers = Subscribers::default();
    subscribers.record_sent(gateway(1), 3);
    subscribers.record_sent(gateway(2), 3);
    subscribers.record_sent(gateway(3), 5);

    let first = subscribers.take_behind(at(0), 6, false);
    let again = subscribers.take_behind(at(1_000), 6, false);

    expect_that!(first.get(&3), some(eq(&vec![gateway(1), gateway(2)])));
    expect_that!(first.get(&5), some(eq(&vec![gateway(3)])));
    expect_true!(again.is_empty());
}

/// Guards against a message to each gateway for each of many changes.
#[googletest::test]
fn changes_in_quick_succession_are_batched() {
    let mut subscribers = Subscribers::default();
    subscribers.record_sent(gateway(1), 0);

    let pushes = (1..=100).map(|n| subscribers.take_behind(at(10 * n), n, false).len());
    let pushes: usize = pushes.sum();

    expect_that!(pushes, le(6));
}

/// Guards against requests to a backend server that leaves, from gateways that learn of it later.
#[googletest::test]
fn urgent_changes_are_sent_at_once() {
    let mut subscribers = Subscribers::default();
    subscribers.record_sent(gateway(1), 0);
    subscribers.take_behind(at(0), 1, false);

    let soon = subscribers.take_behind(at(10), 2, false);
    let urgent = subscribers.take_behind(at(10), 2, true);

    expect_true!(soon.is_empty());
    expect_that!(urgent.get(&1), some(eq(&vec![gateway(1)])));
}

#[googletest::test]
fn a_removed_subscriber_gets_no_more_changes() {
    let mut subscribers = Subscribers::default();
    subscribers.record_sent(gateway(1), 0);

    subscribers.remove(gateway(1));

    expect_false!(subscribers.contains(gateway(1)));
    expect_true!(subscribers.take_behind(at(0), 9, true).is_empty());
}

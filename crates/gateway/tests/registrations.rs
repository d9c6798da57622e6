//! Registrations that a gateway keeps, and when it drops them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::Limit;
use bn_gateway::Registrations;
use bn_registry::{Condition, Record, SharedRecord};
use googletest::prelude::*;
use indexmap::IndexSet;
use std::net::SocketAddr;
use std::time::Duration;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn coordinator(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn record(start_time: u64, condition: Condition) -> Record {
    Record {
        id: "a".into(),
        start_time,
        service: "s".into(),
        address: Some(([10, 0, 0, 1], 80).into()),
        domain: "d".into(),
        slots: 4,
        condition,
        sequence: 5,
        group: String::new(),
        slowdown: 0,
        rank_version: 0,
        limit: Limit::default(),
        cold_left: None,
    }
}

/// A gateway that knows backend server `a`.
fn registrations(start_time: u64) -> Registrations {
    let mut registrations = Registrations::default();
    registrations.insert(at(0), record(start_time, Condition::Ready));
    registrations
}

/// What a coordinator sends that forgot `a` after the announcement `sequence`, or has not.
fn sent(sequence: u64, forgotten: bool) -> SharedRecord {
    SharedRecord {
        contact_sequence: sequence,
        forgotten,
        ..SharedRecord::announced(record(1, Condition::Ready))
    }
}

fn evicted(registrations: &mut Registrations, now: Duration, answered: Option<Duration>) -> bool {
    let subscriptions = [coordinator(1), coordinator(2)];
    let evicted = registrations.evict_expired(now, &subscriptions, |_| answered);
    !evicted.is_empty()
}

/// Guards against dropping a live backend server as one coordinator lags behind the others.
#[googletest::test]
fn a_backend_server_is_dropped_once_all_subscriptions_have_forgotten_it() {
    let mut registrations = registrations(1);

    registrations.record_source(at(1), coordinator(1), &sent(9, true));
    registrations.record_source(at(1), coordinator(3), &sent(9, true));
    let one = evicted(&mut registrations, at(1), None);
    registrations.record_source(at(2), coordinator(2), &sent(9, true));
    registrations.record_source(at(2), coordinator(1), &sent(10, false));
    let revived = evicted(&mut registrations, at(2), None);
    registrations.record_source(at(3), coordinator(1), &sent(10, true));
    let both = evicted(&mut registrations, at(3), None);

    expect_that!((one, revived, both), eq((false, false, true)));
    expect_that!(registrations.get("a"), none());
}

/// Guards against dropping a backend server that serves: none of those in touch can be reached by it.
#[googletest::test]
fn a_backend_server_that_answers_is_kept() {
    let mut registrations = registrations(1);
    for n in [1, 2] {
        registrations.record_source(at(1), coordinator(n), &sent(9, true));
    }

    let answering = evicted(&mut registrations, at(100), Some(at(50)));
    let silent = evicted(&mut registrations, at(110), Some(at(50)));

    expect_that!((answering, silent), eq((false, true)));
}

#[googletest::test]
fn later_announcements_and_starts_are_kept() {
    let mut announced = registrations(1);
    let mut restarted = registrations(2);
    for n in [1, 2] {
        announced.record_source(at(1), coordinator(n), &sent(4, true));
        restarted.record_source(at(1), coordinator(n), &sent(90, true));
    }

    expect_that!(evicted(&mut announced, at(2), None), eq(false));
    expect_that!(evicted(&mut restarted, at(2), None), eq(false));
}

/// Guards against memory that grows with each backend server that ever departed.
#[googletest::test]
fn departures_are_remembered_for_ten_minutes() {
    let mut registrations = Registrations::default();
    registrations.insert(at(10), record(1, Condition::Gone));

    evicted(&mut registrations, at(609), None);
    let soon = registrations.get("a").is_some();
    evicted(&mut registrations, at(610), None);

    expect_that!(soon, eq(true));
    expect_that!(registrations.get("a"), none());
}

/// Guards against a backend server that is kept for ever: it ended while all coordinators restarted,
/// so that none of them knows it, or could forget it.
#[googletest::test]
fn what_no_subscription_lists_is_dropped_after_the_contact_timeout() {
    let mut unknown = registrations(1);
    let mut announced = registrations(1);
    for registrations in [&mut unknown, &mut announced] {
        for n in [1, 2] {
            registrations.record_full_list(at(1), coordinator(n), &IndexSet::new());
        }
    }
    announced.record_source(at(3), coordinator(2), &sent(6, false));

    let early = evicted(&mut unknown, at(60), None);
    let dropped = evicted(&mut unknown, at(61), None);
    let kept = evicted(&mut announced, at(61), None);

    expect_that!((early, dropped, kept), eq((false, true, false)));
}

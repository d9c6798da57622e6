//! Steps of a departure.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::Limit;
use bn_coordinator::{Departure, Health, Step};
use bn_registry::{Condition, Record, Registry};
use googletest::prelude::*;
use std::net::IpAddr;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn voters() -> Vec<IpAddr> {
    (1..=3).map(|n| [10, 0, 0, n].into()).collect()
}

/// A table that knows a start of `a`.
fn table(start_time: u64) -> Registry {
    let mut registry = Registry::default();
    registry.announce(at(0), record(start_time));
    registry
}

fn record(start_time: u64) -> Record {
    Record {
        id: "a".into(),
        start_time,
        service: "s".into(),
        address: Some(([10, 0, 1, 1], 80).into()),
        domain: "d".into(),
        slots: 4,
        condition: Condition::Ready,
        sequence: 1,
        group: String::new(),
        slowdown: 0,
        rank_version: 0,
        limit: Limit::default(),
        cold_left: None,
    }
}

fn next(departure: &mut Departure, now: u64, registry: &Registry) -> Step {
    let voters = voters();
    departure.next_step(at(now), registry, voters[0], &voters)
}

/// Guards against acknowledging a departure that gateways in touch cannot have been told of, also
/// where the start is named.
#[googletest::test]
fn only_a_majority_acknowledges() {
    for start_time in [None, Some(5)] {
        let mut registry = table(5);
        let mut departure = Departure::new(at(0), "a", start_time);

        let first = next(&mut departure, 0, &registry);
        registry.record_departure(at(0), "a", 5);
        let alone = next(&mut departure, 100, &registry);
        departure.record_answer(voters()[2]);
        let confirmed = next(&mut departure, 200, &registry);

        expect_that!(first, eq(Step::Depart(5)));
        expect_that!((alone, confirmed), eq((Step::Wait, Step::Acknowledge)));
    }
}

/// Guards against a sender that waits for longer than its second.
#[googletest::test]
fn an_unconfirmed_departure_is_refused_in_time() {
    let mut registry = table(5);
    registry.record_departure(at(0), "a", 5);
    let mut departure = Departure::new(at(0), "a", None);

    let steps = [699, 700].map(|now| next(&mut departure, now, &registry));

    expect_that!(steps, eq([Step::Wait, Step::Refuse]));
}

#[googletest::test]
fn a_named_departure_of_an_earlier_start_changes_nothing() {
    let registry = table(5);
    let mut departure = Departure::new(at(0), "a", Some(4));
    departure.record_answer(voters()[1]);

    expect_that!(next(&mut departure, 0, &registry), eq(Step::Acknowledge));
}

#[googletest::test]
fn a_named_departure_of_an_unknown_start_is_recorded() {
    let mut departure = Departure::new(at(0), "a", Some(9));

    expect_that!(next(&mut departure, 0, &table(5)), eq(Step::Depart(9)));
}

/// Guards against a full backend server, whose health check shows nothing, that is never checked
/// again.
#[googletest::test]
fn a_check_that_shows_nothing_is_repeated() {
    let mut registry = table(4);
    registry.announce(at(0), record(5));
    let mut departure = Departure::new(at(0), "a", None);

    let first = next(&mut departure, 0, &registry);
    let waiting = next(&mut departure, 50, &registry);
    departure.record_health(at(100), Health::Unknown);
    let early = next(&mut departure, 110, &registry);
    let again = next(&mut departure, 220, &registry);
    departure.record_health(at(230), Health::Leaving);
    let leaving = next(&mut departure, 230, &registry);

    expect_that!((first, waiting), eq((Step::CheckHealth, Step::Wait)));
    expect_that!((early, again), eq((Step::Wait, Step::CheckHealth)));
    expect_that!(leaving, eq(Step::Depart(5)));
}

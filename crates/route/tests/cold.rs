//! Cold backend servers and slow starts at one gateway, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::{ColdSource, GatewaySet};
use bn_route::{ColdRegistration, ColdTerms, Fleet, PickArgs, Server};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const COLD: Duration = Duration::from_secs(3);
const WALL_MS: u64 = 1_800_000_000_000;

/// A gateway that is the only one, with terms for service `s`.
fn fleet(now: Duration) -> Fleet {
    let mut fleet = Fleet::new("d0");
    let own = ([10, 1, 0, 1], 80).into();
    let set = GatewaySet {
        own: Some(own),
        gateways: vec![own],
        ..GatewaySet::default()
    };
    fleet.set_gateways(now.saturating_sub(Duration::from_secs(50)), set, || 0.0);
    set_terms(&mut fleet, now);
    fleet
}

fn set_terms(fleet: &mut Fleet, now: Duration) {
    let terms = ColdTerms {
        time: COLD,
        bound: 2.0,
    };
    let terms = [("s".to_string(), terms)].into_iter().collect();
    fleet.set_cold_terms(now, terms, || 0.0);
}

fn register(fleet: &mut Fleet, now: Duration, id: &str, start_time: u64, left: Option<u64>) {
    let mut server = Server::new(id, "s", ([10, 0, 0, 1], 80).into(), "d0", 4);
    server.start_time = start_time;
    fleet.upsert(server);
    let registration = ColdRegistration {
        left: left.map(Duration::from_millis),
        wall_ms: WALL_MS,
    };
    fleet.on_cold_registration(now, id, registration, 0.0);
}

fn cold(fleet: &Fleet, now: Duration, id: &str) -> Option<(u128, ColdSource)> {
    let (until, source) = fleet.get(id).unwrap().backpressure.cold(now)?;
    Some(((until - now).as_millis(), source))
}

/// Number of requests that are placed before all backend servers are full.
fn capacity(fleet: &Fleet, now: Duration) -> usize {
    let mut fleet = fleet.clone();
    let args = PickArgs {
        service: "s",
        tried: &[],
        final_attempt: false,
        doubt_after: Duration::MAX,
        fill_limit: &|_| 1.0,
    };
    let mut placed = 0;
    while let Ok(server) = fleet.pick(now, &args, || 0.0) {
        let id = server.id.clone();
        fleet.record_sent(now, &id);
        placed += 1;
    }
    placed
}

/// Failure: a start without an announced time isn't taken for cold, or the assumption overrides an
/// announcement.
#[googletest::test]
fn a_start_is_cold_as_announced_or_else_as_assumed() {
    let mut fleet = fleet(NOW);

    register(&mut fleet, NOW, "silent", 1, None);
    register(&mut fleet, NOW, "cold", 1, Some(1_000));
    register(&mut fleet, NOW, "warm", 1, Some(0));

    expect_that!(
        cold(&fleet, NOW, "silent"),
        some(eq((3_000, ColdSource::Assumed)))
    );
    expect_that!(
        cold(&fleet, NOW, "cold"),
        some(eq((1_000, ColdSource::Announced)))
    );
    expect_that!(cold(&fleet, NOW, "warm"), none());
    let changed: Vec<String> = fleet
        .take_cold_changes()
        .into_iter()
        .map(|c| c.id)
        .collect();
    expect_that!(changed, eq(&["silent".to_string(), "cold".into()]));
    expect_that!(fleet.cold_count(NOW), eq(2));
}

/// Failure: a gateway that was restarted and hears of backend servers before its document sends
/// them all its load.
#[googletest::test]
fn terms_that_become_known_later_apply_to_registered_backend_servers() {
    let mut fleet = Fleet::new("d0");
    register(&mut fleet, NOW, "a", 1, None);
    register(&mut fleet, NOW, "b", 1, Some(0));

    set_terms(&mut fleet, NOW + Duration::from_millis(500));

    let later = NOW + Duration::from_millis(500);
    expect_that!(
        cold(&fleet, later, "a"),
        some(eq((2_500, ColdSource::Assumed)))
    );
    expect_that!(cold(&fleet, later, "b"), none());
}

/// Failure: after an evacuation, the failure domain's backend servers get the full load at once.
#[googletest::test]
fn backend_servers_are_assumed_cold_after_an_evacuation() {
    let mut fleet = fleet(NOW);
    register(&mut fleet, NOW, "a", 1, Some(0));

    fleet.assume_cold(NOW, "d1", || 0.0);
    let other = cold(&fleet, NOW, "a");
    fleet.assume_cold(NOW, "d0", || 0.0);

    expect_that!(other, none());
    expect_that!(
        cold(&fleet, NOW, "a"),
        some(eq((3_000, ColdSource::Assumed)))
    );
}

/// Failure: a backend server that refused connections for longer than a cold period gets the full
/// load of all gateways when it is back.
#[googletest::test]
fn a_backend_server_that_refused_connections_is_cold_from_its_return_on() {
    let mut fleet = fleet(NOW);
    register(&mut fleet, NOW, "a", 1, Some(0));
    fleet.record_sent(NOW, "a");
    fleet.record_refused(NOW, "a", 0.5);
    let later = NOW + Duration::from_secs(30);
    let picked = fleet.get("a").unwrap().clone();
    let before = cold(&fleet, later, "a");

    let sends = fleet.may_send(later, &picked);

    expect_that!(before, none());
    expect_that!(
        cold(&fleet, later, "a"),
        some(eq((3_000, ColdSource::Assumed)))
    );
    // Its turn comes half an interval later.
    expect_that!(sends, eq(false));
}

/// Failure: a backend server that has just started is filled like the others.
#[googletest::test]
fn the_share_of_a_recent_start_rises_from_half() {
    let mut fleet = fleet(NOW);
    register(&mut fleet, NOW, "a", 1, Some(0));
    let at = |ms| capacity(&fleet, NOW + Duration::from_millis(ms));

    expect_that!([at(0), at(1_500), at(3_000)], eq([2, 3, 4]));
}

/// Failure: a gateway that starts takes all backend servers for new, or misses those that are, since
/// their clocks differ from its own.
#[googletest::test]
fn a_starting_gateway_tells_recent_starts_by_their_time() {
    let now = Duration::from_secs(1);
    let capacity_of = |start_time| {
        let mut fleet = fleet(now);
        register(&mut fleet, now, "a", start_time, Some(0));
        capacity(&fleet, now)
    };

    let old = capacity_of(WALL_MS - 60_000);
    let recent = capacity_of(WALL_MS - 1_000);
    let ahead = capacity_of(WALL_MS + 4_000);
    let unknown = capacity_of(0);

    expect_that!([old, recent, ahead, unknown], eq([4, 2, 2, 4]));
}

/// Failure: a service without terms is served differently from before.
#[googletest::test]
fn a_service_without_terms_has_no_cold_periods_and_no_slow_start() {
    let mut fleet = Fleet::new("d0");

    register(&mut fleet, NOW, "a", 1, Some(3_000));
    fleet.assume_cold(NOW, "d0", || 0.0);
    fleet.record_refused(NOW, "a", 0.0);

    expect_that!(cold(&fleet, NOW, "a"), none());
    expect_that!(capacity(&fleet, NOW), eq(4));
    expect_that!(fleet.take_cold_changes().len(), eq(0));
}

/// Guards against counting the free slots of cold backend servers as capacity: less urgent requests
/// would take the last slots of the warm ones.
#[googletest::test]
fn the_load_that_admission_compares_leaves_out_cold_servers() {
    let mut fleet = fleet(NOW);
    register(&mut fleet, NOW, "warm", 1, Some(0));
    register(&mut fleet, NOW, "cold", 1, Some(3_000));
    for _ in 0..4 {
        fleet.record_sent(NOW, "warm");
    }
    let warm_again = NOW + COLD;

    expect_that!(fleet.usable_load(NOW, "s"), eq(1.0));
    expect_that!(fleet.slots_of(NOW, "s"), eq(4.0));
    expect_that!(fleet.usable_load(warm_again, "s"), eq(0.5));
    expect_that!(fleet.slots_of(warm_again, "s"), eq(8.0));
}

/// Guards against a service without capacity figures while all of its backend servers are cold.
#[googletest::test]
fn a_service_whose_servers_are_all_cold_has_their_slots() {
    let mut fleet = fleet(NOW);
    register(&mut fleet, NOW, "a", 1, Some(3_000));
    fleet.record_sent(NOW, "a");

    expect_that!(fleet.usable_load(NOW, "s"), eq(0.25));
    expect_that!(fleet.slots_of(NOW, "s"), eq(4.0));
}

//! Merging of announcements and departures that arrive in any order.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::Limit;
use bn_registry::{Change, Condition, Record, Registry};
use bn_wire::messages::Registration;
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn record(id: &str, sequence: u64, condition: Condition) -> Record {
    started(id, 0, sequence, condition)
}

fn started(id: &str, start_time: u64, sequence: u64, condition: Condition) -> Record {
    Record {
        id: id.into(),
        start_time,
        service: "s".into(),
        address: Some(([10, 0, 0, 1], 80).into()),
        domain: "d".into(),
        slots: 4,
        condition,
        sequence,
        group: String::new(),
        slowdown: 0,
        rank_version: 0,
        limit: Limit::default(),
        cold_left: None,
    }
}

#[googletest::test]
fn only_changes_that_affect_decisions_are_updates() {
    let mut registry = Registry::default();

    let first = registry.announce(NOW, record("a", 1, Condition::Ready));
    let again = registry.announce(NOW, record("a", 2, Condition::Ready));
    let draining = registry.announce(NOW, record("a", 3, Condition::Draining));

    expect_that!(first, eq(Change::Updated));
    expect_that!(again, eq(Change::Refreshed));
    expect_that!(draining, eq(Change::Updated));
    expect_that!(registry.changed_since(1).len(), eq(1));
    expect_that!(registry.changed_since(registry.cursor()).len(), eq(0));
}

/// Guards against requests to a departed backend server: its announcement was delayed by a
/// network partition, arrived after its departure and was accepted as new.
#[googletest::test]
fn a_late_announcement_does_not_undo_a_departure() {
    let mut registry = Registry::default();
    registry.announce(NOW, record("a", 1, Condition::Ready));
    registry.record_departure(NOW, "a", 0);

    let late = registry.announce(NOW, record("a", 9, Condition::Ready));

    expect_that!(late, eq(Change::Stale));
    expect_that!(registry.present().count(), eq(0));
}

/// Guards against the same failure in a process to which the backend server was unknown.
#[googletest::test]
fn the_departure_of_an_unknown_server_is_remembered() {
    let mut registry = Registry::default();
    let departed = registry.record_departure(NOW, "a", 0);

    let late = registry.announce(NOW, record("a", 9, Condition::Ready));

    expect_that!(departed, eq(Change::Updated));
    expect_that!(late, eq(Change::Stale));
}

/// Guards against new work for a draining backend server: its announcement of being ready was
/// overtaken by that of draining, and the last one to arrive won.
#[googletest::test]
fn an_overtaken_announcement_is_stale() {
    let mut registry = Registry::default();
    registry.announce(NOW, record("a", 5, Condition::Draining));

    let late = registry.announce(NOW, record("a", 4, Condition::Ready));

    expect_that!(late, eq(Change::Stale));
    expect_that!(
        registry.get("a").unwrap().condition,
        eq(Condition::Draining)
    );
}

#[googletest::test]
fn servers_without_contact_expire_and_departures_much_later() {
    let mut registry = Registry::default();
    registry.announce(NOW, record("a", 1, Condition::Ready));
    registry.record_departure(NOW, "b", 0);

    let mut forgotten = |seconds: std::ops::RangeInclusive<u64>| -> usize {
        let evicted = seconds.map(|second| {
            let now = NOW + Duration::from_secs(second);
            registry.evict_expired(now, true).len()
        });
        evicted.sum()
    };
    let soon = forgotten(0..=59);
    let later = forgotten(60..=61);
    let last = forgotten(62..=599);
    let present = registry.present().count();
    let departed = registry.get("b").is_some();
    registry.evict_expired(NOW + Duration::from_secs(601), true);

    expect_that!((soon, later, last), eq((0, 1, 0)));
    expect_that!((present, departed), eq((0, true)));
    expect_that!(registry.get("b"), none());
}

#[googletest::test]
fn records_survive_the_wire_format() {
    for condition in [Condition::Ready, Condition::Draining, Condition::Gone] {
        let sent = started("a", 1_782_219_166_014, 7, condition);
        let received = Record::try_from(Registration::from(&sent)).unwrap();
        expect_that!(received, eq(&sent));
    }
}

/// Guards against a group that is never balanced again after a crash: a rank crashes without
/// announcing its departure and restarts at its address under another id. Both ids were polled,
/// the new one answered for both, and two ranks were identical.
#[googletest::test]
fn only_the_successor_at_an_address_is_listed() {
    let mut registry = Registry::default();
    registry.announce(NOW, record("crashed", 50, Condition::Ready));
    registry.announce(NOW, record("successor", 1, Condition::Ready));
    // Delayed by a network partition, it arrives after its sender has crashed.
    registry.announce(NOW, record("crashed", 51, Condition::Ready));

    let latest: Vec<&str> = registry
        .latest_by_address()
        .map(|r| r.id.as_str())
        .collect();

    expect_that!(latest, eq(&vec!["successor"]));
}

/// Guards against a restarted backend server that gets no requests until its sequence number passes
/// that of its earlier start, or never if it had departed: it drains, departs, restarts under its
/// id and announces itself with a low sequence number. Starts were distinguished by id only.
#[googletest::test]
fn a_later_start_under_the_same_id_is_an_update() {
    for last in [Condition::Ready, Condition::Draining, Condition::Gone] {
        let mut registry = Registry::default();
        registry.announce(NOW, started("a", 1_000, 90, last));

        let restarted = registry.announce(NOW, started("a", 2_000, 1, Condition::Ready));

        expect_that!(restarted, eq(Change::Updated), "{last:?}");
        expect_that!(registry.present().count(), eq(1), "{last:?}");
    }
}

/// Guards against a restarted backend server being considered draining or gone, or being contacted
/// at its earlier address: an announcement of its earlier start is delayed by a network partition,
/// arrives later, and its higher sequence number won.
#[googletest::test]
fn announcements_of_an_earlier_start_are_stale() {
    for late in [Condition::Ready, Condition::Draining, Condition::Gone] {
        let mut registry = Registry::default();
        registry.announce(NOW, started("a", 2_000, 1, Condition::Ready));

        let change = registry.announce(NOW, started("a", 1_000, 90, late));
        let undated = registry.announce(NOW, started("a", 0, 91, late));

        expect_that!((change, undated), eq((Change::Stale, Change::Stale)));
        expect_that!(registry.get("a").unwrap().sequence, eq(1), "{late:?}");
    }
}

/// Guards against gateways filling ranks of several groups as if they were one: the leader learns
/// the group of a rank; the rank announces itself again, without a group. The later announcement
/// cleared the group, or the group was rejected for its old sequence number.
#[googletest::test]
fn a_group_survives_announcements_and_is_cleared_by_a_restart() {
    let mut registry = Registry::default();
    registry.announce(NOW, started("a", 1_000, 5, Condition::Ready));
    let grouped = Record {
        group: "g".into(),
        rank_version: 1,
        ..started("a", 1_000, 3, Condition::Ready)
    };

    let change = registry.update(NOW, grouped);
    registry.announce(NOW, started("a", 1_000, 6, Condition::Draining));
    let kept = registry.get("a").unwrap().clone();
    registry.announce(NOW, started("a", 2_000, 1, Condition::Ready));

    expect_that!(change, eq(Change::Updated));
    expect_that!((kept.group.as_str(), kept.sequence), eq(("g", 6)));
    expect_that!(kept.condition, eq(Condition::Draining));
    expect_that!(registry.get("a").unwrap().group.as_str(), eq(""));
}

/// Guards against coordinators notifying each other forever whether a rank is slow: one holds an
/// older update of the leader, the other a newer one, and each accepts the other's as an update.
/// Updates about a rank had no order.
#[googletest::test]
fn the_latest_rank_version_is_kept() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    let rank = |slowdown, rank_version| Record {
        group: "g".into(),
        slowdown,
        rank_version,
        ..record("a", 5, Condition::Ready)
    };
    one.announce(NOW, rank(250, 1));
    other.announce(NOW, rank(0, 2));

    let (from_one, from_other) = (
        one.changed_since(0).remove(0),
        other.changed_since(0).remove(0),
    );
    let here = one.announce(NOW, from_other);
    let there = other.announce(NOW, from_one);

    expect_that!((here, there), eq((Change::Updated, Change::Stale)));
    expect_that!(one.get("a").unwrap().slowdown, eq(0));
    expect_that!(other.get("a").unwrap().slowdown, eq(0));
}

/// Guards against pushing each announcement of a cold backend server to all gateways, and against
/// missing that it became cold again or is no longer cold.
#[googletest::test]
fn only_a_moved_end_of_a_cold_period_is_an_update() {
    let mut registry = Registry::default();
    let mut announce = |ms, sequence, left: Option<u64>| {
        let record = Record {
            cold_left: left.map(Duration::from_millis),
            ..record("a", sequence, Condition::Ready)
        };
        let now = NOW + Duration::from_millis(ms);
        let change = registry.announce(now, record);
        let left = registry.cold_left(now, registry.get("a").unwrap());
        (change, left.map(|t| t.as_millis()))
    };

    let first = announce(0, 1, Some(3_000));
    let same = announce(1_200, 2, Some(1_900));
    let silent = announce(1_300, 3, None);
    let stale = announce(1_400, 2, Some(0));
    let again = announce(2_000, 4, Some(3_000));
    let warm = announce(4_000, 5, Some(0));
    let still_warm = announce(9_000, 6, Some(0));

    expect_that!(first, eq((Change::Updated, Some(3_000))));
    expect_that!(same, eq((Change::Refreshed, Some(1_800))));
    expect_that!(silent, eq((Change::Refreshed, Some(1_700))));
    expect_that!(stale, eq((Change::Stale, Some(1_600))));
    expect_that!(again, eq((Change::Updated, Some(3_000))));
    expect_that!(warm, eq((Change::Updated, Some(0))));
    expect_that!(still_warm, eq((Change::Refreshed, Some(0))));
}

/// Guards against counting the time that a coordinator held an announcement as time left.
#[googletest::test]
fn messages_carry_the_time_that_is_left_when_they_are_sent() {
    let mut registry = Registry::default();
    let cold = Record {
        cold_left: Some(Duration::from_millis(3_000)),
        ..record("a", 1, Condition::Ready)
    };
    registry.announce(NOW, cold);
    registry.announce(NOW, record("b", 1, Condition::Ready));
    let message = |now, id| registry.to_wire(now, registry.get(id).unwrap());

    let sent = message(NOW + Duration::from_millis(1_000), "a");
    let late = message(NOW + Duration::from_millis(9_000), "a");
    let unknown = message(NOW, "b");
    let received = Record::try_from(sent.clone()).unwrap();

    expect_that!(sent.cold_ms, some(eq(2_000)));
    expect_that!(late.cold_ms, some(eq(0)));
    expect_that!(unknown.cold_ms, none());
    expect_that!(received.cold_left, some(eq(Duration::from_secs(2))));
}

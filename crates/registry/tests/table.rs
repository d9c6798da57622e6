//! Announcements and departures in any order.

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

fn started(id: &str, began: u64, sequence: u64, condition: Condition) -> Record {
    Record {
        id: id.into(),
        began,
        service: "s".into(),
        address: Some(([10, 0, 0, 1], 80).into()),
        domain: "d".into(),
        slots: 4,
        condition,
        sequence,
        group: String::new(),
        pace: 0,
        told: 0,
        limit: Limit::default(),
    }
}

#[googletest::test]
fn only_what_decisions_depend_on_is_news() {
    let mut registry = Registry::default();

    let first = registry.take(NOW, record("a", 1, Condition::Ready));
    let again = registry.take(NOW, record("a", 2, Condition::Ready));
    let draining = registry.take(NOW, record("a", 3, Condition::Draining));

    expect_that!(first, eq(Change::News));
    expect_that!(again, eq(Change::Fresh));
    expect_that!(draining, eq(Change::News));
    expect_that!(registry.since(1).len(), eq(1));
    expect_that!(registry.since(registry.mark()).len(), eq(0));
}

/// Symptom: a backend server that left gets requests again. Sequence: its announcement
/// was held up by a cut and arrives after its departure. Cause: it counted as new.
#[googletest::test]
fn a_late_announcement_revives_nobody() {
    let mut registry = Registry::default();
    registry.take(NOW, record("a", 1, Condition::Ready));
    registry.leave(NOW, "a");

    let late = registry.take(NOW, record("a", 9, Condition::Ready));

    expect_that!(late, eq(Change::Stale));
    expect_that!(registry.present().count(), eq(0));
}

/// The same at a process that had never heard of it.
#[googletest::test]
fn a_departure_of_an_unknown_one_is_remembered() {
    let mut registry = Registry::default();
    let left = registry.leave(NOW, "a");

    let late = registry.take(NOW, record("a", 9, Condition::Ready));

    expect_that!(left, eq(Change::News));
    expect_that!(late, eq(Change::Stale));
}

/// Symptom: a draining backend server takes new work. Sequence: its announcement of being
/// ready is overtaken by that of draining. Cause: the last to arrive counted.
#[googletest::test]
fn an_overtaken_announcement_changes_nothing() {
    let mut registry = Registry::default();
    registry.take(NOW, record("a", 5, Condition::Draining));

    let late = registry.take(NOW, record("a", 4, Condition::Ready));

    expect_that!(late, eq(Change::Stale));
    expect_that!(
        registry.get("a").unwrap().condition,
        eq(Condition::Draining)
    );
}

#[googletest::test]
fn silent_ones_are_forgotten_and_departures_much_later() {
    let mut registry = Registry::default();
    registry.take(NOW, record("a", 1, Condition::Ready));
    registry.leave(NOW, "b");

    let soon = registry.forget(NOW + Duration::from_secs(59));
    let later = registry.forget(NOW + Duration::from_secs(61));
    let last = registry.forget(NOW + Duration::from_secs(601));

    expect_that!((soon, later, last), eq((0, 1, 1)));
}

#[googletest::test]
fn records_survive_the_way_to_another_process() {
    for condition in [Condition::Ready, Condition::Draining, Condition::Gone] {
        let sent = started("a", 1_782_219_166_014, 7, condition);
        let received = Record::try_from(Registration::from(&sent)).unwrap();
        expect_that!(received, eq(&sent));
    }
}

/// Symptom: a group is never balanced again after a crash. Sequence: a rank crashes without
/// a word and starts again at its address under another id. Cause: both ids were asked, the
/// new one answered for both, and two ranks were the same.
#[googletest::test]
fn the_successor_at_an_address_stands_for_it() {
    let mut registry = Registry::default();
    registry.take(NOW, record("crashed", 50, Condition::Ready));
    registry.take(NOW, record("successor", 1, Condition::Ready));
    // Held up by a cut, it arrives after its sender has crashed.
    registry.take(NOW, record("crashed", 51, Condition::Ready));

    let latest: Vec<&str> = registry.latest().map(|r| r.id.as_str()).collect();

    expect_that!(latest, eq(&vec!["successor"]));
}

/// Symptom: a backend server that crashed and is back under its id gets no requests until its
/// sequence has passed the earlier one's, or never, if it had left. Sequence: it drains, leaves,
/// starts again and announces itself with a low sequence. Cause: ids were taken for starts.
#[googletest::test]
fn a_later_start_under_the_same_id_is_news() {
    for last in [Condition::Ready, Condition::Draining, Condition::Gone] {
        let mut registry = Registry::default();
        registry.take(NOW, started("a", 1_000, 90, last));

        let back = registry.take(NOW, started("a", 2_000, 1, Condition::Ready));

        expect_that!(back, eq(Change::News), "{last:?}");
        expect_that!(registry.present().count(), eq(1), "{last:?}");
    }
}

/// Symptom: a backend server that is back is taken for draining, or gone, or is looked for at its
/// earlier address. Sequence: what its earlier start said is held up by a cut and arrives later.
/// Cause: the higher sequence of the earlier start counted.
#[googletest::test]
fn what_an_earlier_start_said_brings_nothing_back() {
    for late in [Condition::Ready, Condition::Draining, Condition::Gone] {
        let mut registry = Registry::default();
        registry.take(NOW, started("a", 2_000, 1, Condition::Ready));

        let change = registry.take(NOW, started("a", 1_000, 90, late));
        let untold = registry.take(NOW, started("a", 0, 91, late));

        expect_that!((change, untold), eq((Change::Stale, Change::Stale)));
        expect_that!(registry.get("a").unwrap().sequence, eq(1), "{late:?}");
    }
}

/// Symptom: gateways fill ranks of several groups as if they were one. Sequence: the leader learns
/// the group of a rank; the rank announces itself again, which says nothing of groups. Cause: the
/// later announcement took the group away, or the group was refused for its old sequence.
#[googletest::test]
fn a_group_outlasts_announcements_and_ends_with_a_start() {
    let mut registry = Registry::default();
    registry.take(NOW, started("a", 1_000, 5, Condition::Ready));
    let told = Record {
        group: "g".into(),
        told: 1,
        ..started("a", 1_000, 3, Condition::Ready)
    };

    let change = registry.take(NOW, told);
    registry.take(NOW, started("a", 1_000, 6, Condition::Draining));
    let kept = registry.get("a").unwrap().clone();
    registry.take(NOW, started("a", 2_000, 1, Condition::Ready));

    expect_that!(change, eq(Change::News));
    expect_that!((kept.group.as_str(), kept.sequence), eq(("g", 6)));
    expect_that!(kept.condition, eq(Condition::Draining));
    expect_that!(registry.get("a").unwrap().group.as_str(), eq(""));
}

/// Symptom: coordinators tell each other for ever whether a rank is slow. Sequence: one holds what a
/// leader told before, the other what it told since, and each takes the other's for news. Cause:
/// what is told of a rank had no order.
#[googletest::test]
fn what_a_leader_told_since_is_kept() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    let told = |pace, told| Record {
        group: "g".into(),
        pace,
        told,
        ..record("a", 5, Condition::Ready)
    };
    one.take(NOW, told(250, 1));
    other.take(NOW, told(0, 2));

    let (from_one, from_other) = (one.since(0).remove(0), other.since(0).remove(0));
    let here = one.take(NOW, from_other);
    let there = other.take(NOW, from_one);

    expect_that!((here, there), eq((Change::News, Change::Stale)));
    expect_that!(one.get("a").unwrap().pace, eq(0));
    expect_that!(other.get("a").unwrap().pace, eq(0));
}

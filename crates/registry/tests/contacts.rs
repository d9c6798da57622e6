//! Contacts that coordinators share, and what they forget.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::Limit;
use bn_registry::{
    Change, Condition, Contact, ContactEffect, Record, Registry, SharedRecord, StartTime,
};
use bn_wire::messages::Registration;
use googletest::prelude::*;
use std::time::Duration;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn record(start_time: StartTime, sequence: u64) -> Record {
    Record {
        id: "a".into(),
        start_time,
        service: "s".into(),
        address: Some(([10, 0, 0, 1], 80).into()),
        domain: "d".into(),
        slots: 4,
        condition: Condition::Ready,
        sequence,
        group: String::new(),
        slowdown: 0,
        rank_version: 0,
        limit: Limit::default(),
        cold_left: None,
    }
}

fn contact(sequence: u64, age: u64) -> Contact {
    Contact {
        id: "a".into(),
        start_time: 1,
        sequence,
        age: at(age),
    }
}

/// Sends the record of `a` from one registry to another.
fn send(now: Duration, from: &Registry, to: &mut Registry) -> Change {
    let sent = from.to_wire(now, from.get("a").unwrap());
    to.merge(now, SharedRecord::try_from(sent).unwrap())
}

/// Lets time pass, in steps of a second; returns how many were forgotten.
fn pass(registry: &mut Registry, seconds: std::ops::RangeInclusive<u64>, in_touch: bool) -> usize {
    let forgotten = seconds.map(|second| registry.evict_expired(at(second), in_touch).len());
    forgotten.sum()
}

fn is_present(registry: &Registry) -> bool {
    registry.present().count() == 1
}

/// Guards against forgetting a live backend server that announces itself to another coordinator.
#[googletest::test]
fn reported_contacts_keep_a_backend_server() {
    let mut registry = Registry::default();
    registry.announce(at(1), record(1, 1));

    for second in 1..=600 {
        if second % 45 == 0 {
            registry.record_contact(at(second), &contact(second, 10));
        }
        registry.evict_expired(at(second), true);
    }

    expect_that!(is_present(&registry), eq(true));
}

/// Guards against a dead backend server that coordinators keep alive by sending it to each other.
#[googletest::test]
fn a_record_that_is_passed_on_grows_no_younger() {
    let mut holder = Registry::default();
    holder.announce(at(1), record(1, 1));

    for second in 2..=61 {
        let mut next = Registry::default();
        send(at(second), &holder, &mut next);
        holder = next;
    }
    let mut last = Registry::default();
    let change = send(at(62), &holder, &mut last);

    expect_that!(change, eq(Change::Stale));
    expect_that!(is_present(&last), eq(false));
}

/// Guards against forgetting live backend servers while a coordinator is cut off from all reports.
#[googletest::test]
fn nothing_is_forgotten_out_of_touch_or_right_after() {
    let mut registry = Registry::default();
    registry.announce(at(1), record(1, 1));
    pass(&mut registry, 1..=1, true);

    let cut_off = pass(&mut registry, 2..=200, false);
    let returned = pass(&mut registry, 201..=260, true);
    let expired = pass(&mut registry, 261..=261, true);

    expect_that!((cut_off, returned, expired), eq((0, 0, 1)));
}

/// Guards against a short gap, such as the election of a leader, that keeps dead ones for ever.
#[googletest::test]
fn short_gaps_do_not_delay_forgetting() {
    let mut registry = Registry::default();
    registry.announce(at(1), record(1, 1));

    let forgotten =
        (1..=70).map(|second| registry.evict_expired(at(second), second % 8 != 0).len());

    expect_that!(forgotten.sum::<usize>(), eq(1));
}

/// Guards against a backend server that returns without its group, slowdown and limit.
#[googletest::test]
fn a_forgotten_backend_server_returns_as_it_was() {
    let mut registry = Registry::default();
    registry.announce(at(1), record(1, 1));
    let limit = Limit::from_wire(Some(5.0), 1).unwrap();
    let ranked = Record {
        group: "g".into(),
        slowdown: 150,
        rank_version: 1,
        limit,
        ..record(1, 1)
    };
    registry.update(at(1), ranked);
    pass(&mut registry, 1..=70, true);
    let cursor = registry.cursor();
    let absent = !is_present(&registry);

    let change = registry.announce(at(300), record(1, 200));

    expect_that!((absent, change), eq((true, Change::Updated)));
    let returned = registry.changed_since(cursor).remove(0);
    expect_that!((returned.group.as_str(), returned.slowdown), eq(("g", 150)));
    expect_that!(returned.limit, eq(limit));
    expect_that!(is_present(&registry), eq(true));
}

/// Guards against a late report of an old announcement that revives a dead backend server.
#[googletest::test]
fn only_a_later_contact_revives() {
    let mut registry = Registry::default();
    registry.announce(at(1), record(1, 7));
    pass(&mut registry, 1..=70, true);

    let same = registry.record_contact(at(71), &contact(7, 5));
    let old = registry.record_contact(at(71), &contact(9, 61));
    let still = is_present(&registry);
    let later = registry.record_contact(at(72), &contact(9, 5));

    expect_that!(
        (same, old),
        eq((ContactEffect::Known, ContactEffect::Known))
    );
    expect_that!((still, later), eq((false, ContactEffect::Revived)));
    expect_that!(is_present(&registry), eq(true));
}

#[googletest::test]
fn contacts_with_unknown_starts_are_requested() {
    let mut registry = Registry::default();

    let unknown = registry.record_contact(at(1), &contact(1, 0));
    registry.announce(at(1), record(0, 1));
    let later_start = registry.record_contact(at(1), &contact(1, 0));
    registry.announce(at(1), record(2, 1));
    let earlier_start = registry.record_contact(at(1), &contact(1, 0));

    expect_that!(unknown, eq(ContactEffect::Unknown));
    expect_that!(later_start, eq(ContactEffect::Unknown));
    expect_that!(earlier_start, eq(ContactEffect::Known));
}

/// Guards against a contact that hides a change of state: the change was lost on its way, and the
/// contact's higher sequence made the record stale that brings it.
#[googletest::test]
fn a_contact_does_not_overtake_the_state() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    one.announce(at(1), record(1, 1));
    send(at(1), &one, &mut other);
    let draining = Record {
        condition: Condition::Draining,
        ..record(1, 2)
    };
    one.announce(at(2), draining);

    other.record_contact(at(2), &one.take_contacts(at(2)).remove(0));
    send(at(3), &one, &mut other);

    expect_that!(other.get("a").unwrap().condition, eq(Condition::Draining));
}

#[googletest::test]
fn contacts_are_reported_once_and_by_those_who_heard_them() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    one.announce(at(1), record(1, 1));
    send(at(1), &one, &mut other);

    let first = one.take_contacts(at(3));
    let again = one.take_contacts(at(4));
    let told = other.take_contacts(at(4));

    expect_that!(first, eq(&vec![contact(1, 2)]));
    expect_that!((again.len(), told.len()), eq((0, 0)));
}

/// Guards against forgetting a backend server that a third coordinator knows to be live: the one that
/// it announces itself to and this one are cut off from each other.
#[googletest::test]
fn others_are_asked_before_anything_is_forgotten() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    one.announce(at(1), record(1, 1));
    send(at(1), &one, &mut other);
    one.announce(at(40), record(1, 30));

    let early = other.doubted(at(30));
    let doubted = other.doubted(at(45));
    let contacts = one.contacts_of(at(45), &doubted);
    other.record_contact(at(45), &contacts[0]);

    expect_that!((early.len(), doubted.len()), eq((0, 1)));
    expect_that!(contacts, eq(&vec![contact(30, 5)]));
    expect_that!(other.doubted(at(45)).len(), eq(0));
}

/// Guards against the departure of one start that ends the next one, by its time of start.
#[googletest::test]
fn a_departure_of_a_start_leaves_later_ones() {
    let mut registry = Registry::default();
    registry.announce(at(1), record(2, 1));

    let earlier = registry.record_departure(at(2), "a", 1);
    let kept = is_present(&registry);
    let own = registry.record_departure(at(2), "a", 2);
    let late = registry.announce(at(2), record(2, 9));
    let next = registry.announce(at(3), record(3, 1));

    expect_that!((earlier, kept), eq((Change::Stale, true)));
    expect_that!((own, late), eq((Change::Updated, Change::Stale)));
    expect_that!((next, is_present(&registry)), eq((Change::Updated, true)));
}

/// Guards against taking a departure held up since before a restart for one of the new start, also
/// at a coordinator that has only been told of the restart.
#[googletest::test]
fn a_recent_restart_is_passed_on() {
    let (mut one, mut other) = (Registry::default(), Registry::default());
    one.announce(at(1), record(1, 50));
    let before = one.is_unsettled(at(1), "a");
    one.announce(at(10), record(2, 1));
    send(at(40), &one, &mut other);

    expect_that!(before, eq(false));
    for registry in [&one, &other] {
        expect_that!(registry.is_unsettled(at(69), "a"), eq(true));
        expect_that!(registry.is_unsettled(at(70), "a"), eq(false));
    }
}

/// Guards against coordinators of an earlier version, which send no ages.
#[googletest::test]
fn a_record_without_an_age_counts_as_heard_now() {
    let mut registry = Registry::default();
    let sent = Registration::from(&record(1, 5));

    let change = registry.merge(at(1), SharedRecord::try_from(sent).unwrap());
    pass(&mut registry, 1..=60, true);
    let present = is_present(&registry);
    pass(&mut registry, 61..=61, true);

    expect_that!((change, present), eq((Change::Updated, true)));
    expect_that!(is_present(&registry), eq(false));
}

/// Guards against a start that is used after its departure was acknowledged: only a coordinator that
/// was cut off knew of it, and the others recorded the departure of the start before.
#[googletest::test]
fn a_later_start_that_was_silent_since_a_departure_is_doubted() {
    for announced_again in [false, true] {
        let (mut in_touch, mut cut_off) = (Registry::default(), Registry::default());
        in_touch.announce(at(1), record(1, 9));
        cut_off.announce(at(1), record(1, 9));
        cut_off.announce(at(20), record(2, 1));
        in_touch.record_unnamed_departure(at(30), "a", 1);
        if announced_again {
            cut_off.announce(at(31), record(2, 2));
        }

        let (from_cut_off, from_in_touch) = (cut_off.clone(), in_touch.clone());
        send(at(40), &from_cut_off, &mut in_touch);
        send(at(40), &from_in_touch, &mut cut_off);

        for registry in [&mut in_touch, &mut cut_off] {
            let doubtful = registry.take_doubtful_departures(at(90));
            let again = registry.take_doubtful_departures(at(90));
            expect_that!(registry.get("a").unwrap().start_time, eq(2));
            expect_that!(doubtful.len(), eq(usize::from(!announced_again)));
            expect_that!(again.len(), eq(0));
        }
    }
}

//! Which coordinators a gateway polls, and what it knows of each.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_gateway::{Sources, UpdateRange};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn coordinator(n: u8) -> SocketAddr {
    ([10, 0, 1, n], 7340).into()
}

fn range(incarnation: u64, after: u64, cursor: u64) -> UpdateRange {
    UpdateRange {
        incarnation,
        cursor,
        after,
    }
}

fn six_coordinators() -> Sources {
    let mut sources = Sources::new((0..3).map(coordinator).collect(), 4);
    sources.set_members(&(0..6).map(coordinator).collect::<Vec<_>>());
    sources
}

/// Guards against leaders that are deposed and coordinators that spend a third of their time on
/// polls: 147 gateways polled each of six coordinators every 0.4 s, so polls grew with both
/// numbers.
#[googletest::test]
fn polls_do_not_grow_with_the_coordinators() {
    let mut sources = six_coordinators();

    // Coordinators that send registrations are polled first, once.
    let mut poll = || {
        let inbox = sources.next_poll().unwrap();
        sources.on_poll(inbox);
        sources.on_update(inbox, range(1, 0, 0));
        inbox
    };
    for _ in 0..2 {
        poll();
    }
    let polled: Vec<SocketAddr> = (0..6).map(|_| poll()).collect();

    let mut all = polled.clone();
    all.sort_unstable();
    expect_that!(all, eq(&(0..6).map(coordinator).collect::<Vec<_>>()));
    expect_that!(sources.poll_interval() * 6, ge(Duration::from_millis(790)));
    expect_that!(sources.poll_interval() * 6, le(Duration::from_millis(810)));
}

/// Guards against gateways that are sent all registrations again after each document: the document
/// was pushed without registrations, which was taken to mean that there are none, so the next poll
/// said that none are known.
#[googletest::test]
fn a_push_without_registrations_keeps_the_cursor() {
    let mut sources = six_coordinators();
    sources.on_update(coordinator(2), range(77, 0, 198));

    sources.on_update(coordinator(2), range(77, 0, 0));

    let next = sources.on_poll(coordinator(2));
    expect_that!((next.incarnation, next.cursor), eq((77, 198)));
}

/// Guards against a gateway that receives nothing from a healthy coordinator: the link fell silent
/// without a reset and was never reopened.
#[googletest::test]
fn a_link_without_answers_is_reopened() {
    let mut sources = six_coordinators();

    let polls: Vec<_> = (0..5).map(|_| sources.on_poll(coordinator(1))).collect();
    let regained = sources.on_update(coordinator(1), range(1, 0, 1)).regained;

    let reopened: Vec<bool> = polls.iter().map(|p| p.reopen).collect();
    let lost: Vec<bool> = polls.iter().map(|p| p.lost).collect();
    expect_that!(reopened, eq(&vec![false, false, true, false, true]));
    expect_that!(lost, eq(&vec![false, false, true, false, false]));
    expect_true!(regained);
}

#[googletest::test]
fn a_removed_silent_coordinator_is_evicted_but_not_a_seed() {
    let mut sources = six_coordinators();
    for _ in 0..12 {
        sources.on_poll(coordinator(5));
        sources.on_poll(coordinator(0));
    }

    sources.set_members(&[coordinator(1)]);

    let all = sources.all();
    expect_true!(all.contains(&coordinator(0)));
    expect_false!(all.contains(&coordinator(5)));
}

/// Guards against missing updates that are assumed to be known because later ones arrived.
#[googletest::test]
fn updates_after_a_gap_are_requested_again() {
    let mut sources = six_coordinators();
    sources.on_update(coordinator(2), range(77, 0, 5));

    let next = sources.on_update(coordinator(2), range(77, 5, 7));
    let gap = sources.on_update(coordinator(2), range(77, 9, 12));
    let known = sources.on_poll(coordinator(2));

    expect_false!(next.gap);
    expect_true!(gap.gap);
    expect_that!((known.incarnation, known.cursor), eq((77, 7)));
}

/// Guards against a cursor of an earlier incarnation that is taken for one of the next.
#[googletest::test]
fn a_push_of_another_incarnation_resets_the_cursor() {
    let mut sources = six_coordinators();
    sources.on_update(coordinator(2), range(77, 0, 500));

    let gap = sources.on_update(coordinator(2), range(78, 30, 31));
    let known = sources.on_poll(coordinator(2));

    expect_true!(gap.gap);
    expect_that!((known.incarnation, known.cursor), eq((78, 0)));
}

/// Guards against a gateway that learns of no more backend servers because the coordinators that
/// sent them are gone.
#[googletest::test]
fn a_silent_subscription_is_replaced_and_restored() {
    let mut sources = six_coordinators();
    let before = sources.subscriptions();
    let silent = before[0];
    sources.on_update(silent, range(77, 0, 500));

    for _ in 0..2 {
        sources.on_poll(silent);
    }
    let without = sources.subscriptions();
    sources.on_update(silent, range(77, 0, 0));
    let again = sources.on_poll(silent);

    expect_that!(before.len(), eq(2));
    expect_that!(without.len(), eq(2));
    expect_false!(without.contains(&silent));
    expect_true!(without.contains(&before[1]));
    expect_that!((again.omit_registrations, again.cursor), eq((false, 500)));
}

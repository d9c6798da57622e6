//! Whom a gateway asks for news, and what it knows of each.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_gateway::{Sources, Telling};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn coordinator(n: u8) -> SocketAddr {
    ([10, 0, 1, n], 7340).into()
}

fn told(incarnation: u64, after: u64, mark: u64) -> Telling {
    Telling {
        incarnation,
        mark,
        after,
    }
}

fn six() -> Sources {
    let mut sources = Sources::new((0..3).map(coordinator).collect(), 4);
    sources.follow(&(0..6).map(coordinator).collect::<Vec<_>>());
    sources
}

/// Symptom: leaders are deposed, and a third of a coordinator's time goes to asks. Sequence: 147
/// gateways ask each of six coordinators every 0.4 s. Cause: asks grew with both numbers.
#[googletest::test]
fn asks_do_not_grow_with_the_coordinators() {
    let mut sources = six();

    // Those that tell of backend servers are asked first, once.
    let mut ask = || {
        let inbox = sources.turn().unwrap();
        sources.asked(inbox);
        sources.heard(inbox, told(1, 0, 0));
        inbox
    };
    for _ in 0..2 {
        ask();
    }
    let asked: Vec<SocketAddr> = (0..6).map(|_| ask()).collect();

    let mut all = asked.clone();
    all.sort_unstable();
    expect_that!(all, eq(&(0..6).map(coordinator).collect::<Vec<_>>()));
    expect_that!(sources.gap() * 6, ge(Duration::from_millis(790)));
    expect_that!(sources.gap() * 6, le(Duration::from_millis(810)));
}

/// Symptom: after each document every gateway is sent all registrations once more. Sequence: the
/// document is pushed, without registrations; the next ask says that none are known. Cause: a push
/// without registrations was taken for an answer that there are none.
#[googletest::test]
fn a_push_does_not_unsettle_what_is_known() {
    let mut sources = six();
    sources.heard(coordinator(2), told(77, 0, 198));

    sources.heard(coordinator(2), told(77, 0, 0));

    let next = sources.asked(coordinator(2));
    expect_that!((next.incarnation, next.mark), eq((77, 198)));
}

/// Symptom: a gateway hears nothing of a coordinator although both are well. Sequence: the link
/// falls silent without a reset. Cause: it was never opened anew.
#[googletest::test]
fn a_link_that_stays_silent_is_opened_anew() {
    let mut sources = six();

    let asks: Vec<_> = (0..5).map(|_| sources.asked(coordinator(1))).collect();
    let regained = sources.heard(coordinator(1), told(1, 0, 1)).regained;

    let reopened: Vec<bool> = asks.iter().map(|p| p.reopen).collect();
    let lost: Vec<bool> = asks.iter().map(|p| p.lost).collect();
    expect_that!(reopened, eq(&vec![false, false, true, false, true]));
    expect_that!(lost, eq(&vec![false, false, true, false, false]));
    expect_true!(regained);
}

#[googletest::test]
fn one_that_is_gone_is_forgotten_but_not_a_seed() {
    let mut sources = six();
    for _ in 0..12 {
        sources.asked(coordinator(5));
        sources.asked(coordinator(0));
    }

    sources.follow(&[coordinator(1)]);

    let all = sources.all();
    expect_true!(all.contains(&coordinator(0)));
    expect_false!(all.contains(&coordinator(5)));
}

/// Guards against news that are taken for known because later ones came.
#[googletest::test]
fn news_that_do_not_follow_what_is_known_are_asked_for() {
    let mut sources = six();
    sources.heard(coordinator(2), told(77, 0, 5));

    let next = sources.heard(coordinator(2), told(77, 5, 7));
    let gap = sources.heard(coordinator(2), told(77, 9, 12));
    let known = sources.asked(coordinator(2));

    expect_false!(next.gap);
    expect_true!(gap.gap);
    expect_that!((known.incarnation, known.mark), eq((77, 7)));
}

/// Guards against a mark of an earlier start that is taken for one of the next.
#[googletest::test]
fn a_push_of_another_start_has_everything_asked_for() {
    let mut sources = six();
    sources.heard(coordinator(2), told(77, 0, 500));

    let gap = sources.heard(coordinator(2), told(78, 30, 31));
    let known = sources.asked(coordinator(2));

    expect_true!(gap.gap);
    expect_that!((known.incarnation, known.mark), eq((78, 0)));
}

/// Guards against a gateway that learns of no backend server any more, since those that told it are gone.
#[googletest::test]
fn who_tells_of_backend_servers_is_replaced_when_silent_and_takes_over_again() {
    let mut sources = six();
    let before = sources.subscriptions();
    let silent = before[0];
    sources.heard(silent, told(77, 0, 500));

    for _ in 0..2 {
        sources.asked(silent);
    }
    let without = sources.subscriptions();
    sources.heard(silent, told(77, 0, 0));
    let again = sources.asked(silent);

    expect_that!(before.len(), eq(2));
    expect_that!(without.len(), eq(2));
    expect_false!(without.contains(&silent));
    expect_true!(without.contains(&before[1]));
    expect_that!((again.brief, again.mark), eq((false, 500)));
}

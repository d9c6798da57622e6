//! Whom a gateway asks for news, and what it knows of each.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_gateway::Sources;
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn coordinator(n: u8) -> SocketAddr {
    ([10, 0, 1, n], 7340).into()
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

    let asked: Vec<SocketAddr> = (0..6).map(|_| sources.turn().unwrap()).collect();

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
    sources.heard(coordinator(2), 77, 198);

    sources.heard(coordinator(2), 77, 0);

    let next = sources.asked(coordinator(2));
    expect_that!((next.incarnation, next.mark), eq((77, 198)));
}

/// Symptom: a gateway hears nothing of a coordinator although both are well. Sequence: the link
/// falls silent without a reset. Cause: it was never opened anew.
#[googletest::test]
fn a_link_that_stays_silent_is_opened_anew() {
    let mut sources = six();

    let asks: Vec<_> = (0..5).map(|_| sources.asked(coordinator(1))).collect();
    let regained = sources.heard(coordinator(1), 1, 1);

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

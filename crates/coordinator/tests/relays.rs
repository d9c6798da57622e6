//! Which way a call to an engine goes: through the relay beside it, or straight.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{About, GroupId, Relays, goes_by_relay, part};
use bn_group::pilot::{Ask, Call, Command};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const PORT: u16 = 7000;

fn engine() -> SocketAddr {
    ([10, 0, 0, 1], 8000).into()
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(ask: Ask, tries: u32) -> Call {
    Call {
        call: 1,
        engine: "e1".into(),
        tries,
        ask,
    }
}

fn order(command: Command) -> Ask {
    Ask::Order(command, 1, 1)
}

/// Symptom: a group stands still for as long as one machine is frozen. Sequence: the relay
/// beside a rank is handed the order to go on, and stops. Cause: orders around a hold went
/// through relays, whose machines have the ranks, too.
#[googletest::test]
fn orders_around_a_hold_go_straight_first() {
    let straight = [
        Command::Hold(9),
        Command::Arm(2, 9),
        Command::Disarm(2),
        Command::Go(9),
    ];

    for command in straight {
        expect_false!(goes_by_relay(&call(order(command), 1)));
    }
    expect_true!(goes_by_relay(&call(
        order(Command::Prepare(2, Default::default())),
        1
    )));
    expect_true!(goes_by_relay(&call(Ask::Look, 1)));
}

/// Symptom: a group stands still for seconds under a leader that is well. Sequence: new
/// connections between the leader and a rank are refused, links that stand go on; the
/// order to go on is repeated over new connections. Cause: one way was tried alone.
#[googletest::test]
fn each_further_try_goes_the_other_way() {
    let ways = |ask: Ask| [1, 2, 3].map(|tries| goes_by_relay(&call(ask.clone(), tries)));

    expect_that!(ways(order(Command::Go(9))), eq([false, true, false]));
    expect_that!(ways(Ask::Look), eq([true, false, true]));
}

/// Symptom: engines beside dead relays are never looked at. Sequence: a relay dies, every
/// ask to it runs into its time. Cause: nobody remembered that it was silent.
#[googletest::test]
fn a_silent_relay_is_passed_over_for_a_while() {
    let mut relays = Relays::default();
    let relay = relays.beside(at(0), engine(), PORT).unwrap();
    let group = GroupId {
        service: "s".into(),
        name: "g".into(),
    };
    relays.asked(at(0), 7, (&group, 3), (relay, relay), About::Look);

    let early = relays.overdue(at(300)).len();
    let late: Vec<u64> = relays.overdue(at(700)).iter().map(|a| a.call).collect();

    expect_that!(relay, eq(SocketAddr::from(([10, 0, 0, 1], PORT))));
    expect_that!((early, late), eq(&(0, vec![3])));
    expect_that!(relays.beside(at(800), engine(), PORT), none());
    expect_that!(relays.beside(at(5_000), engine(), PORT), some(eq(relay)));
    expect_that!(relays.answered(7).map(|a| a.call), none());
}

/// Symptom: a leader with a small share of a core takes a second for each look at its group.
/// Sequence: it sends each of 72 ranks a message and gets one back. Cause: all by itself.
#[googletest::test]
fn a_leader_sends_few_messages_to_many_ranks() {
    let messages = |ranks: usize| ranks.div_ceil(part(ranks));

    expect_that!(messages(72), le(9));
    expect_that!(part(72), le(10));
    expect_that!(messages(3), eq(3));
}

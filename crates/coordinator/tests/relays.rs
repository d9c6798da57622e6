//! Which way a call to an engine goes: through the relay beside it, or straight.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{About, GroupId, Relays, goes_by_relay, is_counted, part};
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
        expect_false!(goes_by_relay(&call(order(command), 1), 16));
    }
    let prepare = order(Command::Prepare(2, Default::default()));
    expect_true!(goes_by_relay(&call(prepare, 1), 16));
    expect_true!(goes_by_relay(&call(Ask::Look, 1), 16));
}

/// Symptom: a group stands still for seconds under a leader that is well. Sequence: new
/// connections between the leader and a rank are refused, links that stand go on; the
/// order to go on is repeated over new connections. Cause: one way was tried alone.
#[googletest::test]
fn each_further_try_goes_the_other_way() {
    let ways = |ask: Ask| [1, 2, 3].map(|tries| goes_by_relay(&call(ask.clone(), tries), 1));

    expect_that!(ways(order(Command::Go(9))), eq([false, true, false]));
    expect_that!(ways(Ask::Look), eq([true, false, true]));
}

/// Symptom: a switch of 192 ranks takes a second. Sequence: the leader calls each rank itself to
/// arm it, 0.15 ms a call on a twentieth of a core. Cause: what spares a small group a stand was
/// done to a large one, too.
#[googletest::test]
fn orders_to_many_ranks_go_by_relay_but_those_of_the_hold_itself() {
    expect_true!(goes_by_relay(&call(order(Command::Arm(2, 9)), 1), 192));
    expect_true!(goes_by_relay(&call(order(Command::Disarm(2)), 1), 192));
    expect_false!(goes_by_relay(&call(order(Command::Arm(2, 9)), 2), 192));
    expect_false!(goes_by_relay(&call(order(Command::Hold(9)), 1), 192));
    expect_false!(goes_by_relay(&call(order(Command::Go(9)), 1), 192));
}

/// Symptom: a third of the relays count as silent at each switch, and the leader calls engines
/// itself. Sequence: relays on links of 6 Mbit/s pass a map on to 13 others each. Cause: how
/// many a relay passes on to did not depend on what.
#[googletest::test]
fn a_relay_passes_on_no_more_than_its_link_takes() {
    let passed_on = |count: usize, bytes: usize| (part(count, bytes) - 1) * bytes;

    expect_that!(part(192, 0), eq(14));
    expect_that!(passed_on(192, 6_000), le(16 << 10));
    expect_that!(part(192, 6_000), ge(3));
    expect_that!(part(16, 500), eq(5));
    expect_that!(part(192, 1 << 20), eq(1));
}

#[googletest::test]
fn some_of_many_ranks_are_counted_and_all_of_few() {
    let counted = |count: usize| (0..count).filter(|at| is_counted(*at, count)).count();

    expect_that!(counted(192), eq(48));
    expect_that!(counted(72), eq(36));
    expect_that!(counted(16), eq(16));
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

/// Symptom: after a change of leader a group stands still for ten seconds. Sequence: links between
/// the new leader and the relays are new, and the answers to its first asks are lost; it calls 192
/// engines itself for seconds. Cause: one silence passed a relay over for as long as many.
#[googletest::test]
fn a_relay_that_was_silent_once_is_asked_again_soon() {
    let mut relays = Relays::default();
    let relay = relays.beside(at(0), engine(), PORT).unwrap();

    relays.pass_over(at(0), relay);
    // Another ask that was out at the same time.
    relays.pass_over(at(10), relay);
    let after_one = relays.beside(at(700), engine(), PORT);
    relays.pass_over(at(800), relay);
    let after_two = relays.beside(at(1_500), engine(), PORT);
    for n in 0..6 {
        relays.pass_over(at(2_100 + n * 4_000), relay);
    }
    let after_many = relays.beside(at(25_000), engine(), PORT);
    relays.heard(relay);

    expect_that!(after_one, some(eq(relay)));
    expect_that!(after_two, none());
    expect_that!(after_many, none());
    expect_that!(relays.beside(at(25_000), engine(), PORT), some(eq(relay)));
}

/// Symptom: a leader with a small share of a core takes a second for each look at its group.
/// Sequence: it sends each of 72 ranks a message and gets one back. Cause: all by itself.
#[googletest::test]
fn a_leader_sends_few_messages_to_many_ranks() {
    let messages = |ranks: usize| ranks.div_ceil(part(ranks, 0));

    expect_that!(messages(72), le(9));
    expect_that!(part(72, 0), le(10));
    expect_that!(messages(3), eq(3));
}

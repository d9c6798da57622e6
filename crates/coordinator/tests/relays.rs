//! Which way a call to an engine goes: through the relay beside it, or straight.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{About, GroupId, Relays, Way, is_counted, part, parts, way};
use bn_group::switch_controller::{Call, Command, EngineRequest};
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

fn call(ask: EngineRequest, tries: u32) -> Call {
    Call {
        id: 1,
        engine: "e1".into(),
        attempt: tries,
        request: ask,
    }
}

fn order(command: Command) -> EngineRequest {
    EngineRequest::Order(command, 1, 1)
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
        expect_that!(way(&call(order(command), 1), 16), eq(Way::Straight));
    }
    let prepare = order(Command::Prepare(2, Default::default()));
    expect_that!(way(&call(prepare, 1), 16), eq(Way::Relay));
    expect_that!(way(&call(EngineRequest::Poll, 1), 16), eq(Way::Relay));
}

/// Symptom: a group stands still for seconds under a leader that is well. Sequence: new
/// connections between the leader and a rank are refused, links that stand go on; the
/// order to go on is repeated over new connections. Cause: one way was tried alone.
#[googletest::test]
fn each_further_try_goes_another_way() {
    use Way::{Around, Relay, Straight};
    let ways = |ask: EngineRequest| [1, 2, 3, 4, 5].map(|tries| way(&call(ask.clone(), tries), 1));

    expect_that!(
        ways(order(Command::Go(9))),
        eq([Straight, Relay, Around, Straight, Relay])
    );
    expect_that!(
        ways(EngineRequest::Poll),
        eq([Relay, Straight, Around, Relay, Straight])
    );
}

/// Symptom: a group stands still for 2.4 s under a leader that is well. Sequence: new connections of the
/// leader are refused; some relays never had a link to it, since others passed its asks on to them; an
/// order to arm reaches them neither straight nor by their relay. Cause: both ways begin at the leader.
/// Evidence: all ranks but those whose relays it had no link to were armed within 60 ms.
#[googletest::test]
fn a_relay_whose_link_stands_passes_on_what_goes_no_other_way() {
    let mut relays = Relays::default();
    let group = GroupId {
        service: "s".into(),
        name: "g".into(),
    };
    let [first, second, target] = [1, 2, 3].map(|n| SocketAddr::from(([10, 0, 0, n], PORT)));
    let mut ask = |now: u64, number: u64, head: SocketAddr| {
        relays.asked(
            at(now),
            number,
            (&group, number),
            (target, head),
            About::Held,
        );
        relays.answered(at(now + 5), number);
    };
    ask(0, 1, first);
    ask(100, 2, second);

    let latest = relays.standing(at(200), target);
    let other = relays.standing(at(200), second);
    relays.pass_over(at(200), second);
    let without = relays.standing(at(210), target);
    let later = relays.standing(at(5_000), target);

    expect_that!(latest, some(eq(second)));
    expect_that!(other, some(eq(first)));
    expect_that!(without, some(eq(first)));
    // What was heard long ago says nothing of the link now.
    expect_that!(later, none());
}

/// Symptom: a switch of 192 ranks takes a second. Sequence: the leader calls each rank itself to
/// arm it, 0.15 ms a call on a twentieth of a core. Cause: what spares a small group a stand was
/// done to a large one, too.
#[googletest::test]
fn orders_to_many_ranks_go_by_relay_but_those_of_the_hold_itself() {
    let ways =
        |command: Command| [1, 2].map(|tries| way(&call(order(command.clone()), tries), 192));

    expect_that!(ways(Command::Arm(2, 9)), eq([Way::Relay, Way::Straight]));
    expect_that!(ways(Command::Disarm(2))[0], eq(Way::Relay));
    expect_that!(ways(Command::Hold(9))[0], eq(Way::Straight));
    expect_that!(ways(Command::Go(9))[0], eq(Way::Straight));
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
    expect_that!(relays.answered(at(5_000), 7).map(|a| a.call), none());
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

/// Guards against counts that cross failure domains on their way to the relay that collects them, and
/// against ranks that are not seen because that relay is cut off.
#[googletest::test]
fn relays_pass_on_within_their_failure_domain() {
    let domains = ["a", "b", "c", "d", "e"];
    let ranks: Vec<&str> = (0..192).map(|n| domains[n % domains.len()]).collect();

    let parts = parts(ranks, part(192, 0), |domain| domain);

    expect_that!(parts.iter().map(Vec::len).sum::<usize>(), eq(192));
    // Three of each domain, one more than parts that ignore domains.
    expect_that!(parts.len(), eq(15));
    for part in parts {
        expect_true!(part.iter().all(|d| *d == part[0]));
        expect_that!(part.len(), ge(12));
        expect_that!(part.len(), le(14));
    }
}

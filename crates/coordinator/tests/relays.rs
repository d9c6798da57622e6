//! Paths of calls to engines: through the relay next to them, or directly.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{
    CallPath, GroupId, Relays, RequestKind, batch_size, batches, call_path, reports_counts,
};
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

fn call(request: EngineRequest, attempt: u32) -> Call {
    Call {
        id: 1,
        engine: "e1".into(),
        attempt,
        request,
    }
}

fn order(command: Command) -> EngineRequest {
    EngineRequest::Order(command, 1, 1)
}

/// Failure: a group is stalled for as long as one machine is frozen. The relay next to a rank gets
/// the order to go on, and stops. Orders around a hold were sent through relays, which run on the
/// machines of the ranks.
#[googletest::test]
fn orders_around_a_hold_are_sent_directly_first() {
    let direct = [
        Command::Hold(9),
        Command::Arm(2, 9),
        Command::Disarm(2),
        Command::Go(9),
    ];

    for command in direct {
        expect_that!(
            call_path(&call(order(command), 1), 16),
            eq(CallPath::Direct)
        );
    }
    let prepare = order(Command::Prepare(2, Default::default()));
    expect_that!(call_path(&call(prepare, 1), 16), eq(CallPath::Relay));
    expect_that!(
        call_path(&call(EngineRequest::Poll, 1), 16),
        eq(CallPath::Relay)
    );
}

/// Failure: a group is stalled for seconds under a healthy leader. New connections between the
/// leader and a rank are refused while open links still work; the order to go on was only repeated
/// over new connections.
#[googletest::test]
fn each_further_attempt_uses_another_path() {
    use CallPath::{Direct, OtherRelay, Relay};
    let paths = |request: EngineRequest| {
        [1, 2, 3, 4, 5].map(|attempt| call_path(&call(request.clone(), attempt), 1))
    };

    expect_that!(
        paths(order(Command::Go(9))),
        eq([Direct, Relay, OtherRelay, Direct, Relay])
    );
    expect_that!(
        paths(EngineRequest::Poll),
        eq([Relay, Direct, OtherRelay, Relay, Direct])
    );
}

/// Failure: a group is stalled for 2.4 s under a healthy leader. New connections of the leader are
/// refused; some relays have no link to it, because others forwarded its requests to them; an order
/// to arm reaches them neither directly nor through their relay. Both paths started at the leader:
/// all ranks except those without such a link were armed within 60 ms.
#[googletest::test]
fn a_connected_relay_forwards_calls_that_have_no_other_path() {
    let mut relays = Relays::default();
    let group = GroupId {
        service: "s".into(),
        name: "g".into(),
    };
    let [first, second, target] = [1, 2, 3].map(|n| SocketAddr::from(([10, 0, 0, n], PORT)));
    let mut exchange = |now: u64, id: u64, forwarder: SocketAddr| {
        relays.record_request(
            at(now),
            id,
            (&group, id),
            (target, forwarder),
            RequestKind::Held,
        );
        relays.take_request(at(now + 5), id);
    };
    exchange(0, 1, first);
    exchange(100, 2, second);

    let latest = relays.connected_relay(at(200), target);
    let other = relays.connected_relay(at(200), second);
    relays.record_silence(at(200), second);
    let without = relays.connected_relay(at(210), target);
    let later = relays.connected_relay(at(5_000), target);

    expect_that!(latest, some(eq(second)));
    expect_that!(other, some(eq(first)));
    expect_that!(without, some(eq(first)));
    // An old response says nothing about the link now.
    expect_that!(later, none());
}

/// Failure: a switch of 192 ranks takes a second. The leader called each rank itself to arm it,
/// 0.15 ms per call on 5 % of a core, as it does in small groups to avoid stalls.
#[googletest::test]
fn orders_to_many_ranks_use_relays_except_hold_and_go() {
    let paths = |command: Command| {
        [1, 2].map(|attempt| call_path(&call(order(command.clone()), attempt), 192))
    };

    expect_that!(
        paths(Command::Arm(2, 9)),
        eq([CallPath::Relay, CallPath::Direct])
    );
    expect_that!(paths(Command::Disarm(2))[0], eq(CallPath::Relay));
    expect_that!(paths(Command::Hold(9))[0], eq(CallPath::Direct));
    expect_that!(paths(Command::Go(9))[0], eq(CallPath::Direct));
}

/// Failure: a third of the relays are considered silent at each switch, and the leader calls
/// engines itself. Relays on links of 6 Mbit/s forward a map to 13 others each: the size of a batch
/// did not depend on the bytes to forward.
#[googletest::test]
fn a_relay_forwards_no_more_than_its_link_carries() {
    let forwarded = |count: usize, bytes: usize| (batch_size(count, bytes) - 1) * bytes;

    expect_that!(batch_size(192, 0), eq(14));
    expect_that!(forwarded(192, 6_000), le(16 << 10));
    expect_that!(batch_size(192, 6_000), ge(3));
    expect_that!(batch_size(16, 500), eq(5));
    expect_that!(batch_size(192, 1 << 20), eq(1));
}

#[googletest::test]
fn a_sample_of_many_ranks_reports_counts_and_all_of_few() {
    let counted = |count: usize| (0..count).filter(|at| reports_counts(*at, count)).count();

    expect_that!(counted(192), eq(48));
    expect_that!(counted(72), eq(36));
    expect_that!(counted(16), eq(16));
}

/// Failure: engines next to dead relays are never polled. Every request to a dead relay timed out,
/// because its silence was not recorded.
#[googletest::test]
fn a_silent_relay_is_skipped_for_a_while() {
    let mut relays = Relays::default();
    let relay = relays.relay_of(at(0), engine(), PORT).unwrap();
    let group = GroupId {
        service: "s".into(),
        name: "g".into(),
    };
    relays.record_request(at(0), 7, (&group, 3), (relay, relay), RequestKind::Look);

    let early = relays.take_overdue(at(300)).len();
    let late: Vec<u64> = relays
        .take_overdue(at(700))
        .iter()
        .map(|a| a.call)
        .collect();

    expect_that!(relay, eq(SocketAddr::from(([10, 0, 0, 1], PORT))));
    expect_that!((early, late), eq(&(0, vec![3])));
    expect_that!(relays.relay_of(at(800), engine(), PORT), none());
    expect_that!(relays.relay_of(at(5_000), engine(), PORT), some(eq(relay)));
    expect_that!(relays.take_request(at(5_000), 7).map(|a| a.call), none());
}

/// Failure: after a change of leader a group is stalled for ten seconds. The new leader's links to
/// the relays are new, and the responses to its first requests are lost; it calls 192 engines
/// itself for seconds, because a relay was skipped after one failure for as long as after many.
#[googletest::test]
fn a_relay_that_was_silent_once_is_retried_soon() {
    let mut relays = Relays::default();
    let relay = relays.relay_of(at(0), engine(), PORT).unwrap();

    relays.record_silence(at(0), relay);
    // Another request that was sent at the same time.
    relays.record_silence(at(10), relay);
    let after_one = relays.relay_of(at(700), engine(), PORT);
    relays.record_silence(at(800), relay);
    let after_two = relays.relay_of(at(1_500), engine(), PORT);
    for n in 0..6 {
        relays.record_silence(at(2_100 + n * 4_000), relay);
    }
    let after_many = relays.relay_of(at(25_000), engine(), PORT);
    relays.record_response(relay);

    expect_that!(after_one, some(eq(relay)));
    expect_that!(after_two, none());
    expect_that!(after_many, none());
    expect_that!(relays.relay_of(at(25_000), engine(), PORT), some(eq(relay)));
}

/// Failure: a leader with a small share of a core takes a second for each poll of its group. It
/// sent a message to each of 72 ranks itself and got one back.
#[googletest::test]
fn a_leader_sends_few_messages_to_many_ranks() {
    let messages = |ranks: usize| ranks.div_ceil(batch_size(ranks, 0));

    expect_that!(messages(72), le(9));
    expect_that!(batch_size(72, 0), le(10));
    expect_that!(messages(3), eq(3));
}

/// Guards against counts that cross failure domains on their way to the relay that collects them,
/// and against ranks that are not seen because that relay is cut off.
#[googletest::test]
fn relays_forward_within_their_failure_domain() {
    let domains = ["a", "b", "c", "d", "e"];
    let ranks: Vec<&str> = (0..192).map(|n| domains[n % domains.len()]).collect();

    let batches = batches(ranks, batch_size(192, 0), |domain| domain);

    expect_that!(batches.iter().map(Vec::len).sum::<usize>(), eq(192));
    // Three per domain, one more than with batches that ignore domains.
    expect_that!(batches.len(), eq(15));
    for batch in batches {
        expect_true!(batch.iter().all(|d| *d == batch[0]));
        expect_that!(batch.len(), ge(12));
        expect_that!(batch.len(), le(14));
    }
}

//! Order and capacity of the coordinator's event queues.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{Event, event_queue};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Envelope};
use googletest::prelude::*;
use tokio::sync::oneshot;

fn message(body: Body) -> Event {
    let envelope = Envelope {
        body: Some(body),
        ..Envelope::default()
    };
    Event::Message(Box::new(envelope))
}

fn heartbeat() -> Event {
    message(Body::Quorum(wire::Quorum::default()))
}

fn poll() -> Event {
    message(Body::NewsAsk(wire::NewsAsk::default()))
}

/// Failure: one leader after the other is deposed for three seconds. All processes start at once,
/// and thousands of polls arrive before the next heartbeat: events were handled in order of
/// arrival.
#[googletest::test]
fn a_flood_of_polls_does_not_delay_a_heartbeat() {
    let (sender, receiver) = event_queue();
    for _ in 0..5_000 {
        sender.send(poll());
    }

    let queued = sender.send(heartbeat());

    expect_true!(queued);
    let first = receiver.next_urgent();
    expect_true!(
        matches!(first, Some(Event::Message(m)) if matches!(m.body, Some(Body::Quorum(_))))
    );
    expect_true!(receiver.next_urgent().is_none());
    expect_true!(receiver.next_deferrable().is_some());
}

/// Failure: backend servers and callers wait for answers that arrive too late. A coordinator that
/// cannot keep up queued everything, without a limit.
#[googletest::test]
fn events_beyond_the_capacity_are_rejected() {
    let (sender, _receiver) = event_queue();
    let leave = |_| {
        let (reply, _) = oneshot::channel();
        sender.send(Event::Leave("b".into(), None, reply))
    };

    let queued = (0..3_000).map(leave).filter(|queued| *queued).count();

    expect_that!(queued, all![ge(256), le(2_048)]);
}

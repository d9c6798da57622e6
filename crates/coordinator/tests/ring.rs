//! Order and capacity of the coordinator's event queues.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{Event, ring};
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

fn ask_for_news() -> Event {
    message(Body::NewsAsk(wire::NewsAsk::default()))
}

/// Failure: one leader after the other is deposed for three seconds. All processes start at once,
/// and thousands of polls arrive before the next heartbeat: events were handled in order of
/// arrival.
#[googletest::test]
fn a_flood_of_asks_does_not_hold_a_heartbeat_up() {
    let (ring, inlet) = ring();
    for _ in 0..5_000 {
        ring.put(ask_for_news());
    }

    let taken = ring.put(heartbeat());

    expect_true!(taken);
    let first = inlet.first();
    expect_true!(
        matches!(first, Some(Event::Message(m)) if matches!(m.body, Some(Body::Quorum(_))))
    );
    expect_true!(inlet.first().is_none());
    expect_true!(inlet.rest().is_some());
}

/// Failure: backend servers and callers wait for answers that arrive too late. A coordinator that
/// cannot keep up queued everything, without a limit.
#[googletest::test]
fn what_cannot_be_answered_soon_is_turned_away() {
    let (ring, _inlet) = ring();
    let announced = |_| {
        let (done, _) = oneshot::channel();
        ring.put(Event::Leave("b".into(), done))
    };

    let taken = (0..3_000).map(announced).filter(|taken| *taken).count();

    expect_that!(taken, all![ge(256), le(2_048)]);
}

//! Traffic counts by message kind and role of the peer.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod addresses;

use addresses::free_address;
use bn_net::{Disposition, Flow, Net, Tally};
use bn_wire::messages::{News, NewsAsk, Role, envelope::Body};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

fn process(role: Role, accepts: bool) -> (SocketAddr, Net) {
    let address = free_address();
    let net = Net::start(role, "p", address, address, move |_| accepts).unwrap();
    (address, net)
}

fn tally(
    net: &Net,
    disposition: Disposition,
    kind: &'static str,
    peer: Option<Role>,
) -> Option<Tally> {
    let flow = Flow {
        disposition,
        kind,
        peer,
    };
    let all = net.traffic();
    all.into_iter().find(|(f, _)| *f == flow).map(|(_, t)| t)
}

fn wait_for_messages(
    net: &Net,
    disposition: Disposition,
    kind: &'static str,
    peer: Option<Role>,
) -> Tally {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match tally(net, disposition, kind, peer) {
            Some(tally) => return tally,
            None => assert!(
                Instant::now() < deadline,
                "no {kind} {disposition:?} of {peer:?}"
            ),
        }
        thread::sleep(Duration::from_millis(1));
    }
}

#[googletest::test]
fn messages_are_counted_by_disposition_kind_and_role_of_the_peer() {
    let (gateway_address, gateway) = process(Role::Gateway, true);
    let (coordinator_address, coordinator) = process(Role::Coordinator, true);

    gateway.send(coordinator_address, Body::NewsAsk(NewsAsk::default()));
    let requests = wait_for_messages(
        &coordinator,
        Disposition::Received,
        "news_ask",
        Some(Role::Gateway),
    );
    coordinator.send(gateway_address, Body::News(News::default()));
    let updates = wait_for_messages(
        &gateway,
        Disposition::Received,
        "news",
        Some(Role::Coordinator),
    );

    let sent = tally(&coordinator, Disposition::Sent, "news", Some(Role::Gateway));
    expect_that!(sent, some(eq(updates)));
    // Nothing had been received from the coordinator when this message was sent.
    let request = tally(&gateway, Disposition::Sent, "news_ask", None);
    expect_that!(request, some(eq(requests)));
    expect_that!(requests.messages, eq(1));
    expect_that!(requests.bytes, gt(0));
}

/// Guards against a process that is too busy to accept messages without any sign of it.
#[googletest::test]
fn messages_that_exceed_the_capacity_are_counted_as_dropped() {
    let (_, gateway) = process(Role::Gateway, true);
    let (coordinator_address, coordinator) = process(Role::Coordinator, false);

    gateway.send(coordinator_address, Body::NewsAsk(NewsAsk::default()));

    let dropped = wait_for_messages(
        &coordinator,
        Disposition::Dropped,
        "news_ask",
        Some(Role::Gateway),
    );
    expect_that!(dropped.messages, eq(1));
    let received = tally(
        &coordinator,
        Disposition::Received,
        "news_ask",
        Some(Role::Gateway),
    );
    expect_that!(received, none());
}

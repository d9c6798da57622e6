//! What is exchanged with others, by kind of message and role of the peer.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_net::{Disposition, Flow, Net, Tally};
use bn_wire::messages::{News, NewsAsk, Role, envelope::Body};
use googletest::prelude::*;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

const WITHIN: Duration = Duration::from_secs(10);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn process(role: Role, takes: bool) -> (SocketAddr, Net) {
    let address = free_address();
    let net = Net::start(role, "p", address, address, move |_| takes).unwrap();
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

fn until_messages(
    net: &Net,
    disposition: Disposition,
    kind: &'static str,
    peer: Option<Role>,
) -> Tally {
    let until = Instant::now() + WITHIN;
    loop {
        match tally(net, disposition, kind, peer) {
            Some(tally) => return tally,
            None => assert!(
                Instant::now() < until,
                "no {kind} {disposition:?} of {peer:?}"
            ),
        }
        thread::sleep(Duration::from_millis(1));
    }
}

#[googletest::test]
fn messages_are_counted_by_way_kind_and_role_of_the_peer() {
    let (at_gateway, gateway) = process(Role::Gateway, true);
    let (at_coordinator, coordinator) = process(Role::Coordinator, true);

    gateway.send(at_coordinator, Body::NewsAsk(NewsAsk::default()));
    let asked = until_messages(
        &coordinator,
        Disposition::Received,
        "news_ask",
        Some(Role::Gateway),
    );
    coordinator.send(at_gateway, Body::News(News::default()));
    let told = until_messages(
        &gateway,
        Disposition::Received,
        "news",
        Some(Role::Coordinator),
    );

    let sent = tally(&coordinator, Disposition::Sent, "news", Some(Role::Gateway));
    expect_that!(sent, some(eq(told)));
    // Nothing had been heard of the coordinator when it was asked.
    let ask = tally(&gateway, Disposition::Sent, "news_ask", None);
    expect_that!(ask, some(eq(asked)));
    expect_that!(asked.messages, eq(1));
    expect_that!(asked.bytes, gt(0));
}

/// Guards against a process that is too busy to take messages and does not show it.
#[googletest::test]
fn messages_that_found_no_room_are_counted_as_lost() {
    let (_, gateway) = process(Role::Gateway, true);
    let (at_coordinator, coordinator) = process(Role::Coordinator, false);

    gateway.send(at_coordinator, Body::NewsAsk(NewsAsk::default()));

    let lost = until_messages(
        &coordinator,
        Disposition::Dropped,
        "news_ask",
        Some(Role::Gateway),
    );
    expect_that!(lost.messages, eq(1));
    let taken = tally(
        &coordinator,
        Disposition::Received,
        "news_ask",
        Some(Role::Gateway),
    );
    expect_that!(taken, none());
}

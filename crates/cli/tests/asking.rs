//! Backend servers that ask for fewer requests, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The other tests of a fleet use the rest of it.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::LIMIT;
use fleet::Fleet;
use fleet::asking::{Asked, Asker, ask_all, most_within};
use googletest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: [u8; 3] = [4, 5, 6];
/// Requests a second that the limited backend server names.
const RATE: f64 = 1.0;
/// Time after the first word within which all gateways must keep to it, and the span in which it is
/// then counted: the users' bound is one and a half times what the limit allows, and five.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = (1.5 * 4.0 * RATE) as usize + 5;

fn fleet_of_three(octet: u8) -> Fleet {
    let mut fleet = Fleet::start(octet);
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    fleet
}

/// Symptom: a backend server that names a limit of some requests a second is sent as many as
/// before, by all gateways together, for as long as it says so.
/// Sequence: it names the limit in each answer; the gateways go on choosing it as one of little load.
/// Cause: nobody read the word, and no gateway knew its part of what all together may send.
/// Evidence: each gateway sent 13 a second before the word and after it, and none wrote a line of it;
/// read and kept to by each gateway alone it would have been 3 a second in all.
#[googletest::test]
fn a_limit_that_a_backend_server_names_holds_over_all_gateways() {
    let fleet = fleet_of_three(42);
    let limited = |id: &str| Asker::start(id, |_| ("200 OK", format!("{LIMIT}: {RATE}\r\n")));
    let free = |id: &str| Asker::start(id, |_| ("200 OK", String::new()));
    let (plain, other) = (limited("plain-limited"), free("plain-free"));
    let (stream, next) = (limited("stream-limited"), free("stream-free"));
    for (server, service) in [(&plain, "plain"), (&other, "plain")] {
        fleet.announce(&server.backend, service, "ready", 1);
    }
    for server in [&stream, &next] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (gap, time) = (Duration::from_millis(40), Duration::from_secs(12));
    let looks = thread::scope(|s| {
        let looks = s.spawn(|| ask_all(&fleet, &GATEWAYS, ("GET", "/look/1"), gap, time));
        ask_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), gap, time);
        looks.join().unwrap()
    });

    for server in [&plain, &stream] {
        let arrivals = server.arrivals();
        let counted = arrivals[0].at + KNOWN_WITHIN;
        let later = arrivals.iter().map(|a| a.at).filter(|at| *at >= counted);
        let later: Vec<Instant> = later.collect();
        expect_that!(
            most_within(&later, SPAN),
            le(ALLOWED),
            "{}",
            server.backend.id
        );
        // It is used still, as far as it allows.
        expect_that!(later.len(), ge(2), "{}", server.backend.id);
    }
    let refused = looks.iter().filter(|a| a.answer.status() != 200);
    expect_that!(refused.count(), eq(0));
}

/// A limit goes on after its end, or binds who starts then: only few gateways hear of it themselves.
#[googletest::test]
fn a_limit_is_known_to_a_gateway_that_starts_and_ends_for_all() {
    let mut fleet = fleet_of_three(43);
    let named = Arc::new(AtomicBool::new(true));
    let names = named.clone();
    let server = Asker::start("limited", move |_| match names.load(Ordering::Relaxed) {
        true => ("200 OK", format!("{LIMIT}: {RATE}\r\n")),
        false => ("200 OK", String::new()),
    });
    let other = Asker::start("free", |_| ("200 OK", String::new()));
    for server in [&server, &other] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    let look = ("GET", "/look/1");
    let gap = Duration::from_millis(40);
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    fleet.kill("g6");
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    fleet.wait("list", |f| {
        f.addresses(4).contains(&f.callers(6).to_string())
    });
    let started = server.arrivals().len();
    ask_all(&fleet, &[6], look, gap, Duration::from_secs(3));
    let of_started = server.arrivals().len() - started;
    named.store(false, Ordering::Relaxed);
    // Each of the three sends once in three seconds.
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(5));
    let ended = server.arrivals().len();
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));
    let of_all = server.arrivals().len() - ended;

    // Its own part, and no first requests that nobody has told it not to send.
    expect_that!(of_started, le(2));
    expect_that!(of_all, ge(40));
}

/// Callers wait for a service of which all have named a limit, until their time is up.
#[googletest::test]
fn where_all_are_limited_callers_learn_at_once_when_to_come_back() {
    let fleet = fleet_of_three(44);
    let limited = |id: &str| Asker::start(id, |_| ("200 OK", format!("{LIMIT}: 0.2\r\n")));
    let servers = [limited("a"), limited("b")];
    for server in &servers {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    let (look, gap) = (("GET", "/look/1"), Duration::from_millis(100));
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    let asked = ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    let (served, refused): (Vec<_>, Vec<_>) = asked.iter().partition(|a| a.answer.status() == 200);
    expect_that!(served.len(), le(4));
    for Asked { answer, .. } in refused {
        expect_that!(answer.status(), eq(503));
        let after: f64 = answer.header("retry-after").parse().unwrap();
        expect_that!(after, gt(0.0));
        expect_that!(answer.text(), contains_substring("not-run"));
    }
}

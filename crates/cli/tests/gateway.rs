//! The interface between gateways, callers and backend servers, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The other tests of a fleet use the rest of it.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{
    ACCOUNT, AT_FAULT, ATTEMPT, EXPECT_SERVER, LAST_EVENT, NOT_RUN, SERVER, SIGNATURE,
};
use fleet::scripts::{good, head, say, slow};
use fleet::{Backend, Fleet, Message, Script, request};
use googletest::prelude::*;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

fn full(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "503 Full",
        &format!("{NOT_RUN}: 1\r\ncontent-length: 0\r\n"),
    );
    say(stream, &format!("{head}\r\n"))
}

fn cut(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\ncontent-length: 5\r\n"),
    );
    say(stream, &format!("{head}\r\nwh"));
    false
}

fn mute(_: &Message, _: &mut TcpStream) -> bool {
    false
}

fn foreign(request: &Message, stream: &mut TcpStream) -> bool {
    let other = Message {
        headers: [(ATTEMPT.to_string(), "another".to_string())].into(),
        ..request.clone()
    };
    good(&other, stream)
}

fn unsigned(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(request, "200 OK", "content-length: 5\r\n");
    say(stream, &format!("{head}\r\nwhole"))
}

fn noise(_: &Message, stream: &mut TcpStream) -> bool {
    say(stream, "this is no answer\r\n\r\n");
    false
}

fn twice(request: &Message, stream: &mut TcpStream) -> bool {
    good(request, stream) && good(request, stream)
}

fn failing(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "500 Error",
        &format!("{SIGNATURE}: s\r\ncontent-length: 3\r\n"),
    );
    say(stream, &format!("{head}\r\nbad"))
}

fn until_closed(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\nconnection: close\r\n"),
    );
    say(stream, &format!("{head}\r\nwhole"));
    false
}

/// Name, what the backend server does, status for a request that may run once, status for
/// one that may be repeated, and tries that the latter gets.
const CASES: [(&str, Script, u16, u16, usize); 10] = [
    ("good", good, 200, 200, 1),
    ("an extra answer behind the right one", twice, 200, 200, 1),
    ("full", full, 503, 503, 2),
    ("cut", cut, 502, 502, 2),
    ("mute", mute, 502, 502, 2),
    ("an answer to another request", foreign, 502, 502, 2),
    ("success without its mark", unsigned, 502, 502, 2),
    ("noise", noise, 502, 502, 2),
    ("its own failure", failing, 500, 500, 2),
    (
        "an answer that ends with its connection",
        until_closed,
        200,
        200,
        1,
    ),
];

/// Symptom: a request that may run once ran twice, or was called not-run and had run, or
/// half an answer looked whole. Sequence: each way in which a backend server may fail it.
/// Cause: an outcome that says nothing was taken for one that says something.
#[googletest::test]
fn whatever_a_backend_server_does_callers_are_told_the_truth() {
    for (n, (name, script, once, again, tries)) in CASES.into_iter().enumerate() {
        let fleet = Fleet::start(n as u8);
        let backends = [Backend::start("a", script), Backend::start("b", script)];
        for backend in &backends {
            fleet.announce(backend, "plain", "ready", 1);
        }
        let count = || backends.iter().map(Backend::count).sum::<usize>();

        let first = fleet.ask(4, "POST", "/file/1", "once");
        let sent_once = count();
        let second = fleet.ask(5, "GET", "/look/1", "again");
        let sent_again = count() - sent_once;

        expect_that!((name, first.status(), sent_once), eq((name, once, 1)));
        expect_that!(
            (name, second.status(), sent_again),
            eq((name, again, tries))
        );
        for answer in [&first, &second] {
            let success = answer.status() == 200;
            expect_that!(
                answer.text() == "whole" && answer.whole,
                eq(success),
                "{name}"
            );
            expect_that!(
                answer.headers.contains_key(SIGNATURE),
                eq(success || name == "its own failure"),
                "{name}"
            );
        }
    }
}

#[googletest::test]
fn backend_servers_get_the_request_as_it_was_and_no_key() {
    let fleet = Fleet::start(20);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);

    let answer = fleet.ask(4, "POST", "/file/x/y?z=1%202", "id-1");

    expect_that!(answer.status(), eq(200));
    let seen = backend.seen.lock().unwrap().remove(0);
    expect_that!(seen.first, eq("POST /file/x/y?z=1%202 HTTP/1.1"));
    expect_that!(seen.text(), eq("body"));
    expect_that!(seen.header(ATTEMPT), eq("id-1"));
    expect_that!(seen.header(ACCOUNT), eq("first"));
    expect_that!(seen.header(EXPECT_SERVER), eq("a"));
    expect_that!(seen.header("authorization"), eq(""));
}

#[googletest::test]
fn requests_without_route_or_key_are_refused_and_open_routes_need_none() {
    let fleet = Fleet::start(21);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);
    let ask = |path: &str, key: &str| {
        let head = request("GET", path, "id", key);
        fleet::call(fleet.callers(4), &head, "").unwrap().status()
    };

    let asked = (
        ask("/none/1", "key-1"),
        ask("/file/1", "wrong"),
        ask("/look/1", "wrong"),
    );

    expect_that!(asked, eq((404, 401, 200)));
    expect_that!(backend.count(), eq(1));
}

fn events(request: &Message, stream: &mut TcpStream) -> bool {
    let more = format!("{SIGNATURE}: {}\r\n", request.header(EXPECT_SERVER));
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    say(
        stream,
        &format!("{}{kind}\r\n", head(request, "200 OK", &more)),
    );
    let from: u32 = request.header(LAST_EVENT).parse().unwrap_or(0);
    for n in from + 1..=6 {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        // The first run breaks off within its fourth event.
        if from == 0 && n == 4 {
            let half = &event[..8];
            say(stream, &format!("{:x}\r\n{half}\r\n", half.len()));
            return false;
        }
        say(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
    }
    say(stream, "0\r\n\r\n")
}

/// Symptom: a stream has a piece twice, or ends early and looks complete. Sequence: the
/// backend server dies within an event. Cause: half an event was passed on, or the end
/// of the connection was taken for the end of the stream.
#[googletest::test]
fn a_stream_that_breaks_goes_on_elsewhere_after_its_last_whole_event() {
    let fleet = Fleet::start(22);
    let backends = [Backend::start("a", events), Backend::start("b", events)];
    for backend in &backends {
        fleet.announce(backend, "engines", "ready", 1);
    }

    let answer = fleet.ask(4, "POST", "/draft/1", "id");

    let pieces: String = (1..=6)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    expect_that!(answer.text(), eq(&pieces));
    expect_true!(answer.whole);
    let seen = |b: &Backend| b.seen.lock().unwrap().first().cloned().unwrap_or_default();
    let resumed = backends.iter().find(|b| seen(b).header(LAST_EVENT) == "3");
    let first = backends
        .iter()
        .find(|b| seen(b).header(LAST_EVENT).is_empty());
    expect_true!(resumed.is_some());
    expect_that!(answer.header(SIGNATURE), eq(first.unwrap().id.as_str()));
}

#[googletest::test]
fn a_stream_that_cannot_go_on_never_looks_whole() {
    let fleet = Fleet::start(23);
    let backend = Backend::start("a", events);
    fleet.announce(&backend, "engines", "ready", 1);

    let answer = fleet.ask(4, "POST", "/draft/1", "id");

    expect_false!(answer.whole);
    expect_true!(answer.text().ends_with("piece 3\n\n"));
}

/// Symptom: a request reaches a backend server that has said that it leaves. Sequence: it
/// announces draining, or leaves, at any one coordinator. Cause: gateways did not hear.
#[googletest::test]
fn backend_servers_that_leave_get_nothing_more() {
    let fleet = Fleet::start(25);
    let (stays, drains, leaves) = (
        Backend::start("a", good),
        Backend::start("b", good),
        Backend::start("c", good),
    );
    for backend in [&stays, &drains, &leaves] {
        fleet.announce(backend, "plain", "ready", 1);
    }
    fleet.announce(&drains, "plain", "draining", 2);
    fleet.leave(&leaves);

    for n in 0..20 {
        fleet.ask(4 + n % 2, "GET", "/look/1", "id");
    }

    expect_that!(
        (stays.count(), drains.count(), leaves.count()),
        eq((20, 0, 0))
    );
}

/// Symptom: the whole gateway stands still. Sequence: more requests come than there are
/// places, until the line is full. Cause: a request that may not join the line took a
/// lock that it held already.
#[googletest::test]
fn a_flood_is_refused_and_the_gateway_lives_on() {
    let fleet = Fleet::start(29);
    let backend = Backend::start("a", slow);
    fleet.announce(&backend, "plain", "ready", 1);
    let at = fleet.callers(4);
    let callers: Vec<_> = (0..120)
        .map(|n| {
            let head = request("GET", "/look/1", &format!("id{n}"), "key-1");
            thread::spawn(move || fleet::call(at, &head, "").map_or(0, |m| m.status()))
        })
        .collect();

    let statuses: Vec<u16> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let later = fleet.ready(4);

    expect_true!(statuses.contains(&503));
    expect_true!(
        statuses.iter().all(|s| [200, 503, 504].contains(s)),
        "{statuses:?}"
    );
    expect_true!(later);
}

fn someone_else(request: &Message, stream: &mut TcpStream) -> bool {
    let more = format!("{SERVER}: other\r\n{AT_FAULT}: other\r\ncontent-length: 0\r\n");
    let head = head(request, "421 Misdirected", &more);
    say(stream, &format!("{head}\r\n"))
}

/// Symptom: most requests are refused although backend servers are well. Sequence: one
/// crashes for good and its address goes to another service; it never said that it left.
/// Cause: its id stayed in use, and having no load it was preferred each time.
#[googletest::test]
fn one_whose_address_another_has_is_asked_once() {
    let fleet = Fleet::start(31);
    let (gone, well) = (Backend::start("a", someone_else), Backend::start("b", good));
    fleet.announce(&gone, "plain", "ready", 1);
    fleet.announce(&well, "plain", "ready", 1);

    let asked = (0..20).map(|_| fleet.ask(4, "POST", "/file/1", "id").status());
    let statuses: Vec<u16> = asked.collect();

    expect_that!(gone.count(), le(1));
    expect_true!(statuses.iter().all(|s| *s == 200));
}

fn misfit(request: &Message, stream: &mut TcpStream) -> bool {
    let own = request.header(EXPECT_SERVER);
    let more = format!("{SERVER}: {own}\r\n{AT_FAULT}: {own}\r\ncontent-length: 0\r\n");
    let head = head(request, "421 Misdirected", &more);
    say(stream, &format!("{head}\r\n"))
}

/// Symptom: most requests are refused although backend servers are well. Sequence: one
/// registers for the service of a group and belongs to none; it rejects every request.
/// Cause: nothing spoke against it, and having no load it was preferred each time.
#[googletest::test]
fn one_that_serves_nothing_is_asked_rarely() {
    let fleet = Fleet::start(32);
    let (useless, well) = (Backend::start("a", misfit), Backend::start("b", good));
    fleet.announce(&useless, "plain", "ready", 1);
    fleet.announce(&well, "plain", "ready", 1);

    let asked = (0..40).map(|_| fleet.ask(4, "POST", "/file/1", "id").status());
    let statuses: Vec<u16> = asked.collect();

    expect_that!(useless.count(), le(3));
    expect_true!(statuses.iter().all(|s| *s == 200));
}

/// Requests that ranks of the group that stands still have rejected.
static REJECTED: AtomicU32 = AtomicU32::new(0);

/// Stands still for two requests.
fn in_a_group(request: &Message, stream: &mut TcpStream) -> bool {
    if !request.headers.contains_key(ATTEMPT) || REJECTED.load(Ordering::SeqCst) >= 2 {
        return good(request, stream);
    }
    REJECTED.fetch_add(1, Ordering::SeqCst);
    let more = format!("{NOT_RUN}: 1\r\n{AT_FAULT}: other\r\ncontent-length: 0\r\n");
    let head = head(request, "503 Stalled", &more);
    say(stream, &format!("{head}\r\n"))
}

/// Symptom: during an outage of three seconds callers are refused twice and give up, though
/// they would have waited for five more. Sequence: a group stands still, its callers are told
/// when to come back, and do so half a second before it runs. Cause: refused at once again.
#[googletest::test]
fn who_came_back_waits_for_a_group_that_stands_still() {
    let fleet = Fleet::start(35);
    let ranks = [
        Backend::start("a", in_a_group),
        Backend::start("b", in_a_group),
    ];
    for rank in &ranks {
        fleet.announce(rank, "engines", "ready", 1);
    }
    let ask = |id: &str, wait: u32| {
        let head = request("POST", "/draft/1", id, "key-1");
        let head = head.replace(": 2000", &format!(": {wait}"));
        fleet::call(fleet.callers(4), &head, "body").unwrap()
    };

    let first = ask("first", 8_000);
    let again = ask("again", 5_000);

    let back = first.header("retry-after").parse::<f64>();
    expect_that!(first.status(), eq(503));
    expect_that!(back.unwrap_or(0.0), gt(1.0));
    expect_that!((again.status(), again.text().as_str()), eq((200, "whole")));
}

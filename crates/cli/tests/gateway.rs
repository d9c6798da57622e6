//! Gateways between callers and scripted backend servers, in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{
    ACCOUNT, AT_FAULT, ATTEMPT, EXPECT_SERVER, LAST_EVENT, NOT_RUN, SERVER, SIGNATURE,
};
use fleet::scripts::{response_head, succeed, succeed_slowly, write_text};
use fleet::{Backend, Fleet, Message, Script, request_head};
use googletest::prelude::*;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

fn full(request: &Message, stream: &mut TcpStream) -> bool {
    let head = response_head(
        request,
        "503 Full",
        &format!("{NOT_RUN}: 1\r\ncontent-length: 0\r\n"),
    );
    write_text(stream, &format!("{head}\r\n"))
}

fn truncate(request: &Message, stream: &mut TcpStream) -> bool {
    let head = response_head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\ncontent-length: 5\r\n"),
    );
    write_text(stream, &format!("{head}\r\nwh"));
    false
}

fn close(_: &Message, _: &mut TcpStream) -> bool {
    false
}

fn wrong_id(request: &Message, stream: &mut TcpStream) -> bool {
    let other = Message {
        headers: [(ATTEMPT.to_string(), "another".to_string())].into(),
        ..request.clone()
    };
    succeed(&other, stream)
}

fn unsigned(request: &Message, stream: &mut TcpStream) -> bool {
    let head = response_head(request, "200 OK", "content-length: 5\r\n");
    write_text(stream, &format!("{head}\r\nwhole"))
}

fn garbage(_: &Message, stream: &mut TcpStream) -> bool {
    write_text(stream, "this is no answer\r\n\r\n");
    false
}

fn succeed_twice(request: &Message, stream: &mut TcpStream) -> bool {
    succeed(request, stream) && succeed(request, stream)
}

fn fail(request: &Message, stream: &mut TcpStream) -> bool {
    let head = response_head(
        request,
        "500 Error",
        &format!("{SIGNATURE}: s\r\ncontent-length: 3\r\n"),
    );
    write_text(stream, &format!("{head}\r\nbad"))
}

fn unframed(request: &Message, stream: &mut TcpStream) -> bool {
    let head = response_head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\nconnection: close\r\n"),
    );
    write_text(stream, &format!("{head}\r\nwhole"));
    false
}

/// Name, script of the backend server, status for a request that may run only once, and status and
/// number of attempts for one that may be retried.
const CASES: [(&str, Script, u16, u16, usize); 10] = [
    ("good", succeed, 200, 200, 1),
    ("extra response", succeed_twice, 200, 200, 1),
    ("full", full, 503, 503, 2),
    ("truncated body", truncate, 502, 502, 2),
    ("no response", close, 502, 502, 2),
    ("response to another request", wrong_id, 502, 502, 2),
    ("success without signature", unsigned, 502, 502, 2),
    ("malformed response", garbage, 502, 502, 2),
    ("its own failure", fail, 500, 500, 2),
    ("response ended by close", unframed, 200, 200, 1),
];

/// Guards against a request that may run only once but runs twice, or is reported as not-run after
/// it ran, and against a truncated response that looks complete, for each way in which a backend
/// server may fail: an inconclusive outcome was treated as a conclusive one.
#[googletest::test]
fn callers_get_the_correct_outcome_whatever_a_backend_server_does() {
    for (n, (name, script, once, retried, attempts)) in CASES.into_iter().enumerate() {
        let fleet = Fleet::start(n as u8);
        let backends = [Backend::start("a", script), Backend::start("b", script)];
        for backend in &backends {
            fleet.announce(backend, "plain", "ready", 1);
        }
        let count = || backends.iter().map(Backend::count).sum::<usize>();

        let first = fleet.send(4, "POST", "/file/1", "once");
        let sent_once = count();
        let second = fleet.send(5, "GET", "/look/1", "again");
        let sent_retried = count() - sent_once;

        expect_that!((name, first.status(), sent_once), eq((name, once, 1)));
        expect_that!(
            (name, second.status(), sent_retried),
            eq((name, retried, attempts))
        );
        for response in [&first, &second] {
            let success = response.status() == 200;
            expect_that!(
                response.text() == "whole" && response.complete,
                eq(success),
                "{name}"
            );
            expect_that!(
                response.headers.contains_key(SIGNATURE),
                eq(success || name == "its own failure"),
                "{name}"
            );
        }
    }
}

#[googletest::test]
fn backend_servers_receive_requests_unchanged_without_the_key() {
    let fleet = Fleet::start(20);
    let backend = Backend::start("a", succeed);
    fleet.announce(&backend, "plain", "ready", 1);

    let response = fleet.send(4, "POST", "/file/x/y?z=1%202", "id-1");

    expect_that!(response.status(), eq(200));
    let received = backend.requests.lock().unwrap().remove(0);
    expect_that!(received.start_line, eq("POST /file/x/y?z=1%202 HTTP/1.1"));
    expect_that!(received.text(), eq("body"));
    expect_that!(received.header(ATTEMPT), eq("id-1"));
    expect_that!(received.header(ACCOUNT), eq("first"));
    expect_that!(received.header(EXPECT_SERVER), eq("a"));
    expect_that!(received.header("authorization"), eq(""));
}

#[googletest::test]
fn requests_without_route_or_key_are_rejected_and_open_routes_need_no_key() {
    let fleet = Fleet::start(21);
    let backend = Backend::start("a", succeed);
    fleet.announce(&backend, "plain", "ready", 1);
    let send = |path: &str, key: &str| {
        let head = request_head("GET", path, "id", key);
        fleet::call(fleet.callers(4), &head, "").unwrap().status()
    };

    let statuses = (
        send("/none/1", "key-1"),
        send("/file/1", "wrong"),
        send("/look/1", "wrong"),
    );

    expect_that!(statuses, eq((404, 401, 200)));
    expect_that!(backend.count(), eq(1));
}

fn events(request: &Message, stream: &mut TcpStream) -> bool {
    let headers = format!("{SIGNATURE}: {}\r\n", request.header(EXPECT_SERVER));
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    write_text(
        stream,
        &format!("{}{kind}\r\n", response_head(request, "200 OK", &headers)),
    );
    let from: u32 = request.header(LAST_EVENT).parse().unwrap_or(0);
    for n in from + 1..=6 {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        // The first attempt breaks off within its fourth event.
        if from == 0 && n == 4 {
            let half = &event[..8];
            write_text(stream, &format!("{:x}\r\n{half}\r\n", half.len()));
            return false;
        }
        write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
    }
    write_text(stream, "0\r\n\r\n")
}

/// Guards against a stream that repeats an event, or ends early and looks complete, when its
/// backend server crashes within an event: a partial event was forwarded, or the end of the
/// connection was taken for the end of the stream.
#[googletest::test]
fn a_broken_stream_resumes_elsewhere_after_its_last_complete_event() {
    let fleet = Fleet::start(22);
    let backends = [Backend::start("a", events), Backend::start("b", events)];
    for backend in &backends {
        fleet.announce(backend, "engines", "ready", 1);
    }

    let response = fleet.send(4, "POST", "/draft/1", "id");

    let pieces: String = (1..=6)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    expect_that!(response.text(), eq(&pieces));
    expect_true!(response.complete);
    let req = |b: &Backend| {
        b.requests
            .lock()
            .unwrap()
            .first()
            .cloned()
            .unwrap_or_default()
    };
    let resumed = backends.iter().find(|b| req(b).header(LAST_EVENT) == "3");
    let first = backends
        .iter()
        .find(|b| req(b).header(LAST_EVENT).is_empty());
    expect_true!(resumed.is_some());
    expect_that!(response.header(SIGNATURE), eq(first.unwrap().id.as_str()));
}

#[googletest::test]
fn a_stream_that_cannot_resume_never_looks_complete() {
    let fleet = Fleet::start(23);
    let backend = Backend::start("a", events);
    fleet.announce(&backend, "engines", "ready", 1);

    let response = fleet.send(4, "POST", "/draft/1", "id");

    expect_false!(response.complete);
    expect_true!(response.text().ends_with("piece 3\n\n"));
}

/// Guards against requests that reach a backend server after it announced draining, or was
/// deregistered, at any one coordinator, because gateways did not receive the update.
#[googletest::test]
fn leaving_backend_servers_receive_no_more_requests() {
    let fleet = Fleet::start(25);
    let (remaining, draining, departed) = (
        Backend::start("a", succeed),
        Backend::start("b", succeed),
        Backend::start("c", succeed),
    );
    for backend in [&remaining, &draining, &departed] {
        fleet.announce(backend, "plain", "ready", 1);
    }
    fleet.announce(&draining, "plain", "draining", 2);
    fleet.deregister(&departed);

    for n in 0..20 {
        fleet.send(4 + n % 2, "GET", "/look/1", "id");
    }

    expect_that!(
        (remaining.count(), draining.count(), departed.count()),
        eq((20, 0, 0))
    );
}

/// Guards against a deadlock of the whole gateway when more requests arrive than there are slots
/// and the queue fills up: a request that could not be queued took a lock that it already held.
#[googletest::test]
fn overload_is_rejected_and_the_gateway_stays_ready() {
    let fleet = Fleet::start(29);
    let backend = Backend::start("a", succeed_slowly);
    fleet.announce(&backend, "plain", "ready", 1);
    let address = fleet.callers(4);
    let callers: Vec<_> = (0..120)
        .map(|n| {
            let head = request_head("GET", "/look/1", &format!("id{n}"), "key-1");
            thread::spawn(move || fleet::call(address, &head, "").map_or(0, |m| m.status()))
        })
        .collect();

    let statuses: Vec<u16> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let ready_after = fleet.ready(4);

    expect_true!(statuses.contains(&503));
    expect_true!(
        statuses.iter().all(|s| [200, 503, 504].contains(s)),
        "{statuses:?}"
    );
    expect_true!(ready_after);
}

fn other_server(request: &Message, stream: &mut TcpStream) -> bool {
    let headers = format!("{SERVER}: other\r\n{AT_FAULT}: other\r\ncontent-length: 0\r\n");
    let head = response_head(request, "421 Misdirected", &headers);
    write_text(stream, &format!("{head}\r\n"))
}

/// Guards against most requests being rejected although healthy backend servers exist, after one
/// crashes for good without leaving and its address goes to another service: its id stayed in use,
/// and as it had no load it was preferred each time.
#[googletest::test]
fn a_backend_server_whose_address_was_reassigned_is_tried_once() {
    let fleet = Fleet::start(31);
    let (moved, healthy) = (
        Backend::start("a", other_server),
        Backend::start("b", succeed),
    );
    fleet.announce(&moved, "plain", "ready", 1);
    fleet.announce(&healthy, "plain", "ready", 1);

    let responses = (0..20).map(|_| fleet.send(4, "POST", "/file/1", "id").status());
    let statuses: Vec<u16> = responses.collect();

    expect_that!(moved.count(), le(1));
    expect_true!(statuses.iter().all(|s| *s == 200));
}

fn own_fault(request: &Message, stream: &mut TcpStream) -> bool {
    let own = request.header(EXPECT_SERVER);
    let headers = format!("{SERVER}: {own}\r\n{AT_FAULT}: {own}\r\ncontent-length: 0\r\n");
    let head = response_head(request, "421 Misdirected", &headers);
    write_text(stream, &format!("{head}\r\n"))
}

/// Guards against most requests being rejected although healthy backend servers exist, when one
/// registers for the service of a group, belongs to no group and rejects every request: nothing
/// counted against it, and as it had no load it was preferred each time.
#[googletest::test]
fn a_backend_server_that_rejects_every_request_is_tried_rarely() {
    let fleet = Fleet::start(32);
    let (rejecting, healthy) = (Backend::start("a", own_fault), Backend::start("b", succeed));
    fleet.announce(&rejecting, "plain", "ready", 1);
    fleet.announce(&healthy, "plain", "ready", 1);

    let responses = (0..40).map(|_| fleet.send(4, "POST", "/file/1", "id").status());
    let statuses: Vec<u16> = responses.collect();

    expect_that!(rejecting.count(), le(3));
    expect_true!(statuses.iter().all(|s| *s == 200));
}

/// Number of requests that ranks of the stalled group have rejected.
static REJECTED: AtomicU32 = AtomicU32::new(0);

/// The group is stalled for its first two requests.
fn stalled(request: &Message, stream: &mut TcpStream) -> bool {
    if !request.is_callers() || REJECTED.load(Ordering::SeqCst) >= 2 {
        return succeed(request, stream);
    }
    REJECTED.fetch_add(1, Ordering::SeqCst);
    let headers = format!("{NOT_RUN}: 1\r\n{AT_FAULT}: other\r\ncontent-length: 0\r\n");
    let head = response_head(request, "503 Stalled", &headers);
    write_text(stream, &format!("{head}\r\n"))
}

/// Guards against callers that give up during an outage of three seconds although they would have
/// waited five more: a group stalls, its callers are told when to retry, do so half a second before
/// it runs again, and are rejected at once a second time.
#[googletest::test]
fn retries_wait_for_a_stalled_group() {
    let fleet = Fleet::start(35);
    let ranks = [Backend::start("a", stalled), Backend::start("b", stalled)];
    for rank in &ranks {
        fleet.announce(rank, "engines", "ready", 1);
    }
    let send = |id: &str, deadline_ms: u32| {
        let head = request_head("POST", "/draft/1", id, "key-1");
        let head = head.replace(": 2000", &format!(": {deadline_ms}"));
        fleet::call(fleet.callers(4), &head, "body").unwrap()
    };

    let first = send("first", 8_000);
    let retry = send("again", 5_000);

    let retry_after = first.header("retry-after").parse::<f64>();
    expect_that!(first.status(), eq(503));
    expect_that!(retry_after.unwrap_or(0.0), gt(1.0));
    expect_that!((retry.status(), retry.text().as_str()), eq((200, "whole")));
}

/// Guards against reports of demand that get lost on their way through the coordinators: a gateway
/// would go on with its own figures without any error.
#[googletest::test]
fn gateways_learn_the_demand_at_all_gateways_from_coordinators() {
    let fleet = Fleet::start(46);
    let backend = Backend::start("a", succeed);
    fleet.announce(&backend, "plain", "ready", 1);
    let look = "\"safe\", \"timeout-ms\": 1000, \"target-latency-ms\": 100, \"priority\": ";
    let ranked = fleet::document().replace(&format!("{look}2"), &format!("{look}3"));
    fleet.commit_document(&ranked.replace(": 7,", ": 8,"));

    // Levels of the service: the account on both routes, then each route without an account.
    fleet.wait("demand", |fleet| {
        for gateway in [4, 5] {
            let head = request_head("GET", "/look/1", "id", "");
            fleet::call(fleet.callers(gateway), &head, "");
        }
        fleet.send(4, "POST", "/file/1", "id");
        let known = |id| {
            let line = fleet.last_line(id, "admission");
            line.contains("\"source\":\"view\"") && line.contains("\"priority\":3")
        };
        known("g4") && known("g5")
    });
}

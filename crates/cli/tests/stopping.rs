//! Gateways that stop, callers that leave, and where callers are sent meanwhile, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The other tests of a fleet use the rest of it.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{ATTEMPT, SIGNATURE};
use fleet::scripts::{response_head, succeed_slowly, write_text};
use fleet::{Backend, Fleet, Message, request_head};
use googletest::prelude::*;
use std::io::Read;
use std::net::TcpStream;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Symptom: callers lose answers at a planned stop. Sequence: SIGTERM while a request is
/// at its backend server. Cause: the process ended with the signal.
#[googletest::test]
fn a_stopping_gateway_finishes_what_it_has_and_is_named_no_more() {
    let mut fleet = Fleet::start(24);
    let backend = Backend::start("a", succeed_slowly);
    fleet.announce(&backend, "plain", "ready", 1);
    let at = fleet.callers(4);
    let asked = thread::spawn(move || {
        fleet::call(at, &request_head("GET", "/look/1", "id", "key-1"), "").unwrap()
    });
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let mut child = fleet.terminate("g4").unwrap();
    let stopped_at = Instant::now();
    fleet.wait("directory", |f| {
        let named = f.addresses(1);
        !named.contains(&at.to_string()) && named.contains(&f.callers(5).to_string())
    });
    let left_after = stopped_at.elapsed();
    fleet.wait("the other gateway's answer", |f| {
        !f.addresses(5).contains(&at.to_string())
    });
    let left_everywhere = stopped_at.elapsed();
    let answer = asked.join().unwrap();
    let ended = child.wait().unwrap();

    expect_that!(left_after, lt(Duration::from_secs(1)));
    expect_that!(left_everywhere, lt(Duration::from_secs(1)));
    expect_that!((answer.status(), answer.complete), eq((200, true)));
    expect_true!(ended.success());
}

/// Symptom: callers wait a second for each address they ask for. Sequence: the coordinators of their
/// failure domain are away. Cause: only coordinators knew which gateways there are.
#[googletest::test]
fn gateways_tell_callers_where_to_connect_without_coordinators() {
    let mut fleet = Fleet::start(40);
    let both = |f: &Fleet, n: u8| {
        let text = f.addresses(n);
        (4..=5).all(|g| text.contains(&f.callers(g).to_string()))
    };
    fleet.wait("addresses", |f| (4..=5).all(|n| both(f, n)));

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }

    expect_true!((4..=5).all(|n| both(&fleet, n)));
}

/// Writes an event every 20 ms until its caller is gone, and notes when that was.
fn endless(request: &Message, stream: &mut TcpStream) -> bool {
    let more = format!("{SIGNATURE}: s\r\ncontent-type: text/event-stream\r\n");
    let kind = "transfer-encoding: chunked\r\n";
    write_text(
        stream,
        &format!("{}{kind}\r\n", response_head(request, "200 OK", &more)),
    );
    for n in 1..500 {
        let event = format!("id: {n}\ndata: x\n\n");
        if !write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len())) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let id = request.header(ATTEMPT).to_string();
    ENDED.lock().unwrap().push((id, Instant::now()));
    false
}

/// Ids of endless streams and when each ended; tests run at once.
static ENDED: Mutex<Vec<(String, Instant)>> = Mutex::new(Vec::new());

fn ended(id: &str) -> Option<Instant> {
    let ended = ENDED.lock().unwrap();
    ended.iter().find(|(i, _)| i == id).map(|(_, at)| *at)
}

/// Symptom: engines work for callers that are gone. Sequence: a caller closes its connection
/// in the middle of a stream. Cause: the gateway read on without anybody to read for.
#[googletest::test]
fn a_caller_that_leaves_ends_the_work_at_the_backend_server() {
    let fleet = Fleet::start(33);
    let backend = Backend::start("a", endless);
    fleet.announce(&backend, "engines", "ready", 1);
    let mut caller = TcpStream::connect(fleet.callers(4)).unwrap();
    let head = request_head("POST", "/draft/1", "leaves", "key-1");
    write_text(&mut caller, &format!("{head}\r\ncontent-length: 0\r\n\r\n"));
    let mut some = [0; 400];
    caller.read_exact(&mut some).unwrap();

    drop(caller);
    let left = Instant::now();
    fleet.wait("end of the stream", |_| ended("leaves").is_some());

    let after = ended("leaves").unwrap().duration_since(left);
    expect_that!(after, lt(Duration::from_millis(400)));
}

/// Symptom: answers are cut at the end of a planned stop. Sequence: a stream is taken long
/// after SIGTERM and cannot end within the grace. Cause: requests were taken in until then.
#[googletest::test]
fn a_stopping_gateway_takes_nothing_late() {
    let mut fleet = Fleet::start(34);
    let backend = Backend::start("a", endless);
    fleet.announce(&backend, "engines", "ready", 1);
    let at = fleet.callers(4);
    let held = thread::spawn(move || {
        fleet::call(at, &request_head("POST", "/draft/1", "held", "key-1"), "")
    });
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let mut child = fleet.terminate("g4").unwrap();
    thread::sleep(Duration::from_millis(1_800));
    let late = fleet::call(at, &request_head("POST", "/draft/1", "late", "key-1"), "");
    let seen = backend.count();
    child.wait().unwrap();
    held.join().unwrap();

    expect_that!(late.map_or(503, |m| m.status()), eq(503));
    expect_that!(seen, eq(1));
}

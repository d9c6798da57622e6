//! Stopping gateways, disconnecting callers, and the addresses that callers receive meanwhile, with
//! the system as separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
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

/// Guards against answers lost in a planned stop: the process exited on SIGTERM while a request was
/// at its backend server.
#[googletest::test]
fn a_stopping_gateway_finishes_what_it_has_and_is_named_no_more() {
    let mut fleet = Fleet::start(24);
    let backend = Backend::start("a", succeed_slowly);
    fleet.announce(&backend, "plain", "ready", 1);
    let at = fleet.callers(4);
    let call = thread::spawn(move || {
        fleet::call(at, &request_head("GET", "/look/1", "id", "key-1"), "").unwrap()
    });
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let mut child = fleet.terminate("g4").unwrap();
    let stopped_at = Instant::now();
    fleet.wait("directory", |f| {
        let listed = f.addresses(1);
        !listed.contains(&at.to_string()) && listed.contains(&f.callers(5).to_string())
    });
    let removed_after = stopped_at.elapsed();
    fleet.wait("the other gateway's answer", |f| {
        !f.addresses(5).contains(&at.to_string())
    });
    let removed_everywhere = stopped_at.elapsed();
    let answer = call.join().unwrap();
    let status = child.wait().unwrap();

    expect_that!(removed_after, lt(Duration::from_secs(1)));
    expect_that!(removed_everywhere, lt(Duration::from_secs(1)));
    expect_that!((answer.status(), answer.complete), eq((200, true)));
    expect_true!(status.success());
}

/// Guards against address lookups that take a second each while the coordinators of the caller's
/// failure domain are down, because only coordinators knew the gateways.
#[googletest::test]
fn gateways_tell_callers_where_to_connect_without_coordinators() {
    let mut fleet = Fleet::start(40);
    let lists_both = |f: &Fleet, n: u8| {
        let text = f.addresses(n);
        (4..=5).all(|g| text.contains(&f.callers(g).to_string()))
    };
    fleet.wait("addresses", |f| (4..=5).all(|n| lists_both(f, n)));

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }

    expect_true!((4..=5).all(|n| lists_both(&fleet, n)));
}

/// Writes an event every 20 ms until the connection closes, and records when that was.
fn endless(request: &Message, stream: &mut TcpStream) -> bool {
    let headers = format!("{SIGNATURE}: s\r\ncontent-type: text/event-stream\r\n");
    let encoding = "transfer-encoding: chunked\r\n";
    write_text(
        stream,
        &format!(
            "{}{encoding}\r\n",
            response_head(request, "200 OK", &headers)
        ),
    );
    for n in 1..500 {
        let event = format!("id: {n}\ndata: x\n\n");
        if !write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len())) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let id = request.header(ATTEMPT).to_string();
    STREAM_ENDS.lock().unwrap().push((id, Instant::now()));
    false
}

/// Id and end of each endless stream; shared, since tests run in parallel.
static STREAM_ENDS: Mutex<Vec<(String, Instant)>> = Mutex::new(Vec::new());

fn stream_end(id: &str) -> Option<Instant> {
    let ends = STREAM_ENDS.lock().unwrap();
    ends.iter().find(|(i, _)| i == id).map(|(_, at)| *at)
}

/// Guards against engines that work for disconnected callers: a caller closes its connection during
/// a stream, and the gateway continues to read from the backend server.
#[googletest::test]
fn a_caller_that_leaves_ends_the_work_at_the_backend_server() {
    let fleet = Fleet::start(33);
    let backend = Backend::start("a", endless);
    fleet.announce(&backend, "engines", "ready", 1);
    let mut caller = TcpStream::connect(fleet.callers(4)).unwrap();
    let head = request_head("POST", "/draft/1", "leaves", "key-1");
    write_text(&mut caller, &format!("{head}\r\ncontent-length: 0\r\n\r\n"));
    let mut buffer = [0; 400];
    caller.read_exact(&mut buffer).unwrap();

    drop(caller);
    let disconnected_at = Instant::now();
    fleet.wait("end of the stream", |_| stream_end("leaves").is_some());

    let delay = stream_end("leaves")
        .unwrap()
        .duration_since(disconnected_at);
    expect_that!(delay, lt(Duration::from_millis(400)));
}

/// Guards against answers interrupted at the end of a planned stop: a gateway accepted requests
/// long after SIGTERM, whose streams could not finish within the grace period.
#[googletest::test]
fn a_stopping_gateway_takes_nothing_late() {
    let mut fleet = Fleet::start(34);
    let backend = Backend::start("a", endless);
    fleet.announce(&backend, "engines", "ready", 1);
    let at = fleet.callers(4);
    let open = thread::spawn(move || {
        fleet::call(at, &request_head("POST", "/draft/1", "held", "key-1"), "")
    });
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let mut child = fleet.terminate("g4").unwrap();
    thread::sleep(Duration::from_millis(1_800));
    let late = fleet::call(at, &request_head("POST", "/draft/1", "late", "key-1"), "");
    let received = backend.count();
    child.wait().unwrap();
    open.join().unwrap();

    expect_that!(late.map_or(503, |m| m.status()), eq(503));
    expect_that!(received, eq(1));
}

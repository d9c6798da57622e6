//! Backend servers whose answers have no end: what callers get, how long it takes, how many bytes
//! the gateway reads, and its memory.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{LAST_EVENT, SIGNATURE};
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Largest plain body, and what socket buffers and the gateway's own take.
const MAX_SENT: usize = 24 << 20;
/// What an endless sender stops at.
const ENDLESS: usize = 96 << 20;
/// Memory that an endless answer may add: the largest body, held twice while its buffer grows.
const MAX_ADDED_KB: u64 = 40 << 10;
/// Below the deadline of 2 s, and the timeout of 1 s of the routes for plain answers.
const MAX_TIME: Duration = Duration::from_millis(900);

const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

/// An answer that begins with `start` after the status line and the required headers, and goes on
/// with `again` until the connection ends.
#[derive(Clone, Copy)]
struct Form {
    name: &'static str,
    /// Nothing comes before `start`.
    bare: bool,
    start: &'static str,
    again: &'static str,
}

const fn form(name: &'static str, start: &'static str, again: &'static str) -> Form {
    Form {
        name,
        bare: false,
        start,
        again,
    }
}

const HEADS: [Form; 4] = [
    form("a header", "x: ", "y"),
    form("headers", "", "x: y\r\n"),
    Form {
        bare: true,
        ..form("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n")
    },
    Form {
        bare: true,
        ..form("no answer", "", "y")
    },
];
const BODIES: [Form; 6] = [
    form("a body without length", "\r\n", "y"),
    form(
        "chunks",
        "transfer-encoding: chunked\r\n\r\n",
        "5\r\nabcde\r\n",
    ),
    form("a chunk's size", "transfer-encoding: chunked\r\n\r\n", "0"),
    form(
        "an extension",
        "transfer-encoding: chunked\r\n\r\n5;x=",
        "y",
    ),
    form(
        "extensions",
        "transfer-encoding: chunked\r\n\r\n",
        "1;x=y\r\nz\r\n",
    ),
    form(
        "trailers",
        "transfer-encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n",
    ),
];
const STREAMS: [Form; 3] = [
    form("an event", "\r\ndata: ", "y"),
    form("a comment", "\r\n: ", "y"),
    form("comments", "\r\n", ": y\n\n"),
];

/// What the backend servers of a test did.
#[derive(Default)]
struct Sent {
    /// One of them has begun to send without end.
    begun: AtomicBool,
    /// It has seen the end of the connection.
    closed: AtomicBool,
    bytes: AtomicUsize,
}

impl Sent {
    /// Sends without end, the first time only; `false` if it was not the first.
    fn endlessly(&self, form: Form, request: &Message, stream: &mut TcpStream, kind: &str) -> bool {
        if self.begun.swap(true, Ordering::SeqCst) {
            return false;
        }
        let headers = format!("{SIGNATURE}: s\r\ncontent-type: {kind}\r\n");
        let mut start = response_head(request, "200 OK", &headers);
        if form.bare {
            start.clear();
        }
        write_text(stream, &(start + form.start));
        let again = form.again.repeat((16 << 10) / form.again.len());
        while self.bytes.load(Ordering::SeqCst) < ENDLESS {
            if stream.write_all(again.as_bytes()).is_err() {
                self.closed.store(true, Ordering::SeqCst);
                break;
            }
            self.bytes.fetch_add(again.len(), Ordering::SeqCst);
        }
        true
    }
}

/// Two backend servers of `service`; the first one that a caller's request reaches sends without
/// end, the other one answers.
fn start(fleet: &Fleet, service: &str, form: Form) -> (Vec<Backend>, Arc<Sent>) {
    let sent = Arc::new(Sent::default());
    let kind = match service {
        "engines" => "text/event-stream",
        _ => "text/plain",
    };
    let backend = |id: String| {
        let sent = sent.clone();
        Backend::start(&id, move |request, stream| {
            if request.is_callers() && sent.endlessly(form, request, stream, kind) {
                return false;
            }
            match kind {
                "text/plain" => succeed(request, stream),
                _ => write_events(request, stream),
            }
        })
    };
    let tag = form.name.replace(' ', "-").replace('\'', "");
    let ids = ["1", "2"].map(|n| format!("{service}-{tag}-{n}"));
    let backends: Vec<Backend> = ids.into_iter().map(backend).collect();
    for backend in &backends {
        fleet.announce(backend, service, "ready", 1);
    }
    (backends, sent)
}

fn write_events(request: &Message, stream: &mut TcpStream) -> bool {
    let last: usize = request.header(LAST_EVENT).parse().unwrap_or(0);
    let events = EVENTS[last..].concat();
    let length = events.len();
    let headers = format!(
        "{SIGNATURE}: s\r\ncontent-type: text/event-stream\r\ncontent-length: {length}\r\n"
    );
    let head = response_head(request, "200 OK", &headers);
    write_text(stream, &format!("{head}\r\n{events}"))
}

fn retire(fleet: &Fleet, backends: &[Backend]) {
    backends.iter().for_each(|b| fleet.deregister(b));
}

/// Peak memory of a gateway in KB.
fn peak_kb(fleet: &Fleet) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", fleet.process_id("g4")));
    let status = status.unwrap_or_default();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    peak.and_then(|p| p.trim().strip_suffix(" kB")?.parse().ok())
        .unwrap_or(0)
}

/// Sends a request to backend servers that answer in this form, and checks what holds for all.
fn check(fleet: &Fleet, form: Form, (service, method, path): (&str, &str, &str)) -> Message {
    let before = peak_kb(fleet);
    let (backends, sent) = start(fleet, service, form);
    let begun = Instant::now();
    let response = fleet.send(4, method, path, "r1");
    let time = begun.elapsed();
    let name = form.name;

    expect_that!(time, lt(MAX_TIME), "{name}");
    fleet.wait("the end of the connection", |_| {
        sent.closed.load(Ordering::SeqCst)
    });
    expect_that!(sent.bytes.load(Ordering::SeqCst), lt(MAX_SENT), "{name}");
    expect_that!(peak_kb(fleet), lt(before + MAX_ADDED_KB), "{name}");
    retire(fleet, &backends);
    response
}

/// Guards against heads and bodies that are read until the deadline, and against a promise that a
/// request has not run that has.
#[googletest::test]
fn an_answer_without_end_to_a_request_that_runs_once_is_unknown() {
    let fleet = Fleet::start(95);
    for form in HEADS.into_iter().chain(BODIES) {
        let response = check(&fleet, form, ("plain", "POST", "/file/1"));

        expect_that!(response.status(), eq(502), "{}", form.name);
        expect_true!(response.text().contains("may-have-run"));
    }
}

/// Guards against callers that get no answer although another backend server has one.
#[googletest::test]
fn an_answer_without_end_to_a_repeatable_request_is_replaced() {
    let fleet = Fleet::start(96);
    for form in HEADS.into_iter().chain(BODIES) {
        let response = check(&fleet, form, ("plain", "GET", "/look/1"));

        expect_that!(response.text(), eq("whole"), "{}", form.name);
    }
}

/// Guards against streams of comments that keep a caller waiting for an event.
#[googletest::test]
fn a_stream_without_end_goes_on_elsewhere() {
    let fleet = Fleet::start(97);
    for form in HEADS.into_iter().chain(STREAMS) {
        let response = check(&fleet, form, ("engines", "POST", "/draft/1"));

        let events: String = response
            .text()
            .split_inclusive("\n\n")
            .filter(|e| !e.starts_with(':'))
            .collect();
        expect_that!(events, eq(&EVENTS.concat()), "{}", form.name);
        expect_true!(response.complete);
    }
}

/// Guards against bytes after a whole answer that reach the next request.
#[googletest::test]
fn surplus_without_end_closes_the_connection() {
    let fleet = Fleet::start(98);
    let forms = [
        form("surplus", "content-length: 5\r\n\r\nwhole", "y"),
        form(
            "answers",
            "content-length: 5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
        ),
    ];
    for form in forms {
        let response = check(&fleet, form, ("plain", "POST", "/file/1"));
        expect_that!(response.status(), eq(200));
        expect_that!(response.text(), eq("whole"), "{}", form.name);
    }
}

/// Guards against health checks that are read without end, and against taking them for signs of life.
#[googletest::test]
fn a_health_check_without_end_is_no_sign_of_life() {
    let fleet = Fleet::start(99);
    let sent = Arc::new(Sent::default());
    let checked = sent.clone();
    let silent = Backend::start("silent", move |request, stream| {
        match request.is_callers() {
            true => std::thread::sleep(Duration::from_secs(30)),
            false => {
                checked.endlessly(HEADS[2], request, stream, "text/plain");
            }
        }
        false
    });
    let sound = Backend::start("sound", succeed);
    fleet.announce(&silent, "plain", "ready", 1);
    fleet.announce(&sound, "plain", "ready", 1);

    let is_checked = |_: &Fleet| sent.closed.load(Ordering::SeqCst);
    fleet.wait("the end of a check", |f| {
        f.send(4, "GET", "/look/1", "r1");
        is_checked(f)
    });

    expect_that!(sent.bytes.load(Ordering::SeqCst), lt(MAX_SENT));
    expect_that!(fleet.last_line("g4", "backend_server_heard"), eq(""));
}

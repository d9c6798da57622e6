//! Backend servers that receive a request and fall silent, with real sockets and gateway processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{ATTEMPT, LAST_EVENT, NOT_RUN, SIGNATURE};
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message, request_head};
use googletest::prelude::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Events of a whole stream, and the one after which a stalled backend server falls silent.
const EVENTS: u32 = 6;
const LAST_BEFORE_STOP: u32 = 2;
/// Callers abandon a stream after this time without an event, by the example document's route.
const PATIENCE: Duration = Duration::from_secs(2);
/// A backend server that stays silent for the rest of a test.
const FOR_GOOD: Duration = Duration::from_secs(30);

/// Whether an instance stands still. Clones share it.
#[derive(Clone, Default)]
struct Frozen(Arc<AtomicBool>);

impl Frozen {
    fn set(&self, frozen: bool) {
        self.0.store(frozen, Ordering::SeqCst);
    }

    /// Returns when the instance runs.
    fn wait(&self) {
        while self.0.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Answers streams whole, and everything else with success, while its instance runs.
fn start_backend(id: &str, frozen: &Frozen) -> Backend {
    let frozen = frozen.clone();
    Backend::start(id, move |request, stream| {
        frozen.wait();
        match request.start_line.contains("/draft/") {
            true => write_events(request, stream, |_| ()),
            false => succeed(request, stream),
        }
    })
}

/// Answers streams, with a pause of its instance before their third event.
fn start_stopping_backend(id: &str, stop: Duration) -> Backend {
    Backend::start(id, move |request, stream| {
        write_events(request, stream, |n| {
            if n == LAST_BEFORE_STOP + 1 {
                thread::sleep(stop);
            }
        })
    })
}

fn write_events(request: &Message, stream: &mut TcpStream, before: impl Fn(u32)) -> bool {
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let head = response_head(request, "200 OK", &format!("{SIGNATURE}: s\r\n{kind}"));
    let first = request.header(LAST_EVENT).parse().unwrap_or(0) + 1;
    let mut open = write_text(stream, &format!("{head}\r\n"));
    for n in first..=EVENTS {
        before(n);
        let event = event(n);
        open = open && write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
        thread::sleep(Duration::from_millis(20));
    }
    open && write_text(stream, "0\r\n\r\n")
}

fn event(n: u32) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}

fn whole_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

/// Sends a request whose caller waits for eight seconds; returns the answer and when it was complete.
fn send(fleet: &Fleet, method: &str, path: &str, id: &str) -> (Message, Duration) {
    send_to(fleet.callers(4), &request_head(method, path, id, "key-1"))
}

/// Sends a stream's request in the same way, on a thread of its own.
fn start_caller(fleet: &Fleet) -> JoinHandle<(Message, Duration)> {
    let address = fleet.callers(4);
    thread::spawn(move || send_to(address, &request_head("POST", "/draft/1", "id", "key-1")))
}

fn send_to(address: SocketAddr, head: &str) -> (Message, Duration) {
    let start = Instant::now();
    let answer = fleet::call(address, &head.replace(": 2000", ": 8000"), "");
    (answer.unwrap_or_default(), start.elapsed())
}

/// A system with these backend servers of one service.
fn start_fleet(port_block: u8, service: &str, backends: &[Backend]) -> Fleet {
    let fleet = Fleet::start(port_block);
    for backend in backends {
        fleet.announce(backend, service, "ready", 1);
    }
    fleet
}

fn has_line(fleet: &Fleet, event: &str) -> bool {
    !fleet.last_line("g4", event).is_empty()
}

/// Guards against a departure that no log shows: nothing was logged for a caller that left before
/// its first event.
#[googletest::test]
fn a_caller_that_leaves_before_the_first_event_is_logged() {
    let frozen = Frozen::default();
    frozen.set(true);
    let backend = start_backend("a", &frozen);
    let fleet = start_fleet(60, "engines", std::slice::from_ref(&backend));
    let mut caller = TcpStream::connect(fleet.callers(4)).unwrap();
    let head = request_head("POST", "/draft/1", "early", "key-1");
    write_text(&mut caller, &format!("{head}\r\ncontent-length: 0\r\n\r\n"));
    fleet.wait("request", |_| backend.count() == 1);

    drop(caller);

    fleet.wait("log line", |f| has_line(f, "caller_left"));
    let line = fleet.last_line("g4", "caller_left");
    expect_that!(line, contains_substring("before an answer"));
    expect_that!(line, contains_substring("\"server\":\"a\""));
}

/// Guards against a stream that waits for an instance that stands still until its caller leaves.
#[googletest::test]
fn a_stream_at_a_silent_backend_server_is_answered_by_another() {
    let frozen = Frozen::default();
    frozen.set(true);
    let backends = [
        start_backend("a", &frozen),
        start_backend("b", &Frozen::default()),
    ];
    let fleet = start_fleet(61, "engines", &backends[..1]);
    let caller = start_caller(&fleet);
    fleet.wait("request", |_| backends[0].count() == 1);

    fleet.announce(&backends[1], "engines", "ready", 1);
    let (answer, elapsed) = caller.join().unwrap();

    expect_that!(answer.text(), eq(&whole_stream()));
    expect_true!(answer.complete);
    expect_that!(elapsed, lt(PATIENCE));
    expect_that!(backends[1].count(), eq(1));
}

/// Guards against a stream that has begun and is lost with an instance that stands still.
#[googletest::test]
fn a_stream_that_has_begun_continues_at_another_backend_server() {
    let backends = [
        start_stopping_backend("a", FOR_GOOD),
        start_backend("b", &Frozen::default()),
    ];
    let fleet = start_fleet(62, "engines", &backends[..1]);
    let caller = start_caller(&fleet);
    fleet.wait("request", |_| backends[0].count() == 1);

    fleet.announce(&backends[1], "engines", "ready", 1);
    let (answer, elapsed) = caller.join().unwrap();

    expect_that!(answer.text(), eq(&whole_stream()));
    expect_true!(answer.complete);
    expect_that!(elapsed, lt(PATIENCE));
    let requests = backends[1].requests.lock().unwrap();
    let resumed_after = requests.first().map(|r| r.header(LAST_EVENT).to_string());
    expect_that!(resumed_after, some(eq(&LAST_BEFORE_STOP.to_string())));
}

/// Guards against a stream that is cut although its backend server goes on after a short stop.
#[googletest::test]
fn a_stream_survives_a_short_stop_of_its_only_backend_server() {
    let backend = start_stopping_backend("a", Duration::from_millis(1_200));
    let fleet = start_fleet(63, "engines", &[backend]);

    let (answer, _) = send(&fleet, "POST", "/draft/1", "id");

    expect_that!(answer.text(), eq(&whole_stream()));
    expect_true!(answer.complete);
    expect_true!(has_line(&fleet, "backend_server_silent"));
}

/// Guards against a caller that is told nothing: it left after two seconds of silence, and the
/// request ran when the instance went on.
#[googletest::test]
fn a_caller_is_answered_before_it_leaves_a_silent_backend_server() {
    let frozen = Frozen::default();
    frozen.set(true);
    let backend = start_backend("a", &frozen);
    let fleet = start_fleet(64, "engines", &[backend]);

    let (answer, elapsed) = send(&fleet, "POST", "/draft/1", "id");

    expect_that!(answer.status(), eq(504));
    expect_that!(answer.text(), contains_substring("may-have-run"));
    expect_that!(elapsed, lt(PATIENCE));
}

/// Guards against a stream that has begun and hangs until its caller leaves.
#[googletest::test]
fn a_stream_that_cannot_continue_is_cut_before_its_caller_leaves() {
    let backend = start_stopping_backend("a", FOR_GOOD);
    let fleet = start_fleet(65, "engines", &[backend]);

    let (answer, elapsed) = send(&fleet, "POST", "/draft/1", "id");

    expect_false!(answer.complete);
    expect_true!(answer.text().ends_with(&event(LAST_BEFORE_STOP)));
    expect_that!(elapsed, lt(PATIENCE + Duration::from_millis(100)));
}

/// Guards against a refusal that says not-run because one of two backend servers says so, while
/// nothing is known of the other.
#[googletest::test]
fn a_rejection_by_one_of_two_silent_backend_servers_is_not_told_as_not_run() {
    let (first, second) = (Frozen::default(), Frozen::default());
    first.set(true);
    second.set(true);
    let gate = first.clone();
    let rejecting = Backend::start("a", move |request, stream| {
        gate.wait();
        let head = response_head(request, "503 Full", &format!("{NOT_RUN}: 1\r\n"));
        write_text(stream, &format!("{head}content-length: 0\r\n\r\n"))
    });
    let silent = start_backend("b", &second);
    let fleet = start_fleet(69, "engines", std::slice::from_ref(&rejecting));
    let caller = start_caller(&fleet);
    fleet.wait("request", |_| rejecting.count() == 1);
    fleet.announce(&silent, "engines", "ready", 1);
    fleet.wait("second request", |_| silent.count() == 1);

    first.set(false);
    let (answer, _) = caller.join().unwrap();

    expect_that!(answer.status(), eq(502));
    expect_that!(answer.text(), contains_substring("may-have-run"));
}

/// Guards against a caller of a plain route that is told nothing before its deadline.
#[googletest::test]
fn a_caller_of_a_plain_route_is_answered_before_its_deadline() {
    let frozen = Frozen::default();
    frozen.set(true);
    let backend = start_backend("a", &frozen);
    let fleet = start_fleet(68, "plain", &[backend]);
    let deadline = Duration::from_millis(600);
    let head = request_head("POST", "/file/1", "id", "key-1").replace(": 2000", ": 600");
    let start = Instant::now();

    let answer = fleet::call(fleet.callers(4), &head, "").unwrap();

    expect_that!(start.elapsed(), lt(deadline));
    expect_that!(answer.status(), eq(504));
    expect_that!(answer.text(), contains_substring("may-have-run"));
}

/// Guards against a request that may run once and is sent to a second backend server because the
/// first one is silent.
#[googletest::test]
fn a_request_that_may_run_once_stays_at_a_silent_backend_server() {
    let frozen = Frozen::default();
    frozen.set(true);
    let backends = [start_backend("a", &frozen), start_backend("b", &frozen)];
    let fleet = start_fleet(66, "plain", &backends);

    let (answer, _) = send(&fleet, "POST", "/file/1", "id");

    expect_that!(answer.status(), eq(504));
    expect_that!(backends[0].count() + backends[1].count(), eq(1));
}

/// Guards against a frozen instance that attracts requests, since nothing is in flight there any
/// more, and against one that gets none after its return.
#[googletest::test]
fn a_silent_backend_server_gets_requests_only_after_its_return() {
    let frozen = Frozen::default();
    frozen.set(true);
    let backends = [
        start_backend("a", &frozen),
        start_backend("b", &Frozen::default()),
    ];
    let fleet = start_fleet(67, "plain", &backends);
    fleet.wait("silence", |f| {
        send(f, "GET", "/look/1", "first");
        has_line(f, "backend_server_silent")
    });
    let before = backends[0].count();

    for n in 0..20 {
        send(&fleet, "GET", "/look/1", &format!("id{n}"));
    }
    let during = backends[0].count();
    frozen.set(false);
    fleet.wait("return", |f| has_line(f, "backend_server_heard"));
    fleet.wait("use", |f| {
        send(f, "GET", "/look/1", "later");
        backends[0].count() > during
    });

    expect_that!(during, eq(before));
    let answered = backends[1].requests.lock().unwrap();
    expect_true!(answered.iter().all(|r| !r.header(ATTEMPT).is_empty()));
}

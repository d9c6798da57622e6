//! Planned stops of a gateway while callers still send their requests, wait, or read their answers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::SIGNATURE;
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message, request_head};
use googletest::prelude::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Grace period of the small deployments.
const GRACE_SECONDS: u32 = 8;
/// An answer that doesn't fit the buffers of its connection.
const ANSWER_BYTES: usize = 640 << 10;
/// At this rate the answer is read in 5.5 s: after the least time that a stop takes, and within the
/// grace period.
const READ_BYTES_PER_SECOND: usize = 120_000;
const PIECE_BYTES: usize = 4_000;
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
const EVENT_BYTES: usize = 4_000;
/// A run that ends well within the grace period.
const LONG_WORK: Duration = Duration::from_millis(4_500);
/// An upload that begins before the stop and ends after it.
const UPLOAD_TIME: Duration = Duration::from_millis(2_500);
const UPLOAD_BYTES: usize = 400 << 10;

/// Answers by the path: with a long answer, a long stream, late, or at once.
fn answer(request: &Message, stream: &mut TcpStream) -> bool {
    let path = &request.start_line;
    if !request.is_callers() {
        return succeed(request, stream);
    }
    match () {
        () if path.contains("long-answer") => {
            let headers = format!("{SIGNATURE}: s\r\ncontent-length: {ANSWER_BYTES}\r\n");
            let head = response_head(request, "200 OK", &headers);
            write_text(stream, &format!("{head}\r\n{}", "k".repeat(ANSWER_BYTES)))
        }
        () if path.contains("long-stream") => {
            let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
            let head = response_head(request, "200 OK", &format!("{SIGNATURE}: s\r\n{kind}"));
            let data = "x".repeat(EVENT_BYTES);
            let event = |n: usize| format!("id: {n}\ndata: {data}\n\n");
            let chunk = |n: usize| format!("{:x}\r\n{}\r\n", event(n).len(), event(n));
            let events: String = (1..=ANSWER_BYTES / EVENT_BYTES).map(chunk).collect();
            write_text(stream, &format!("{head}\r\n{events}0\r\n\r\n"))
        }
        () if path.contains("long-work") => {
            thread::sleep(LONG_WORK);
            succeed(request, stream)
        }
        () => succeed(request, stream),
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// Reads at a steady rate until the answer is complete or its connection ends; whether it is
/// complete, and how long that took.
fn read_steadily(mut stream: TcpStream) -> (bool, Duration) {
    let start = Instant::now();
    let mut answer = Vec::new();
    let mut piece = [0; PIECE_BYTES];
    while !is_whole(&answer) {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(n) => answer.extend_from_slice(&piece[..n]),
        }
        let due = Duration::from_secs_f64(answer.len() as f64 / READ_BYTES_PER_SECOND as f64);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    (is_whole(&answer), start.elapsed())
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len().to_string() == length,
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// A caller on its own thread, whose answer is read as it should be.
fn caller(address: SocketAddr, method: &str, path: &str) -> JoinHandle<(bool, Duration)> {
    let head = request_head(method, path, path, "key-1").replace(": 2000", ": 8000");
    let uploads = path.contains("upload");
    thread::spawn(move || {
        let mut stream = connect(address);
        let length = if uploads { UPLOAD_BYTES } else { 0 };
        write!(stream, "{head}\r\ncontent-length: {length}\r\n\r\n").unwrap();
        let pieces = length / PIECE_BYTES;
        for _ in 0..pieces {
            stream.write_all(&[b'u'; PIECE_BYTES]).unwrap();
            thread::sleep(UPLOAD_TIME / pieces as u32);
        }
        stream.write_all(&vec![b'u'; length % PIECE_BYTES]).unwrap();
        read_steadily(stream)
    })
}

/// Stops a gateway half a second after a request; whether the answer came whole, and how long the stop
/// took.
fn stop_during(port_block: u8, path: &'static str) -> (bool, Duration) {
    let mut fleet = Fleet::start_unconfigured(port_block);
    fleet.kill("g4");
    fleet.run_gateway_with_grace(4, GRACE_SECONDS);
    let patient = fleet::document().replace("\"timeout-ms\": 1000", "\"timeout-ms\": 8000");
    fleet.commit_document(&patient);
    fleet.wait("gateway", |f| f.ready(4));
    let backends = ["plain", "engines"].map(|s| (s, Backend::start(s, answer)));
    for (service, backend) in &backends {
        fleet.announce(backend, service, "ready", 1);
    }
    let call = caller(fleet.callers(4), "POST", path);
    thread::sleep(Duration::from_millis(500));

    let mut child = fleet.terminate("g4").unwrap();
    let stopped_at = Instant::now();
    child.wait().unwrap();
    let took = stopped_at.elapsed();
    let (whole, _) = call.join().unwrap();
    (whole, took)
}

/// The process ends within the grace period, though not long after its last answer.
fn expect_whole((whole, took): (bool, Duration)) {
    expect_true!(whole);
    expect_that!(took, lt(Duration::from_secs(GRACE_SECONDS.into())));
}

/// Guards against an answer that a planned stop cuts while its caller reads it: the process ended
/// once the answer was handed to its connection, not when it was written.
#[googletest::test]
fn a_stopping_gateway_writes_a_long_answer() {
    expect_whole(stop_during(119, "/file/long-answer"));
}

/// The same for a stream, whose last events are queued for the caller.
#[googletest::test]
fn a_stopping_gateway_writes_a_long_stream() {
    expect_whole(stop_during(120, "/draft/long-stream"));
}

/// Guards against a request that a planned stop cuts at its backend server.
#[googletest::test]
fn a_stopping_gateway_waits_for_long_work() {
    expect_whole(stop_during(121, "/file/long-work"));
}

/// Guards against a request that a planned stop cuts before it has arrived whole.
#[googletest::test]
fn a_stopping_gateway_receives_an_upload() {
    expect_whole(stop_during(122, "/file/upload"));
}

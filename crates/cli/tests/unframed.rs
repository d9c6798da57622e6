//! Answers of backend servers with neither a length nor chunks, which end with their connections.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{LAST_EVENT, SIGNATURE};
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message};
use googletest::prelude::*;
use std::net::TcpStream;

const EVENTS: [&str; 3] = [
    "id: 1\ndata: one\n\n",
    "id: 2\ndata: two\n\n",
    "id: 3\ndata: three\n\n",
];

/// Sends the head of an unframed answer and `content`, and ends the connection.
fn write_unframed(request: &Message, stream: &mut TcpStream, kind: &str, content: &str) -> bool {
    let headers = format!("{SIGNATURE}: s\r\ncontent-type: {kind}\r\n");
    let head = response_head(request, "200 OK", &headers);
    write_text(stream, &format!("{head}\r\n{content}"));
    false
}

fn write_events(request: &Message, stream: &mut TcpStream, content: &str) -> bool {
    write_unframed(request, stream, "text/event-stream", content)
}

/// Announces two backend servers of `service`; the first one that a caller's request reaches
/// answers with `content`, the next one goes on after the last event that the caller has.
fn start(port_block: u8, service: &str, content: &'static str) -> (Fleet, Vec<Backend>) {
    let fleet = Fleet::start(port_block);
    let is_first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let backends: Vec<Backend> = ["a", "b"]
        .into_iter()
        .map(|id| {
            let is_first = is_first.clone();
            Backend::start(id, move |request, stream| {
                let is_callers = request.is_callers();
                let swap = std::sync::atomic::Ordering::SeqCst;
                match is_callers && is_first.swap(false, swap) {
                    true if request.start_line.contains("/draft/") => {
                        write_events(request, stream, content)
                    }
                    true => write_unframed(request, stream, "text/plain", content),
                    false if request.start_line.contains("/draft/") => {
                        let last = request.header(LAST_EVENT).parse().unwrap_or(0);
                        write_events(request, stream, &EVENTS[last..].concat())
                    }
                    false => succeed(request, stream),
                }
            })
        })
        .collect();
    for backend in &backends {
        fleet.announce(backend, service, "ready", 1);
    }
    (fleet, backends)
}

fn total(backends: &[Backend]) -> usize {
    backends.iter().map(Backend::count).sum()
}

/// Guards against a stream without length whose backend server ends before the first event: it
/// reached its caller as a whole, empty answer.
#[googletest::test]
fn a_stream_that_ends_before_its_first_event_is_not_complete() {
    let (fleet, backends) = start(85, "engines", "");

    let response = fleet.send(4, "POST", "/draft/1", "r1");

    expect_that!(response.text(), eq(&EVENTS.concat()));
    expect_true!(response.complete);
    expect_that!(total(&backends), eq(2));
}

/// Guards against a stream without length that ends within an event and passes for complete.
#[googletest::test]
fn a_stream_that_ends_within_an_event_goes_on_after_its_last_whole_one() {
    let (fleet, backends) = start(86, "engines", "id: 1\ndata: one\n\nid: 2\nda");

    let response = fleet.send(4, "POST", "/draft/1", "r1");

    expect_that!(response.text(), eq(&EVENTS.concat()));
    expect_true!(response.complete);
    expect_that!(total(&backends), eq(2));
}

/// Guards against whole streams without length that are taken for broken.
#[googletest::test]
fn a_stream_that_ends_after_an_event_is_complete() {
    let (fleet, backends) = start(87, "engines", "id: 1\ndata: one\n\n");

    let response = fleet.send(4, "POST", "/draft/1", "r1");

    expect_that!(response.text(), eq(EVENTS[0]));
    expect_true!(response.complete);
    expect_that!(total(&backends), eq(1));
}

/// Guards against a plain answer without length whose backend server ends before its first byte: it
/// reached its caller as a whole, empty answer.
#[googletest::test]
fn a_plain_answer_that_ends_before_its_first_byte_is_not_complete() {
    let (fleet, backends) = start(88, "plain", "");

    let repeatable = fleet.send(4, "GET", "/look/1", "r1");

    expect_that!(repeatable.text(), eq("whole"));
    expect_that!(total(&backends), eq(2));
}

/// Guards against the same where the request may not run again: the answer is an error, no success.
#[googletest::test]
fn a_plain_answer_that_must_not_run_again_and_ends_before_its_first_byte_fails() {
    let (fleet, backends) = start(89, "plain", "");

    let response = fleet.send(4, "POST", "/file/1", "r1");

    expect_that!(response.status(), eq(502));
    expect_true!(response.text().contains("may-have-run"));
    expect_that!(total(&backends), eq(1));
}

/// Guards against whole plain answers without length that are taken for broken.
#[googletest::test]
fn a_plain_answer_that_ends_after_its_content_is_complete() {
    let (fleet, backends) = start(90, "plain", "whole");

    let response = fleet.send(4, "POST", "/file/1", "r1");

    expect_that!(response.status(), eq(200));
    expect_that!(response.text(), eq("whole"));
    expect_that!(total(&backends), eq(1));
}

/// Guards against a plain answer without length that is reset within its content and passes for
/// complete.
#[googletest::test]
fn a_plain_answer_that_is_reset_within_its_content_fails() {
    let fleet = Fleet::start(91);
    let backend = Backend::start("a", |request, stream| {
        write_unframed(request, stream, "text/plain", "who");
        // Closing with no linger time resets the connection.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(std::time::Duration::ZERO));
        std::thread::sleep(std::time::Duration::from_millis(50));
        false
    });
    fleet.announce(&backend, "plain", "ready", 1);

    let response = fleet.send(4, "POST", "/file/1", "r1");

    expect_that!(response.status(), eq(502));
    expect_that!(backend.count(), eq(1));
}

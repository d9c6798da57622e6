//! Answers that end within their head, or before it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{ATTEMPT, SIGNATURE};
use fleet::scripts::{succeed, write_text};
use fleet::{Backend, Fleet, Message, request_head};
use googletest::prelude::*;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What a backend server sends of an answer before it closes the connection; ID stands for the
/// attempt.
const CUTS: [&str; 12] = [
    "HTTP/1.1",
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nATTEMPT: ID\r\nSIGNATURE: s\r\n",
    "HTTP/1.1 200 OK\r\nATTEMPT: ID\r\nSIGNATURE: s\r\ncontent-length: 1",
    "HTTP/1.1 200 OK\r\nATTEMPT: ID\r\nSIGNATURE: s\r\ncontent-length: 0\r\n",
    "HTTP/1.1 200 OK\r\nATTEMPT: ID\r\nSIGNATURE: s\r\ntransfer-enc",
    "HTTP/1.1 200 OK\r\nATTEMPT: ID\r\nSIGNATURE: s\r\ncontent-type: text/event-stream\r\n",
    "HTTP/1.1 10",
    "HTTP/1.1 100 Continue\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT: ID\r\n",
];
/// How the connection ends.
const CLOSES: [Close; 2] = [Close::Ended, Close::Reset];
const LARGE_BODY_BYTES: usize = 300 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    Ended,
    Reset,
}

fn write_cut(request: &Message, stream: &mut TcpStream, cut: &str, close: Close) -> bool {
    let text = cut
        .replace("ATTEMPT", ATTEMPT)
        .replace("SIGNATURE", SIGNATURE);
    write_text(stream, &text.replace("ID", request.header(ATTEMPT)));
    if close == Close::Reset {
        // Closing with no linger time resets the connection.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Two backend servers: the first one that a caller's request reaches cuts its answer, and the next
/// one answers.
fn start(
    fleet: &Fleet,
    service: &str,
    name: &str,
    cut: &'static str,
    close: Close,
) -> [Backend; 2] {
    let is_first = Arc::new(AtomicBool::new(true));
    let backends = ["a", "b"].map(|n| {
        let is_first = is_first.clone();
        Backend::start(&format!("{name}-{n}"), move |request, stream| {
            let is_callers = request.is_callers();
            match is_callers && is_first.swap(false, Ordering::SeqCst) {
                true => write_cut(request, stream, cut, close),
                false => succeed(request, stream),
            }
        })
    });
    for backend in &backends {
        fleet.announce(backend, service, "ready", 1);
    }
    backends
}

/// Sends a request to two backend servers for each cut and end; checks its answer.
fn check(fleet: &Fleet, service: &str, send: impl Fn(&str) -> Message, repeatable: bool) {
    for (n, (cut, close)) in CUTS
        .into_iter()
        .flat_map(|c| CLOSES.map(|e| (c, e)))
        .enumerate()
    {
        let backends = start(fleet, service, &format!("server-{n}"), cut, close);

        let answer = send(&format!("r{n}"));

        let case = format!("{cut:?}, {close:?}");
        let runs: usize = backends.iter().map(Backend::count).sum();
        match repeatable {
            true => {
                expect_that!(
                    (answer.status(), answer.text()),
                    eq(&(200, "whole".into())),
                    "{case}"
                );
                expect_that!(runs, eq(2), "{case}");
            }
            false => {
                expect_that!(answer.status(), eq(502), "{case}");
                expect_true!(answer.text().contains("may-have-run"), "{case}");
                expect_that!(runs, eq(1), "{case}");
            }
        }
        for backend in &backends {
            fleet.deregister(backend);
        }
    }
}

/// Guards against a success with an empty or short body: a backend server ends within the head of its
/// answer, and what came of it passes for whole.
#[googletest::test]
fn an_answer_that_ends_within_its_head_fails() {
    let fleet = Fleet::start(115);

    check(
        &fleet,
        "plain",
        |id| fleet.send(4, "POST", "/file/1", id),
        false,
    );
}

/// The same for a request that may run again.
#[googletest::test]
fn an_answer_that_ends_within_its_head_is_replaced_by_another_one() {
    let fleet = Fleet::start(116);

    check(
        &fleet,
        "plain",
        |id| fleet.send(4, "GET", "/look/1", id),
        true,
    );
}

/// The same for an upload, whose backend server may answer before it has read all.
#[googletest::test]
fn an_upload_whose_answer_ends_within_its_head_fails() {
    let fleet = Fleet::start(117);
    let body = "u".repeat(LARGE_BODY_BYTES);
    let upload = |id: &str| {
        let head = request_head("POST", "/file/1", id, "key-1");
        fleet::call(fleet.callers(4), &head, &body).unwrap()
    };

    check(&fleet, "plain", upload, false);
}

/// The same for a stream, which goes on at another backend server.
#[googletest::test]
fn a_stream_that_ends_within_its_head_is_replaced_by_another_answer() {
    let fleet = Fleet::start(118);

    check(
        &fleet,
        "engines",
        |id| fleet.send(4, "POST", "/draft/1", id),
        true,
    );
}

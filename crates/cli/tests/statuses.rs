//! Answers of backend servers whose status no answer may have.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::SIGNATURE;
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message};
use googletest::prelude::*;
use std::net::TcpStream;

/// Status lines outside of those that end a request.
const INVALID: [&str; 8] = [
    "000 None",
    "099 None",
    "2x0 None",
    "101 Switching Protocols",
    "600 None",
    "700 None",
    "999 None",
    "1000 None",
];
/// Requests sent to a backend server that is to be ejected.
const REQUESTS: usize = 30;

/// Answers all requests of callers with `status`, whole otherwise; health checks succeed.
fn backend(id: &str, status: &'static str, kind: &'static str) -> Backend {
    Backend::start(id, move |request: &Message, stream: &mut TcpStream| {
        if !request.is_callers() {
            return succeed(request, stream);
        }
        let headers = format!("{SIGNATURE}: s\r\ncontent-type: {kind}\r\ncontent-length: 5\r\n");
        let head = response_head(request, status, &headers);
        write_text(stream, &format!("{head}\r\nwhole"))
    })
}

/// Guards against an answer that is none: the caller of a request that may not run again got a status
/// that HTTP does not know as its answer, or one that ends no request.
#[googletest::test]
fn an_invalid_status_is_no_answer() {
    let fleet = Fleet::start(112);
    for (n, status) in INVALID.into_iter().enumerate() {
        let backend = backend(&format!("server-{n}"), status, "text/plain");
        fleet.announce(&backend, "plain", "ready", 1);

        let response = fleet.send(4, "POST", "/file/1", "r1");

        expect_that!(response.status(), eq(502), "{status}");
        expect_true!(response.text().contains("may-have-run"), "{status}");
        expect_that!(backend.count(), eq(1), "{status}");
        fleet.deregister(&backend);
    }
}

/// The same for a request that is answered by a stream.
#[googletest::test]
fn an_invalid_status_begins_no_stream() {
    let fleet = Fleet::start(113);
    for (n, status) in INVALID.into_iter().enumerate() {
        let backend = backend(&format!("server-{n}"), status, "text/event-stream");
        fleet.announce(&backend, "engines", "ready", 1);

        let response = fleet.send(4, "POST", "/draft/1", "r1");

        expect_that!(response.status(), eq(502), "{status}");
        fleet.deregister(&backend);
    }
}

/// Guards against a backend server that keeps getting requests, since its invalid answers counted as
/// successes.
#[googletest::test]
fn a_backend_server_with_invalid_statuses_is_ejected() {
    let fleet = Fleet::start(114);
    for (n, status) in INVALID.into_iter().enumerate() {
        let broken = backend(&format!("broken-{n}"), status, "text/plain");
        let sound = Backend::start(&format!("sound-{n}"), succeed);
        for backend in [&broken, &sound] {
            fleet.announce(backend, "plain", "ready", 1);
        }

        let send = |r: usize| fleet.send(4, "GET", "/look/1", &format!("r{r}")).status();
        let statuses: Vec<u16> = (0..REQUESTS).map(send).collect();

        expect_that!(statuses, each(eq(&200)), "{status}");
        expect_that!(broken.count(), lt(REQUESTS / 3), "{status}");
        for backend in [&broken, &sound] {
            fleet.deregister(backend);
        }
    }
}

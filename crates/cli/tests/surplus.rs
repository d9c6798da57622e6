//! Late surplus answers of a backend server, which are to an earlier request and arrive where the
//! answer to the next one is expected.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{LIMIT, LOAD, NOT_RUN, RETRY_AFTER, SERVER};
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message};
use googletest::prelude::*;
use std::net::TcpStream;
use std::sync::Mutex;

/// Status line and headers of surplus answers, each of which would be acted on if it were the answer
/// to the request that waits.
const SURPLUS: [(&str, &str); 5] = [
    ("503 Full", NOT_RUN),
    ("421 Misdirected", NOT_RUN),
    ("421 Misdirected", SERVER),
    ("429 Later", NOT_RUN),
    ("200 OK", "x-none"),
];

/// Answers each request whole, and each second one on a connection with a surplus answer first.
fn backend(id: &str, status: &'static str, name: &'static str) -> Backend {
    let earlier: Mutex<Option<Message>> = Mutex::default();
    Backend::start(id, move |request: &Message, stream: &mut TcpStream| {
        if !request.is_callers() {
            return succeed(request, stream);
        }
        let Some(earlier) = earlier.lock().expect("earlier").take() else {
            earlier.lock().expect("earlier").replace(request.clone());
            return succeed(request, stream);
        };
        let asks = format!("{RETRY_AFTER}: 30\r\n{LOAD}: 4,90,4\r\n{LIMIT}: 0.1\r\n");
        let headers = format!("{name}: other\r\n{asks}content-length: 0\r\n");
        let head = response_head(&earlier, status, &headers);
        write_text(stream, &format!("{head}\r\n")) && succeed(request, stream)
    })
}

/// Guards against a request that runs and is reported as not run, or runs again, since a rejection of
/// an earlier request was taken for its answer.
#[googletest::test]
fn a_rejection_of_another_request_says_nothing_of_this_one() {
    let fleet = Fleet::start(100);
    for (n, (status, name)) in SURPLUS.into_iter().enumerate() {
        let backend = backend(&format!("server-{n}"), status, name);
        fleet.announce(&backend, "plain", "ready", 1);

        let first = fleet.send(4, "POST", "/file/1", "first").status();
        let second = fleet.send(4, "POST", "/file/1", "second");
        let sent = backend.count();

        expect_that!((first, second.status()), eq((200, 502)), "{status} {name}");
        expect_true!(second.text().contains("may-have-run"));
        expect_that!(sent, eq(2), "{status} {name}");
        fleet.deregister(&backend);
    }
}

/// Guards against sound backend servers that get no more requests: a surplus answer asked for rest,
/// or said that another one has the address.
#[googletest::test]
fn a_surplus_answer_does_not_keep_requests_from_its_backend_server() {
    let fleet = Fleet::start(101);
    for (n, (status, name)) in SURPLUS.into_iter().enumerate() {
        let backend = backend(&format!("server-{n}"), status, name);
        fleet.announce(&backend, "plain", "ready", 1);

        let send = |id: &str| fleet.send(4, "GET", "/look/1", id).status();
        let first = send("first");
        let _ = send("second");
        let next = send("third");

        expect_that!((first, next), eq((200, 200)), "{status} {name}");
        fleet.deregister(&backend);
    }
}

//! Backend servers that receive a request and fall silent, with real sockets and gateway processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use fleet::scripts::write_text;
use fleet::{Backend, Fleet, Message, request_head};
use googletest::prelude::*;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// A backend server whose instance stands still after it has read a request.
fn stand_still(_: &Message, _: &mut TcpStream) -> bool {
    thread::sleep(Duration::from_secs(20));
    false
}

fn send_stream(fleet: &Fleet, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.callers(4)).unwrap();
    let head = request_head("POST", "/draft/1", id, "key-1");
    write_text(&mut caller, &format!("{head}\r\ncontent-length: 0\r\n\r\n"));
    caller
}

/// Guards against a departure that no log shows: nothing was logged for a caller that left before
/// its first event.
#[googletest::test]
fn a_caller_that_leaves_before_the_first_event_is_logged() {
    let fleet = Fleet::start(60);
    let backend = Backend::start("a", stand_still);
    fleet.announce(&backend, "engines", "ready", 1);
    let caller = send_stream(&fleet, "early");
    fleet.wait("request", |_| backend.count() == 1);

    drop(caller);

    let line = |f: &Fleet| {
        let log = std::fs::read_to_string(f.log_path("g4")).unwrap();
        let departure = |l: &&str| l.contains("caller_left") && l.contains("early");
        log.lines().find(departure).map(str::to_string)
    };
    fleet.wait("log line", |f| line(f).is_some());
    let line = line(&fleet).unwrap();
    expect_that!(line, contains_substring("before an answer"));
    expect_that!(line, contains_substring("\"server\":\"a\""));
}

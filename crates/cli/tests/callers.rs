//! The callers' interface: bad input of every kind gets a clear refusal, and costs
//! other callers nothing.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use testbed::{CallOutcome, KEY, Request, System, SystemSpec, send, wait_for_rows};

const WITHIN: Duration = Duration::from_secs(20);

/// A system of one entry and one engine that serves.
fn system() -> System {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        engines: 1,
        ..SystemSpec::default()
    });
    for name in system.names() {
        system.start(&name);
    }
    wait_for_rows(
        &system,
        "e1",
        "show backends where state = serving",
        1,
        WITHIN,
    )
    .unwrap();
    system
}

fn exchange(system: &System, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(system.caller_address("e1")).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Headers and body of a request, its path, and the status due.
const CASES: [(&str, &str, &str, &str, u16); 13] = [
    ("no key", "/svc/notice-gen/x", "", "", 401),
    (
        "empty key",
        "/svc/notice-gen/x",
        "Authorization: Bearer \r\n",
        "",
        401,
    ),
    (
        "wrong key",
        "/svc/notice-gen/x",
        "Authorization: Bearer nobody\r\n",
        "",
        401,
    ),
    (
        "other scheme",
        "/svc/notice-gen/x",
        "Authorization: Basic a2V5\r\n",
        "",
        401,
    ),
    ("unknown service", "/svc/nothing/x", "@", "", 404),
    ("unknown path", "/nothing", "@", "", 404),
    (
        "key of version 4",
        "/svc/notice-gen/x",
        "@Idempotency-Key: 2b1c0a52-3f0e-4d8e-9d6a-0123456789ab\r\n",
        "",
        400,
    ),
    (
        "key that is none",
        "/svc/notice-gen/x",
        "@Idempotency-Key: once\r\n",
        "",
        400,
    ),
    (
        "unknown priority",
        "/svc/notice-gen/x",
        "@X-Priority: first\r\n",
        "",
        400,
    ),
    (
        "deadline in words",
        "/svc/notice-gen/x",
        "@X-Deadline-Ms: soon\r\n",
        "",
        400,
    ),
    (
        "deadline of nothing",
        "/svc/notice-gen/x",
        "@X-Deadline-Ms: 0\r\n",
        "",
        400,
    ),
    ("body too large", "/svc/notice-gen/x", "@", "large", 413),
    (
        "right",
        "/svc/notice-gen/x",
        "@",
        "{\"prompt\": \"q\", \"tokens\": 1}",
        200,
    ),
];

#[gtest]
fn bad_input_gets_a_clear_refusal() {
    let system = system();
    for (what, path, headers, body, status) in CASES {
        let auth = format!("Authorization: Bearer {KEY}\r\n");
        let headers = headers.replace('@', &auth);
        let body = if body == "large" {
            "x".repeat((1 << 20) + 1)
        } else {
            body.into()
        };
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: e1\r\nConnection: close\r\n\
             Content-Length: {length}\r\n{headers}\r\n{body}"
        );

        let answer = exchange(&system, request.as_bytes());

        let line = answer.lines().next().unwrap_or("").to_string();
        expect_that!(
            line,
            contains_substring(format!(" {status} ")),
            "{what}: {answer}"
        );
        if status != 200 {
            expect_that!(answer, contains_substring("x-verdict: not-run"), "{what}");
            expect_that!(answer, contains_substring("\"reason\""), "{what}");
        }
    }
}

/// Raw bytes that are no HTTP, and the status due.
const MALFORMED: [(&str, &str, u16); 4] = [
    ("no HTTP at all", "hello\r\n\r\n", 400),
    (
        "two lengths",
        "POST /svc/a/b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        400,
    ),
    (
        "negative length",
        "POST /svc/a/b HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        400,
    ),
    ("header too large", "large", 431),
];

#[gtest]
fn malformed_http_is_refused() {
    let system = system();
    for (what, raw, status) in MALFORMED {
        let raw = match raw {
            "large" => format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(40_000)),
            other => other.into(),
        };

        let answer = exchange(&system, raw.as_bytes());

        expect_that!(answer, contains_substring(format!(" {status} ")), "{what}");
    }
}

/// Symptom: callers wait behind others that send nothing. Sequence: many connections
/// with half a header, or half a body. Cause: a connection holds a thread, for ever.
#[gtest]
fn slow_callers_are_ended_and_cost_others_nothing() {
    let system = system();
    let halves = [
        "GET /healthz HTT",
        "POST /svc/a/b HTTP/1.1\r\nAuthorization: Bearer k\r\nContent-Length: 9\r\n\r\nhalf",
    ];
    let slow: Vec<TcpStream> = (0..200)
        .map(|i| {
            let mut stream = TcpStream::connect(system.caller_address("e1")).unwrap();
            stream.write_all(halves[i % 2].as_bytes()).unwrap();
            stream
        })
        .collect();

    let start = Instant::now();
    let request = Request {
        entry: system.caller_address("e1"),
        service: "notice-gen".into(),
        prompt: "q".into(),
        key: None,
        tokens: 4,
        deadline_ms: None,
    };
    let fate = send(&request);
    let took = start.elapsed();

    expect_that!(fate, eq(&CallOutcome::Whole));
    expect_that!(took, lt(Duration::from_secs(2)));
    for mut stream in slow {
        stream.set_read_timeout(Some(WITHIN)).unwrap();
        let mut rest = Vec::new();
        expect_that!(stream.read_to_end(&mut rest), ok(anything()));
    }
}

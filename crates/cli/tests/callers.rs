//! The callers' interface: invalid input is refused with a status and a reason, and does not
//! affect other callers.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use testbed::{CallOutcome, KEY, Request, System, SystemSpec, send, wait_for_rows};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts one entry and one engine and waits until the engine is serving.
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
        TIMEOUT,
    )
    .unwrap();
    system
}

fn exchange(system: &System, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(system.caller_addr("e1")).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Name, path, headers (`@` is a valid key), body, and the expected status.
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
        "invalid key",
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
        "deadline not a number",
        "/svc/notice-gen/x",
        "@X-Deadline-Ms: soon\r\n",
        "",
        400,
    ),
    (
        "zero deadline",
        "/svc/notice-gen/x",
        "@X-Deadline-Ms: 0\r\n",
        "",
        400,
    ),
    ("body too large", "/svc/notice-gen/x", "@", "large", 413),
    (
        "valid request",
        "/svc/notice-gen/x",
        "@",
        "{\"prompt\": \"q\", \"tokens\": 1}",
        200,
    ),
];

#[gtest]
fn invalid_requests_are_refused_with_a_reason() {
    let system = system();
    for (case, path, headers, body, status) in CASES {
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

        let response = exchange(&system, request.as_bytes());

        let line = response.lines().next().unwrap_or("").to_string();
        expect_that!(
            line,
            contains_substring(format!(" {status} ")),
            "{case}: {response}"
        );
        if status != 200 {
            expect_that!(response, contains_substring("x-verdict: not-run"), "{case}");
            expect_that!(response, contains_substring("\"reason\""), "{case}");
        }
    }
}

/// Name, invalid HTTP, and the expected status.
const MALFORMED: [(&str, &str, u16); 4] = [
    ("not HTTP", "hello\r\n\r\n", 400),
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
    for (case, raw, status) in MALFORMED {
        let raw = match raw {
            "large" => format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(40_000)),
            other => other.into(),
        };

        let response = exchange(&system, raw.as_bytes());

        expect_that!(
            response,
            contains_substring(format!(" {status} ")),
            "{case}"
        );
    }
}

/// Guards against callers that wait behind stalled connections: many connections send half a
/// header or half a body, and each occupies a thread forever.
#[gtest]
fn stalled_connections_are_closed_without_delaying_others() {
    let system = system();
    let partial = [
        "GET /healthz HTT",
        "POST /svc/a/b HTTP/1.1\r\nAuthorization: Bearer k\r\nContent-Length: 9\r\n\r\nhalf",
    ];
    let stalled: Vec<TcpStream> = (0..200)
        .map(|i| {
            let mut stream = TcpStream::connect(system.caller_addr("e1")).unwrap();
            stream.write_all(partial[i % 2].as_bytes()).unwrap();
            stream
        })
        .collect();

    let start = Instant::now();
    let request = Request {
        entry: system.caller_addr("e1"),
        service: "notice-gen".into(),
        prompt: "q".into(),
        key: None,
        tokens: 4,
        deadline_ms: None,
    };
    let outcome = send(&request);
    let elapsed = start.elapsed();

    expect_that!(outcome, eq(&CallOutcome::Whole));
    expect_that!(elapsed, lt(Duration::from_secs(2)));
    for mut stream in stalled {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut rest = Vec::new();
        expect_that!(stream.read_to_end(&mut rest), ok(anything()));
    }
}

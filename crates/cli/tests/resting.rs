//! Backend servers behind agents that request backoff.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use googletest::prelude::*;
use std::time::{Duration, Instant};
use testbed::{Request, System, SystemSpec, send, wait_for_rows};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Backoff that the backend server requests, and the time during it in which requests are sent.
const BACKOFF: Duration = Duration::from_secs(4);
const SEND_TIME: Duration = Duration::from_secs(3);
/// Requests that may reach a backend server after its first rejection: required by users.
const MAX_LATE: usize = 2;

/// Guards against callers that receive the failure of an overloaded backend server for as long as
/// it is overloaded: it rejects a request and requests backoff, but the agent in front of it still
/// forwards further requests. The agent passed the retry time on and did not read it, nor did
/// gateways then. 133 requests arrived during the backoff, as many as at the other backend server.
#[googletest::test]
fn an_agent_holds_requests_back_from_a_backend_server_that_requests_backoff() {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        engines: 2,
        ..SystemSpec::default()
    });
    for name in system.names() {
        system.start(&name);
    }
    let query = "show backends where state = serving";
    wait_for_rows(&system, "e1", query, 2, TIMEOUT).unwrap();
    let request = Request {
        entry: system.caller_addr("e1"),
        service: "notice-gen".into(),
        prompt: "q".into(),
        key: None,
        tokens: 4,
        deadline_ms: Some(2_000),
    };
    // Requests with the same prompt prefix go to the same backend server while it has capacity.
    send(&request);
    let has_run = |n: &&str| system.record(n).iter().any(|l| l.event == "start");
    let chosen = ["n1", "n2"].into_iter().find(has_run).unwrap();
    let url = format!("http://{}/fake/rest", system.fake_addr(chosen));
    ureq::post(url).send(BACKOFF.as_secs().to_string()).unwrap();

    let start = Instant::now();
    while start.elapsed() < SEND_TIME {
        send(&request);
        std::thread::sleep(Duration::from_millis(20));
    }

    let record = system.record(chosen);
    let rejected = record.iter().filter(|l| l.event == "turned_away").count();
    expect_that!(rejected, ge(1));
    expect_that!(rejected, le(1 + MAX_LATE));
}

//! Requests that terminate the backend servers that run them, in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use fleet::crashing::{self, FATAL, Record};
use fleet::{Fleet, Message, call, request_head};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after the third termination within which all gateways must know the cause, and attempts
/// allowed after that time: the bound that users require.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const ATTEMPTS_AFTER: usize = 3;
/// Number of terminations under a request after which it is taken for their cause.
const TERMINATIONS: usize = 3;

/// Whether the request is not sent any more. A suspect that awaits its trial has a retry time.
fn refused(response: &Message) -> bool {
    let is_message = response.text().contains("ended under this request");
    is_message && response.header("retry-after").is_empty()
}

/// Sends requests to all `gateways` concurrently, to each every `interval` for `duration`; returns
/// the responses with the times at which their requests were sent.
fn send_all(
    gateways: &[SocketAddr],
    body: &'static str,
    interval: Duration,
    duration: Duration,
) -> Vec<(Instant, Message)> {
    let deadline = Instant::now() + duration;
    let start_caller = |at: SocketAddr| {
        thread::spawn(move || {
            let mut responses = Vec::new();
            for n in 0.. {
                let sent_at = Instant::now();
                if sent_at >= deadline {
                    break;
                }
                let head = request_head("POST", "/draft/1", &format!("{at}-{body}-{n}"), "key-1");
                responses.push((sent_at, call(at, &head, body).unwrap_or_default()));
                thread::sleep(interval.saturating_sub(sent_at.elapsed()));
            }
            responses
        })
    };
    let tasks: Vec<_> = gateways.iter().map(|at| start_caller(*at)).collect();
    tasks.into_iter().flat_map(|t| t.join().unwrap()).collect()
}

/// Guards against backend servers that terminate one after the other for as long as a caller
/// retries: a request terminates the backend server that runs it; the same caller sends it again
/// through other gateways, several at once, and it terminates the next ones, which restart
/// meanwhile. No process recorded which requests were running where a backend server terminated. On
/// a day with 17 terminations, the request behind each had produced no event yet, and was a retry:
/// it had been refused or cut off before, at another gateway.
#[googletest::test]
fn a_request_that_terminates_backend_servers_is_known_to_all_gateways() {
    let mut fleet = Fleet::start(38);
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    let gateways: Vec<SocketAddr> = (4..=6).map(|n| fleet.callers(n)).collect();
    let record: Arc<Mutex<Record>> = Arc::default();
    for name in ["a", "b", "c", "d", "e", "f"] {
        crashing::run(name, "engines", fleet.control(2), &record);
    }
    fleet.wait("backend servers", |f| {
        (4..=6).all(|n| f.send(n, "POST", "/draft/1", "first").complete)
    });

    let duration = Duration::from_secs(14);
    let addresses = gateways.clone();
    let ordinary = thread::spawn(move || {
        send_all(&addresses, "ordinary", Duration::from_millis(50), duration)
    });
    send_all(&gateways, FATAL, Duration::from_millis(700), duration);
    let ordinary = ordinary.join().unwrap();

    let record = record.lock().unwrap();
    expect_that!(record.terminations.len(), ge(TERMINATIONS), "too few");
    let known_by = record.terminations[TERMINATIONS - 1] + KNOWN_WITHIN;
    let late = record.arrivals.iter().filter(|a| **a > known_by).count();
    expect_that!(
        late,
        le(ATTEMPTS_AFTER),
        "{} terminated",
        record.terminations.len()
    );
    // Once the cause is known and all backend servers have restarted, others are served as usual.
    let recovered_at = known_by + Duration::from_secs(2);
    let served = ordinary.iter().filter(|(at, _)| *at > recovered_at);
    let (complete, failed): (Vec<_>, Vec<_>) =
        served.partition(|(_, m)| m.status() == 200 && m.complete);
    expect_that!(complete.len(), gt(100));
    expect_that!(failed.len(), eq(0));
}

/// Guards against backend servers that terminate again under a refused request after a restart: all
/// coordinators and gateways are killed and start again, and the request is sent to each gateway
/// once more. The refusal was kept only in memory.
#[googletest::test]
fn a_refused_request_is_refused_after_all_processes_were_killed() {
    let mut fleet = Fleet::start(39);
    let record: Arc<Mutex<Record>> = Arc::default();
    for name in ["a", "b", "c", "d"] {
        crashing::run(name, "engines", fleet.control(2), &record);
    }
    fleet.wait("backend servers", |f| {
        (4..=5).all(|n| f.send(n, "POST", "/draft/1", "first").complete)
    });
    let send_fatal = |f: &Fleet, n: u8| {
        let head = request_head("POST", "/draft/1", "fatal-1", "key-1");
        call(f.callers(n), &head, FATAL).unwrap_or_default()
    };
    fleet.wait("refusal", |f| (4..=5).all(|n| refused(&send_fatal(f, n))));
    let arrivals = record.lock().unwrap().arrivals.len();

    for id in ["g4", "g5", "c1", "c2", "c3"] {
        fleet.kill(id);
    }
    for n in 1..=3 {
        fleet.run_coordinator(n, false);
    }
    for n in 4..=5 {
        fleet.run_gateway(n);
    }
    fleet.wait("gateways", |f| {
        (4..=5).all(|n| f.send(n, "POST", "/draft/1", "again").complete)
    });
    let responses: Vec<Message> = (4..=5).map(|n| send_fatal(&fleet, n)).collect();

    for response in &responses {
        expect_that!(response.status(), eq(503));
        expect_true!(refused(response));
        // No header suggests that a retry would help.
        expect_that!(response.header("retry-after"), eq(""));
    }
    expect_that!(record.lock().unwrap().arrivals.len(), eq(arrivals));
}

/// An operator pardons a request: it is tried again, and terminates its backend servers.
#[googletest::test]
fn operators_list_and_pardon_refused_requests_and_explain_shows_the_reason() {
    let fleet = Fleet::start(40);
    let record: Arc<Mutex<Record>> = Arc::default();
    for name in ["a", "b", "c", "d"] {
        crashing::run(name, "engines", fleet.control(2), &record);
    }
    fleet.wait("backend servers", |f| {
        (4..=5).all(|n| f.send(n, "POST", "/draft/1", "first").complete)
    });
    let send_fatal = |f: &Fleet, id: &str| {
        let head = request_head("POST", "/draft/1", id, "key-1");
        call(f.callers(4), &head, FATAL).unwrap_or_default()
    };
    fleet.wait("refusal", |f| refused(&send_fatal(f, "fatal-1")));
    let terminations = record.lock().unwrap().terminations.len();
    let command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
        let output = command.args(args).output().expect("command");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let address = fleet.operators(1).to_string();

    let output = command(&["quarantine", "--at", &address]);
    let rows: serde_json::Value = serde_json::from_str(&output).unwrap();
    let row = &rows["requests"][0];
    let digest = row["digest"].as_str().unwrap_or_default();
    let pardoned = command(&["quarantine", "--at", &address, "--pardon", digest]);
    fleet.wait("attempt after the pardon", |f| {
        send_fatal(f, "fatal-2");
        record.lock().unwrap().terminations.len() > terminations
    });
    let logs: Vec<String> = ["g4", "g5", "c1", "c2", "c3"]
        .map(|id| fleet.log_path(id).display().to_string())
        .into();
    let mut args = vec!["explain", "fatal-1"];
    args.extend(logs.iter().map(String::as_str));
    let text = command(&args);

    expect_that!(row["standing"].as_str(), some(eq("Refused")));
    expect_that!(row["ended"].as_array().map(Vec::len), some(ge(3)));
    expect_true!(pardoned.contains("true"));
    for event in [
        "backend_server_ended",
        "suspect_asked",
        "request_case",
        "quarantined",
    ] {
        expect_true!(text.contains(event), "{event} is missing in:\n{text}");
    }
}

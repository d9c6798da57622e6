//! Requests that end the backend servers that run them, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The other tests of a fleet use the rest of it.
#[allow(dead_code)]
mod fleet;

use fleet::mortal::{self, FATAL, Record};
use fleet::{Fleet, Message, call, request};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after the third end within which all gateways must know, and tries allowed after it: the
/// users' bound.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const TRIES_AFTER: usize = 3;
/// Ends under a request after which it counts as the cause.
const ENDS: usize = 3;

/// It is sent no more. A suspect that waits for its try is told when to come back.
fn refused(answer: &Message) -> bool {
    let said = answer.text().contains("ended under this request");
    said && answer.header("retry-after").is_empty()
}

/// Requests sent to all of `gateways` at once, every `gap` for `time`; the answers with the time
/// of their request, and whether each was whole.
fn ask_all(
    gateways: &[SocketAddr],
    body: &'static str,
    gap: Duration,
    time: Duration,
) -> Vec<(Instant, Message)> {
    let until = Instant::now() + time;
    let ask = |at: SocketAddr| {
        thread::spawn(move || {
            let mut answers = Vec::new();
            for n in 0.. {
                let asked = Instant::now();
                if asked >= until {
                    break;
                }
                let head = request("POST", "/draft/1", &format!("{at}-{body}-{n}"), "key-1");
                answers.push((asked, call(at, &head, body).unwrap_or_default()));
                thread::sleep(gap.saturating_sub(asked.elapsed()));
            }
            answers
        })
    };
    let asking: Vec<_> = gateways.iter().map(|at| ask(*at)).collect();
    asking.into_iter().flat_map(|a| a.join().unwrap()).collect()
}

/// Symptom: backend servers end one after the other, for as long as a caller goes on asking.
/// Sequence: a request ends the backend server that runs it; the same one, from the same caller, comes
/// again at other gateways, at several at once, and ends the next ones, which come back meanwhile.
/// Cause: nobody remembered which requests ran where a backend server ended.
/// Evidence: at each end of a day with 17, the request in question was one that had brought no event
/// yet, and its caller had been there before.
#[googletest::test]
fn a_request_that_ends_backend_servers_is_known_to_all_gateways() {
    let mut fleet = Fleet::start(38);
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    let gateways: Vec<SocketAddr> = (4..=6).map(|n| fleet.callers(n)).collect();
    let record: Arc<Mutex<Record>> = Arc::default();
    for name in ["a", "b", "c", "d", "e", "f"] {
        mortal::run(name, "engines", fleet.control(2), &record);
    }
    fleet.wait("backend servers", |f| {
        (4..=6).all(|n| f.ask(n, "POST", "/draft/1", "first").whole)
    });

    let time = Duration::from_secs(14);
    let others = gateways.clone();
    let ordinary =
        thread::spawn(move || ask_all(&others, "ordinary", Duration::from_millis(50), time));
    ask_all(&gateways, FATAL, Duration::from_millis(700), time);
    let ordinary = ordinary.join().unwrap();

    let record = record.lock().unwrap();
    expect_that!(record.ends.len(), ge(ENDS), "the request ends nobody");
    let known = record.ends[ENDS - 1] + KNOWN_WITHIN;
    let late = record.arrivals.iter().filter(|a| **a > known).count();
    expect_that!(late, le(TRIES_AFTER), "{} ended", record.ends.len());
    // Once it is known, and all backend servers are back, the others are served as ever.
    let calm = known + Duration::from_secs(2);
    let served = ordinary.iter().filter(|(at, _)| *at > calm);
    let (whole, cut): (Vec<_>, Vec<_>) = served.partition(|(_, m)| m.status() == 200 && m.whole);
    expect_that!(whole.len(), gt(100));
    expect_that!(cut.len(), eq(0));
}

/// Symptom: after a common restart backend servers end again under a request that was refused before.
/// Sequence: it is refused; all coordinators and gateways are killed and start again; it comes once more at
/// each gateway. Cause: only memory knew of it.
#[googletest::test]
fn a_refused_request_is_refused_after_all_processes_were_killed() {
    let mut fleet = Fleet::start(39);
    let record: Arc<Mutex<Record>> = Arc::default();
    for name in ["a", "b", "c", "d"] {
        mortal::run(name, "engines", fleet.control(2), &record);
    }
    fleet.wait("backend servers", |f| {
        (4..=5).all(|n| f.ask(n, "POST", "/draft/1", "first").whole)
    });
    let fatal = |f: &Fleet, n: u8| {
        let head = request("POST", "/draft/1", "fatal-1", "key-1");
        call(f.callers(n), &head, FATAL).unwrap_or_default()
    };
    fleet.wait("refusal", |f| (4..=5).all(|n| refused(&fatal(f, n))));
    let known = record.lock().unwrap().arrivals.len();

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
        (4..=5).all(|n| f.ask(n, "POST", "/draft/1", "again").whole)
    });
    let answers: Vec<Message> = (4..=5).map(|n| fatal(&fleet, n)).collect();

    for answer in &answers {
        expect_that!(answer.status(), eq(503));
        expect_true!(refused(answer));
        // Nothing says that coming back would help.
        expect_that!(answer.header("retry-after"), eq(""));
    }
    expect_that!(record.lock().unwrap().arrivals.len(), eq(known));
}

/// An operator vouches for a request: it is tried again, and its backend servers end.
#[googletest::test]
fn operators_see_and_pardon_what_is_refused_and_explain_tells_why() {
    let fleet = Fleet::start(40);
    let record: Arc<Mutex<Record>> = Arc::default();
    for name in ["a", "b", "c", "d"] {
        mortal::run(name, "engines", fleet.control(2), &record);
    }
    fleet.wait("backend servers", |f| {
        (4..=5).all(|n| f.ask(n, "POST", "/draft/1", "first").whole)
    });
    let fatal = |f: &Fleet, id: &str| {
        let head = request("POST", "/draft/1", id, "key-1");
        call(f.callers(4), &head, FATAL).unwrap_or_default()
    };
    fleet.wait("refusal", |f| refused(&fatal(f, "fatal-1")));
    let known = record.lock().unwrap().ends.len();
    let command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
        let output = command.args(args).output().expect("command");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let page = fleet.operators(1).to_string();

    let shown = command(&["quarantine", "--at", &page]);
    let rows: serde_json::Value = serde_json::from_str(&shown).unwrap();
    let row = &rows["requests"][0];
    let digest = row["digest"].as_str().unwrap_or_default();
    let pardoned = command(&["quarantine", "--at", &page, "--pardon", digest]);
    fleet.wait("try after the pardon", |f| {
        fatal(f, "fatal-2");
        record.lock().unwrap().ends.len() > known
    });
    let logs: Vec<String> = ["g4", "g5", "c1", "c2", "c3"]
        .map(|id| fleet.log(id).display().to_string())
        .into();
    let mut args = vec!["explain", "fatal-1"];
    args.extend(logs.iter().map(String::as_str));
    let story = command(&args);

    expect_that!(row["standing"].as_str(), some(eq("Refused")));
    expect_that!(row["ended"].as_array().map(Vec::len), some(ge(3)));
    expect_true!(pardoned.contains("true"));
    for event in [
        "backend_server_ended",
        "suspect_asked",
        "request_case",
        "quarantined",
    ] {
        expect_true!(story.contains(event), "{event} is missing in:\n{story}");
    }
}

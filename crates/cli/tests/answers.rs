//! The interface between entry and agent: whatever an agent sends, a caller gets the complete
//! answer to its own request or can detect that it did not.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::finish::Kind;
use bn_wire::messages::{Attach, Finish, Piece, Profile, Started};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use testbed::{CallOutcome, Request, System, SystemSpec, send, wait_for_rows};

const TOKENS: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(10);

fn piece(attempt: u64, offset: u64, text: &str) -> Body {
    Body::Piece(Piece {
        attempt,
        offset,
        data: text.into(),
        status: 200,
        headers: vec![],
    })
}

fn whole_with_status(attempt: u64, status: u32, a: &str, b: &str) -> Vec<(bool, Body)> {
    let text = format!("{a}{b}");
    let length = text.len() as u64;
    let answer = Body::Piece(Piece {
        attempt,
        offset: 0,
        data: text.into(),
        status,
        headers: vec![],
    });
    from_current(vec![answer, finish(attempt, Kind::Whole, length)])
}

fn finish(attempt: u64, kind: Kind, length: u64) -> Body {
    let reason = "sent by the test".into();
    Body::Finish(Finish {
        attempt,
        kind: kind.into(),
        length,
        reason,
        running: 0,
        full: false,
    })
}

/// Messages that an agent sends for an attempt, given its number, start offset and both halves of
/// the expected answer; `false` sends the message as an earlier incarnation of the agent.
type Script = fn(u64, u64, &str, &str) -> Vec<(bool, Body)>;

fn from_current(bodies: Vec<Body>) -> Vec<(bool, Body)> {
    bodies.into_iter().map(|b| (true, b)).collect()
}

/// Name, script, and the outcome that the caller must see.
const CASES: [(&str, Script, &str); 13] = [
    (
        "in order",
        |n, _, a, b| {
            let half = a.len() as u64;
            from_current(vec![
                piece(n, 0, a),
                piece(n, half, b),
                finish(n, Kind::Whole, half * 2),
            ])
        },
        "whole",
    ),
    (
        "repeated piece",
        |n, _, a, b| {
            let half = a.len() as u64;
            from_current(vec![
                piece(n, 0, a),
                piece(n, 0, a),
                piece(n, half, b),
                finish(n, Kind::Whole, half * 2),
            ])
        },
        "whole",
    ),
    (
        "lost piece",
        |n, _, a, b| {
            let half = a.len() as u64;
            from_current(vec![
                piece(n, 0, a),
                piece(n, half + 9, &b[9..]),
                finish(n, Kind::Whole, half * 2),
            ])
        },
        "cut",
    ),
    (
        "out of order",
        |n, _, a, b| {
            let half = a.len() as u64;
            from_current(vec![
                piece(n, half, b),
                piece(n, 0, a),
                finish(n, Kind::Whole, half * 2),
            ])
        },
        "may-have-run",
    ),
    (
        "early end",
        |n, _, a, _| {
            let half = a.len() as u64;
            from_current(vec![piece(n, 0, a), finish(n, Kind::Whole, half * 2)])
        },
        "cut",
    ),
    (
        "piece of another attempt",
        |n, _, a, b| {
            let half = a.len() as u64;
            from_current(vec![
                piece(n, 0, a),
                piece(n + 1000, half, "other"),
                piece(n, half, b),
                finish(n, Kind::Whole, half * 2),
            ])
        },
        "whole",
    ),
    (
        "piece of an earlier incarnation",
        |n, _, a, b| {
            let half = a.len() as u64;
            vec![
                (true, piece(n, 0, a)),
                (false, piece(n, half, "other")),
                (true, piece(n, half, b)),
                (true, finish(n, Kind::Whole, half * 2)),
            ]
        },
        "whole",
    ),
    (
        "end of an earlier incarnation",
        |n, _, a, b| {
            let half = a.len() as u64;
            vec![
                (true, piece(n, 0, a)),
                (false, finish(n, Kind::Whole, half)),
                (true, piece(n, half, b)),
                (true, finish(n, Kind::Whole, half * 2)),
            ]
        },
        "whole",
    ),
    (
        "not run",
        |n, _, _, _| from_current(vec![finish(n, Kind::NotRun, 0)]),
        "not-run",
    ),
    ("no message", |_, _, _, _| vec![], "may-have-run"),
    (
        "no status",
        |n, _, a, b| whole_with_status(n, 0, a, b),
        "may-have-run",
    ),
    (
        "a status that ends no request",
        |n, _, a, b| whole_with_status(n, 101, a, b),
        "may-have-run",
    ),
    (
        "a status of no class",
        |n, _, a, b| whole_with_status(n, 600, a, b),
        "may-have-run",
    ),
];

/// An agent that follows a script, and an earlier incarnation that uses the same name.
struct ScriptedAgent {
    stop: Arc<AtomicBool>,
}

impl ScriptedAgent {
    fn start(
        name: &str,
        service: &str,
        address: SocketAddr,
        entry: SocketAddr,
        script: Script,
    ) -> ScriptedAgent {
        let (expected, half) = (
            bn_fake::expected_answer("q", TOKENS),
            TOKENS / 2 * bn_fake::TOKEN_BYTES,
        );
        let (a, b) = expected.split_at(half);
        let (a, b) = (a.to_string(), b.to_string());
        let slot: Arc<Mutex<Option<(Net, Net)>>> = Arc::default();
        let nets = slot.clone();
        let on_message = move |envelope: bn_wire::messages::Envelope| {
            let Some(Body::Dispatch(d)) = envelope.body else {
                return;
            };
            let Some((current, earlier)) = nets.lock().unwrap().clone() else {
                return;
            };
            current.send(entry, Body::Started(Started { attempt: d.attempt }));
            for (as_current, body) in script(d.attempt, d.resume_at, &a, &b) {
                if as_current {
                    current.send(entry, body)
                } else {
                    earlier.send(entry, body)
                };
                // Nothing orders messages on two links; the delay keeps the order of the script.
                thread::sleep(Duration::from_millis(40));
            }
        };
        let current = Net::open(name, 11, address, address, on_message).unwrap();
        let earlier_address = SocketAddr::new(address.ip(), address.port() + 1);
        let earlier = Net::open(name, 10, earlier_address, earlier_address, |_| {}).unwrap();
        *slot.lock().unwrap() = Some((current.clone(), earlier));
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, name, service) = (stop.clone(), name.to_string(), service.to_string());
        thread::spawn(move || {
            let start = Instant::now();
            while !stopped.load(Ordering::Relaxed) {
                current.send(
                    entry,
                    Body::Attach(attach(&name, &service, start.elapsed())),
                );
                thread::sleep(Duration::from_millis(100));
            }
        });
        ScriptedAgent { stop }
    }
}

fn attach(name: &str, service: &str, clock: Duration) -> Attach {
    Attach {
        agent_ms: clock.as_millis() as u64,
        healthy: true,
        profile: Some(Profile {
            name: name.into(),
            service: service.into(),
            capacity: 4,
            resumes: true,
            ..Profile::default()
        }),
        ..Attach::default()
    }
}

fn request(system: &System, service: &str) -> Request {
    Request {
        entry: system.caller_addr("e1"),
        service: service.into(),
        prompt: "q".into(),
        key: None,
        tokens: TOKENS,
        deadline_ms: Some(6000),
    }
}

/// Guards against callers that take part of an answer, or part of another's, for their complete
/// answer. Pieces are lost, repeated, reordered, or come from another attempt or an earlier
/// incarnation, and the end comes too early or never. The fault: offsets, attempt numbers,
/// incarnations or the end marker are not checked.
#[gtest]
fn incomplete_answers_are_detectable() {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        ..SystemSpec::default()
    });
    system.start("e1");
    let entry: SocketAddr = system.inbox_addr("e1").parse().unwrap();
    for (i, (case, script, expected)) in CASES.into_iter().enumerate() {
        let name = format!("s{i}");
        let address = system.unused_addr(i).parse().unwrap();
        let agent = ScriptedAgent::start(&name, &name, address, entry, script);
        wait_for_rows(&system, "e1", "show entries", 1, TIMEOUT).unwrap();
        testbed::command(&system, "e1", &format!("create service {name} engine=true")).unwrap();
        let serving = format!("show backends where backend = {name} and state = serving");
        wait_for_rows(&system, "e1", &serving, 1, TIMEOUT).unwrap();

        let outcome = send(&request(&system, &name));

        agent.stop.store(true, Ordering::Relaxed);
        let name = match &outcome {
            CallOutcome::Whole => "whole",
            CallOutcome::Wrong(_) => "wrong",
            CallOutcome::NotRun(_) => "not-run",
            CallOutcome::MayHaveRun(_) => "may-have-run",
            CallOutcome::Cut(_) => "cut",
        };
        expect_that!(name, eq(expected), "{case}: {outcome:?}");
    }
}

/// Guards against an error page appended to half an answer and sent as complete: an answer is
/// interrupted and resumed at another backend server, which responds with an error. The fault: the
/// status of the second response is not checked.
#[gtest]
fn a_resumed_answer_with_another_status_is_never_complete() {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        ..SystemSpec::default()
    });
    system.start("e1");
    let entry: SocketAddr = system.inbox_addr("e1").parse().unwrap();
    let script: Script = |n, resume_at, a, _| {
        let half = a.len() as u64;
        if resume_at == 0 {
            return from_current(vec![piece(n, 0, a), finish(n, Kind::MayHaveRun, half)]);
        }
        let error_page = Piece {
            attempt: n,
            offset: half,
            data: "overloaded".into(),
            status: 503,
            headers: vec![],
        };
        from_current(vec![
            Body::Piece(error_page),
            finish(n, Kind::Whole, half + 10),
        ])
    };
    let agents: Vec<ScriptedAgent> = ["r1", "r2"]
        .iter()
        .enumerate()
        .map(|(i, name)| {
            let address = system.unused_addr(20 + i).parse().unwrap();
            ScriptedAgent::start(name, "resumed", address, entry, script)
        })
        .collect();
    wait_for_rows(&system, "e1", "show entries", 1, TIMEOUT).unwrap();
    testbed::command(&system, "e1", "create service resumed engine=true").unwrap();
    wait_for_rows(
        &system,
        "e1",
        "show backends where state = serving",
        2,
        TIMEOUT,
    )
    .unwrap();

    let outcome = send(&request(&system, "resumed"));

    agents
        .iter()
        .for_each(|a| a.stop.store(true, Ordering::Relaxed));
    expect_true!(matches!(outcome, CallOutcome::Cut(_)), "{outcome:?}");
}

//! Parts of prompts that terminate the backend servers that write on them, in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::PARTS;
use fleet::crashing::{self, FATAL_PART, Record, UNFRAMED};
use fleet::{Fleet, Message, call, request_head};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The users' bounds: attempts later than `KNOWN_WITHIN` after the fifth termination, and the time
/// from it after which sound requests are served as usual.
const TERMINATIONS: usize = 5;
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const ATTEMPTS_AFTER: usize = 3;
const SERVED_AFTER: Duration = Duration::from_secs(6);

const SERVERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const GATEWAYS: [u8; 3] = [4, 5, 6];

/// A kind of request: no two of a kind are alike.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    /// Shared parts of the prompts, in turn.
    prompts: [&'static str; 2],
    body: &'static str,
    interval: Duration,
}

const SOUND: Kind = Kind {
    name: "sound",
    prompts: ["a1:40,d2:300", "a1:40,d2:300,e3:200"],
    body: "sound",
    interval: Duration::from_millis(40),
};

const BAD: Kind = Kind {
    name: "bad",
    prompts: ["a1:40,d2:300,bad0bad0:90", "a1:40,bad0bad0:90,e3:200"],
    body: "bad",
    interval: Duration::from_millis(600),
};

fn send(at: SocketAddr, kind: Kind, number: usize) -> Message {
    let id = format!("{}-{at}-{number}", kind.name);
    let shared = kind.prompts[number % 2];
    let head = request_head("POST", "/draft/1", &id, "key-1");
    let head = format!("{head}\r\n{PARTS}: {shared},{number:x}:9");
    call(at, &head, &format!("{} {id}", kind.body)).unwrap_or_default()
}

/// Sends requests to all `gateways` concurrently, to each every `interval` until `end`; returns the
/// responses with the times at which their requests were sent.
fn send_all(gateways: &[SocketAddr], kind: Kind, end: Instant) -> Vec<(Instant, Message)> {
    let start_caller = |at: SocketAddr| {
        thread::spawn(move || {
            let mut responses = Vec::new();
            while Instant::now() < end {
                let sent_at = Instant::now();
                responses.push((sent_at, send(at, kind, responses.len())));
                thread::sleep(kind.interval.saturating_sub(sent_at.elapsed()));
            }
            responses
        })
    };
    let callers: Vec<_> = gateways.iter().map(|at| start_caller(*at)).collect();
    callers
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect()
}

/// Three gateways before eight backend servers that stand alone.
fn start(port_block: u8, lifetime: impl Fn(u64) -> Duration) -> (Fleet, Arc<Mutex<Record>>) {
    let mut fleet = Fleet::start(port_block);
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    let record: Arc<Mutex<Record>> = Arc::default();
    for (n, name) in SERVERS.iter().enumerate() {
        let lifetime = lifetime(n as u64);
        crashing::run_for(name, "engines", fleet.control(2), &record, lifetime);
    }
    wait_served(&fleet);
    (fleet, record)
}

fn kill_and_restart(fleet: &mut Fleet) {
    for id in ["g4", "g5", "g6", "c1", "c2", "c3"] {
        fleet.kill(id);
    }
    for n in 1..=3 {
        fleet.run_coordinator(n, false);
    }
    for n in GATEWAYS {
        fleet.run_gateway(n);
    }
}

fn wait_served(fleet: &Fleet) {
    fleet.wait("served", |f| {
        let gateways = GATEWAYS.iter();
        gateways
            .into_iter()
            .all(|n| is_served(&f.send(*n, "POST", "/draft/1", "first")))
    });
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    GATEWAYS.iter().map(|n| fleet.callers(*n)).collect()
}

fn is_served(response: &Message) -> bool {
    response.status() == 200 && response.complete && response.text().contains("piece 3")
}

/// Whether a request is not sent any more. A suspect that awaits its trial has a retry time.
fn is_refused(response: &Message) -> bool {
    response.status() == 503
        && response.text().contains("ended under")
        && response.header("retry-after").is_empty()
}

/// Attempts later than `KNOWN_WITHIN` after the fifth termination.
fn late_attempts(record: &Record) -> usize {
    let Some(fifth) = record.terminations.get(TERMINATIONS - 1) else {
        return 0;
    };
    let late = record
        .arrivals
        .iter()
        .filter(|a| **a > *fifth + KNOWN_WITHIN);
    late.count()
}

/// Plays bad requests among sound ones; returns the sound responses sent later than `SERVED_AFTER`
/// after the fifth termination, or the last one if there are fewer.
fn play(fleet: &Fleet, record: &Mutex<Record>, bad: Kind) -> Vec<Message> {
    let end = Instant::now() + Duration::from_secs(14);
    let addresses = callers(fleet);
    let others = addresses.clone();
    let sound = thread::spawn(move || send_all(&others, SOUND, end));
    send_all(&addresses, bad, end);
    let sound = sound.join().unwrap();
    let record = record.lock().unwrap();
    let mut terminations = record.terminations.iter().take(TERMINATIONS);
    let from = *terminations.next_back().expect("terminations") + SERVED_AFTER;
    let later = sound.into_iter().filter(|(at, _)| *at > from);
    later.map(|(_, response)| response).collect()
}

fn expect_known_and_others_served(record: &Record, sound: &[Message]) {
    let terminations = record.terminations.len();
    expect_that!(
        late_attempts(record),
        le(ATTEMPTS_AFTER),
        "{terminations} terminated"
    );
    let served = sound.iter().filter(|r| is_served(r)).count();
    println!(
        "{terminations} terminations, {served} of {} sound requests served",
        sound.len()
    );
    expect_that!(sound.len(), gt(100));
    expect_that!(served, eq(sound.len()));
}

/// Guards against backend servers that terminate one after the other under requests that share
/// nothing but one part of their prompts.
#[googletest::test]
fn a_part_that_terminates_backend_servers_is_known_and_other_requests_are_served() {
    let (fleet, record) = start(80, |_| Duration::MAX);

    let sound = play(&fleet, &record, BAD);

    expect_known_and_others_served(&record.lock().unwrap(), &sound);
}

/// Guards against the same where answers have no length: an end before the first event looked like
/// an empty answer.
#[googletest::test]
fn a_part_is_known_that_terminates_backend_servers_whose_answers_have_no_length() {
    let (fleet, record) = start(81, |_| Duration::MAX);
    let bad = Kind {
        body: UNFRAMED,
        ..BAD
    };

    let sound = play(&fleet, &record, bad);

    expect_known_and_others_served(&record.lock().unwrap(), &sound);
}

/// Guards against a refused part that is forgotten as all coordinators and gateways are killed.
#[googletest::test]
fn a_refused_part_is_refused_after_all_processes_were_killed() {
    let (mut fleet, record) = start(82, |_| Duration::MAX);
    let bad = |f: &Fleet, n: usize| {
        let gateways = callers(f).into_iter();
        let responses = gateways.map(|at| send(at, BAD, n));
        responses.collect::<Vec<_>>()
    };
    let numbers = std::cell::Cell::new(0);
    fleet.wait("refusal", |f| {
        numbers.set(numbers.get() + 1);
        bad(f, numbers.get()).iter().all(is_refused)
    });
    let arrivals = record.lock().unwrap().arrivals.len();

    kill_and_restart(&mut fleet);
    wait_served(&fleet);
    let responses = bad(&fleet, 1_000);

    expect_true!(responses.iter().all(is_refused));
    expect_that!(record.lock().unwrap().arrivals.len(), eq(arrivals));
    let sound = callers(&fleet).into_iter().map(|at| send(at, SOUND, 1));
    expect_true!(sound.into_iter().all(|r| is_served(&r)));
}

/// Guards against the same among sound requests that go on: late attempts came after the kill.
#[googletest::test]
fn a_part_stays_known_while_all_processes_are_killed_among_other_requests() {
    let (mut fleet, record) = start(85, |_| Duration::MAX);
    let (addresses, others) = (callers(&fleet), callers(&fleet));
    let end = Instant::now() + Duration::from_secs(18);
    let sound = thread::spawn(move || send_all(&others, SOUND, end));
    let bad = thread::spawn(move || send_all(&addresses, BAD, end));
    fleet.wait("refusal", |_| {
        record.lock().unwrap().terminations.len() >= 3
    });
    // The end of the trial is known some tenths of a second later.
    thread::sleep(Duration::from_secs(2));
    kill_and_restart(&mut fleet);
    wait_served(&fleet);
    let back_at = Instant::now();

    bad.join().unwrap();
    let sound = sound.join().unwrap().into_iter();
    let later = sound.filter(|(at, _)| *at > back_at + Duration::from_secs(1));
    let later: Vec<Message> = later.map(|(_, response)| response).collect();

    expect_known_and_others_served(&record.lock().unwrap(), &later);
}

/// Guards against parts that are taken for the cause where backend servers terminate by themselves:
/// every request holds them, so they are there at each termination.
#[googletest::test]
fn requests_with_hot_parts_are_served_where_backend_servers_terminate_by_themselves() {
    let (fleet, _record) = start(83, |n| Duration::from_millis(1_900 + 230 * n));

    let end = Instant::now() + Duration::from_secs(12);
    let sound = send_all(&callers(&fleet), SOUND, end);

    let served = sound.iter().filter(|(_, r)| is_served(r)).count();
    expect_that!(sound.len(), gt(300));
    expect_that!(served, eq(sound.len()));
}

/// Guards against a refused part that operators can neither name nor pardon.
#[googletest::test]
fn operators_list_and_pardon_refused_parts_and_explain_names_them() {
    let (fleet, record) = start(84, |_| Duration::MAX);
    let at = callers(&fleet)[0];
    let numbers = std::cell::Cell::new(0);
    let send_next = || {
        numbers.set(numbers.get() + 1);
        send(at, BAD, numbers.get())
    };
    fleet.wait("refusal", |_| is_refused(&send_next()));
    let refused_id = format!("bad-{at}-{}", numbers.get());
    let first_id = format!("bad-{at}-1");
    let terminations = record.lock().unwrap().terminations.len();
    let command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
        let output = command.args(args).output().expect("command");
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    let address = fleet.operators(1).to_string();
    let logs: Vec<String> = ["g4", "g5", "g6", "c1", "c2", "c3"]
        .map(|id| fleet.log_path(id).display().to_string())
        .into();
    let explain = |id: &str| {
        let mut args = vec!["explain", id];
        args.extend(logs.iter().map(String::as_str));
        command(&args)
    };

    let output = command(&["quarantine", "--at", &address]);
    let (lost, refused) = (explain(&first_id), explain(&refused_id));
    let rows: serde_json::Value = serde_json::from_str(&output).unwrap();
    let rows = rows["requests"].as_array().cloned().unwrap_or_default();
    let row = rows.iter().find(|r| r["part"] == FATAL_PART);
    let digest = row.and_then(|r| r["digest"].as_str()).unwrap_or_default();
    let pardoned = command(&["quarantine", "--at", &address, "--pardon", digest]);
    fleet.wait("attempt after the pardon", |_| {
        send_next();
        record.lock().unwrap().terminations.len() > terminations
    });

    expect_that!(
        row.and_then(|r| r["standing"].as_str()),
        some(eq("Refused"))
    );
    expect_true!(pardoned.contains("true"));
    expect_true!(
        lost.contains("run_lost") && lost.contains(FATAL_PART),
        "{lost}"
    );
    expect_true!(
        refused.contains("quarantined") && refused.contains(FATAL_PART),
        "{refused}"
    );
}

//! The interface between gateways, callers and backend servers, and what coordinators
//! promise, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use bn_net::Net;
use bn_platform::header::{
    ACCOUNT, AT_FAULT, ATTEMPT, EXPECT, LAST_EVENT, NOT_RUN, SERVER, SIGNATURE,
};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{DocumentAnswer, ReadAnswer};
use fleet::{Backend, Fleet, Message, Script, request};
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn head(request: &Message, status: &str, more: &str) -> String {
    let id = request.header(ATTEMPT);
    format!("HTTP/1.1 {status}\r\n{ATTEMPT}: {id}\r\n{more}")
}

fn say(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

fn good(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\ncontent-length: 5\r\n"),
    );
    say(stream, &format!("{head}\r\nwhole"))
}

fn full(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "503 Full",
        &format!("{NOT_RUN}: 1\r\ncontent-length: 0\r\n"),
    );
    say(stream, &format!("{head}\r\n"))
}

fn cut(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\ncontent-length: 5\r\n"),
    );
    say(stream, &format!("{head}\r\nwh"));
    false
}

fn mute(_: &Message, _: &mut TcpStream) -> bool {
    false
}

fn foreign(request: &Message, stream: &mut TcpStream) -> bool {
    let other = Message {
        headers: [(ATTEMPT.to_string(), "another".to_string())].into(),
        ..request.clone()
    };
    good(&other, stream)
}

fn unsigned(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(request, "200 OK", "content-length: 5\r\n");
    say(stream, &format!("{head}\r\nwhole"))
}

fn noise(_: &Message, stream: &mut TcpStream) -> bool {
    say(stream, "this is no answer\r\n\r\n");
    false
}

fn twice(request: &Message, stream: &mut TcpStream) -> bool {
    good(request, stream) && good(request, stream)
}

fn failing(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "500 Error",
        &format!("{SIGNATURE}: s\r\ncontent-length: 3\r\n"),
    );
    say(stream, &format!("{head}\r\nbad"))
}

fn until_closed(request: &Message, stream: &mut TcpStream) -> bool {
    let head = head(
        request,
        "200 OK",
        &format!("{SIGNATURE}: s\r\nconnection: close\r\n"),
    );
    say(stream, &format!("{head}\r\nwhole"));
    false
}

/// Name, what the backend server does, status for a request that may run once, status for
/// one that may be repeated, and tries that the latter gets.
const CASES: [(&str, Script, u16, u16, usize); 10] = [
    ("good", good, 200, 200, 1),
    ("an extra answer behind the right one", twice, 200, 200, 1),
    ("full", full, 503, 503, 2),
    ("cut", cut, 502, 502, 2),
    ("mute", mute, 502, 502, 2),
    ("an answer to another request", foreign, 502, 502, 2),
    ("success without its mark", unsigned, 502, 502, 2),
    ("noise", noise, 502, 502, 2),
    ("its own failure", failing, 500, 500, 2),
    (
        "an answer that ends with its connection",
        until_closed,
        200,
        200,
        1,
    ),
];

/// Symptom: a request that may run once ran twice, or was called not-run and had run, or
/// half an answer looked whole. Sequence: each way in which a backend server may fail it.
/// Cause: an outcome that says nothing was taken for one that says something.
#[googletest::test]
fn whatever_a_backend_server_does_callers_are_told_the_truth() {
    for (n, (name, script, once, again, tries)) in CASES.into_iter().enumerate() {
        let fleet = Fleet::start(n as u8);
        let backends = [Backend::start("a", script), Backend::start("b", script)];
        for backend in &backends {
            fleet.announce(backend, "plain", "ready", 1);
        }
        let count = || backends.iter().map(Backend::count).sum::<usize>();

        let first = fleet.ask(4, "POST", "/file/1", "once");
        let sent_once = count();
        let second = fleet.ask(5, "GET", "/look/1", "again");
        let sent_again = count() - sent_once;

        expect_that!((name, first.status(), sent_once), eq((name, once, 1)));
        expect_that!(
            (name, second.status(), sent_again),
            eq((name, again, tries))
        );
        for answer in [&first, &second] {
            let success = answer.status() == 200;
            expect_that!(
                answer.text() == "whole" && answer.whole,
                eq(success),
                "{name}"
            );
            expect_that!(
                answer.headers.contains_key(SIGNATURE),
                eq(success || name == "its own failure"),
                "{name}"
            );
        }
    }
}

#[googletest::test]
fn backend_servers_get_the_request_as_it_was_and_no_key() {
    let fleet = Fleet::start(20);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);

    let answer = fleet.ask(4, "POST", "/file/x/y?z=1%202", "id-1");

    expect_that!(answer.status(), eq(200));
    let seen = backend.seen.lock().unwrap().remove(0);
    expect_that!(seen.first, eq("POST /file/x/y?z=1%202 HTTP/1.1"));
    expect_that!(seen.text(), eq("body"));
    expect_that!(seen.header(ATTEMPT), eq("id-1"));
    expect_that!(seen.header(ACCOUNT), eq("first"));
    expect_that!(seen.header(EXPECT), eq("a"));
    expect_that!(seen.header("authorization"), eq(""));
}

#[googletest::test]
fn requests_without_route_or_key_are_refused_and_open_routes_need_none() {
    let fleet = Fleet::start(21);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);
    let ask = |path: &str, key: &str| {
        let head = request("GET", path, "id", key);
        fleet::call(fleet.callers(4), &head, "").unwrap().status()
    };

    let asked = (
        ask("/none/1", "key-1"),
        ask("/file/1", "wrong"),
        ask("/look/1", "wrong"),
    );

    expect_that!(asked, eq((404, 401, 200)));
    expect_that!(backend.count(), eq(1));
}

fn events(request: &Message, stream: &mut TcpStream) -> bool {
    let more = format!("{SIGNATURE}: {}\r\n", request.header(EXPECT));
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    say(
        stream,
        &format!("{}{kind}\r\n", head(request, "200 OK", &more)),
    );
    let from: u32 = request.header(LAST_EVENT).parse().unwrap_or(0);
    for n in from + 1..=6 {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        // The first run breaks off within its fourth event.
        if from == 0 && n == 4 {
            let half = &event[..8];
            say(stream, &format!("{:x}\r\n{half}\r\n", half.len()));
            return false;
        }
        say(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
    }
    say(stream, "0\r\n\r\n")
}

/// Symptom: a stream has a piece twice, or ends early and looks complete. Sequence: the
/// backend server dies within an event. Cause: half an event was passed on, or the end
/// of the connection was taken for the end of the stream.
#[googletest::test]
fn a_stream_that_breaks_goes_on_elsewhere_after_its_last_whole_event() {
    let fleet = Fleet::start(22);
    let backends = [Backend::start("a", events), Backend::start("b", events)];
    for backend in &backends {
        fleet.announce(backend, "engines", "ready", 1);
    }

    let answer = fleet.ask(4, "POST", "/draft/1", "id");

    let pieces: String = (1..=6)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect();
    expect_that!(answer.text(), eq(&pieces));
    expect_true!(answer.whole);
    let seen = |b: &Backend| b.seen.lock().unwrap().first().cloned().unwrap_or_default();
    let resumed = backends.iter().find(|b| seen(b).header(LAST_EVENT) == "3");
    let first = backends
        .iter()
        .find(|b| seen(b).header(LAST_EVENT).is_empty());
    expect_true!(resumed.is_some());
    expect_that!(answer.header(SIGNATURE), eq(first.unwrap().id.as_str()));
}

#[googletest::test]
fn a_stream_that_cannot_go_on_never_looks_whole() {
    let fleet = Fleet::start(23);
    let backend = Backend::start("a", events);
    fleet.announce(&backend, "engines", "ready", 1);

    let answer = fleet.ask(4, "POST", "/draft/1", "id");

    expect_false!(answer.whole);
    expect_true!(answer.text().ends_with("piece 3\n\n"));
}

fn slow(request: &Message, stream: &mut TcpStream) -> bool {
    thread::sleep(Duration::from_millis(700));
    good(request, stream)
}

/// Symptom: callers lose answers at a planned stop. Sequence: SIGTERM while a request is
/// at its backend server. Cause: the process ended with the signal.
#[googletest::test]
fn a_stopping_gateway_finishes_what_it_has_and_is_named_no_more() {
    let mut fleet = Fleet::start(24);
    let backend = Backend::start("a", slow);
    fleet.announce(&backend, "plain", "ready", 1);
    let at = fleet.callers(4);
    let asked = thread::spawn(move || {
        fleet::call(at, &request("GET", "/look/1", "id", "key-1"), "").unwrap()
    });
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let mut child = fleet.terminate("g4").unwrap();
    let stopped_at = Instant::now();
    fleet.wait("directory", |f| {
        let named = f.addresses(1);
        !named.contains(&at.to_string()) && named.contains(&f.callers(5).to_string())
    });
    let left_after = stopped_at.elapsed();
    fleet.wait("the other gateway's answer", |f| {
        !f.addresses(5).contains(&at.to_string())
    });
    let left_everywhere = stopped_at.elapsed();
    let answer = asked.join().unwrap();
    let ended = child.wait().unwrap();

    expect_that!(left_after, lt(Duration::from_secs(1)));
    expect_that!(left_everywhere, lt(Duration::from_secs(1)));
    expect_that!((answer.status(), answer.whole), eq((200, true)));
    expect_true!(ended.success());
}

/// Symptom: callers wait a second for each address they ask for. Sequence: the coordinators of their
/// failure domain are away. Cause: only coordinators knew which gateways there are.
#[googletest::test]
fn gateways_tell_callers_where_to_connect_without_coordinators() {
    let mut fleet = Fleet::start(40);
    let both = |f: &Fleet, n: u8| {
        let text = f.addresses(n);
        (4..=5).all(|g| text.contains(&f.callers(g).to_string()))
    };
    fleet.wait("addresses", |f| (4..=5).all(|n| both(f, n)));

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }

    expect_true!((4..=5).all(|n| both(&fleet, n)));
}

/// Symptom: a request reaches a backend server that has said that it leaves. Sequence: it
/// announces draining, or leaves, at any one coordinator. Cause: gateways did not hear.
#[googletest::test]
fn backend_servers_that_leave_get_nothing_more() {
    let fleet = Fleet::start(25);
    let (stays, drains, leaves) = (
        Backend::start("a", good),
        Backend::start("b", good),
        Backend::start("c", good),
    );
    for backend in [&stays, &drains, &leaves] {
        fleet.announce(backend, "plain", "ready", 1);
    }
    fleet.announce(&drains, "plain", "draining", 2);
    fleet.leave(&leaves);

    for n in 0..20 {
        fleet.ask(4 + n % 2, "GET", "/look/1", "id");
    }

    expect_that!(
        (stays.count(), drains.count(), leaves.count()),
        eq((20, 0, 0))
    );
}

fn version(n: u64) -> String {
    fleet::document().replace(": 7,", &format!(": {n},"))
}

/// Symptom: a settled document is gone or older after failures. Sequence: coordinators
/// are killed all at once, one loses its disk, documents come under equal and older
/// versions. Cause: it was acknowledged before a majority had synced it.
#[googletest::test]
fn a_settled_document_outlives_kills_and_a_lost_disk() {
    let mut fleet = Fleet::start(26);
    fleet.settle(&version(8));
    fleet.settle(&version(9));
    let older = fleet.put_document(2, &version(3));
    let invalid = fleet.put_document(
        2,
        &version(10).replace("\"timeout-ms\": 1000", "\"timeout-ms\": 0"),
    );

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }
    fleet.empty_disk(1);
    for n in 1..=3 {
        fleet.run_coordinator(n, false);
    }
    let newest = |f: &Fleet, n| {
        let read = f.read_document(n);
        read.is_some_and(|m| m.status() == 200 && m.text() == version(9))
    };

    fleet.wait("reads", |f| (1..=3).all(|n| newest(f, n)));
    expect_that!((older, invalid), eq((200, 400)));
}

/// Symptom: an older document is read. Sequence: the only coordinator left answers from
/// what it holds. Cause: it did not make sure that it still leads.
#[googletest::test]
fn a_coordinator_without_a_majority_answers_no_read() {
    let mut fleet = Fleet::start(27);
    fleet.kill("c1");
    fleet.kill("c2");

    let status = fleet.read_document(3).map(|m| m.status());
    let put = fleet.put_document(3, &version(8));

    expect_that!((status, put), eq((Some(503), 503)));
}

/// Symptom: a gateway serves routes that were taken away long ago. Sequence: most coordinators are
/// lost; a gateway starts and is told what the last one holds. Cause: it asked nobody whether that
/// is what was settled last.
#[googletest::test]
fn a_gateway_that_starts_takes_no_document_that_may_be_old() {
    let mut fleet = Fleet::start(38);
    for id in ["c1", "c2", "g4"] {
        fleet.kill(id);
    }
    fleet.wait("the last one notices", |f| {
        f.last_line("c3", "current").contains("\"current\":false")
    });

    fleet.run_gateway(4);
    fleet.wait("the start", |f| f.is_up(4));
    thread::sleep(Duration::from_secs(1));
    let alone = (fleet.ready(4), fleet.ready(5));
    fleet.run_coordinator(1, false);
    fleet.wait("a majority", |f| f.ready(4));

    expect_that!(alone, eq((false, true)));
}

/// Symptom: nobody knows that the log is kept by fewer than there are. Sequence: one coordinator is
/// away. Cause: no command tells who votes.
#[googletest::test]
fn operators_see_who_keeps_the_log() {
    let fleet = Fleet::start(41);
    let shown = |n: u8| {
        let at = fleet.operators(n).to_string();
        let out = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
            .args(["members", "--at", &at])
            .output();
        String::from_utf8(out.unwrap().stdout).unwrap()
    };

    let texts: Vec<String> = (1..=3).map(shown).collect();

    expect_that!(texts, each(contains_substring("\"current\":true")));
    let votes = |text: &String| text.matches("\"votes\":true").count();
    expect_that!(texts.iter().map(votes).collect::<Vec<_>>(), each(eq(&3)));
}

/// A document too large to be one of many in the log: a snapshot replaces it.
fn large(n: u64) -> String {
    let noise: String = (0..20_000)
        .map(|_| format!("{:016x}", rand::random::<u64>()))
        .collect();
    version(n).replacen('{', &format!("{{\"noise\": \"{noise}\","), 1)
}

/// Symptom: a new service has no backend servers though they run. Sequence: a coordinator is away
/// while a document brings the service, and starts while there is no majority; they announce
/// themselves there. Cause: it refused them by the document of before.
#[googletest::test]
fn one_with_an_old_document_refuses_no_service() {
    let mut fleet = Fleet::start(39);
    for n in 8..=14 {
        fleet.settle(&large(n));
    }
    let taken = |f: &Fleet| !f.last_line("c3", "snapshot_taken").is_empty();
    fleet.wait("a snapshot", taken);
    fleet.kill("c3");
    let named = fleet::document().replace("\"plain\"", "\"fresh\"");
    fleet.settle(&named.replace(": 7,", ": 20,"));
    fleet.kill("c1");
    fleet.kill("c2");

    fleet.run_coordinator(3, false);
    fleet.wait("the start", |f| f.read_document(3).is_some());
    let entry = r#"{"service":"fresh","address":"10.0.0.1:80","zone":"d1","slots":4,"state":"ready","sequence":1}"#;

    expect_that!(fleet.put_entry(3, "a", entry), eq(200));
}

/// Symptom: callers are refused though backend servers are well. Sequence: all
/// coordinators are down. Cause: gateways dropped what they had been told.
#[googletest::test]
fn gateways_go_on_without_coordinators() {
    let mut fleet = Fleet::start(28);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);
    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }
    thread::sleep(Duration::from_secs(2));

    let answer = fleet.ask(4, "POST", "/file/1", "id");

    expect_that!(answer.status(), eq(200));
}

/// Symptom: the whole gateway stands still. Sequence: more requests come than there are
/// places, until the line is full. Cause: a request that may not join the line took a
/// lock that it held already.
#[googletest::test]
fn a_flood_is_refused_and_the_gateway_lives_on() {
    let fleet = Fleet::start(29);
    let backend = Backend::start("a", slow);
    fleet.announce(&backend, "plain", "ready", 1);
    let at = fleet.callers(4);
    let callers: Vec<_> = (0..120)
        .map(|n| {
            let head = request("GET", "/look/1", &format!("id{n}"), "key-1");
            thread::spawn(move || fleet::call(at, &head, "").map_or(0, |m| m.status()))
        })
        .collect();

    let statuses: Vec<u16> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let later = fleet.ready(4);

    expect_true!(statuses.contains(&503));
    expect_true!(
        statuses.iter().all(|s| [200, 503, 504].contains(s)),
        "{statuses:?}"
    );
    expect_true!(later);
}

/// Symptom: a document is acknowledged and gone. Sequence: a coordinator is restarted
/// while the leader's answers to its calls of before are still on a link; they arrive and
/// bear the numbers of its new calls. Cause: every start numbered its calls from 1.
#[googletest::test]
fn answers_to_calls_of_an_earlier_start_settle_nothing() {
    let mut fleet = Fleet::start(30);
    fleet.kill("c1");
    fleet.kill("c2");
    let inbox = fleet.inbox(3);
    let late = thread::spawn(move || {
        let mine = "127.77.0.99:29999".parse().unwrap();
        let net = Net::open("127.77.0.1", 1, mine, mine, |_| {}).unwrap();
        for _ in 0..20 {
            for call in 0..50 {
                let settled = DocumentAnswer {
                    call,
                    settled: true,
                    version: 8,
                };
                let sure = ReadAnswer {
                    call,
                    sure: true,
                    version: 1,
                };
                net.send(inbox, Body::DocumentAnswer(settled));
                net.send(inbox, Body::ReadAnswer(sure));
            }
            thread::sleep(Duration::from_millis(100));
        }
    });

    thread::sleep(Duration::from_millis(300));
    let put = fleet.put_document(3, &version(8));
    let read = fleet.read_document(3).map(|m| m.status());
    late.join().unwrap();

    expect_that!((put, read), eq((503, Some(503))));
}

fn someone_else(request: &Message, stream: &mut TcpStream) -> bool {
    let more = format!("{SERVER}: other\r\n{AT_FAULT}: other\r\ncontent-length: 0\r\n");
    let head = head(request, "421 Misdirected", &more);
    say(stream, &format!("{head}\r\n"))
}

/// Symptom: most requests are refused although backend servers are well. Sequence: one
/// crashes for good and its address goes to another service; it never said that it left.
/// Cause: its id stayed in use, and having no load it was preferred each time.
#[googletest::test]
fn one_whose_address_another_has_is_asked_once() {
    let fleet = Fleet::start(31);
    let (gone, well) = (Backend::start("a", someone_else), Backend::start("b", good));
    fleet.announce(&gone, "plain", "ready", 1);
    fleet.announce(&well, "plain", "ready", 1);

    let asked = (0..20).map(|_| fleet.ask(4, "POST", "/file/1", "id").status());
    let statuses: Vec<u16> = asked.collect();

    expect_that!(gone.count(), le(1));
    expect_true!(statuses.iter().all(|s| *s == 200));
}

fn misfit(request: &Message, stream: &mut TcpStream) -> bool {
    let own = request.header(EXPECT);
    let more = format!("{SERVER}: {own}\r\n{AT_FAULT}: {own}\r\ncontent-length: 0\r\n");
    let head = head(request, "421 Misdirected", &more);
    say(stream, &format!("{head}\r\n"))
}

/// Symptom: most requests are refused although backend servers are well. Sequence: one
/// registers for the service of a group and belongs to none; it rejects every request.
/// Cause: nothing spoke against it, and having no load it was preferred each time.
#[googletest::test]
fn one_that_serves_nothing_is_asked_rarely() {
    let fleet = Fleet::start(32);
    let (useless, well) = (Backend::start("a", misfit), Backend::start("b", good));
    fleet.announce(&useless, "plain", "ready", 1);
    fleet.announce(&well, "plain", "ready", 1);

    let asked = (0..40).map(|_| fleet.ask(4, "POST", "/file/1", "id").status());
    let statuses: Vec<u16> = asked.collect();

    expect_that!(useless.count(), le(3));
    expect_true!(statuses.iter().all(|s| *s == 200));
}

/// Writes an event every 20 ms until its caller is gone, and notes when that was.
fn endless(request: &Message, stream: &mut TcpStream) -> bool {
    let more = format!("{SIGNATURE}: s\r\ncontent-type: text/event-stream\r\n");
    let kind = "transfer-encoding: chunked\r\n";
    say(
        stream,
        &format!("{}{kind}\r\n", head(request, "200 OK", &more)),
    );
    for n in 1..500 {
        let event = format!("id: {n}\ndata: x\n\n");
        if !say(stream, &format!("{:x}\r\n{event}\r\n", event.len())) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let id = request.header(ATTEMPT).to_string();
    ENDED.lock().unwrap().push((id, Instant::now()));
    false
}

/// Ids of endless streams and when each ended; tests run at once.
static ENDED: Mutex<Vec<(String, Instant)>> = Mutex::new(Vec::new());

fn ended(id: &str) -> Option<Instant> {
    let ended = ENDED.lock().unwrap();
    ended.iter().find(|(i, _)| i == id).map(|(_, at)| *at)
}

/// Symptom: engines work for callers that are gone. Sequence: a caller closes its connection
/// in the middle of a stream. Cause: the gateway read on without anybody to read for.
#[googletest::test]
fn a_caller_that_leaves_ends_the_work_at_the_backend_server() {
    let fleet = Fleet::start(33);
    let backend = Backend::start("a", endless);
    fleet.announce(&backend, "engines", "ready", 1);
    let mut caller = TcpStream::connect(fleet.callers(4)).unwrap();
    let head = request("POST", "/draft/1", "leaves", "key-1");
    say(&mut caller, &format!("{head}\r\ncontent-length: 0\r\n\r\n"));
    let mut some = [0; 400];
    caller.read_exact(&mut some).unwrap();

    drop(caller);
    let left = Instant::now();
    fleet.wait("end of the stream", |_| ended("leaves").is_some());

    let after = ended("leaves").unwrap().duration_since(left);
    expect_that!(after, lt(Duration::from_millis(400)));
}

/// Symptom: answers are cut at the end of a planned stop. Sequence: a stream is taken long
/// after SIGTERM and cannot end within the grace. Cause: requests were taken in until then.
#[googletest::test]
fn a_stopping_gateway_takes_nothing_late() {
    let mut fleet = Fleet::start(34);
    let backend = Backend::start("a", endless);
    fleet.announce(&backend, "engines", "ready", 1);
    let at = fleet.callers(4);
    let held =
        thread::spawn(move || fleet::call(at, &request("POST", "/draft/1", "held", "key-1"), ""));
    while backend.count() == 0 {
        thread::sleep(Duration::from_millis(5));
    }

    let mut child = fleet.terminate("g4").unwrap();
    thread::sleep(Duration::from_millis(1_800));
    let late = fleet::call(at, &request("POST", "/draft/1", "late", "key-1"), "");
    let seen = backend.count();
    child.wait().unwrap();
    held.join().unwrap();

    expect_that!(late.map_or(503, |m| m.status()), eq(503));
    expect_that!(seen, eq(1));
}

/// Requests that ranks of the group that stands still have rejected.
static REJECTED: AtomicU32 = AtomicU32::new(0);

/// Stands still for two requests.
fn in_a_group(request: &Message, stream: &mut TcpStream) -> bool {
    if !request.headers.contains_key(ATTEMPT) || REJECTED.load(Ordering::SeqCst) >= 2 {
        return good(request, stream);
    }
    REJECTED.fetch_add(1, Ordering::SeqCst);
    let more = format!("{NOT_RUN}: 1\r\n{AT_FAULT}: other\r\ncontent-length: 0\r\n");
    let head = head(request, "503 Stalled", &more);
    say(stream, &format!("{head}\r\n"))
}

/// Symptom: during an outage of three seconds callers are refused twice and give up, though
/// they would have waited for five more. Sequence: a group stands still, its callers are told
/// when to come back, and do so half a second before it runs. Cause: refused at once again.
#[googletest::test]
fn who_came_back_waits_for_a_group_that_stands_still() {
    let fleet = Fleet::start(35);
    let ranks = [
        Backend::start("a", in_a_group),
        Backend::start("b", in_a_group),
    ];
    for rank in &ranks {
        fleet.announce(rank, "engines", "ready", 1);
    }
    let ask = |id: &str, wait: u32| {
        let head = request("POST", "/draft/1", id, "key-1");
        let head = head.replace(": 2000", &format!(": {wait}"));
        fleet::call(fleet.callers(4), &head, "body").unwrap()
    };

    let first = ask("first", 8_000);
    let again = ask("again", 5_000);

    let back = first.header("retry-after").parse::<f64>();
    expect_that!(first.status(), eq(503));
    expect_that!(back.unwrap_or(0.0), gt(1.0));
    expect_that!((again.status(), again.text().as_str()), eq((200, "whole")));
}

/// Symptom: a good backend server gets no requests any more. Sequence: somebody announces another
/// service, or nonsense, under its id, with a higher sequence. Cause: the entry was believed.
#[googletest::test]
fn entries_of_other_writers_change_nothing() {
    let fleet = Fleet::start(37);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);
    let entries = [
        r#"{"service":"nowhere","address":"10.0.0.1:80","zone":"d1","slots":4,"state":"ready","sequence":9}"#,
        r#"{"service":"plain","address":"10.0.0.1:80","zone":"d1","slots":4,"state":"asleep","sequence":9}"#,
        r#"{"service":"plain","address":"10.0.0.1:80","zone":"d1","state":"draining","sequence":9}"#,
        "\u{1}{",
    ];

    let statuses = entries.map(|e| fleet.put_entry(1, "a", e));
    thread::sleep(Duration::from_millis(300));
    let answer = fleet.ask(4, "GET", "/look/1", "id");

    expect_that!(statuses, each(eq(400)));
    expect_that!(answer.status(), eq(200));
}

/// Symptom: callers of the first two seconds after all processes started get no answer at all.
/// Sequence: a gateway is there sooner than the configuration; its callers are refused, come back
/// soon and are refused again. Cause: it knew that it would be told in a moment, and did not wait.
#[googletest::test]
fn a_gateway_that_just_started_holds_its_callers_until_it_is_told() {
    let fleet = Fleet::unsettled(36);
    let backend = Backend::start("a", good);
    fleet.announce(&backend, "plain", "ready", 1);
    let at = fleet.callers(4);
    let head = request("GET", "/look/1", "early", "key-1").replace(": 2000", ": 30000");
    let caller = thread::spawn(move || fleet::call(at, &head, "").map_or(0, |m| m.status()));
    thread::sleep(Duration::from_millis(200));
    let before = fleet.ready(4);

    fleet.settle(&fleet::document());
    let status = caller.join().unwrap();

    expect_that!((before, status), eq((false, 200)));
}

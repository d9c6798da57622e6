//! What coordinators promise of documents, members and registrations, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The other tests of a fleet use the rest of it.
#[allow(dead_code)]
mod fleet;

use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{DocumentAnswer, ReadAnswer};
use fleet::scripts::good;
use fleet::{Backend, Fleet, request};
use googletest::prelude::*;
use std::process::Command;
use std::thread;
use std::time::Duration;

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

    let fresh = fleet.put_entry(3, "a", entry);
    // Another writer's entry still takes nobody's place.
    let foreign = entry
        .replace("fresh", "nowhere")
        .replace("\"sequence\":1", "\"sequence\":9");

    expect_that!(fresh, eq(200));
    expect_that!(fleet.put_entry(3, "a", &foreign), eq(400));
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

//! Guarantees of coordinators for documents, members and registrations, in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{DocumentAnswer, ReadAnswer};
use fleet::scripts::succeed;
use fleet::{Backend, Fleet, request_head};
use googletest::prelude::*;
use std::process::Command;
use std::thread;
use std::time::Duration;

fn version(n: u64) -> String {
    fleet::document().replace(": 7,", &format!(": {n},"))
}

/// Guards against a committed document that is lost or replaced by an older one when all
/// coordinators are killed, one loses its disk, and documents arrive with equal and older versions:
/// it was acknowledged before a majority had synced it.
#[googletest::test]
fn a_committed_document_survives_kills_and_a_lost_disk() {
    let mut fleet = Fleet::start(26);
    fleet.commit_document(&version(8));
    fleet.commit_document(&version(9));
    let older = fleet.put_document(2, &version(3));
    let invalid = fleet.put_document(
        2,
        &version(10).replace("\"timeout-ms\": 1000", "\"timeout-ms\": 0"),
    );

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }
    fleet.delete_data(1);
    for n in 1..=3 {
        fleet.run_coordinator(n, false);
    }
    let is_current = |f: &Fleet, n| {
        let response = f.read_document(n);
        response.is_some_and(|m| m.status() == 200 && m.text() == version(9))
    };

    fleet.wait("reads", |f| (1..=3).all(|n| is_current(f, n)));
    expect_that!((older, invalid), eq((200, 400)));
}

/// Guards against reads of an outdated document: the only remaining coordinator responded with its
/// local copy without confirming that it was still the leader.
#[googletest::test]
fn a_coordinator_without_a_majority_serves_no_reads() {
    let mut fleet = Fleet::start(27);
    fleet.kill("c1");
    fleet.kill("c2");

    let status = fleet.read_document(3).map(|m| m.status());
    let put = fleet.put_document(3, &version(8));

    expect_that!((status, put), eq((Some(503), 503)));
}

/// Guards against a gateway that serves routes removed long ago: it starts while most coordinators
/// are lost and takes the document of the remaining one, without checking that it is the one
/// committed last.
#[googletest::test]
fn a_starting_gateway_rejects_documents_that_may_be_outdated() {
    let mut fleet = Fleet::start(38);
    for id in ["c1", "c2", "g4"] {
        fleet.kill(id);
    }
    fleet.wait("the remaining coordinator without a majority", |f| {
        f.last_line("c3", "current").contains("\"current\":false")
    });

    fleet.run_gateway(4);
    fleet.wait("the start", |f| f.is_up(4));
    thread::sleep(Duration::from_secs(1));
    let ready_before = (fleet.ready(4), fleet.ready(5));
    fleet.run_coordinator(1, false);
    fleet.wait("a majority", |f| f.ready(4));

    expect_that!(ready_before, eq((false, true)));
}

/// Guards against an absent coordinator going unnoticed, while fewer replicate the log than exist:
/// no command showed which of them vote.
#[googletest::test]
fn operators_see_which_members_vote() {
    let fleet = Fleet::start(41);
    let show_members = |n: u8| {
        let address = fleet.operators(n).to_string();
        let output = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
            .args(["members", "--at", &address])
            .output();
        String::from_utf8(output.unwrap().stdout).unwrap()
    };

    let texts: Vec<String> = (1..=3).map(show_members).collect();

    expect_that!(texts, each(contains_substring("\"current\":true")));
    let voters = |text: &String| text.matches("\"votes\":true").count();
    expect_that!(texts.iter().map(voters).collect::<Vec<_>>(), each(eq(&3)));
}

/// A document so large that the log cannot keep many of them: a snapshot replaces them.
fn large_document(n: u64) -> String {
    let padding: String = (0..20_000)
        .map(|_| format!("{:016x}", rand::random::<u64>()))
        .collect();
    version(n).replacen('{', &format!("{{\"noise\": \"{padding}\","), 1)
}

/// Guards against a new service that has no backend servers although they run: a coordinator is
/// absent while a document adds the service and starts while there is no majority; the backend
/// servers announce themselves to it, and it rejects them because of its outdated document.
#[googletest::test]
fn a_coordinator_with_an_outdated_document_accepts_new_services() {
    let mut fleet = Fleet::start(39);
    for n in 8..=14 {
        fleet.commit_document(&large_document(n));
    }
    let has_snapshot = |f: &Fleet| !f.last_line("c3", "snapshot_taken").is_empty();
    fleet.wait("a snapshot", has_snapshot);
    fleet.kill("c3");
    let renamed = fleet::document().replace("\"plain\"", "\"fresh\"");
    fleet.commit_document(&renamed.replace(": 7,", ": 20,"));
    fleet.kill("c1");
    fleet.kill("c2");

    fleet.run_coordinator(3, false);
    fleet.wait("the start", |f| f.read_document(3).is_some());
    let announcement = r#"{"service":"fresh","address":"10.0.0.1:80","zone":"d1","slots":4,"state":"ready","sequence":1}"#;

    let own = fleet.put_announcement(3, "a", announcement);
    // An announcement by another writer still replaces no entry.
    let other_writer = announcement
        .replace("fresh", "nowhere")
        .replace("\"sequence\":1", "\"sequence\":9");

    expect_that!(own, eq(200));
    expect_that!(fleet.put_announcement(3, "a", &other_writer), eq(400));
}

/// Guards against callers being rejected although the backend servers are healthy, while all
/// coordinators are down: gateways dropped the state that they had received.
#[googletest::test]
fn gateways_keep_serving_without_coordinators() {
    let mut fleet = Fleet::start(28);
    let backend = Backend::start("a", succeed);
    fleet.announce(&backend, "plain", "ready", 1);
    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }
    thread::sleep(Duration::from_secs(2));

    let response = fleet.send(4, "POST", "/file/1", "id");

    expect_that!(response.status(), eq(200));
}

/// Guards against a document that is acknowledged and then lost: a coordinator restarts while the
/// leader's responses to its earlier calls are in transit, and they match the ids of its new calls.
/// Every start numbered its calls from 1.
#[googletest::test]
fn responses_to_calls_of_an_earlier_incarnation_commit_nothing() {
    let mut fleet = Fleet::start(30);
    fleet.kill("c1");
    fleet.kill("c2");
    let inbox = fleet.inbox(3);
    let sender = thread::spawn(move || {
        let own_address = "127.77.0.99:29999".parse().unwrap();
        let net = Net::open("127.77.0.1", 1, own_address, own_address, |_| {}).unwrap();
        for _ in 0..20 {
            for call in 0..50 {
                let committed = DocumentAnswer {
                    call,
                    settled: true,
                    version: 8,
                };
                let confirmed = ReadAnswer {
                    call,
                    sure: true,
                    version: 1,
                };
                net.send(inbox, Body::DocumentAnswer(committed));
                net.send(inbox, Body::ReadAnswer(confirmed));
            }
            thread::sleep(Duration::from_millis(100));
        }
    });

    thread::sleep(Duration::from_millis(300));
    let put = fleet.put_document(3, &version(8));
    let read = fleet.read_document(3).map(|m| m.status());
    sender.join().unwrap();

    expect_that!((put, read), eq((503, Some(503))));
}

/// Guards against a healthy backend server that receives no more requests: another writer announced
/// a different service, or invalid data, under its id with a higher sequence, and it was accepted.
#[googletest::test]
fn announcements_of_other_writers_change_nothing() {
    let fleet = Fleet::start(37);
    fleet.wait_current(1, 7);
    let backend = Backend::start("a", succeed);
    fleet.announce(&backend, "plain", "ready", 1);
    let announcements = [
        r#"{"service":"nowhere","address":"10.0.0.1:80","zone":"d1","slots":4,"state":"ready","sequence":9}"#,
        r#"{"service":"plain","address":"10.0.0.1:80","zone":"d1","slots":4,"state":"asleep","sequence":9}"#,
        r#"{"service":"plain","address":"10.0.0.1:80","zone":"d1","state":"draining","sequence":9}"#,
        "\u{1}{",
    ];

    let statuses = announcements.map(|a| fleet.put_announcement(1, "a", a));
    thread::sleep(Duration::from_millis(300));
    let response = fleet.send(4, "GET", "/look/1", "id");

    expect_that!(statuses, each(eq(400)));
    expect_that!(response.status(), eq(200));
}

/// Guards against callers that get no response at all in the first two seconds after all processes
/// started: a gateway is up before it has the configuration; its callers are rejected, retry soon
/// and are rejected again. The gateway could expect the configuration soon and did not wait.
#[googletest::test]
fn a_starting_gateway_holds_callers_until_it_is_configured() {
    let fleet = Fleet::start_unconfigured(36);
    let backend = Backend::start("a", succeed);
    fleet.announce(&backend, "plain", "ready", 1);
    let address = fleet.callers(4);
    let head = request_head("GET", "/look/1", "early", "key-1").replace(": 2000", ": 30000");
    let caller = thread::spawn(move || fleet::call(address, &head, "").map_or(0, |m| m.status()));
    thread::sleep(Duration::from_millis(200));
    let ready_before = fleet.ready(4);

    fleet.commit_document(&fleet::document());
    let status = caller.join().unwrap();

    expect_that!((ready_before, status), eq((false, 200)));
}

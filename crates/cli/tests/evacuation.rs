//! Evacuations of failure domains, with coordinators and gateways in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::call::BASE;
use bn_platform::header::RETRY_AFTER;
use fleet::scripts::{succeed, succeed_slowly};
use fleet::{Backend, Fleet};
use googletest::prelude::*;
use nix::sys::signal::Signal::{SIGCONT, SIGSTOP};
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Sends an order about a failure domain to a coordinator and returns the status.
fn order(fleet: &Fleet, n: u8, method: &str, domain: &str, body: &str) -> u16 {
    let head = format!("{method} {BASE}evacuate/{domain} HTTP/1.1\r\nhost: x");
    fleet::call(fleet.control(n), &head, body).map_or(0, |m| m.status())
}

/// Runs the command that lists evacuations, or with more arguments starts or ends one.
fn command(fleet: &Fleet, n: u8, args: &[&str]) -> String {
    let address = fleet.operators(n).to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
        .args(["evacuations", "--at", &address])
        .args(args)
        .output();
    String::from_utf8(output.unwrap().stdout).unwrap()
}

/// Announces a backend server of the plain service in a failure domain, to both gateways.
fn announce(fleet: &Fleet, backend: &Backend, domain: &str) {
    let announcement = serde_json::json!({
        "service": "plain", "address": backend.address, "zone": domain, "slots": 4,
        "state": "ready", "sequence": 1,
    });
    let announcement = announcement.to_string();
    fleet.wait("the announcement", |f| {
        f.put_announcement(2, &backend.id, &announcement) == 200
    });
    let is_known = |f: &Fleet, gateway| {
        let log = std::fs::read_to_string(f.log_path(gateway)).unwrap_or_default();
        let since_start = log.rsplit("\"event\":\"started\"").next();
        let mut lines = since_start.unwrap_or_default().lines();
        let pattern = format!("\"id\":\"{}\"", backend.id);
        lines.any(|l| l.contains("\"event\":\"backend_server\"") && l.contains(&pattern))
    };
    fleet.wait("the registration", |f| {
        ["g4", "g5"].iter().all(|g| is_known(f, g))
    });
}

/// Waits until the last line of the gateways with this event contains a text.
fn wait_for_gateways(fleet: &Fleet, event: &str, text: &str) {
    fleet.wait(event, |f| {
        ["g4", "g5"]
            .iter()
            .all(|g| f.last_line(g, event).contains(text))
    });
}

fn send_many(fleet: &Fleet) {
    for n in 0..20 {
        fleet.send(4 + n % 2, "GET", "/look/1", "id");
    }
}

/// Guards against an acknowledged evacuation that is lost when all coordinators are killed and one
/// loses its disk, a repeat that another coordinator refuses, and a gateway that starts during the
/// evacuation and sends requests to the evacuated failure domain.
#[googletest::test]
fn an_evacuation_lasts_until_its_end_is_acknowledged() {
    let mut fleet = Fleet::start(50);
    let (kept, evacuated) = (Backend::start("a", succeed), Backend::start("b", succeed));
    // The gateways are in d1 and prefer its backend servers.
    announce(&fleet, &kept, "d2");
    announce(&fleet, &evacuated, "d1");
    let statuses = [1, 2].map(|n| order(&fleet, n, "POST", "d1", ""));
    wait_for_gateways(&fleet, "evacuations_in_force", "d1");
    send_many(&fleet);
    let during = (kept.count(), evacuated.count());

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }
    fleet.kill("g4");
    fleet.delete_data(1);
    for n in 1..=3 {
        fleet.run_coordinator(n, false);
    }
    fleet.run_gateway(4);
    let lists = |f: &Fleet, n| command(f, n, &[]).contains("\"domain\":\"d1\"");
    fleet.wait("the evacuation", |f| (1..=3).all(|n| lists(f, n)));
    fleet.wait("the gateway", |f| f.ready(4));
    let known_at_start = fleet.last_line("g4", "evacuations_in_force");
    announce(&fleet, &kept, "d2");
    announce(&fleet, &evacuated, "d1");
    send_many(&fleet);
    let after_restart = evacuated.count();
    fleet.wait("the end", |f| order(f, 3, "DELETE", "d1", "") == 200);
    wait_for_gateways(&fleet, "evacuations_in_force", "\"domains\":[]");
    send_many(&fleet);

    expect_that!(statuses, each(eq(200)));
    expect_that!(during, eq((20, 0)));
    expect_that!(known_at_start, contains_substring("d1"));
    expect_that!(after_restart, eq(0));
    expect_that!(evacuated.count(), gt(0));
}

/// Guards against callers that are held although nothing can serve them, and against an evacuation
/// that breaks off running answers.
#[googletest::test]
fn an_evacuated_service_refuses_at_once_and_running_answers_end() {
    let fleet = Fleet::start(51);
    let backend = Backend::start("a", succeed_slowly);
    announce(&fleet, &backend, "d2");
    let callers = fleet.callers(4);
    let head = fleet::request_head("GET", "/look/1", "running", "key-1");
    let running = thread::spawn(move || fleet::call(callers, &head, "").unwrap());
    fleet.wait("the request", |_| backend.count() == 1);

    let started = command(&fleet, 1, &["--start", "d2"]);
    wait_for_gateways(&fleet, "evacuations_in_force", "d2");
    let sent_at = Instant::now();
    let refused = fleet.send(4, "GET", "/look/1", "refused");
    let held = sent_at.elapsed();
    let running = running.join().unwrap();
    let ended = command(&fleet, 2, &["--end", "d2"]);
    wait_for_gateways(&fleet, "evacuations_in_force", "\"domains\":[]");
    let served = fleet.send(4, "GET", "/look/1", "served");

    expect_that!([started, ended], each(contains_substring("true")));
    expect_that!(
        (running.status(), refused.status(), served.status()),
        eq((200, 503, 200))
    );
    expect_that!(refused.text(), contains_substring("not-run"));
    expect_true!(refused.headers.contains_key(RETRY_AFTER));
    expect_that!(held, lt(Duration::from_millis(250)));
    expect_that!(
        fleet.last_line("g4", "refused"),
        contains_substring("evacuated")
    );
    expect_that!(backend.count(), eq(2));
}

/// Guards against orders with a wrong name, body or method that take effect, a refusal of an order
/// for an unknown failure domain, and an acknowledgement without a majority.
#[googletest::test]
fn only_valid_orders_with_a_majority_are_acknowledged() {
    let mut fleet = Fleet::start(52);
    let long = "a".repeat(65);
    let invalid = ["", "a%20b", "a/b", &long].map(|name| order(&fleet, 1, "POST", name, ""));
    let with_body = order(&fleet, 1, "DELETE", "d1", "x");
    let methods = ["GET", "PUT"].map(|m| order(&fleet, 1, m, "d1", ""));
    let unknown = order(&fleet, 2, "POST", "Zone_x.1-b", "");
    let listed = command(&fleet, 2, &[]);

    fleet.kill("c1");
    fleet.kill("c2");
    let started = Instant::now();
    let alone = order(&fleet, 3, "POST", "d1", "");
    let waited = started.elapsed();

    expect_that!(invalid, each(eq(400)));
    expect_that!((with_body, methods), eq((400, [405, 405])));
    expect_that!((unknown, alone), eq((200, 503)));
    expect_that!(waited, lt(Duration::from_secs(1)));
    expect_that!(listed.matches("since").count(), eq(1));
    expect_that!(listed, contains_substring("Zone_x.1-b"));
}

/// Guards against an order that waited in the socket of a stopped coordinator and takes effect when
/// the process continues, after its end was acknowledged elsewhere.
#[googletest::test]
fn an_order_that_reached_a_stopped_coordinator_is_not_proposed_later() {
    let fleet = Fleet::start(53);
    fleet.signal("c3", SIGSTOP);
    let control = fleet.control(3);
    let head = format!("POST {BASE}evacuate/d9 HTTP/1.1\r\nhost: x");
    let caller = thread::spawn(move || fleet::call(control, &head, "").map_or(0, |m| m.status()));
    let acknowledged = |f: &Fleet, method| (1..=2).any(|n| order(f, n, method, "d9", "") == 200);
    fleet.wait("the start", |f| acknowledged(f, "POST"));
    fleet.wait("the end", |f| acknowledged(f, "DELETE"));
    // The length of the stop, so that it counts as a stall.
    thread::sleep(Duration::from_millis(500));

    fleet.signal("c3", SIGCONT);
    let status = caller.join().unwrap();
    let listed = command(&fleet, 1, &[]);

    expect_that!(status, eq(503));
    expect_that!(listed, contains_substring("\"evacuations\":[]"));
}

/// Guards against an order that is still proposed after its caller closed the connection: the caller
/// may have had a later order acknowledged by another coordinator since.
#[googletest::test]
fn an_order_ends_with_the_connection_of_its_caller() {
    let mut fleet = Fleet::start(56);
    fleet.kill("c1");
    fleet.kill("c2");
    let mut caller = TcpStream::connect(fleet.control(3)).unwrap();
    let order = format!("POST {BASE}evacuate/d7 HTTP/1.1\r\nhost: x\r\n\r\n");
    caller.write_all(order.as_bytes()).unwrap();
    fleet.wait("the order", |f| {
        f.last_line("c3", "evacuation_proposed").contains("d7")
    });

    drop(caller);

    let answered = |f: &Fleet| f.last_line("c3", "evacuation_answered");
    fleet.wait("its end", |f| answered(f).contains("d7"));
    expect_that!(answered(&fleet), contains_substring("disconnected"));
}

/// Guards against a gateway that sends requests to an evacuated failure domain because the one
/// coordinator that pushes changes to it is down: by their addresses, that is c2 for g4.
#[googletest::test]
fn a_gateway_without_its_assigned_coordinator_learns_of_evacuations() {
    let mut fleet = Fleet::start(57);
    fleet.kill("c2");

    let acknowledged = |f: &Fleet| [1, 3].iter().any(|n| order(f, *n, "POST", "d2", "") == 200);
    fleet.wait("the start", acknowledged);

    wait_for_gateways(&fleet, "evacuations_in_force", "d2");
}

/// A document so large that the log cannot keep many of them: a snapshot replaces them.
fn large_document(version: u64) -> String {
    let padding: String = (0..20_000)
        .map(|_| format!("{:016x}", rand::random::<u64>()))
        .collect();
    let document = fleet::document().replace(": 7,", &format!(": {version},"));
    document.replacen('{', &format!("{{\"noise\": \"{padding}\","), 1)
}

/// Guards against an evacuation that ends with a new document, or that is lost when a snapshot
/// replaces its log entry and is all that a coordinator with an emptied disk gets.
#[googletest::test]
fn an_evacuation_outlives_documents_and_snapshots() {
    let mut fleet = Fleet::start(54);
    fleet.wait("the start", |f| order(f, 1, "POST", "d2", "") == 200);
    for version in 8..=14 {
        fleet.commit_document(&large_document(version));
    }
    let has_snapshot = |f: &Fleet, n| !f.last_line(&format!("c{n}"), "snapshot_taken").is_empty();
    fleet.wait("snapshots", |f| (1..=3).all(|n| has_snapshot(f, n)));

    for n in 1..=3 {
        fleet.kill(&format!("c{n}"));
    }
    fleet.delete_data(1);
    for n in 1..=3 {
        fleet.run_coordinator(n, false);
    }

    let lists = |f: &Fleet, n| command(f, n, &[]).contains("\"domain\":\"d2\"");
    fleet.wait("the evacuation", |f| (1..=3).all(|n| lists(f, n)));
    expect_that!(
        fleet.last_line("c1", "evacuations_loaded"),
        contains_substring("d2")
    );
}

/// Guards against orders for different failure domains that make each other void until operators
/// give up.
#[googletest::test]
fn eight_orders_at_once_are_acknowledged_within_five_seconds() {
    let fleet = Fleet::start(55);
    let started = Instant::now();
    let acknowledge = |domain: u8| {
        let name = format!("d{domain}");
        let coordinators = (0..).map(|attempt| (domain + attempt) % 3 + 1);
        coordinators
            .take(8)
            .any(|n| order(&fleet, n, "POST", &name, "") == 200)
    };

    let acknowledged: Vec<bool> = thread::scope(|scope| {
        let acknowledge = &acknowledge;
        let callers: Vec<_> = (0..8)
            .map(|n| scope.spawn(move || acknowledge(n)))
            .collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    let took = started.elapsed();

    expect_that!(acknowledged, eq(&vec![true; 8]));
    expect_that!(took, lt(Duration::from_secs(5)));
    expect_that!(command(&fleet, 1, &[]).matches("since").count(), eq(8));
}

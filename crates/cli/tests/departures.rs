//! Departures of backend servers, which name no start, at any coordinator.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use fleet::scripts::{succeed, write_text};
use fleet::{Backend, Fleet, Message, call};
use googletest::prelude::*;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A backend server whose health check says whether it is leaving.
fn backend(leaving: &Arc<AtomicBool>) -> Backend {
    let leaving = leaving.clone();
    Backend::start("a", move |request: &Message, stream: &mut TcpStream| {
        if !request.start_line.contains("/healthz") {
            return succeed(request, stream);
        }
        let status = match leaving.load(Ordering::SeqCst) {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        write_text(
            stream,
            &format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n"),
        )
    })
}

fn announce(fleet: &Fleet, backend: &Backend, start_time: u64, sequence: u64) {
    let body = serde_json::json!({
        "service": "plain", "address": backend.address, "zone": "d1", "slots": 4,
        "state": "ready", "sequence": sequence, "born": start_time,
    });
    let status = fleet.put_announcement(2, &backend.id, &body.to_string());
    assert_eq!(status, 200);
    fleet.wait("the announcement", |f| {
        let logged = |n| f.last_line(n, "backend_server");
        let began = format!("\"began\":{start_time}");
        ["g4", "g5"].into_iter().all(|g| logged(g).contains(&began))
    });
}

/// Sends the departure of `a` to a coordinator; returns the status.
fn depart(fleet: &Fleet, coordinator: u8) -> u16 {
    let base = bn_platform::call::BASE;
    let head = format!("DELETE {base}replicas/a HTTP/1.1\r\nhost: x");
    call(fleet.control(coordinator), &head, "").map_or(0, |m| m.status())
}

fn is_used(fleet: &Fleet) -> bool {
    fleet.send(4, "GET", "/look/1", "r1").status() == 200
}

/// Guards against a departure that is acknowledged by a coordinator that knows no start, and is in
/// force nowhere.
#[googletest::test]
fn a_departure_is_in_force_whoever_takes_it() {
    let leaving = Arc::new(AtomicBool::new(true));
    for (block, coordinator) in [(92, 1), (93, 3)] {
        let mut fleet = Fleet::start(block);
        let backend = backend(&leaving);
        announce(&fleet, &backend, 1_782_219_166_014, 4);
        let used = is_used(&fleet);

        // It restarts with an empty disk and an empty table.
        fleet.kill(&format!("c{coordinator}"));
        fleet.delete_data(coordinator);
        fleet.run_coordinator(coordinator, false);
        fleet.wait("the departure", |f| depart(f, coordinator) == 200);

        expect_that!(used, eq(true));
        fleet.wait("its effect", |f| !is_used(f));
    }
}

/// Guards against the departure of an earlier start, held up on its way, that ends the later one.
#[googletest::test]
fn a_held_up_departure_leaves_the_later_start() {
    let fleet = Fleet::start(94);
    let leaving = Arc::new(AtomicBool::new(false));
    let backend = backend(&leaving);
    announce(&fleet, &backend, 1_000, 40);
    announce(&fleet, &backend, 2_000, 1);

    let held_up: Vec<u16> = (1..=3).map(|n| depart(&fleet, n)).collect();
    let used = is_used(&fleet);
    leaving.store(true, Ordering::SeqCst);
    let own = depart(&fleet, 3);

    expect_that!(held_up, each(eq(&503)));
    expect_that!((used, own), eq((true, 200)));
    fleet.wait("its effect", |f| !is_used(f));
}

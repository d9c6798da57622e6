//! Backend servers in evacuated failure domains, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{Fleet, LoadReport, PickArgs, Server, Unavailable};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// Six ranks of a lock-step group in the failure domains d0 to d2, with four slots each.
fn fleet(evacuated: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("d0");
    for n in 0..6 {
        let (id, domain) = (format!("b{n}"), format!("d{}", n % 3));
        let mut server = Server::new(&id, "s", ([10, 0, 0, n], 80).into(), &domain, 4);
        server.join_group("g");
        fleet.upsert(server);
    }
    evacuate(&mut fleet, evacuated);
    fleet
}

fn evacuate(fleet: &mut Fleet, domains: &[&str]) {
    fleet.set_evacuated(domains.iter().map(ToString::to_string).collect());
}

fn pick(fleet: &Fleet, tried: &[String]) -> std::result::Result<String, Unavailable> {
    let args = PickArgs {
        service: "s",
        tried,
        final_attempt: false,
        doubt_after: Duration::MAX,
        fill_limit: &|_| 1.0,
    };
    fleet.pick(NOW, &args, || 0.0).map(|s| s.id.clone())
}

/// Guards against requests and retries that are sent to an evacuated failure domain, and against an
/// evacuation that never ends.
#[googletest::test]
fn evacuated_backend_servers_are_not_picked() {
    let mut fleet = fleet(&["d0"]);
    let mut picked = Vec::new();
    while let Ok(id) = pick(&fleet, &[]) {
        fleet.record_sent(NOW, &id);
        picked.push(id);
    }
    evacuate(&mut fleet, &[]);

    expect_that!(picked, len(eq(16)));
    expect_that!(picked, not(contains(any![eq("b0"), eq("b3")])));
    expect_that!(pick(&fleet, &[]), ok(any![eq("b0"), eq("b3")]));
}

/// Guards against a request that is sent although its failure domain was evacuated while it waited
/// for a connection.
#[googletest::test]
fn a_picked_backend_server_is_checked_again_before_sending() {
    let mut fleet = fleet(&[]);
    let picked = fleet.get("b0").unwrap().clone();
    let before = fleet.may_send(NOW, &picked);

    evacuate(&mut fleet, &["d0"]);

    expect_that!((before, fleet.may_send(NOW, &picked)), eq((true, false)));
}

/// Guards against requests that wait for a service without backend servers that they may use, and
/// against a service being taken for evacuated because the others were tried.
#[googletest::test]
fn a_service_is_evacuated_if_all_its_backend_servers_are() {
    let all = fleet(&["d0", "d1", "d2"]);
    let some = fleet(&["d0", "d1"]);
    let tried = ["b2".to_string(), "b5".to_string()];

    expect_that!(pick(&all, &[]), err(eq(&Unavailable::Evacuated)));
    expect_that!(pick(&some, &tried), err(eq(&Unavailable::NoServers)));
    expect_that!(
        (all.is_evacuated("s"), some.is_evacuated("s")),
        eq((true, false))
    );
    expect_false!(all.is_evacuated("other"));
    expect_that!(
        (all.units_of("s").len(), some.units_of("s").len()),
        eq((0, 1))
    );
}

/// Guards against a group that looks emptier than it is: the idle backend servers of an evacuated
/// failure domain lowered the mean load.
#[googletest::test]
fn load_is_that_of_the_remaining_backend_servers() {
    let mut fleet = fleet(&["d0"]);
    for n in [1, 2, 4, 5] {
        fleet.record_sent(NOW, &format!("b{n}"));
    }
    let idle = LoadReport {
        running: 0,
        waiting: 0,
        slots: 4,
    };
    let before = fleet.mean_load(NOW, "s/g");
    for _ in 0..20 {
        fleet.record_load(NOW, "b0", idle);
    }

    expect_that!(before, approx_eq(0.25));
    expect_that!(fleet.mean_load(NOW, "s/g"), approx_eq(before));
}

/// Guards against probes of a stalled group that go to an evacuated rank, and against a stall that
/// counts although only evacuated backend servers are stalled.
#[googletest::test]
fn only_remaining_backend_servers_count_for_a_stall() {
    let mut fleet = fleet(&["d0"]);
    let address = ([10, 0, 1, 0], 80).into();
    let mut other = Server::new("c0", "s", address, "d0", 4);
    other.join_group("h");
    fleet.upsert(other);
    fleet.mark_stalled(NOW, "b1");
    let stalled = fleet.is_stalled("s");
    let down = fleet.is_down(NOW + Duration::from_secs(9), "s");

    evacuate(&mut fleet, &["d1", "d2"]);

    expect_that!((stalled, down), eq((true, true)));
    expect_false!(fleet.is_stalled("s"));
}

//! Selection and health of backend servers at a gateway, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{FillController, Fleet, LoadReport, PickArgs, Server, Unavailable};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn fleet(servers: u32) -> Fleet {
    let mut fleet = Fleet::new("d0");
    for n in 0..servers {
        let address = ([10, 0, 0, n as u8], 80).into();
        let domain = format!("d{n}");
        fleet.upsert(Server::new(&format!("b{n}"), "s", address, &domain, 4));
    }
    fleet
}

fn args(tried: &[String]) -> PickArgs<'_> {
    PickArgs {
        service: "s",
        tried,
        final_attempt: false,
        doubt_after: Duration::MAX,
        fill_limit: &|_| 1.0,
    }
}

fn pick(
    fleet: &Fleet,
    now: Duration,
    tried: &[String],
) -> std::result::Result<String, Unavailable> {
    fleet.pick(now, &args(tried), || 0.0).map(|s| s.id.clone())
}

#[googletest::test]
fn requests_are_spread_evenly_up_to_the_fill_limit() {
    let mut fleet = fleet(3);

    for _ in 0..12 {
        let id = pick(&fleet, NOW, &[]).unwrap();
        fleet.record_sent(NOW, &id);
    }

    let in_flight = |id: &str| fleet.get(id).unwrap().in_flight();
    expect_that!(
        (in_flight("b0"), in_flight("b1"), in_flight("b2")),
        eq((4, 4, 4))
    );
    expect_that!(pick(&fleet, NOW, &[]), err(eq(&Unavailable::Full)));
}

#[googletest::test]
fn peer_load_counts_and_decays() {
    let mut fleet = fleet(2);
    let report = LoadReport {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    fleet.record_load(NOW, "b0", report);

    let at_once = pick(&fleet, NOW, &[]);
    let later = fleet
        .get("b0")
        .unwrap()
        .load(NOW + Duration::from_secs(15), 0.0);

    expect_that!(at_once, ok(eq("b1")));
    expect_that!(later, lt(0.1));
}

/// Guards against overfilling a group although every gateway respects the fill limit: six gateways
/// with similar load, none with a recent report, each took the ranks for idle but for its own
/// requests.
#[googletest::test]
fn peer_load_is_assumed_without_reports() {
    let mut fleet = fleet(2);
    fleet.peers = 5;
    let mut sent = 0;
    while let Ok(id) = pick(&fleet, NOW, &[]) {
        fleet.record_sent(NOW, &id);
        sent += 1;
    }

    expect_that!(sent, all![ge(1), le(3)]);
}

/// Guards against refusing callers while half of the group's slots are free: four of six gateways
/// are cut off, their callers go to the two others, and each of those assumed that the four have as
/// many requests as itself instead of using the reported load.
#[googletest::test]
fn reported_load_overrides_assumed_load() {
    let mut fleet = fleet(2);
    fleet.peers = 5;
    let few_peer_requests = |fleet: &Fleet| LoadReport {
        running: fleet.get("b0").unwrap().in_flight() + 2,
        waiting: 0,
        slots: 4,
    };
    for n in 0..40u64 {
        let at = NOW + Duration::from_millis(n * 40);
        fleet.record_load(at, "b0", few_peer_requests(&fleet));
    }
    let now = NOW + Duration::from_millis(1_600);

    let mut sent = 0;
    while let Ok(id) = pick(&fleet, now, &[]) {
        fleet.record_sent(now, &id);
        sent += 1;
    }

    // Two backend servers with four slots, with two requests of peers at each.
    expect_that!(sent, all![ge(4), le(6)]);
}

/// Guards against a tenth of the gateways refusing all callers for four seconds after an outage:
/// the group runs again and the fill limit is at the minimum; the others measure more and fill the
/// group above that. The minimum was compared to the load of all gateways, so that this one never
/// had a stream to measure by.
#[googletest::test]
fn gateway_without_a_stream_takes_one_to_measure_by() {
    let mut fleet = fleet(4);
    let half = LoadReport {
        running: 2,
        waiting: 0,
        slots: 4,
    };
    for n in 0..40u64 {
        fleet.record_load(NOW + Duration::from_millis(n * 5), "b0", half);
    }
    let now = NOW + Duration::from_millis(200);
    let minimum = |_: &str| FillController::INITIAL;
    let args = PickArgs {
        fill_limit: &minimum,
        ..args(&[])
    };

    let first = fleet.pick(now, &args, || 0.5).map(|s| s.id.clone());
    fleet.record_sent(now, first.as_ref().unwrap());
    let second = fleet.pick(now, &args, || 0.5).map(|s| s.id.clone());

    expect_that!(first, ok(anything()));
    expect_that!(second, err(eq(&Unavailable::Full)));
}

/// Guards against late streams throughout a fleet of many groups: some hundred gateways with
/// streams at a few groups each took one more at every other group, whatever its fill limit. One
/// such stream at each group is a considerable part of its slots.
#[googletest::test]
fn gateway_with_a_stream_elsewhere_respects_the_fill_limit() {
    let mut fleet = two_groups();
    let now = NOW + Duration::from_millis(200);
    let none = |_: &str| 0.0;
    let args = PickArgs {
        fill_limit: &none,
        ..args(&[])
    };

    let first = fleet.pick(now, &args, || 0.5).map(|s| s.id.clone());
    fleet.record_sent(now, first.as_ref().unwrap());
    let second = fleet.pick(now, &args, || 0.5).map(|s| s.id.clone());

    expect_that!(first, ok(anything()));
    expect_that!(second, err(eq(&Unavailable::Full)));
}

/// Guards against refusing or delaying half of a service's requests while a tenth of its slots are
/// taken: 147 gateways send one request every few seconds each to six backend servers, and get
/// reports as rarely. One request in flight here was taken to mean one at each other gateway.
#[googletest::test]
fn one_request_is_not_extrapolated_to_many_gateways() {
    let mut fleet = fleet(6);
    fleet.peers = 146;
    let mut refused = 0;
    for n in 0..40u64 {
        let now = NOW + Duration::from_secs(n * 5);
        let first = pick(&fleet, now, &[]).unwrap();
        fleet.record_sent(now, &first);
        match pick(&fleet, now + Duration::from_millis(10), &[]) {
            Ok(second) => {
                fleet.record_sent(now, &second);
                fleet.record_end(&second, 0);
            }
            Err(_) => refused += 1,
        }
        let light = LoadReport {
            running: 1,
            waiting: 0,
            slots: 4,
        };
        fleet.record_load(now + Duration::from_millis(30), &first, light);
        fleet.record_end(&first, 0);
    }

    expect_that!(refused, eq(0));
}

/// Guards against refusing requests after a backend server was seen full once: it reports full
/// slots and nothing follows for seconds. The last report was used forever.
#[googletest::test]
fn reported_load_decays() {
    let mut fleet = fleet(6);
    fleet.peers = 146;
    let full = LoadReport {
        running: 4,
        waiting: 4,
        slots: 4,
    };
    for n in 0..60u64 {
        fleet.record_load(NOW + Duration::from_millis(n * 10), "b0", full);
    }

    let at_once = fleet.mean_load(NOW + Duration::from_millis(700), "s");
    let later = fleet.mean_load(NOW + Duration::from_secs(15), "s");

    expect_that!(at_once, gt(0.6));
    expect_that!(later, lt(0.1));
}

#[googletest::test]
fn tried_leaving_and_removed_servers_are_skipped() {
    let mut fleet = fleet(3);
    let mut leaving = fleet.get("b1").unwrap().clone();
    leaving.leaving = true;
    fleet.upsert(leaving);
    fleet.remove("b2");

    let tried = ["b0".to_string()];

    expect_that!(pick(&fleet, NOW, &[]), ok(eq("b0")));
    expect_that!(pick(&fleet, NOW, &tried), err(eq(&Unavailable::NoServers)));
}

/// Guards against every third request failing while two backend servers are sound: one fails all
/// its requests, so its load stays lowest and it is picked again. Failures did not raise its cost.
#[googletest::test]
fn failing_server_gets_few_requests() {
    let mut fleet = fleet(3);
    let mut bad = 0;
    for n in 0..100u32 {
        let now = NOW + Duration::from_millis(50) * n;
        let id = pick(&fleet, now, &[]).unwrap();
        match id.as_str() {
            "b0" => {
                bad += 1;
                fleet.record_failure(now, &id, false);
            }
            _ => fleet.record_success(now, &id),
        }
    }

    expect_that!(bad, le(10));
}

#[googletest::test]
fn first_readmitted_is_tried_when_all_are_ejected() {
    let mut fleet = fleet(2);
    fleet.record_failure(NOW, "b1", true);
    fleet.record_failure(NOW + Duration::from_millis(10), "b0", true);

    let picked = pick(&fleet, NOW + Duration::from_millis(20), &[]);

    expect_that!(picked, ok(eq("b1")));
}

/// Guards against callers of a group that was never complete waiting, retrying and waiting again:
/// fewer backend servers started than the group has ranks, and each probe is rejected. It was taken
/// for a group that had just lost a rank.
#[googletest::test]
fn requests_do_not_wait_for_a_group_that_is_down() {
    let mut fleet = fleet(4);
    let after = |s: u64| NOW + Duration::from_secs(s);
    let reason = |fleet: &Fleet, now: Duration| pick(fleet, now, &[]).unwrap_err();
    fleet.mark_stalled(NOW, "b0");
    let at_first = reason(&fleet, NOW);
    for s in 0..=12 {
        fleet.mark_stalled(after(s), "b1");
    }

    let later = reason(&fleet, after(12));
    let probed = pick(&fleet, after(13), &[]);
    fleet.record_success(after(13), "b1");
    fleet.mark_stalled(after(14), "b0");

    expect_that!(
        (at_first, later),
        eq((Unavailable::Stalled, Unavailable::Down))
    );
    expect_that!(probed, ok(anything()));
    expect_that!(reason(&fleet, after(14)), eq(Unavailable::Stalled));
}

/// Guards against sending every request during an outage of a group, and its retry as well, only
/// for it to be rejected and refused: a rank crashes and all others reject at once. One rank's
/// rejection was not applied to the others.
#[googletest::test]
fn stalled_group_gets_only_probes() {
    let mut fleet = fleet(3);
    fleet.mark_stalled(NOW, "b0");
    let ms = |n| NOW + Duration::from_millis(n);

    let at_once = pick(&fleet, ms(100), &[]);
    let probe = pick(&fleet, ms(400), &[]).unwrap();
    fleet.record_sent(ms(400), &probe);
    let meanwhile = pick(&fleet, ms(500), &[]);
    fleet.record_success(ms(600), &probe);
    let after = pick(&fleet, ms(600), &[]);

    expect_that!(at_once, err(eq(&Unavailable::Stalled)));
    expect_that!(meanwhile, err(eq(&Unavailable::Stalled)));
    expect_true!(after.is_ok());
    expect_false!(fleet.is_stalled("s"));
}

/// A fleet whose backend servers are ranks of two groups: b0 and b1 of `a`, b2 and b3 of `b`.
fn two_groups() -> Fleet {
    let mut fleet = Fleet::new("elsewhere");
    for (n, group) in ["a", "a", "b", "b"].into_iter().enumerate() {
        let address = ([10, 0, 0, n as u8], 80).into();
        let mut server = Server::new(&format!("b{n}"), "s", address, "d", 4);
        server.join_group(group);
        fleet.upsert(server);
    }
    fleet
}

/// Guards against refusing all callers of a service although two thirds of its ranks are sound: a
/// rank of one group crashes and its group stalls. Stalls were tracked per service.
#[googletest::test]
fn stalled_group_does_not_affect_others() {
    let mut fleet = two_groups();

    fleet.mark_stalled(NOW, "b0");
    let other = pick(&fleet, NOW, &[]);
    let stalled = fleet.is_stalled("s");
    fleet.mark_stalled(NOW, "b2");

    expect_that!(other, ok(any![eq("b2"), eq("b3")]));
    expect_false!(stalled);
    expect_true!(fleet.is_stalled("s"));
    expect_that!(pick(&fleet, NOW, &[]), err(eq(&Unavailable::Stalled)));
}

/// Guards against callers waiting 1.5 s before a refusal after a rank terminated: requests still
/// went to the other ranks, which cannot work without it and report that only after this time. Only
/// their reports marked the group as stalled.
#[googletest::test]
fn group_is_stalled_once_one_of_its_ranks_terminates() {
    let mut fleet = two_groups();

    let changed = fleet.mark_terminated(NOW, "b0", 0);
    let other = pick(&fleet, NOW, &["b2".into(), "b3".into()]);

    expect_true!(changed);
    expect_that!(other, err(eq(&Unavailable::Stalled)));
    // The other group continues, and so does this one once a request succeeds there.
    expect_that!(pick(&fleet, NOW, &[]), ok(any![eq("b2"), eq("b3")]));
    fleet.record_success(NOW, "b1");
    expect_that!(pick(&fleet, NOW, &["b2".into(), "b3".into()]), ok(eq("b1")));
    // A later report changes nothing, nor does one about another start.
    expect_false!(fleet.mark_terminated(NOW, "b0", 0));
    expect_false!(fleet.mark_terminated(NOW, "b1", 7));
    expect_that!(pick(&fleet, NOW, &["b2".into(), "b3".into()]), ok(eq("b1")));
}

/// Guards against late streams at one group while another is half empty: a slow rank leaves the
/// first a third of its fill limit, but requests go to all ranks alike. Load was compared to the
/// slots instead of the fill limit.
#[googletest::test]
fn group_with_a_lower_fill_limit_gets_fewer_requests() {
    let mut fleet = two_groups();
    let limits = |unit: &str| if unit == "s/a" { 0.34 } else { 1.0 };
    let args = PickArgs {
        fill_limit: &limits,
        ..args(&[])
    };
    for _ in 0..8 {
        let id = fleet.pick(NOW, &args, || 0.0).unwrap().id.clone();
        fleet.record_sent(NOW, &id);
    }

    let in_flight = |id: &str| fleet.get(id).unwrap().in_flight();
    expect_that!(in_flight("b0") + in_flight("b1"), eq(2));
    expect_that!(in_flight("b2") + in_flight("b3"), eq(6));
}

fn set_slowdown(fleet: &mut Fleet, id: &str, slowdown: f64) {
    let mut server = fleet.get(id).unwrap().clone();
    server.slowdown = slowdown;
    fleet.upsert(server);
}

/// Guards against late streams throughout a group with some slow ranks: a fifth of the ranks slow
/// down and requests go to all alike. Gateways did not know the slowdown of ranks.
#[googletest::test]
fn slow_ranks_get_no_requests_while_most_are_sound() {
    let mut fleet = fleet(5);
    set_slowdown(&mut fleet, "b1", 2.5);
    set_slowdown(&mut fleet, "b3", 12.0);
    set_slowdown(&mut fleet, "b4", 1.25);
    let mut sent = Vec::new();
    while let Ok(id) = pick(&fleet, NOW, &[]) {
        fleet.record_sent(NOW, &id);
        sent.push(id);
    }

    set_slowdown(&mut fleet, "b1", 1.0);
    let sound_again = pick(&fleet, NOW, &[]);

    expect_that!(sent.len(), eq(12));
    expect_false!(sent.iter().any(|id| id == "b1" || id == "b3"));
    expect_that!(sound_again, ok(eq("b1")));
}

#[googletest::test]
fn all_ranks_are_used_when_most_are_slow() {
    let mut fleet = fleet(3);
    set_slowdown(&mut fleet, "b0", 2.0);
    set_slowdown(&mut fleet, "b1", 2.0);

    let mut sent = 0;
    while let Ok(id) = pick(&fleet, NOW, &[]) {
        fleet.record_sent(NOW, &id);
        sent += 1;
    }

    expect_that!(sent, eq(12));
}

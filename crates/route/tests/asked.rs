//! Backpressure from backend servers at one gateway, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::{Directives, Feedback, GatewaySet, Limit};
use bn_route::{Fleet, PickArgs, Server, Unavailable};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn fleet(servers: u8) -> Fleet {
    let mut fleet = Fleet::new("d0");
    for n in 0..servers {
        let address = ([10, 0, 0, n], 80).into();
        fleet.upsert(Server::new(&format!("b{n}"), "s", address, "d0", 4));
    }
    let own = ([10, 1, 0, 1], 80).into();
    let set = GatewaySet {
        own: Some(own),
        gateways: vec![own],
        ..GatewaySet::default()
    };
    fleet.set_gateways(NOW, set, || 0.0);
    fleet
}

fn pick(fleet: &Fleet, now: Duration) -> std::result::Result<String, Unavailable> {
    let args = PickArgs {
        service: "s",
        tried: &[],
        final_attempt: false,
        doubt_after: Duration::MAX,
        fill_limit: &|_| 1.0,
    };
    fleet.pick(now, &args, || 0.0).map(|s| s.id.clone())
}

fn respond(fleet: &mut Fleet, now: Duration, id: &str, directives: Directives) -> Option<Duration> {
    let feedback = Feedback {
        directives,
        sent_at: now,
        authentic: true,
    };
    fleet.record_answer(now, id, 0, &feedback, 0.0)
}

fn limit(rate: f64) -> Directives {
    Directives {
        limit: Some(rate),
        ..Directives::default()
    }
}

/// A limited backend server looks idle and would attract every request.
#[googletest::test]
fn limited_backend_server_is_skipped_until_it_is_due() {
    let mut fleet = fleet(2);
    respond(&mut fleet, NOW, "b0", limit(2.0));

    let mut to_limited = 0;
    for n in 0..100 {
        let now = NOW + Duration::from_millis(n * 40);
        let id = pick(&fleet, now).unwrap();
        fleet.record_sent(now, &id);
        fleet.record_end(&id, 0);
        to_limited += u32::from(id == "b0");
    }

    // Four seconds at two per second; the first at once.
    expect_that!(to_limited, all![ge(7), le(9)]);
}

/// Guards against holding callers until their deadline when every backend server is limited.
#[googletest::test]
fn next_send_time_is_known_when_all_are_limited() {
    let mut fleet = fleet(2);
    for (id, rate) in [("b0", 0.5), ("b1", 0.2)] {
        respond(&mut fleet, NOW, id, limit(rate));
        fleet.record_sent(NOW, id);
    }

    let next = NOW + Duration::from_secs(2);

    expect_that!(
        pick(&fleet, NOW),
        err(eq(&Unavailable::Throttled(Some(next))))
    );
    expect_that!(fleet.next_send_at("s"), some(eq(next)));
    expect_true!(fleet.is_throttled(NOW, "s"));
    expect_that!(pick(&fleet, next), ok(eq("b0")));
    expect_false!(fleet.is_throttled(next, "s"));
}

/// Guards against making callers wait although another gateway would serve them at once.
#[googletest::test]
fn no_send_time_when_only_other_gateways_send() {
    let mut fleet = fleet(1);
    respond(&mut fleet, NOW, "b0", limit(1.0));
    let others = GatewaySet {
        own: Some(([10, 1, 0, 1], 80).into()),
        gateways: vec![([10, 1, 0, 2], 80).into()],
        ..GatewaySet::default()
    };

    fleet.set_gateways(NOW, others, || 0.0);

    expect_that!(pick(&fleet, NOW), err(eq(&Unavailable::Throttled(None))));
    expect_true!(fleet.is_throttled(NOW, "s"));
    expect_that!(fleet.next_send_at("s"), none());
}

/// Guards against ignoring a limit that was named while a request waited for a connection.
#[googletest::test]
fn limit_received_while_a_request_waits_applies_to_it() {
    let mut fleet = fleet(1);
    let picked = fleet.get("b0").unwrap().clone();
    let free = fleet.may_send(NOW, &picked);

    respond(&mut fleet, NOW, "b0", limit(1.0));
    // The first of the waiting requests may be sent, the others may not.
    let waiting = [0, 0, 0].map(|_| fleet.may_send(NOW, &picked));

    expect_true!(free);
    expect_that!(waiting, eq([true, false, false]));
}

/// Guards against holding back a later start by the limit of the one before.
#[googletest::test]
fn limit_of_an_earlier_start_does_not_apply() {
    let mut fleet = fleet(1);
    respond(&mut fleet, NOW, "b0", limit(0.0));
    let earlier = fleet.get("b0").unwrap().clone();
    fleet.remove("b0");
    let mut next = Server::new("b0", "s", earlier.address, "d0", 4);
    next.start_time = 7;
    fleet.upsert(next);

    // An answer of the earlier start arrives late.
    let late = respond(&mut fleet, NOW, "b0", limit(0.0));

    expect_that!(late, none());
    expect_that!(pick(&fleet, NOW), ok(eq("b0")));
    expect_false!(fleet.may_send(NOW, &earlier));
}

/// Guards against limits that restarted coordinators never learn, or that are reported forever.
#[googletest::test]
fn limits_are_reported_until_coordinators_confirm_them() {
    let mut fleet = fleet(1);
    respond(&mut fleet, NOW, "b0", limit(1.0));
    let later = NOW + Duration::from_secs(2);

    let first = fleet.limits_to_report(NOW).len();
    let at_once = fleet.limits_to_report(NOW).len();
    let again = fleet.limits_to_report(later);
    let known = again[0].limit;
    fleet.merge_limit(later, "b0", known, 0.0);
    let confirmed = fleet.limits_to_report(later + Duration::from_secs(2)).len();
    fleet.merge_limit(later, "b0", Limit::default(), 0.0);
    let lost = fleet.limits_to_report(later + Duration::from_secs(4)).len();

    expect_that!(
        (first, at_once, again.len(), confirmed, lost),
        eq((1, 0, 1, 0, 1))
    );
    expect_that!(known.rate, some(eq(1.0)));
}

fn backoff(time: Duration) -> Directives {
    Directives {
        backoff: Some(time),
        ..Directives::default()
    }
}

/// A server that rejects everything has the lowest load and would attract every request.
#[googletest::test]
fn server_in_backoff_is_skipped_even_if_the_other_is_ejected() {
    let mut fleet = fleet(2);
    respond(&mut fleet, NOW, "b0", backoff(Duration::from_secs(3)));
    for _ in 0..3 {
        fleet.record_failure(NOW, "b1", false);
    }

    let during = pick(&fleet, NOW + Duration::from_secs(2));
    let after = pick(&fleet, NOW + Duration::from_secs(4));

    // The other one is ejected for its failures, and is tried nevertheless.
    expect_that!(during, ok(eq("b1")));
    expect_that!(after, ok(eq("b0")));
}

/// Guards against using a request whose route allows no second attempt to find out whether a
/// backoff is over: it would be refused although other backend servers would accept it.
#[googletest::test]
fn final_attempt_avoids_servers_after_a_backoff() {
    let mut fleet = fleet(3);
    for id in ["b0", "b1"] {
        respond(&mut fleet, NOW, id, backoff(Duration::from_secs(1)));
    }
    fleet.record_sent(NOW, "b2");
    let now = NOW + Duration::from_secs(2);
    let args = PickArgs {
        service: "s",
        tried: &[],
        final_attempt: true,
        doubt_after: Duration::MAX,
        fill_limit: &|_| 1.0,
    };

    let last = fleet.pick(now, &args, || 0.0).map(|s| s.id.clone());

    expect_that!(last, ok(eq("b2")));
    expect_that!(pick(&fleet, now), ok(eq("b0")));
}

/// Guards against requests to a leaving server before, or after a delayed, announcement.
#[googletest::test]
fn leaving_server_gets_no_more_requests() {
    let mut fleet = fleet(2);
    let picked = fleet.get("b0").unwrap().clone();
    let leaving = Directives {
        leaving: true,
        ..Directives::default()
    };

    respond(&mut fleet, NOW, "b0", leaving);
    // Neither its next answer nor an earlier announcement mentions it.
    respond(&mut fleet, NOW, "b0", Directives::default());
    fleet.upsert(Server::new("b0", "s", picked.address, "d0", 4));
    respond(&mut fleet, NOW, "b1", leaving);

    expect_that!(pick(&fleet, NOW), err(eq(&Unavailable::NoServers)));
    expect_false!(fleet.may_send(NOW, &picked));
}

/// Guards against sending nothing to the next start under the same id.
#[googletest::test]
fn leaving_does_not_apply_to_a_later_start() {
    let mut fleet = fleet(1);
    let leaving = Directives {
        leaving: true,
        ..Directives::default()
    };
    respond(&mut fleet, NOW, "b0", leaving);
    let mut next = fleet.get("b0").unwrap().clone();
    fleet.remove("b0");
    next = Server::new("b0", "s", next.address, "d0", 4);
    next.start_time = 7;

    fleet.upsert(next);

    expect_that!(pick(&fleet, NOW), ok(eq("b0")));
}

//! What backend servers ask for, at one gateway and without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::{Directives, Feedback, GatewaySet, Limit};
use bn_route::{Fleet, Lack, Server, Want};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn fleet(servers: u8) -> Fleet {
    let mut fleet = Fleet::new("d0");
    for n in 0..servers {
        let address = ([10, 0, 0, n], 80).into();
        fleet.put(Server::new(&format!("b{n}"), "s", address, "d0", 4));
    }
    let own = ([10, 1, 0, 1], 80).into();
    let share = GatewaySet {
        own: Some(own),
        gateways: vec![own],
    };
    fleet.follow_choice(NOW, share, || 0.0);
    fleet
}

fn pick(fleet: &Fleet, now: Duration) -> std::result::Result<String, Lack> {
    let want = Want {
        service: "s",
        tried: &[],
        last: false,
        room: &|_| 1.0,
    };
    fleet.pick(now, &want, || 0.0).map(|s| s.id.clone())
}

fn ask(fleet: &mut Fleet, now: Duration, id: &str, asked: Directives) -> Option<Duration> {
    let feedback = Feedback {
        directives: asked,
        sent_at: now,
        authentic: true,
    };
    fleet.asked(now, id, 0, &feedback, 0.0)
}

fn limit(rate: f64) -> Directives {
    Directives {
        limit: Some(rate),
        ..Directives::default()
    }
}

/// A limited backend server looks idle, and draws every request.
#[googletest::test]
fn a_limited_backend_server_is_passed_over_until_its_time() {
    let mut fleet = fleet(2);
    ask(&mut fleet, NOW, "b0", limit(2.0));

    let mut to_limited = 0;
    for n in 0..100 {
        let now = NOW + Duration::from_millis(n * 40);
        let id = pick(&fleet, now).unwrap();
        fleet.sent(now, &id);
        fleet.ended(&id, 0);
        to_limited += u32::from(id == "b0");
    }

    // Four seconds at two a second; the first at once.
    expect_that!(to_limited, all![ge(7), le(9)]);
}

/// Callers are held until their deadline, since all that could serve them have named a limit.
#[googletest::test]
fn where_all_are_limited_it_is_known_when_the_next_may_go() {
    let mut fleet = fleet(2);
    for (id, rate) in [("b0", 0.5), ("b1", 0.2)] {
        ask(&mut fleet, NOW, id, limit(rate));
        fleet.sent(NOW, id);
    }

    let next = NOW + Duration::from_secs(2);

    expect_that!(pick(&fleet, NOW), err(eq(&Lack::Held(Some(next)))));
    expect_that!(fleet.open_at("s"), some(eq(next)));
    expect_true!(fleet.is_held(NOW, "s"));
    expect_that!(pick(&fleet, next), ok(eq("b0")));
    expect_false!(fleet.is_held(next, "s"));
}

/// Callers wait, or are kept away for seconds, though another gateway would serve them at once.
#[googletest::test]
fn where_only_other_gateways_send_no_time_is_known() {
    let mut fleet = fleet(1);
    ask(&mut fleet, NOW, "b0", limit(1.0));
    let others = GatewaySet {
        own: Some(([10, 1, 0, 1], 80).into()),
        gateways: vec![([10, 1, 0, 2], 80).into()],
    };

    fleet.follow_choice(NOW, others, || 0.0);

    expect_that!(pick(&fleet, NOW), err(eq(&Lack::Held(None))));
    expect_true!(fleet.is_held(NOW, "s"));
    expect_that!(fleet.open_at("s"), none());
}

/// A request that waited for a connection goes to a backend server that has named a limit since.
#[googletest::test]
fn what_is_said_while_a_request_waits_counts_for_it() {
    let mut fleet = fleet(1);
    let picked = fleet.get("b0").unwrap().clone();
    let free = fleet.may_send(NOW, &picked);

    ask(&mut fleet, NOW, "b0", limit(1.0));
    // The first of those that waited may go, the others may not.
    let waiting = [0, 0, 0].map(|_| fleet.may_send(NOW, &picked));

    expect_true!(free);
    expect_that!(waiting, eq([true, false, false]));
}

/// A later start is held back by what the one before it asked for.
#[googletest::test]
fn a_later_start_is_free_of_what_the_one_before_asked() {
    let mut fleet = fleet(1);
    ask(&mut fleet, NOW, "b0", limit(0.0));
    let earlier = fleet.get("b0").unwrap().clone();
    fleet.remove("b0");
    let mut next = Server::new("b0", "s", earlier.address, "d0", 4);
    next.began = 7;
    fleet.put(next);

    // An answer of the earlier start comes late.
    let late = ask(&mut fleet, NOW, "b0", limit(0.0));

    expect_that!(late, none());
    expect_that!(pick(&fleet, NOW), ok(eq("b0")));
    expect_false!(fleet.may_send(NOW, &earlier));
}

/// Coordinators that started anew never learn of a limit; or they are told it for ever.
#[googletest::test]
fn limits_are_told_until_coordinators_say_them() {
    let mut fleet = fleet(1);
    ask(&mut fleet, NOW, "b0", limit(1.0));
    let later = NOW + Duration::from_secs(2);

    let first = fleet.limits_to_tell(NOW).len();
    let at_once = fleet.limits_to_tell(NOW).len();
    let again = fleet.limits_to_tell(later);
    let known = again[0].limit;
    fleet.learn_limit(later, "b0", known, 0.0);
    let told = fleet.limits_to_tell(later + Duration::from_secs(2)).len();
    fleet.learn_limit(later, "b0", Limit::default(), 0.0);
    let lost = fleet.limits_to_tell(later + Duration::from_secs(4)).len();

    expect_that!(
        (first, at_once, again.len(), told, lost),
        eq((1, 0, 1, 0, 1))
    );
    expect_that!(known.rate, some(eq(1.0)));
}

fn rest(time: Duration) -> Directives {
    Directives {
        backoff: Some(time),
        ..Directives::default()
    }
}

/// One that turns all away answers at once, has the least load, and draws every request.
#[googletest::test]
fn one_that_wants_rest_is_passed_over_whatever_else_is_known() {
    let mut fleet = fleet(2);
    ask(&mut fleet, NOW, "b0", rest(Duration::from_secs(3)));
    for _ in 0..3 {
        fleet.failed(NOW, "b1", false);
    }

    let during = pick(&fleet, NOW + Duration::from_secs(2));
    let after = pick(&fleet, NOW + Duration::from_secs(4));

    // The other one is out for its failures, and is tried all the same.
    expect_that!(during, ok(eq("b1")));
    expect_that!(after, ok(eq("b0")));
}

/// A request that its route allows no second try finds out whether a rest is over, and is refused beside
/// backend servers that would take it.
#[googletest::test]
fn who_may_go_nowhere_else_does_not_find_out() {
    let mut fleet = fleet(3);
    for id in ["b0", "b1"] {
        ask(&mut fleet, NOW, id, rest(Duration::from_secs(1)));
    }
    fleet.sent(NOW, "b2");
    let now = NOW + Duration::from_secs(2);
    let want = Want {
        service: "s",
        tried: &[],
        last: true,
        room: &|_| 1.0,
    };

    let last = fleet.pick(now, &want, || 0.0).map(|s| s.id.clone());

    expect_that!(last, ok(eq("b2")));
    expect_that!(pick(&fleet, now), ok(eq("b0")));
}

/// One that leaves gets requests until its departure is announced, or again after a late announcement.
#[googletest::test]
fn who_says_that_it_leaves_gets_nothing_more() {
    let mut fleet = fleet(2);
    let picked = fleet.get("b0").unwrap().clone();
    let leaving = Directives {
        leaving: true,
        ..Directives::default()
    };

    ask(&mut fleet, NOW, "b0", leaving);
    // Its next answer does not say it, and neither does an announcement from before.
    ask(&mut fleet, NOW, "b0", Directives::default());
    fleet.put(Server::new("b0", "s", picked.address, "d0", 4));
    ask(&mut fleet, NOW, "b1", leaving);

    expect_that!(pick(&fleet, NOW), err(eq(&Lack::Servers)));
    expect_false!(fleet.may_send(NOW, &picked));
}

/// The start that follows under the same id gets nothing.
#[googletest::test]
fn a_later_start_is_not_leaving() {
    let mut fleet = fleet(1);
    let leaving = Directives {
        leaving: true,
        ..Directives::default()
    };
    ask(&mut fleet, NOW, "b0", leaving);
    let mut next = fleet.get("b0").unwrap().clone();
    fleet.remove("b0");
    next = Server::new("b0", "s", next.address, "d0", 4);
    next.began = 7;

    fleet.put(next);

    expect_that!(pick(&fleet, NOW), ok(eq("b0")));
}

//! Limits over many gateways, without a network: late and lost responses, restarts, cuts, changes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod world;

use bn_backpressure::{Backpressure, GatewaySet, Limit, send_interval};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use world::{KNOWN_WITHIN, SPAN, World};

/// Number of gateways that callers are sent to: a small fleet, a large one, the largest planned.
const SIZES: [usize; 3] = [6, 24, 320];

fn seeds() -> u64 {
    let set = std::env::var("BN_SEEDS").ok().and_then(|s| s.parse().ok());
    set.unwrap_or(8)
}

fn set(own: usize, count: usize) -> GatewaySet {
    let gateways: Vec<SocketAddr> = (0..count).map(world::address).collect();
    GatewaySet {
        own: Some(gateways[own]),
        gateways,
        ..GatewaySet::default()
    }
}

/// Failure: gateways that each keep to their share of a limit exceed it together.
#[googletest::test]
fn no_span_holds_more_than_the_limit_allows() {
    for size in SIZES {
        for rate in [0.0, 0.3, 1.1, 4.0, 30.0] {
            for seed in 0..seeds() {
                let mut world = World::new(seed, size);

                world.set_limit(Some(rate));
                world.run(Duration::from_secs(20));

                let max = world.max_within(SPAN, KNOWN_WITHIN);
                let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
                expect_that!(
                    max as f64,
                    le(allowed),
                    "{size} gateways, {rate} a second, seed {seed}"
                );
            }
        }
    }
}

/// Failure: the limit is kept in each short span, but exceeded over a minute.
#[googletest::test]
fn over_a_minute_all_gateways_together_send_as_much_as_the_limit_allows() {
    for size in SIZES {
        for rate in [0.3, 1.1, 4.0, 30.0] {
            let mut world = World::new(1, size);
            world.set_limit(Some(rate));
            world.run(KNOWN_WITHIN);
            let before = world.arrived();

            world.run(Duration::from_secs(60));

            let sent = (world.arrived() - before) as f64;
            let senders = rate.ceil().max(3.0);
            expect_that!(sent, le(60.0 * rate + senders), "{size} gateways, {rate}");
            expect_that!(
                sent,
                ge(60.0 * rate * 0.7 - senders),
                "{size} gateways, {rate}"
            );
        }
    }
}

/// Failure: a limit is exceeded as gateways restart, are cut off or stop, and their list changes.
#[googletest::test]
fn a_limit_holds_while_gateways_join_and_leave() {
    for size in SIZES {
        for rate in [0.3, 1.1, 4.0] {
            for seed in 0..seeds() {
                let mut world = World::new(seed, size);
                world.set_limit(Some(rate));

                for _ in 0..15 {
                    world.disturb();
                    world.run(Duration::from_secs(2));
                }

                let max = world.max_within(SPAN, KNOWN_WITHIN);
                let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
                expect_that!(
                    max as f64,
                    le(allowed),
                    "{size} gateways, {rate} a second, seed {seed}"
                );
            }
        }
    }
}

/// Failure: a backend server is underused or overloaded long after it named another limit, since
/// only the few gateways that send there learn of it.
#[googletest::test]
fn a_limit_that_changes_or_ends_is_known_to_all() {
    for size in SIZES {
        for seed in 0..seeds() {
            let mut world = World::new(seed, size);
            world.set_limit(Some(4.0));
            world.run(Duration::from_secs(10));

            world.set_limit(Some(1.0));
            world.run(Duration::from_secs(4));
            let lowered = world.known_limits();
            world.set_limit(None);
            // Three gateways send once in three seconds each.
            world.run(Duration::from_secs(8));
            let lifted = world.known_limits();

            expect_that!(
                lowered,
                each(some(eq(&1.0))),
                "{size} gateways, seed {seed}"
            );
            expect_that!(lifted, each(none()), "{size} gateways, seed {seed}");
        }
    }
}

/// Failure: all gateways take a limit of zero as final: nobody sends a request any more.
#[googletest::test]
fn a_limit_of_zero_can_be_lifted() {
    let mut world = World::new(3, 24);
    world.set_limit(Some(0.0));
    world.run(Duration::from_secs(5));

    world.set_limit(None);
    world.run(Duration::from_secs(70));

    expect_that!(world.known_limits(), each(none()));
}

/// Failure: a limit outlasts its end, or is lifted too soon, since responses overtake each other.
#[googletest::test]
fn a_response_to_a_request_from_before_the_limit_does_not_lift_it() {
    let now = Duration::from_secs(10);
    let mut state = Backpressure::default();
    let respond = |state: &mut Backpressure, at: u64, sent: u64, limit: Option<f64>| {
        let feedback = world::feedback(Duration::from_secs(sent), limit);
        let id = "b".to_string();
        state.on_response(Duration::from_secs(at), &id, &feedback, &set(0, 3), 0.5);
        state.limit().rate
    };
    let first = respond(&mut state, 10, 9, Some(2.0));
    let late = respond(&mut state, 11, 9, None);
    let stricter = respond(&mut state, 12, 9, Some(1.0));
    let later = respond(&mut state, 14, 13, None);

    expect_that!(state.may_send(now), eq(true));
    expect_that!(
        [first, late, stricter, later],
        eq([Some(2.0), Some(2.0), Some(1.0), None])
    );
}

/// Failure: a backend server that names its limit in some responses gets the full load in between.
#[googletest::test]
fn a_limit_that_is_named_in_some_responses_holds() {
    let mut state = Backpressure::default();
    let id = "b".to_string();

    for n in 0..200u64 {
        let now = Duration::from_millis(n * 100);
        let limit = [Some(2.0), None, Some(9.0), None][n as usize % 4];
        state.on_response(now, &id, &world::feedback(now, limit), &set(0, 3), 0.5);
    }

    expect_that!(
        state.limit(),
        eq(Limit {
            rate: Some(2.0),
            version: 1
        })
    );
}

/// Failure: each response creates a new version of the limit, which is sent to all gateways.
#[googletest::test]
fn a_limit_that_fluctuates_stays_at_its_minimum() {
    let mut state = Backpressure::default();
    let id = "b".to_string();

    for n in 0..50u64 {
        let limit = 10.0 + (n % 3) as f64;
        let feedback = world::feedback(Duration::from_secs(n), Some(limit));
        state.on_response(Duration::from_secs(n), &id, &feedback, &set(0, 3), 0.5);
    }

    expect_that!(
        state.limit(),
        eq(Limit {
            rate: Some(10.0),
            version: 1
        })
    );
}

/// Failure: a response that another server sent in a backend server's place lifts its limit.
#[googletest::test]
fn a_response_that_is_not_authentic_lifts_no_limit() {
    let mut state = Backpressure::default();
    let id = "b".to_string();
    let mut foreign = world::feedback(Duration::from_secs(5), None);
    foreign.authentic = false;
    let named = world::feedback(Duration::ZERO, Some(1.0));

    state.on_response(Duration::from_secs(1), &id, &named, &set(0, 3), 0.5);
    state.on_response(Duration::from_secs(6), &id, &foreign, &set(0, 3), 0.5);

    expect_that!(state.limit().rate, some(eq(1.0)));
}

/// Failure: two gateways that receive different limits at once send them to each other for ever.
#[googletest::test]
fn limits_converge_in_any_order() {
    let limits = [(None, 2), (Some(1.0), 2), (Some(3.0), 2), (Some(9.0), 1)];
    let limits = limits.map(|(rate, version)| Limit { rate, version });

    for first in limits {
        for second in limits {
            expect_that!(first.merge(second), eq(second.merge(first)));
        }
    }
    let all = limits.into_iter().reduce(Limit::merge);
    expect_that!(all.and_then(|l| l.rate), some(eq(1.0)));
}

/// Failure: one gateway sends to all limited backend servers, and only its callers are served.
#[googletest::test]
fn each_backend_server_has_other_senders() {
    let mut counts = [0; 24];
    for server in 0..800 {
        let id = format!("b{server}");
        for (n, count) in counts.iter_mut().enumerate() {
            *count += usize::from(send_interval(1.0, &id, &set(n, 24)).is_some());
        }
    }

    // The mean is 800 x 3 / 24; the bounds are four standard deviations away.
    expect_that!(counts, each(all![ge(60), le(140)]));
    expect_that!(counts.iter().sum::<usize>(), eq(2_400));
}

/// Failure: a gateway that has no list of gateways, or is not on it, sends.
#[googletest::test]
fn a_gateway_that_is_not_on_the_list_sends_nothing() {
    let id = "b".to_string();
    let mut unlisted = set(0, 24);
    unlisted.gateways.remove(0);

    expect_that!(send_interval(30.0, &id, &unlisted), none());
    expect_that!(send_interval(30.0, &id, &GatewaySet::default()), none());
}

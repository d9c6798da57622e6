//! Backoffs that backend servers request of a gateway, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::{Backpressure, Directives, Feedback, GatewaySet};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A response to a request that was sent at `sent_at`.
fn feedback(sent_at: Duration, backoff: Option<Duration>) -> Feedback {
    let directives = Directives {
        backoff,
        ..Directives::default()
    };
    Feedback {
        directives,
        sent_at,
        authentic: true,
    }
}

fn respond(state: &mut Backpressure, now: Duration, feedback: &Feedback) {
    state.on_response(now, &"b".to_string(), feedback, &GatewaySet::default(), 0.5);
}

/// Failure: responses to requests sent before the backoff end it, or a shorter backoff cuts it
/// short.
#[googletest::test]
fn a_backoff_holds_whatever_other_responses_arrive() {
    let mut state = Backpressure::default();
    respond(&mut state, at(1_000), &feedback(at(900), Some(at(3_000))));

    respond(&mut state, at(1_100), &feedback(at(950), None));
    respond(&mut state, at(1_200), &feedback(at(960), Some(at(100))));
    respond(
        &mut state,
        at(1_300),
        &feedback(at(970), Some(Duration::ZERO)),
    );

    expect_false!(state.may_send(at(3_999)));
    expect_true!(state.may_send(at(4_301)));
}

/// Failure: all requests that waited for the end of a backoff are sent at once, and are turned away
/// again.
#[googletest::test]
fn after_a_backoff_one_request_probes() {
    let mut state = Backpressure::default();
    respond(&mut state, at(0), &feedback(at(0), Some(at(1_000))));

    state.on_sent(at(1_200));
    let second = state.may_send(at(1_300));
    let without_response = state.may_send(at(1_800));
    respond(&mut state, at(1_350), &feedback(at(1_200), None));
    let after = state.may_send(at(1_350));

    expect_false!(second);
    expect_true!(without_response);
    expect_true!(after);
    expect_false!(state.is_backing_off());
}

/// Failure: one wrong response takes a backend server out of service for ever.
#[googletest::test]
fn even_the_longest_backoff_ends() {
    let mut state = Backpressure::default();

    respond(&mut state, at(0), &feedback(at(0), Some(Duration::MAX)));

    expect_false!(state.may_send(Duration::from_secs(3_599)));
    expect_true!(state.may_send(Duration::from_secs(3_601)));
}

/// Failure: gateways that were turned away together return in the same instant.
#[googletest::test]
fn backoffs_of_several_gateways_end_apart() {
    let ends = [0.0, 0.3, 0.9].map(|draw| {
        let mut state = Backpressure::default();
        let busy = feedback(at(0), Some(at(3_000)));
        state.on_response(at(0), &"b".to_string(), &busy, &GatewaySet::default(), draw);
        state.next_send_at().unwrap()
    });

    expect_that!(ends, eq([at(3_000), at(3_090), at(3_270)]));
}

/// Failure: requests of a gateway reach a backend server within the backoff that it requested, in
/// whatever order responses arrive.
#[googletest::test]
fn at_most_two_arrive_within_a_backoff() {
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut state = Backpressure::default();
        let mut responses: Vec<(Duration, Feedback)> = Vec::new();
        let mut backoffs = Vec::new();
        let mut arrivals = Vec::new();
        let mut full = false;
        for step in 0..3_000u64 {
            let now = at(step * 10);
            if rng.random_bool(0.003) {
                full = !full;
            }
            let received: Vec<_> = responses.extract_if(.., |r| r.0 <= now).collect();
            for (_, response) in received {
                backoffs.extend(response.directives.backoff.map(|backoff| (now, backoff)));
                respond(&mut state, now, &response);
            }
            if state.may_send(now) {
                state.on_sent(now);
                // Up to 0.3 s in transit; a response within 20 ms, or 1.5 s if it is accepted.
                let arrives = now + at(rng.random_range(1..300));
                arrivals.push(arrives);
                let longest = if full { 20 } else { 1_500 };
                let responds = arrives + at(rng.random_range(1..longest));
                let backoff = at(rng.random_range(200..4_000));
                let response = feedback(now, full.then_some(backoff));
                responses.push((responds, response));
            }
        }
        for (received, backoff) in backoffs {
            let within = |t: &&Duration| **t > received + at(500) && **t < received + backoff;
            let count = arrivals.iter().filter(within).count();
            expect_that!(count, le(2), "seed {seed}, {backoff:?} at {received:?}");
        }
    }
}

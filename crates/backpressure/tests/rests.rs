//! Rest that backend servers ask of a gateway, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_backpressure::{Answer, Asked, Share, Terms};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An answer to a request that was sent then.
fn answer(sent: Duration, rest: Option<Duration>) -> Answer {
    let asked = Asked {
        rest,
        ..Asked::default()
    };
    let own = true;
    Answer { asked, sent, own }
}

fn hear(terms: &mut Terms, now: Duration, answer: &Answer) {
    terms.heard(now, &"b".to_string(), answer, &Share::default(), 0.5);
}

/// Answers that crossed the word end the rest, or a shorter word takes some of it back.
#[googletest::test]
fn a_rest_holds_whatever_other_answers_come() {
    let mut terms = Terms::default();
    hear(&mut terms, at(1_000), &answer(at(900), Some(at(3_000))));

    hear(&mut terms, at(1_100), &answer(at(950), None));
    hear(&mut terms, at(1_200), &answer(at(960), Some(at(100))));
    hear(
        &mut terms,
        at(1_300),
        &answer(at(970), Some(Duration::ZERO)),
    );

    expect_false!(terms.is_open(at(3_999)));
    expect_true!(terms.is_open(at(4_301)));
}

/// All that waited for the end of a rest come at once, and are turned away again.
#[googletest::test]
fn after_a_rest_one_request_finds_out() {
    let mut terms = Terms::default();
    hear(&mut terms, at(0), &answer(at(0), Some(at(1_000))));

    terms.sent(at(1_200));
    let next = terms.is_open(at(1_300));
    let without_answer = terms.is_open(at(1_800));
    hear(&mut terms, at(1_350), &answer(at(1_200), None));
    let after = terms.is_open(at(1_350));

    expect_false!(next);
    expect_true!(without_answer);
    expect_true!(after);
    expect_false!(terms.is_resting());
}

/// A slip of one answer takes a backend server out for ever.
#[googletest::test]
fn even_the_longest_rest_ends() {
    let mut terms = Terms::default();

    hear(&mut terms, at(0), &answer(at(0), Some(Duration::MAX)));

    expect_false!(terms.is_open(Duration::from_secs(3_599)));
    expect_true!(terms.is_open(Duration::from_secs(3_601)));
}

/// Gateways that were turned away together come back in the same instant.
#[googletest::test]
fn rests_of_several_gateways_end_apart() {
    let ends = [0.0, 0.3, 0.9].map(|draw| {
        let mut terms = Terms::default();
        let asked = answer(at(0), Some(at(3_000)));
        terms.heard(at(0), &"b".to_string(), &asked, &Share::default(), draw);
        terms.open_at().unwrap()
    });

    expect_that!(ends, eq([at(3_000), at(3_090), at(3_270)]));
}

/// Requests of a gateway reach a backend server within the rest that it had asked for, in whatever order
/// answers come.
#[googletest::test]
fn at_most_two_come_within_a_rest() {
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut terms = Terms::default();
        let mut answers: Vec<(Duration, Answer)> = Vec::new();
        let mut rested = Vec::new();
        let mut arrivals = Vec::new();
        let mut full = false;
        for step in 0..3_000u64 {
            let now = at(step * 10);
            if rng.random_bool(0.003) {
                full = !full;
            }
            let here: Vec<_> = answers.extract_if(.., |a| a.0 <= now).collect();
            for (_, said) in here {
                rested.extend(said.asked.rest.map(|rest| (now, rest)));
                hear(&mut terms, now, &said);
            }
            if terms.is_open(now) {
                terms.sent(now);
                // A way of up to 0.3 s, an answer of up to 0.2 s; streams answer late where taken.
                let arrives = now + at(rng.random_range(1..300));
                arrivals.push(arrives);
                let takes = if full { 20 } else { 1_500 };
                let back = arrives + at(rng.random_range(1..takes));
                let rest = at(rng.random_range(200..4_000));
                let said = answer(now, full.then_some(rest));
                answers.push((back, said));
            }
        }
        for (told, rest) in rested {
            let within = |t: &&Duration| **t > told + at(500) && **t < told + rest;
            let came = arrivals.iter().filter(within).count();
            expect_that!(came, le(2), "seed {seed}, rest of {rest:?} at {told:?}");
        }
    }
}

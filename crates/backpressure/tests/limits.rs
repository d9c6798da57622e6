//! Limits over many gateways, without a network: late and lost answers, restarts, cuts, words that change.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod world;

use bn_backpressure::{Limit, Share, Terms, gap};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use world::{KNOWN_WITHIN, SPAN, World};

/// Gateways that callers are sent to: a small fleet, a large one, the largest to come.
const SIZES: [usize; 3] = [6, 24, 320];

fn seeds() -> u64 {
    let set = std::env::var("BN_SEEDS").ok().and_then(|s| s.parse().ok());
    set.unwrap_or(8)
}

fn share(own: usize, count: usize) -> Share {
    let gateways: Vec<SocketAddr> = (0..count).map(world::address).collect();
    Share {
        own: Some(gateways[own]),
        gateways,
    }
}

/// A limit is broken by gateways that each keep to a part of it.
#[googletest::test]
fn no_span_holds_more_than_the_limit_allows() {
    for size in SIZES {
        for rate in [0.0, 0.3, 1.1, 4.0, 30.0] {
            for seed in 0..seeds() {
                let mut world = World::new(seed, size);

                world.name(Some(rate));
                world.run(Duration::from_secs(20));

                let most = world.most_within(SPAN, KNOWN_WITHIN);
                let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
                expect_that!(
                    most as f64,
                    le(allowed),
                    "{size} gateways, {rate} a second, seed {seed}"
                );
            }
        }
    }
}

/// Spans that each are in order add up to more than the limit.
#[googletest::test]
fn over_a_minute_all_gateways_together_send_as_much_as_the_limit_allows() {
    for size in SIZES {
        for rate in [0.3, 1.1, 4.0, 30.0] {
            let mut world = World::new(1, size);
            world.name(Some(rate));
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

/// The limit is broken while gateways restart, are cut off or stop, and the list of them changes.
#[googletest::test]
fn a_limit_holds_while_gateways_come_and_go() {
    for size in SIZES {
        for rate in [0.3, 1.1, 4.0] {
            for seed in 0..seeds() {
                let mut world = World::new(seed, size);
                world.name(Some(rate));

                for _ in 0..15 {
                    world.disturb();
                    world.run(Duration::from_secs(2));
                }

                let most = world.most_within(SPAN, KNOWN_WITHIN);
                let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
                expect_that!(
                    most as f64,
                    le(allowed),
                    "{size} gateways, {rate} a second, seed {seed}"
                );
            }
        }
    }
}

/// A backend server is spared, or used up, long after it named another limit: only those few that send
/// there hear of it.
#[googletest::test]
fn a_limit_that_changes_or_ends_is_known_to_all() {
    for size in SIZES {
        for seed in 0..seeds() {
            let mut world = World::new(seed, size);
            world.name(Some(4.0));
            world.run(Duration::from_secs(10));

            world.name(Some(1.0));
            world.run(Duration::from_secs(4));
            let lowered = world.known();
            world.name(None);
            // Three gateways send once in three seconds each.
            world.run(Duration::from_secs(8));
            let ended = world.known();

            expect_that!(
                lowered,
                each(some(eq(&1.0))),
                "{size} gateways, seed {seed}"
            );
            expect_that!(ended, each(none()), "{size} gateways, seed {seed}");
        }
    }
}

/// All gateways take a limit of zero for the last word: nobody asks any more.
#[googletest::test]
fn a_limit_of_zero_can_end() {
    let mut world = World::new(3, 24);
    world.name(Some(0.0));
    world.run(Duration::from_secs(5));

    world.name(None);
    world.run(Duration::from_secs(70));

    expect_that!(world.known(), each(none()));
}

/// A limit goes on after its end, or ends too soon, since answers overtake each other.
#[googletest::test]
fn an_answer_to_a_request_from_before_the_word_does_not_end_it() {
    let now = Duration::from_secs(10);
    let mut terms = Terms::default();
    let heard = |terms: &mut Terms, at: u64, sent: u64, limit: Option<f64>| {
        let answer = world::answer(Duration::from_secs(sent), limit);
        let id = "b".to_string();
        terms.heard(Duration::from_secs(at), &id, &answer, &share(0, 3), 0.5);
        terms.limit().rate
    };
    let first = heard(&mut terms, 10, 9, Some(2.0));
    let late = heard(&mut terms, 11, 9, None);
    let stricter = heard(&mut terms, 12, 9, Some(1.0));
    let later = heard(&mut terms, 14, 13, None);

    expect_that!(terms.is_open(now), eq(true));
    expect_that!(
        [first, late, stricter, later],
        eq([Some(2.0), Some(2.0), Some(1.0), None])
    );
}

/// A backend server that names its limit in some answers only is sent all that comes between them.
#[googletest::test]
fn a_limit_that_is_named_in_some_answers_holds() {
    let mut terms = Terms::default();
    let id = "b".to_string();

    for n in 0..200u64 {
        let now = Duration::from_millis(n * 100);
        let limit = [Some(2.0), None, Some(9.0), None][n as usize % 4];
        terms.heard(now, &id, &world::answer(now, limit), &share(0, 3), 0.5);
    }

    expect_that!(
        terms.limit(),
        eq(Limit {
            rate: Some(2.0),
            turn: 1
        })
    );
}

/// Each answer makes a new word, which all gateways are told.
#[googletest::test]
fn a_limit_that_wavers_stays_at_its_least() {
    let mut terms = Terms::default();
    let id = "b".to_string();

    for n in 0..50u64 {
        let limit = 10.0 + (n % 3) as f64;
        let answer = world::answer(Duration::from_secs(n), Some(limit));
        terms.heard(Duration::from_secs(n), &id, &answer, &share(0, 3), 0.5);
    }

    expect_that!(
        terms.limit(),
        eq(Limit {
            rate: Some(10.0),
            turn: 1
        })
    );
}

/// What others answered in a backend server's place ends its limit.
#[googletest::test]
fn an_answer_without_a_mark_ends_no_limit() {
    let mut terms = Terms::default();
    let id = "b".to_string();
    let mut foreign = world::answer(Duration::from_secs(5), None);
    foreign.own = false;
    let named = world::answer(Duration::ZERO, Some(1.0));

    terms.heard(Duration::from_secs(1), &id, &named, &share(0, 3), 0.5);
    terms.heard(Duration::from_secs(6), &id, &foreign, &share(0, 3), 0.5);

    expect_that!(terms.limit().rate, some(eq(1.0)));
}

/// Two gateways that hear different words at once tell each other for ever.
#[googletest::test]
fn words_come_to_the_same_in_any_order() {
    let words = [(None, 2), (Some(1.0), 2), (Some(3.0), 2), (Some(9.0), 1)];
    let words = words.map(|(rate, turn)| Limit { rate, turn });

    for first in words {
        for second in words {
            expect_that!(first.or(second), eq(second.or(first)));
        }
    }
    let all = words.into_iter().reduce(Limit::or);
    expect_that!(all.and_then(|l| l.rate), some(eq(1.0)));
}

/// One gateway sends to all limited backend servers, and its callers alone are served there.
#[googletest::test]
fn each_backend_server_has_other_senders() {
    let mut parts = [0; 24];
    for server in 0..800 {
        let id = format!("b{server}");
        for (n, part) in parts.iter_mut().enumerate() {
            *part += usize::from(gap(1.0, &id, &share(n, 24)).is_some());
        }
    }

    // 800 x 3 / 24, and four times the deviation of chance.
    expect_that!(parts, each(all![ge(60), le(140)]));
    expect_that!(parts.iter().sum::<usize>(), eq(2_400));
}

/// A gateway that callers are not sent to knows of no list, or is on none, sends.
#[googletest::test]
fn who_is_not_on_the_list_sends_nothing() {
    let id = "b".to_string();
    let mut gone = share(0, 24);
    gone.gateways.remove(0);

    expect_that!(gap(30.0, &id, &gone), none());
    expect_that!(gap(30.0, &id, &Share::default()), none());
}

//! The decisions under bursts, at many gateways that see each other's load late, compared with the
//! rule for services of one priority.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod model;

use googletest::prelude::*;
use model::{Count, Model, Rule};

const SEEDS: u64 = 4;

fn mean(rule: Rule, gateways: usize) -> [Count; 3] {
    let mut sum = [Count::default(); 3];
    for seed in 0..SEEDS {
        for (sum, count) in sum.iter_mut().zip(Model::run(rule, gateways, seed)) {
            sum.arrived += count.arrived;
            sum.in_time += count.in_time;
            sum.late += count.late;
            sum.refused += count.refused;
            for (sum, count) in sum.accounts.iter_mut().zip(count.accounts) {
                *sum = (sum.0 + count.0, sum.1 + count.1);
            }
        }
    }
    for (kind, count) in sum.iter().enumerate() {
        let percent = |part| 100.0 * count.share(part);
        println!(
            "{gateways:>3} gateways {rule:<9} priority {kind}: in time {:5.1} % late {:5.1} % refused {:5.1} %",
            percent(count.in_time),
            percent(count.late),
            percent(count.refused),
            rule = format!("{rule:?}"),
        );
    }
    sum
}

fn served(counts: &[Count; 3]) -> f64 {
    counts.iter().map(|c| c.in_time + c.late).sum()
}

fn arrived(counts: &[Count; 3]) -> f64 {
    counts.iter().map(|c| c.arrived).sum()
}

/// Guards against urgent requests that are late or refused in bursts of less urgent ones, less
/// urgent ones that are starved, and fewer requests served than without ranks.
#[gtest]
fn urgent_requests_are_served_first_in_bursts() {
    for gateways in [6, 24, 40] {
        let present = mean(Rule::Present, gateways);
        // Without the view of all gateways, with it, and with one that is no longer updated.
        for rule in [Rule::Local, Rule::Shared, Rule::Outdated] {
            let counts = mean(rule, gateways);
            let [urgent, middle, least] = counts;
            expect_that!(urgent.share(urgent.in_time), ge(0.95));
            for other in [middle, least] {
                expect_that!(urgent.share(urgent.refused), le(other.share(other.refused)));
                expect_that!(
                    urgent.share(urgent.late),
                    le(other.share(other.late) + 0.01)
                );
            }
            let relative = served(&counts) / arrived(&counts);
            expect_that!(relative, ge(served(&present) / arrived(&present) - 0.005));
            for kind in counts {
                let own = kind.share(kind.in_time + kind.late);
                expect_that!(own, ge(relative / 4.0));
            }
        }
    }
}

/// Largest difference of the shares served of an account at one gateway and of one at all.
const ACCOUNT_TOLERANCE: f64 = 0.12;

/// Guards against an account that gets more or less for the number of gateways that it reaches.
#[gtest]
fn an_account_at_one_gateway_is_served_as_one_at_all_gateways() {
    for gateways in [6, 40] {
        let difference = |rule| {
            let [_, _, least] = mean(rule, gateways);
            let [one, all] = least.accounts.map(|(arrived, served)| served / arrived);
            println!("{gateways:>3} gateways {rule:?}: served of one {one:.3}, of all {all:.3}");
            one - all
        };
        difference(Rule::Local);
        expect_that!(difference(Rule::Shared).abs(), le(ACCOUNT_TOLERANCE));
    }
}

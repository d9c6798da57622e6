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

#[gtest]
fn urgent_requests_are_served_first_in_bursts() {
    for gateways in [6, 24, 40] {
        let present = mean(Rule::Present, gateways);
        let local = mean(Rule::Local, gateways);
        let [urgent, middle, least] = local;
        expect_that!(urgent.share(urgent.in_time), ge(0.95));
        for other in [middle, least] {
            expect_that!(urgent.share(urgent.refused), le(other.share(other.refused)));
            expect_that!(
                urgent.share(urgent.late),
                le(other.share(other.late) + 0.01)
            );
        }
        let relative = served(&local) / arrived(&local);
        expect_that!(relative, ge(served(&present) / arrived(&present) - 0.005));
        for kind in local {
            let own = kind.share(kind.in_time + kind.late);
            expect_that!(own, ge(relative / 4.0));
        }
    }
}

//! The retry budget, and who came back, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{Allowance, Patience, Retries};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn allowance() -> Allowance {
    Allowance {
        ratio: 0.2,
        slack: 60,
        window: Duration::from_secs(10),
    }
}

/// Symptom: a failing service gets more second tries than all gateways together may send.
/// Sequence: six gateways spend at once, one of them has just restarted. Cause: each
/// spent the whole slack.
#[googletest::test]
fn gateways_together_stay_inside_the_budget() {
    let (gateways, requests) = (6u32, 30u32);
    let mut spent = 0;
    for _ in 0..=gateways {
        let mut retries = Retries::default();
        for _ in 0..requests {
            retries.request(NOW, &allowance());
        }
        let tries = (0..200).filter(|_| retries.spend(NOW, &allowance(), gateways));
        spent += tries.count();
    }

    let all = 0.2 * f64::from(requests * gateways) + 60.0;
    expect_that!(spent as f64, le(all));
    expect_that!(spent, gt(30));
}

#[googletest::test]
fn the_budget_comes_back_with_time() {
    let mut retries = Retries::default();
    while retries.spend(NOW, &allowance(), 1) {}

    let at_once = retries.spend(NOW, &allowance(), 1);
    let later = retries.spend(NOW + Duration::from_secs(11), &allowance(), 1);

    expect_that!((at_once, later), eq((false, true)));
}

/// Symptom: nearly all streams are late though few were refused. Sequence: a route's timeout
/// is longer than its callers wait, or they wait for 6.8 to 8 s; most are taken to have come
/// back, and wait in line until they are late. Cause: the timeout, or a narrow margin.
#[googletest::test]
fn callers_that_wait_alike_have_not_come_back() {
    let mut patience = Patience::default();
    let mut ask = |s: u64, wait: u64| {
        patience.came_back(Duration::from_secs(s), "r", Duration::from_millis(wait))
    };

    let first = [ask(0, 8_000), ask(1, 6_850), ask(2, 7_990)];
    let again = [ask(3, 6_600), ask(12, 6_600), ask(15, 3_000)];
    // Later callers wait for less.
    let others = [ask(40, 5_000), ask(41, 5_000)];

    expect_that!(first, eq([false; 3]));
    expect_that!(again, eq([true; 3]));
    expect_that!(others, eq([false; 2]));
}

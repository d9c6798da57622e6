//! The retry budget and retry detection, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{RetryAllowance, RetryBudget, RetryDetector};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn allowance() -> RetryAllowance {
    RetryAllowance {
        ratio: 0.2,
        slack: 60,
        window: Duration::from_secs(10),
    }
}

/// Guards against more retries of a failing service than all gateways together may send, when each
/// of six gateways, one of them just restarted, spends the whole slack.
#[googletest::test]
fn gateways_together_stay_within_the_budget() {
    let (gateways, requests) = (6u32, 30u32);
    let mut spent = 0;
    for _ in 0..=gateways {
        let mut budget = RetryBudget::default();
        for _ in 0..requests {
            budget.record_request(NOW, &allowance());
        }
        let tries = (0..200).filter(|_| budget.try_withdraw(NOW, &allowance(), gateways));
        spent += tries.count();
    }

    let all = 0.2 * f64::from(requests * gateways) + 60.0;
    expect_that!(spent as f64, le(all));
    expect_that!(spent, gt(30));
}

#[googletest::test]
fn budget_recovers_over_time() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw(NOW, &allowance(), 1) {}

    let at_once = budget.try_withdraw(NOW, &allowance(), 1);
    let later = budget.try_withdraw(NOW + Duration::from_secs(11), &allowance(), 1);

    expect_that!((at_once, later), eq((false, true)));
}

/// Guards against nearly all streams being late though few were refused: when a route's timeout is
/// longer than its callers wait, or they wait for 6.8 to 8 s, most would be taken for retries by
/// that timeout or by a narrow margin, and queue until they are late.
#[googletest::test]
fn callers_with_similar_waits_are_first_attempts() {
    let mut detector = RetryDetector::default();
    let mut is_retry = |s: u64, wait: u64| {
        detector.is_retry(Duration::from_secs(s), "r", Duration::from_millis(wait))
    };

    let first_attempts = [is_retry(0, 8_000), is_retry(1, 6_850), is_retry(2, 7_990)];
    let retries = [is_retry(3, 6_600), is_retry(12, 6_600), is_retry(15, 3_000)];
    // Later callers wait less.
    let others = [is_retry(40, 5_000), is_retry(41, 5_000)];

    expect_that!(first_attempts, eq([false; 3]));
    expect_that!(retries, eq([true; 3]));
    expect_that!(others, eq([false; 2]));
}

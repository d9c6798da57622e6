//! Demand as gateways report it and coordinators add it up.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_admission::{
    Admission, Demand, DemandSum, LevelDemand, MAX_DEMAND_AGE, Rank, ReceivedDemand,
    ServiceCapacity,
};
use bn_wire::messages as wire;
use googletest::prelude::*;
use std::time::Duration;

const CAPACITY: ServiceCapacity = ServiceCapacity {
    slots: 720.0,
    gateways: 40,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn level(priority: u32, rate: f64, waiting: u32) -> Demand {
    let mut demand = Demand {
        gateways: 1,
        ..Demand::default()
    };
    let level = LevelDemand { rate, waiting };
    demand.levels.insert(("s".into(), priority), level);
    demand
}

fn service_demand(priority: u32, rate: f32) -> wire::ServiceDemand {
    wire::ServiceDemand {
        service: "s".into(),
        priority,
        rate,
        waiting: 1,
    }
}

fn usage(account: usize, rate: f32) -> wire::AccountUsage {
    wire::AccountUsage {
        service: "s".into(),
        priority: 0,
        account: account.to_string(),
        rate,
    }
}

// One value that is not finite would make every sum, reserve and limit so.
#[gtest]
fn values_that_are_negative_or_not_finite_are_dropped_and_counted() {
    let invalid = [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0];
    let raw = wire::Demand {
        services: [2.5, invalid[0], invalid[1], invalid[2], invalid[3]]
            .into_iter()
            .enumerate()
            .map(|(n, rate)| service_demand(n as u32, rate))
            .collect(),
        accounts: invalid
            .iter()
            .enumerate()
            .map(|(n, r)| usage(n, *r))
            .collect(),
        gateways: 1,
    };

    let received = ReceivedDemand::from(raw);

    expect_that!(received.invalid, eq(8));
    expect_that!(received.demand.levels.len(), eq(1));
    expect_that!(received.demand.accounts, is_empty());
}

/// Guards against control messages that grow with the number of accounts.
#[gtest]
fn a_report_lists_no_more_than_eight_accounts() {
    let raw = wire::Demand {
        accounts: (0..30).map(|n| usage(n, n as f32)).collect(),
        ..wire::Demand::default()
    };
    expect_that!(ReceivedDemand::from(raw).demand.accounts.len(), eq(8));
    let mut demand = Demand::default();
    for n in 0..30_u32 {
        let key = ("s".into(), 0, n.to_string());
        demand.accounts.insert(key, f64::from(n));
    }
    demand.truncate_accounts();
    expect_that!(
        demand.accounts.values().copied().fold(f64::MAX, f64::min),
        eq(22.0)
    );
}

/// Guards against figures that are lost or assigned to another key on their way through a message.
#[gtest]
fn a_demand_is_the_same_after_its_message() {
    let mut demand = level(2, 7.5, 3);
    demand.accounts.insert(("s".into(), 2, "a".into()), 1_250.0);
    let received = ReceivedDemand::from(wire::Demand::from(&demand));
    expect_that!(received, eq(&ReceivedDemand { demand, invalid: 0 }));
}

/// Guards against the demand of a gateway that is gone being counted for good.
#[gtest]
fn gateways_that_stopped_reporting_leave_the_sum() {
    let mut sum = DemandSum::default();
    sum.record(ms(0), 1, level(0, 10.0, 2));
    sum.record(ms(1_000), 2, level(0, 4.0, 1));

    let both = sum.sum(ms(1_500));
    let one = sum.sum(MAX_DEMAND_AGE + ms(500));
    let none = sum.sum(MAX_DEMAND_AGE + ms(1_000));

    let key = ("s".to_string(), 0);
    expect_that!(
        both.levels[&key],
        eq(LevelDemand {
            rate: 14.0,
            waiting: 3
        })
    );
    expect_that!(one.levels[&key].rate, eq(4.0));
    expect_that!((both.gateways, one.gateways, none.gateways), eq((2, 1, 0)));
    expect_true!(none.levels.is_empty());
}

/// Guards against accounts that leave the sum with every second poll, which omits them.
#[gtest]
fn accounts_are_kept_between_reports_that_omit_them() {
    let mut sum = DemandSum::default();
    let mut with_accounts = level(0, 1.0, 0);
    with_accounts
        .accounts
        .insert(("s".into(), 0, "a".into()), 100.0);
    sum.record(ms(0), 1, with_accounts);
    sum.record(ms(800), 1, level(0, 1.0, 0));
    expect_that!(sum.sum(ms(900)).accounts.len(), eq(1));
    sum.record(ms(1_900), 1, level(0, 1.0, 0));
    expect_that!(sum.sum(MAX_DEMAND_AGE).accounts, is_empty());
}

/// Guards against a reserve that is too small since a coordinator that has just started knows few
/// gateways, or since its sum is old.
#[gtest]
fn the_rate_is_scaled_up_and_falls_back_to_local_figures() {
    let mut admission = Admission::default();
    for n in 0..10 {
        admission.record_arrival(ms(n * 500), 0);
    }
    let now = ms(4_999);
    expect_that!(admission.rate(now, 1, CAPACITY), near(2.0 * 40.0, 0.01));
    let sum = Demand {
        gateways: 10,
        ..level(0, 25.0, 0)
    };

    admission.view.update(now, "s", &sum, |_, _| 0.0);

    expect_that!(admission.rate(now, 1, CAPACITY), near(100.0, 0.01));
    expect_true!(admission.view.is_fresh(now));
    let narrower = Demand {
        gateways: 1,
        ..level(0, 0.1, 0)
    };
    admission
        .view
        .update(now + ms(100), "s", &narrower, |_, _| 0.0);
    expect_that!(admission.rate(now, 1, CAPACITY), near(100.0, 0.01));
    let old = now + MAX_DEMAND_AGE;
    expect_false!(admission.view.is_fresh(old));
    expect_that!(
        admission.rate(old, 1, CAPACITY),
        near(admission.local_rate(old, 1) * 40.0, 0.01)
    );
}

/// Guards against an account that gets more than its share because only its work at one gateway
/// counts.
#[gtest]
fn an_account_with_more_work_goes_later_and_leaves_a_margin_while_others_wait() {
    let mut admission = Admission::default();
    let waiting = ["a".to_string(), "b".to_string()];
    admission.record_work(ms(0), 2, "a", 3_000.0, &waiting);
    admission.record_work(ms(0), 2, "b", 1_000.0, &waiting);
    let order = |admission: &Admission, account| admission.account_order(ms(10), 2, account);
    expect_that!(order(&admission, "a"), gt(order(&admission, "b")));
    // Nothing is known of other gateways.
    expect_that!(admission.account_margin(ms(10), 2, "a", true), eq(0.0));
    let nothing = level(2, 1.0, 0);
    admission.view.update(ms(10), "s", &nothing, |_, _| 0.0);
    expect_that!(admission.account_margin(ms(10), 2, "a", true), gt(0.0));
    expect_that!(admission.account_margin(ms(10), 2, "b", true), eq(0.0));
    expect_that!(admission.account_margin(ms(10), 2, "a", false), eq(0.0));

    // By the work at all gateways, b is ahead.
    let mut sum = level(2, 1.0, 1);
    sum.accounts.insert(("s".into(), 2, "b".into()), 5_000.0);
    admission.view.update(ms(10), "s", &sum, |_, _| 0.0);

    expect_that!(order(&admission, "b"), gt(order(&admission, "a")));
    let reserve = admission.reserve(
        ms(10),
        Rank {
            priority: 2,
            late: false,
        },
        CAPACITY,
    );
    expect_that!(reserve, eq(0.0));
}

/// Guards against messages that list the accounts of a burst for half a minute after it.
#[gtest]
fn work_is_not_reported_for_long_after_a_burst() {
    let mut admission = Admission::default();
    let waiting = ["b".to_string()];
    admission.record_work(ms(0), 2, "a", 3_000.0, &waiting);
    expect_that!(admission.usage.rates(ms(7_000)).count(), eq(1));
    expect_that!(admission.usage.rates(ms(8_000)).count(), eq(0));
    admission.usage.evict_idle(ms(8_000));
    expect_that!(admission.usage.rate(ms(8_000), 2, "a"), eq(0.0));
}

/// Guards against an account with most of the demand that waits behind all others for good.
#[gtest]
fn an_account_that_was_passed_over_often_has_its_turn() {
    let mut admission = Admission::default();
    for n in 0..10 {
        admission.usage.record_arrival(ms(n), 2, "large");
        admission.usage.record_arrival(ms(n), 2, "small");
    }
    let waiting = ["large".to_string(), "small".to_string()];
    admission.record_work(ms(10), 2, "large", 9_000.0, &waiting);
    for _ in 0..6 {
        expect_that!(admission.account_order(ms(20), 2, "large"), gt(0.0));
        admission.record_work(ms(20), 2, "small", 10.0, &waiting);
    }
    expect_that!(admission.account_order(ms(20), 2, "large"), lt(0.0));
    admission.record_work(ms(30), 2, "large", 10.0, &waiting);
    expect_that!(admission.account_order(ms(30), 2, "large"), gt(0.0));
}

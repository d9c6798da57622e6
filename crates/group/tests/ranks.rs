//! The gate before one rank's engine: which orders pass, and what it reports.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::{Order, OrderKind, OrderRefusal, RankGate};
use googletest::prelude::*;

const ME: u64 = 7;

/// A rank that knows fencing number 3.
fn rank() -> RankGate {
    let mut rank = RankGate::new(ME);
    rank.observe_fence(3);
    rank
}

fn grant(fence: u64, incarnation: u64) -> Order {
    let kind = OrderKind::Grant {
        version: 1,
        from: 0,
        until: 900,
        map: "0".into(),
    };
    Order {
        fence,
        incarnation,
        kind,
    }
}

/// Fencing number and start that an order is for, and what becomes of it.
const ORDERS: [(u64, u64, std::result::Result<(), OrderRefusal>); 5] = [
    (3, ME, Ok(())),
    (4, ME, Ok(())),
    (2, ME, Err(OrderRefusal::StaleFence)),
    (3, ME - 1, Err(OrderRefusal::OtherIncarnation)),
    (4, ME - 1, Err(OrderRefusal::OtherIncarnation)),
];

/// Symptom: an engine that ignores fencing numbers obeys a deposed leader. Sequence: an
/// order is late, or meant for the agent as it was before its restart. Cause: the
/// agent passes it on.
#[gtest]
fn only_orders_of_the_latest_leader_to_this_start_pass() {
    for (fence, incarnation, outcome) in ORDERS {
        let mut rank = rank();

        let got = rank.admit(&grant(fence, incarnation));

        expect_that!(got, eq(outcome), "fence {fence}, start {incarnation}");
        let granted = if outcome.is_ok() { 900 } else { 0 };
        expect_that!(rank.report().granted, eq(granted));
    }
}

/// Symptom and cause as above. Sequence: the agent restarts and hears an old leader
/// before its first lease.
#[gtest]
fn before_its_first_lease_an_agent_passes_no_order_on() {
    let mut rank = RankGate::new(ME);

    expect_that!(rank.admit(&grant(9, ME)), err(eq(OrderRefusal::StaleFence)));
}

/// Symptom: a switch is committed within steps that a rank already runs. Sequence: an
/// agent restarts; its engine goes on with what it was granted. Cause: the agent
/// reports that nothing is granted.
#[gtest]
fn a_restarted_agent_reports_what_its_engine_was_granted() {
    let mut rank = rank();

    rank.on_announcement(100, 900, 1, 1);
    expect_that!(rank.report().granted, eq(900));

    // An announcement that was made before the next order must not take it back.
    rank.admit(&Order {
        kind: OrderKind::Grant {
            version: 1,
            from: 0,
            until: 1200,
            map: "0".into(),
        },
        ..grant(3, ME)
    })
    .unwrap();
    rank.on_announcement(150, 900, 1, 1);
    expect_that!(rank.report().granted, eq(1200));
}

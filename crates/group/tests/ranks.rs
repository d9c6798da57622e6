//! Tests of the gate in front of a rank's engine: which orders it admits, and what it reports.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::{Order, OrderKind, OrderRefusal, RankGate};
use googletest::prelude::*;

const INCARNATION: u64 = 7;

/// A rank that has observed fencing token 3.
fn rank() -> RankGate {
    let mut rank = RankGate::new(INCARNATION);
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

/// Fencing token of an order, the incarnation that it is addressed to, and the expected result.
const ORDERS: [(u64, u64, std::result::Result<(), OrderRefusal>); 5] = [
    (3, INCARNATION, Ok(())),
    (4, INCARNATION, Ok(())),
    (2, INCARNATION, Err(OrderRefusal::StaleFence)),
    (3, INCARNATION - 1, Err(OrderRefusal::OtherIncarnation)),
    (4, INCARNATION - 1, Err(OrderRefusal::OtherIncarnation)),
];

/// Guards against an engine that ignores fencing tokens and follows a deposed leader, because the
/// agent passes on an order that is late or addressed to an earlier incarnation of the agent.
#[gtest]
fn only_orders_of_the_latest_leader_to_this_incarnation_pass() {
    for (fence, incarnation, outcome) in ORDERS {
        let mut rank = rank();

        let got = rank.admit(&grant(fence, incarnation));

        expect_that!(got, eq(outcome), "fence {fence}, incarnation {incarnation}");
        let granted = if outcome.is_ok() { 900 } else { 0 };
        expect_that!(rank.report().granted, eq(granted));
    }
}

/// Guards against the same failure when a restarted agent receives an order of an old leader before
/// its first lease.
#[gtest]
fn an_agent_passes_on_no_order_before_its_first_lease() {
    let mut rank = RankGate::new(INCARNATION);

    expect_that!(
        rank.admit(&grant(9, INCARNATION)),
        err(eq(OrderRefusal::StaleFence))
    );
}

/// Guards against a switch committed at a step that a rank is already running: an agent restarts
/// while its engine continues with its granted steps, and reports that nothing is granted.
#[gtest]
fn a_restarted_agent_reports_what_its_engine_was_granted() {
    let mut rank = rank();

    rank.on_announcement(100, 900, 1, 1);
    expect_that!(rank.report().granted, eq(900));

    // An announcement that was made before the next order must not revert it.
    rank.admit(&Order {
        kind: OrderKind::Grant {
            version: 1,
            from: 0,
            until: 1200,
            map: "0".into(),
        },
        ..grant(3, INCARNATION)
    })
    .unwrap();
    rank.on_announcement(150, 900, 1, 1);
    expect_that!(rank.report().granted, eq(1200));
}

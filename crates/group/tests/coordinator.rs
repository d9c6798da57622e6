//! Tests of the coordinator's rules one by one, in sequences that random schedules rarely produce
//! or that two rules cover together.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::{Action, CommittedState, Coordinator, Order, OrderKind, RankId, RankReport, Step};
use googletest::prelude::*;
use std::time::Duration;

/// Number of steps that ranks may run ahead of the slowest one.
const WINDOW: Step = 600;

/// State of two ranks on version 1, with the steps below `reserved` reserved.
fn steady(reserved: Step) -> CommittedState {
    CommittedState {
        version: 1,
        first_step: 0,
        map: "1".into(),
        pending: None,
        reserved_until: reserved,
        ranks: 2,
    }
}

/// The same, with version 2 pending.
fn with_pending(reserved: Step) -> CommittedState {
    CommittedState {
        pending: Some((2, "2".into())),
        ..steady(reserved)
    }
}

/// Guards against a switch that blocks all later ones because the coordinator waits forever for a
/// rank that died before the commit.
#[gtest]
fn a_rank_that_dies_before_the_commit_cancels_the_switch() {
    let committed = with_pending(10_000);
    let mut leader = Coordinator::new(1, WINDOW, committed);
    let report = |prepared| RankReport {
        fence: 1,
        prepared,
        version: 1,
        ..Default::default()
    };
    let at = Duration::from_millis;
    leader.on_report(at(0), 0, report(1));
    leader.on_report(at(0), 1, report(1));
    leader.on_report(at(1000), 0, report(2));
    expect_that!(leader.tick(at(2000)), is_empty());

    leader.on_report(at(3500), 0, report(2));
    let actions = leader.tick(at(3600));

    expect_that!(actions.len(), eq(1));
    expect_true!(matches!(actions[0], Action::Cancel { .. }));
}

/// Guards against a step that runs on two maps: a rank misses every grant of the current version,
/// prepares the next one in time and gets its first grant. It must not count as ready, since it
/// does not know the first step of the current version.
#[gtest]
fn a_rank_that_missed_the_last_switch_is_not_ready_for_the_next() {
    let committed = CommittedState {
        version: 2,
        first_step: 500,
        map: "2".into(),
        pending: Some((3, "3".into())),
        ..steady(10_000)
    };
    let mut leader = Coordinator::new(1, WINDOW, committed);
    let report = |version| RankReport {
        fence: 1,
        prepared: 3,
        version,
        granted: 900,
        ..Default::default()
    };
    let commits = |actions: Vec<Action>| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Commit { .. }))
            .count()
    };
    let now = Duration::from_millis(10);
    // The first tick only notices the pending map.
    leader.tick(now);
    let early = [
        leader.on_report(now, 0, report(2)),
        leader.on_report(now, 1, report(1)),
    ];
    let ready = leader.on_report(now, 1, report(2));

    expect_that!(early.map(commits), eq([0, 0]));
    expect_that!(commits(ready), eq(1));
}

/// Guards against a group that stalls for another second after its last rank has reported, because
/// only that rank is sent a grant.
#[gtest]
fn grants_reach_all_ranks_once_the_last_one_reports() {
    let committed = steady(10_000);
    let mut leader = Coordinator::new(1, WINDOW, committed);
    let report = RankReport {
        fence: 1,
        ..Default::default()
    };
    let now = Duration::from_millis(10);

    let first = leader.on_report(now, 0, report.clone());
    let last = leader.on_report(now, 1, report);

    expect_that!(first, is_empty());
    let recipients: Vec<RankId> = last
        .iter()
        .filter_map(|a| match a {
            Action::Send(rank, _) => Some(*rank),
            _ => None,
        })
        .collect();
    expect_that!(recipients, eq(&vec![0, 1]));
}

/// Guards against a step that runs on two maps: a rank runs ahead of the others and dies with its
/// agent, and a new leader that does not know of its steps commits a switch below them. What live
/// ranks report as granted is not enough.
#[gtest]
fn a_switch_starts_past_all_steps_that_any_leader_may_have_granted() {
    let committed = with_pending(1200);
    let mut leader = Coordinator::new(4, WINDOW, committed);
    let report = RankReport {
        fence: 4,
        version: 1,
        prepared: 2,
        granted: 600,
        ..Default::default()
    };
    let now = Duration::from_millis(10);
    leader.tick(now);
    leader.on_report(now, 0, report.clone());

    let actions = leader.on_report(now, 1, report);

    let first_step = actions.iter().find_map(|a| match a {
        Action::Commit { from, .. } => Some(*from),
        _ => None,
    });
    expect_that!(first_step, some(eq(1200)));
}

/// Returns a leader with fencing token 4 and a pending switch to version 2, after rank 0 has
/// reported that it is ready and rank 1 has sent `report`, and the actions that follow from that
/// report.
fn report_second_rank(report: RankReport) -> (Coordinator, Vec<Action>) {
    let committed = with_pending(1200);
    let mut leader = Coordinator::new(4, WINDOW, committed);
    let now = Duration::from_millis(10);
    let ready = RankReport {
        fence: 4,
        version: 1,
        prepared: 2,
        ..Default::default()
    };
    leader.tick(now);
    leader.on_report(now, 0, ready);
    let actions = leader.on_report(now, 1, report);
    (leader, actions)
}

/// Guards against a rank that accepts a late grant of an old leader after the commit: it prepared
/// under the old leader, and counted as ready without having had contact with the new one.
#[gtest]
fn a_rank_that_follows_an_older_leader_is_not_ready() {
    let outdated = RankReport {
        fence: 3,
        version: 1,
        prepared: 2,
        ..Default::default()
    };

    let (_, actions) = report_second_rank(outdated);

    expect_false!(actions.iter().any(|a| matches!(a, Action::Commit { .. })));
}

/// Guards against steps past the switch that run on the old map: while the commit is being written
/// to the log, the slowest rank advances and grants continue past it.
#[gtest]
fn no_step_past_a_proposed_commit_is_granted() {
    let ready = RankReport {
        fence: 4,
        version: 1,
        prepared: 2,
        ..Default::default()
    };
    let (mut leader, _) = report_second_rank(ready.clone());
    let extended = with_pending(9000);
    leader.update_committed(extended);
    let ahead = RankReport {
        next: 1100,
        granted: 1200,
        ..ready
    };
    leader.on_report(Duration::from_millis(20), 0, ahead.clone());

    let actions = leader.on_report(Duration::from_millis(20), 1, ahead);

    let until = actions.iter().find_map(|a| match a {
        Action::Send(
            _,
            Order {
                kind: OrderKind::Grant { until, .. },
                ..
            },
        ) => Some(*until),
        _ => None,
    });
    expect_that!(until, some(eq(1200)));
}

//! The coordinator's rules one by one, in sequences that random schedules hardly meet or
//! that two rules guard together.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::{Action, CommittedState, Coordinator, Order, OrderKind, RankId, RankReport, Step};
use googletest::prelude::*;
use std::time::Duration;

/// Steps that ranks may run ahead of the slowest.
const WINDOW: Step = 600;

/// Two ranks on version 1, with steps reserved below `reserved`.
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

/// The same, with version 2 wanted.
fn wanting(reserved: Step) -> CommittedState {
    CommittedState {
        pending: Some((2, "2".into())),
        ..steady(reserved)
    }
}

/// Symptom: a switch hangs, and with it every later one. Sequence: a rank dies before
/// the commit. Cause: the coordinator waits for it for ever.
#[gtest]
fn a_rank_that_dies_before_the_commit_cancels_the_switch() {
    let settled = wanting(10_000);
    let mut leader = Coordinator::new(1, WINDOW, settled);
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

/// Symptom: a step runs on two maps. Sequence: a rank misses every grant of the version
/// in force, prepares the next in time and gets its first grant. Cause: it counts as
/// ready though it does not know where the version in force began.
#[gtest]
fn a_rank_that_missed_the_last_switch_is_not_ready_for_the_next() {
    let settled = CommittedState {
        version: 2,
        first_step: 500,
        map: "2".into(),
        pending: Some((3, "3".into())),
        ..steady(10_000)
    };
    let mut leader = Coordinator::new(1, WINDOW, settled);
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
    // The first look only notices that a map is wanted.
    leader.tick(now);
    let early = [
        leader.on_report(now, 0, report(2)),
        leader.on_report(now, 1, report(1)),
    ];
    let ready = leader.on_report(now, 1, report(2));

    expect_that!(early.map(commits), eq([0, 0]));
    expect_that!(commits(ready), eq(1));
}

/// Symptom: a group stands still for another second after its last rank came. Sequence:
/// all ranks but one report; the last one reports. Cause: only that one is answered.
#[gtest]
fn the_last_rank_to_report_sets_all_of_them_going() {
    let settled = steady(10_000);
    let mut leader = Coordinator::new(1, WINDOW, settled);
    let report = RankReport {
        fence: 1,
        ..Default::default()
    };
    let now = Duration::from_millis(10);

    let first = leader.on_report(now, 0, report.clone());
    let last = leader.on_report(now, 1, report);

    expect_that!(first, is_empty());
    let told: Vec<RankId> = last
        .iter()
        .filter_map(|a| match a {
            Action::Send(rank, _) => Some(*rank),
            _ => None,
        })
        .collect();
    expect_that!(told, eq(&vec![0, 1]));
}

/// Symptom: a step runs on two maps. Sequence: a rank runs ahead of the others and dies
/// with its agent; a new leader, which knows of none of its steps, commits a switch
/// below them. Cause: only what living ranks report counts as granted.
#[gtest]
fn a_switch_starts_past_what_any_leader_may_have_granted() {
    let settled = wanting(1200);
    let mut leader = Coordinator::new(4, WINDOW, settled);
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

    let from = actions.iter().find_map(|a| match a {
        Action::Commit { from, .. } => Some(*from),
        _ => None,
    });
    expect_that!(from, some(eq(1200)));
}

/// A leader of fencing number 4 whose switch to version 2 both ranks have prepared, but
/// for rank 1, which reports as given; and what the leader does then.
fn with_second_rank(report: RankReport) -> (Coordinator, Vec<Action>) {
    let settled = wanting(1200);
    let mut leader = Coordinator::new(4, WINDOW, settled);
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

/// Symptom: a rank takes a late grant of an old leader after the switch was fixed.
/// Sequence: it prepared under the old leader. Cause: it counts as ready though it never
/// heard of the new one.
#[gtest]
fn a_rank_that_follows_an_older_leader_is_not_ready() {
    let old = RankReport {
        fence: 3,
        version: 1,
        prepared: 2,
        ..Default::default()
    };

    let (_, actions) = with_second_rank(old);

    expect_false!(actions.iter().any(|a| matches!(a, Action::Commit { .. })));
}

/// Symptom: steps past the switch run on the old map. Sequence: the commit is on its way
/// into the log, the slowest rank moves on. Cause: grants go on past it meanwhile.
#[gtest]
fn no_step_past_a_proposed_commit_is_granted() {
    let ready = RankReport {
        fence: 4,
        version: 1,
        prepared: 2,
        ..Default::default()
    };
    let (mut leader, _) = with_second_rank(ready.clone());
    let reserved = wanting(9000);
    leader.update_committed(reserved);
    let far = RankReport {
        next: 1100,
        granted: 1200,
        ..ready
    };
    leader.on_report(Duration::from_millis(20), 0, far.clone());

    let actions = leader.on_report(Duration::from_millis(20), 1, far);

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

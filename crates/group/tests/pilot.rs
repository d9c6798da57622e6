//! Map switches under random schedules: no pass runs on two maps, whatever orders are lost or late,
//! ranks and leaders die, or old leaders still believe they lead; and no group stays held.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod engines;

use bn_group::switch_controller::{Command, Reply};
use engines::{Faults, GroupModel};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Schedules in one run; `BN_SCHEDULES` overrides the number, `BN_FIRST` sets the first seed.
const SCHEDULES: u64 = 400;
const RANKS: usize = 4;

/// Seeds that failed once. 3555: a rank whose delayed report did not yet show what it was armed
/// with was not disarmed by the next leader, which had found the hold immediately.
const REGRESSION_SEEDS: [u64; 1] = [3_555];

fn schedules() -> impl Iterator<Item = u64> {
    let from_env = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let first = from_env("BN_FIRST").unwrap_or(0);
    let last = first + from_env("BN_SCHEDULES").unwrap_or(SCHEDULES);
    REGRESSION_SEEDS.into_iter().chain(first..last)
}

fn without_faults(seed: u64) -> GroupModel {
    GroupModel::new(seed, RANKS, Faults::default())
}

#[googletest::test]
fn a_group_without_faults_is_switched_repeatedly() {
    let mut group = without_faults(1);

    group.run(Duration::from_secs(20));

    expect_that!(group.mixed_pass, none());
    expect_that!(group.switches, ge(5));
    expect_that!(group.held_time, lt(Duration::from_millis(300)));
}

/// Guards against streams that are late for more than a second after each change of demand: demand
/// changes every two seconds, while the leader idles, reads the counts of some ranks and waits
/// until delayed reports show copies and passes, since its polls do not go through the relays
/// beside the engines.
#[googletest::test]
fn fresh_reports_lead_to_faster_switches() {
    let faults = Faults {
        fresh_rate: 1.0,
        ..Faults::default()
    };
    let (mut fresh_total, mut delayed_total) = (Duration::ZERO, Duration::ZERO);

    // The ratio varies randomly from 0.6 to 0.8 for one schedule; for twelve it is 0.70.
    for seed in 1..=12 {
        let (mut fresh, mut delayed) = (GroupModel::new(seed, RANKS, faults), without_faults(seed));
        fresh.run(Duration::from_secs(20));
        delayed.run(Duration::from_secs(20));
        assert_that!(fresh.mixed_pass, none(), "seed {seed}");
        fresh_total += fresh.outdated_time;
        delayed_total += delayed.outdated_time;
    }

    expect_that!(fresh_total, lt(delayed_total.mul_f64(0.75)));
}

/// Guards against ranks that use different maps in one pass: orders go unanswered and are carried
/// out 2 to 12 s later, ranks crash, and leaders die or freeze and resume alongside their
/// successors. A late order, or one of another leader, must not take effect on one rank alone.
#[googletest::test]
fn no_pass_runs_on_two_maps() {
    for seed in schedules() {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = Faults {
            loss_rate: f64::from(rng.random_range(0..50u32)) / 100.0,
            late_rate: f64::from(rng.random_range(0..60u32)) / 100.0,
            fresh_rate: [0.0, 0.5, 0.95, 1.0][rng.random_range(0..4usize)],
        };
        let mut group = GroupModel::new(seed, RANKS, faults);
        for _ in 0..rng.random_range(3..14u32) {
            group.run(Duration::from_millis(rng.random_range(50..3_000)));
            match rng.random_range(0..6u32) {
                0 => group.elect(),
                1 => group.freeze_leader(),
                2 => group.thaw_leaders(),
                3 => group.crash(rng.random_range(0..RANKS)),
                _ => {}
            }
        }

        assert_that!(group.mixed_pass, none(), "seed {seed}, {faults:?}");
    }
}

/// Guards against a group that runs no pass although all its ranks are healthy: a leader holds the
/// group for a switch and dies. A hold never expires, so the leader that takes over has to find it.
#[googletest::test]
fn a_hold_of_a_dead_leader_is_released_by_the_next() {
    for seed in 0..50 {
        let mut group = without_faults(seed);
        group.run_until(|g| g.last_order() == Some("hold"), Duration::from_secs(20));
        group.freeze_leader();
        group.elect();

        group.run(Duration::from_secs(6));
        let before = group.pass();
        group.run(Duration::from_secs(2));

        assert_that!(group.pass(), gt(before), "seed {seed}");
        assert_that!(group.mixed_pass, none(), "seed {seed}");
    }
}

/// Guards against a re-formed group that is never rebalanced, or whose leader repeats orders
/// forever: a rank crashes during arming and restarts under another id, and the leader waits for an
/// answer from the old one.
#[googletest::test]
fn a_group_recovers_from_a_crash_during_arming() {
    for seed in 0..50 {
        let mut group = without_faults(seed);
        group.run_until(|g| g.last_order() == Some("arm"), Duration::from_secs(20));
        group.crash(2);

        group.run(Duration::from_secs(30));
        let before = group.switches;
        group.run(Duration::from_secs(10));

        assert_that!(group.switches, gt(before), "seed {seed}");
        assert_that!(group.mixed_pass, none(), "seed {seed}");
    }
}

#[googletest::test]
fn a_fenced_leader_sends_no_go() {
    let mut group = without_faults(3);
    group.run_until(|g| g.last_order() == Some("hold"), Duration::from_secs(20));

    group.fence_all();
    group.run(Duration::from_secs(5));

    expect_that!(
        group.count(|c| matches!(c, Command::Go(_)), &Reply::Done),
        eq(0)
    );
}

/// Guards against a rank that switches alone: an order goes unanswered, its retry is answered, and
/// the lost order is carried out afterwards. If both carry the same token, the rank cannot tell the
/// lost order from a new one.
#[googletest::test]
fn every_order_carries_a_higher_token() {
    let faults = Faults {
        loss_rate: 0.3,
        late_rate: 0.3,
        fresh_rate: 0.5,
    };
    let mut group = GroupModel::new(5, RANKS, faults);

    group.run(Duration::from_secs(40));

    let tokens = group.tokens();
    expect_that!(tokens.len(), gt(50));
    expect_true!(tokens.is_sorted_by(|a, b| a < b));
}

/// Guards against ranks that are disarmed while their pass is starting: a leader that took over
/// reads an old report of a hold that has just been released, and rolls back the switch without
/// making sure that the group is still held.
#[googletest::test]
fn a_found_hold_is_renewed_before_the_switch_is_rolled_back() {
    let mut group = without_faults(7);
    group.run_until(|g| g.last_order() == Some("arm"), Duration::from_secs(20));
    group.freeze_leader();
    group.elect();

    group.run_until(|g| g.ordered("disarm 1048577"), Duration::from_secs(20));

    let renewed = group.position_last("hold").unwrap();
    let rolled_back = group.position_first("disarm 1048577").unwrap();
    expect_that!(renewed, lt(rolled_back));
    expect_that!(
        group.count(|c| matches!(c, Command::Hold(_)), &Reply::Done),
        eq(2)
    );
}

/// Guards against passes that run on an outdated map for a second after a change of leader: a
/// leader dies, demand changes, and the next leader fences the ranks and waits until old reports
/// must have been superseded, although all reports are fresh.
#[googletest::test]
fn a_new_leader_with_fresh_reports_switches_soon() {
    let time_to_switch = |fresh_rate: f64| {
        let faults = Faults {
            fresh_rate,
            ..Faults::default()
        };
        let mut group = GroupModel::new(1, RANKS, faults);
        group.freeze_leader();
        group.run(Duration::from_secs(3));
        let before = group.now();
        group.elect();
        group.run_until(|g| g.switches > 0, Duration::from_secs(20));
        assert_that!(group.mixed_pass, none());
        group.now() - before
    };

    // Copying takes 0.3 s, a switch two passes of 0.09 s each, the wait for old reports 0.7 s.
    expect_that!(time_to_switch(1.0), lt(Duration::from_millis(1_000)));
    expect_that!(time_to_switch(0.0), gt(Duration::from_millis(1_000)));
}

/// Guards against gateways that send requests to slow ranks, or none to recovered ones, because
/// changes are not reported, or every small one is: one rank becomes slow and recovers, another is
/// slower by a tenth.
#[googletest::test]
fn slowdowns_are_reported_when_they_change_by_a_step() {
    let mut group = without_faults(4);
    group.slowdowns[3] = 110;
    group.run(Duration::from_secs(5));
    let initial = group.slowdown_updates.len();

    group.slowdowns[1] = 250;
    group.run(Duration::from_secs(5));
    group.slowdowns[1] = 100;
    group.run(Duration::from_secs(5));

    let changes = [("e1-0".to_string(), 250), ("e1-0".to_string(), 0)];
    // At first all are reported, since an earlier leader may have reported other values.
    expect_that!(initial, eq(RANKS));
    expect_that!(
        group.slowdown_updates[..initial]
            .iter()
            .map(|t| t.1)
            .sum::<u32>(),
        eq(0)
    );
    expect_that!(&group.slowdown_updates[initial..], eq(&changes));
}

/// Guards against a group that stays held by a dead leader's hold for a second longer than
/// necessary: the next leader polls all ranks, the answer of one relay is lost, and that rank's
/// report is delayed. One old report among fresh ones made it wait until all had to be new.
#[googletest::test]
fn a_hold_is_released_soon_although_a_first_report_was_delayed() {
    let mut stalled_time = Duration::ZERO;
    for seed in 0..40 {
        let faults = Faults {
            fresh_rate: 0.8,
            ..Faults::default()
        };
        let mut group = GroupModel::new(seed, RANKS, faults);
        group.run_until(|g| g.last_order() == Some("hold"), Duration::from_secs(20));
        group.freeze_leader();
        group.run(Duration::from_secs(1));
        let (start, before) = (group.now(), group.pass());
        group.elect();
        group.run_until(|g| g.pass() > before, Duration::from_secs(6));
        stalled_time += group.now() - start;
        assert_that!(group.mixed_pass, none(), "seed {seed}");
    }

    // The mean of 40 was 0.9 s when a single old report was enough to wait.
    expect_that!(stalled_time / 40, lt(Duration::from_millis(450)));
}

/// Guards against passes that run on the initial map, which fits no demand, for a second after a
/// group re-formed: a rank terminates and returns, its group opens, and the leader polls for that
/// only at intervals, backing off as if another leader were active.
#[googletest::test]
fn a_group_that_re_forms_gets_its_map_soon() {
    let mut switch_time = Duration::ZERO;
    for seed in 0..40 {
        let faults = Faults {
            fresh_rate: 1.0,
            ..Faults::default()
        };
        let mut group = GroupModel::new(seed, RANKS, faults);
        group.run(Duration::from_millis(5_000 + 37 * seed));
        group.crash(2);
        group.run_until(|g| !g.is_open(), Duration::from_secs(1));
        group.run_until(GroupModel::is_open, Duration::from_secs(5));
        let (start, before) = (group.now(), group.switches);
        group.run_until(|g| g.switches > before, Duration::from_secs(5));
        switch_time += group.now() - start;
        assert_that!(group.mixed_pass, none(), "seed {seed}");
    }

    // Copying takes 0.3 s of it, and the switch two passes of 0.09 s each. The time before that is
    // the interval between two polls of a healthy group.
    expect_that!(switch_time / 40, lt(Duration::from_millis(900)));
}

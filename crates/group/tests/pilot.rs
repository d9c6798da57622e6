//! Switching maps under random schedules: no pass runs on two maps, whatever is lost,
//! carried out late, dead, or still believes it leads; and no group stays held.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod engines;

use bn_group::switch_controller::{Command, Reply};
use engines::{Trouble, World};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Schedules in one run; more by hand with `BN_SCHEDULES`, from seed `BN_FIRST` on.
const SCHEDULES: u64 = 400;
const RANKS: usize = 4;

/// Seeds that failed once. 3555: a rank whose report from afar did not show yet what it was
/// armed with was not disarmed by the next leader, which had found the hold at once.
const FAILED_ONCE: [u64; 1] = [3_555];

fn schedules() -> impl Iterator<Item = u64> {
    let named = |name| std::env::var(name).ok().and_then(|n| n.parse().ok());
    let first = named("BN_FIRST").unwrap_or(0);
    let last = first + named("BN_SCHEDULES").unwrap_or(SCHEDULES);
    FAILED_ONCE.into_iter().chain(first..last)
}

fn calm(seed: u64) -> World {
    World::new(seed, RANKS, Trouble::default())
}

#[googletest::test]
fn a_calm_group_is_switched_again_and_again() {
    let mut world = calm(1);

    world.run(Duration::from_secs(20));

    expect_that!(world.mixed, none());
    expect_that!(world.switches, ge(5));
    expect_that!(world.held_for, lt(Duration::from_millis(300)));
}

/// Symptom: streams are late for more than a second whenever other experts are in demand.
/// Sequence: demand moves every two seconds; the leader rests, reads counts of some ranks,
/// waits until reports, which are old, show copies and passes. Cause: it asked from afar.
#[googletest::test]
fn looks_from_beside_the_engines_switch_sooner() {
    let beside = Trouble {
        beside: 1.0,
        ..Trouble::default()
    };
    let (mut near_for, mut far_for) = (Duration::ZERO, Duration::ZERO);

    // Of one schedule the ratio is 0.6 to 0.8, by chance; of twelve 0.70.
    for seed in 1..=12 {
        let (mut near, mut far) = (World::new(seed, RANKS, beside), calm(seed));
        near.run(Duration::from_secs(20));
        far.run(Duration::from_secs(20));
        assert_that!(near.mixed, none(), "seed {seed}");
        near_for += near.uneven_for;
        far_for += far.uneven_for;
    }

    expect_that!(near_for, lt(far_for.mul_f64(0.75)));
}

/// Symptom: two ranks of one pass use different maps. Sequence: orders go unanswered and
/// are carried out 2 to 12 s later; ranks crash; leaders die, freeze and wake beside
/// their successors. Cause: a late or foreign order took effect on one rank alone.
#[googletest::test]
fn no_pass_runs_on_two_maps() {
    for seed in schedules() {
        let mut rng = SmallRng::seed_from_u64(seed);
        let trouble = Trouble {
            lost: f64::from(rng.random_range(0..50u32)) / 100.0,
            late: f64::from(rng.random_range(0..60u32)) / 100.0,
            beside: [0.0, 0.5, 0.95, 1.0][rng.random_range(0..4usize)],
        };
        let mut world = World::new(seed, RANKS, trouble);
        for _ in 0..rng.random_range(3..14u32) {
            world.run(Duration::from_millis(rng.random_range(50..3_000)));
            match rng.random_range(0..6u32) {
                0 => world.elect(),
                1 => world.freeze_leader(),
                2 => world.thaw_leaders(),
                3 => world.crash(rng.random_range(0..RANKS)),
                _ => {}
            }
        }

        assert_that!(world.mixed, none(), "seed {seed}, {trouble:?}");
    }
}

/// Symptom: a group makes no pass although all its ranks are well. Sequence: a leader
/// holds the group for a switch and dies; another takes over. Cause: a hold never ends by
/// itself, so the next leader has to find it.
#[googletest::test]
fn a_hold_left_behind_is_ended_by_the_next_leader() {
    for seed in 0..50 {
        let mut world = calm(seed);
        world.run_until(|w| w.last_order() == Some("hold"), Duration::from_secs(20));
        world.freeze_leader();
        world.elect();

        world.run(Duration::from_secs(6));
        let before = world.pass();
        world.run(Duration::from_secs(2));

        assert_that!(world.pass(), gt(before), "seed {seed}");
        assert_that!(world.mixed, none(), "seed {seed}");
    }
}

/// Symptom: a group that formed anew is never balanced again, or its leader repeats
/// orders for ever. Sequence: a rank crashes while the ranks are being armed and comes
/// back under another id. Cause: the leader waited for the answer of the old one.
#[googletest::test]
fn a_crash_in_the_middle_of_arming_is_got_over() {
    for seed in 0..50 {
        let mut world = calm(seed);
        world.run_until(|w| w.last_order() == Some("arm"), Duration::from_secs(20));
        world.crash(2);

        world.run(Duration::from_secs(30));
        let before = world.switches;
        world.run(Duration::from_secs(10));

        assert_that!(world.switches, gt(before), "seed {seed}");
        assert_that!(world.mixed, none(), "seed {seed}");
    }
}

#[googletest::test]
fn a_fenced_leader_gives_no_go() {
    let mut world = calm(3);
    world.run_until(|w| w.last_order() == Some("hold"), Duration::from_secs(20));

    world.fence_all();
    world.run(Duration::from_secs(5));

    expect_that!(
        world.count(|c| matches!(c, Command::Go(_)), &Reply::Done),
        eq(0)
    );
}

/// Symptom: one rank switches alone. Sequence: an order goes unanswered, is repeated and
/// answered, and the lost one is carried out afterwards. Cause: both bore the same token,
/// so that the rank could not tell the lost one from a new one.
#[googletest::test]
fn every_order_bears_a_higher_token() {
    let trouble = Trouble {
        lost: 0.3,
        late: 0.3,
        beside: 0.5,
    };
    let mut world = World::new(5, RANKS, trouble);

    world.run(Duration::from_secs(40));

    let tokens = world.tokens();
    expect_that!(tokens.len(), gt(50));
    expect_true!(tokens.is_sorted_by(|a, b| a < b));
}

/// Symptom: ranks are disarmed while their pass begins. Sequence: a leader that took over
/// reads an old report of a hold that has just been lifted. Cause: it undid the switch
/// without making sure that the group still stands.
#[googletest::test]
fn a_hold_that_was_found_is_renewed_before_anything_is_undone() {
    let mut world = calm(7);
    world.run_until(|w| w.last_order() == Some("arm"), Duration::from_secs(20));
    world.freeze_leader();
    world.elect();

    world.run_until(|w| w.ordered("disarm 1048577"), Duration::from_secs(20));

    let renewed = world.position_last("hold").unwrap();
    let undone = world.position_first("disarm 1048577").unwrap();
    expect_that!(renewed, lt(undone));
    expect_that!(
        world.count(|c| matches!(c, Command::Hold(_)), &Reply::Done),
        eq(2)
    );
}

/// Symptom: for a second after a change of leader every pass runs on a map that fits no demand any
/// more. Sequence: a leader dies, demand moves, the next one fences the ranks and waits until old
/// reports must have passed. Cause: it waited, though all reports were fresh.
#[googletest::test]
fn a_new_leader_that_sees_fresh_reports_switches_soon() {
    let time_to_switch = |beside: f64| {
        let trouble = Trouble {
            beside,
            ..Trouble::default()
        };
        let mut world = World::new(1, RANKS, trouble);
        world.freeze_leader();
        world.run(Duration::from_secs(3));
        let before = world.now();
        world.elect();
        world.run_until(|w| w.switches > 0, Duration::from_secs(20));
        assert_that!(world.mixed, none());
        world.now() - before
    };

    // Copies take 0.3 s, a switch two passes of 0.09 s, the wait for old reports 0.7 s.
    expect_that!(time_to_switch(1.0), lt(Duration::from_millis(1_000)));
    expect_that!(time_to_switch(0.0), gt(Duration::from_millis(1_000)));
}

/// Symptom: gateways send requests to slow ranks, or none to ranks that are sound again. Sequence: a
/// rank turns slow and sound again; another is slower by a tenth. Cause: nobody told them, or every
/// small change was told.
#[googletest::test]
fn paces_are_told_where_they_change_by_a_step() {
    let mut world = calm(4);
    world.paces[3] = 110;
    world.run(Duration::from_secs(5));
    let calm = world.told.len();

    world.paces[1] = 250;
    world.run(Duration::from_secs(5));
    world.paces[1] = 100;
    world.run(Duration::from_secs(5));

    let slow = [("e1-0".to_string(), 250), ("e1-0".to_string(), 0)];
    // The first time all are told, since an earlier leader may have told otherwise.
    expect_that!(calm, eq(RANKS));
    expect_that!(world.told[..calm].iter().map(|t| t.1).sum::<u32>(), eq(0));
    expect_that!(&world.told[calm..], eq(&slow));
}

/// Symptom: a group that a dead leader left held stands still for a second longer than it must.
/// Sequence: the next leader looks at all ranks, the answer of one relay is lost, and that rank is
/// looked at from afar. Cause: one old report among fresh ones made it wait until all must be new.
#[googletest::test]
fn a_hold_ends_soon_though_a_first_look_was_from_afar() {
    let mut stood = Duration::ZERO;
    for seed in 0..40 {
        let trouble = Trouble {
            beside: 0.8,
            ..Trouble::default()
        };
        let mut world = World::new(seed, RANKS, trouble);
        world.run_until(|w| w.last_order() == Some("hold"), Duration::from_secs(20));
        world.freeze_leader();
        world.run(Duration::from_secs(1));
        let (began, before) = (world.now(), world.pass());
        world.elect();
        world.run_until(|w| w.pass() > before, Duration::from_secs(6));
        stood += world.now() - began;
        assert_that!(world.mixed, none(), "seed {seed}");
    }

    // Mean of 40: 0.9 s where one old report was enough to wait.
    expect_that!(stood / 40, lt(Duration::from_millis(450)));
}

/// Symptom: for a second after a group formed anew every pass runs on the first map, which fits no demand.
/// Sequence: a rank ends and is back; its group opens; the leader looks for that now and then. Cause: it
/// rested as if another leader were in the way.
#[googletest::test]
fn a_group_that_forms_anew_gets_its_map_soon() {
    let mut slow = Duration::ZERO;
    for seed in 0..40 {
        let trouble = Trouble {
            beside: 1.0,
            ..Trouble::default()
        };
        let mut world = World::new(seed, RANKS, trouble);
        world.run(Duration::from_millis(5_000 + 37 * seed));
        world.crash(2);
        world.run_until(|w| !w.open(), Duration::from_secs(1));
        world.run_until(World::open, Duration::from_secs(5));
        let (began, before) = (world.now(), world.switches);
        world.run_until(|w| w.switches > before, Duration::from_secs(5));
        slow += world.now() - began;
        assert_that!(world.mixed, none(), "seed {seed}");
    }

    // Of it 0.3 s are copies, and two passes of 0.09 s the switch. What comes before takes
    // as long as between two looks at a group that is well.
    expect_that!(slow / 40, lt(Duration::from_millis(900)));
}

//! Replicas that were absent, or lost their disk, become voters again.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod simulation;

use bn_quorum::{Change, ChangeReason, Timing};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use simulation::{Action, ClusterConfig, Simulation};
use std::time::Duration;

/// Steps of 10 ms within which all running replicas vote again, 3 s, if no further fault occurs.
const MAX_STEPS: usize = 300;
/// Steps within which a log of nine replicas must have all of them as voters.
const START_STEPS: usize = 1_500;

fn config(replicas: usize) -> ClusterConfig {
    ClusterConfig {
        replicas,
        seeds: 3,
        losses: (replicas - 1) / 2,
        timing: Timing::NO_LEASE,
    }
}

/// A simulation in which all replicas are voters.
fn all_voting(config: ClusterConfig, seed: u64) -> Simulation {
    let mut sim = Simulation::with_config(config, seed);
    assert!(
        sim.steps_until_all_vote(START_STEPS) < START_STEPS,
        "seed {seed}"
    );
    sim
}

/// Moves leadership to a non-seed, so that others learn its address only from each other.
fn led_by_non_seed(config: ClusterConfig, seed: u64) -> Simulation {
    let mut sim = all_voting(config, seed);
    while let Some(leader) = sim.leader().filter(|l| *l < config.seeds) {
        sim.apply(&Action::Crash(leader, false)).unwrap();
        while sim.leader().is_none() {
            sim.run(1).unwrap();
        }
        sim.apply(&Action::Start(leader)).unwrap();
        sim.steps_until_all_vote(START_STEPS);
    }
    sim
}

/// Guards against a coordinator that keeps an old document from then on and a log left with fewer
/// voters: a voter is without power for 12 s, is removed from the members after 6 s, and restarts
/// with its old log. It sent no join request because that log lists it as a member.
#[gtest]
fn a_voter_that_was_removed_while_it_was_off_votes_again() {
    for seed in 0..20 {
        let mut sim = all_voting(
            ClusterConfig {
                losses: 2,
                ..config(6)
            },
            seed,
        );
        let off = (sim.leader().unwrap() + 1) % 6;
        sim.apply(&Action::Crash(off, false)).unwrap();
        sim.run(1_200).unwrap();

        sim.apply(&Action::Start(off)).unwrap();
        let steps = sim.steps_until_all_vote(MAX_STEPS);

        expect_that!(steps, lt(MAX_STEPS), "seed {seed}");
    }
}

/// The same after an absence so long that the leader no longer sends to it.
#[gtest]
fn a_removed_replica_requests_to_join_and_votes_again() {
    let mut sim = all_voting(
        ClusterConfig {
            losses: 2,
            ..config(6)
        },
        1,
    );
    let off = (sim.leader().unwrap() + 1) % 6;
    sim.apply(&Action::Crash(off, false)).unwrap();
    sim.run(14_000).unwrap();
    let dropped = Change::Removed(format!("c{off}"), ChangeReason::Absent);
    expect_that!(sim.changes.last(), some(eq(&dropped)));

    sim.apply(&Action::Start(off)).unwrap();
    let steps = sim.steps_until_all_vote(MAX_STEPS);

    expect_that!(steps, lt(MAX_STEPS));
}

/// Guards against a coordinator with an emptied disk that never votes again: it starts while the
/// leader is none of the three replicas in its settings, and those three, which it sends its join
/// request to, ignore it because they do not lead.
#[gtest]
fn a_replica_with_an_empty_disk_votes_again_under_any_leader() {
    for seed in 0..20 {
        let mut sim = led_by_non_seed(config(6), seed);
        let leader = sim.leader().unwrap();
        let emptied = (leader + 1) % 6;
        for _ in 0..8 {
            sim.propose().unwrap();
            sim.run(20).unwrap();
        }
        sim.apply(&Action::Compact(leader)).unwrap();

        sim.wipe_disk(emptied);
        // The leader detects the new identity and completes its reaction to it.
        sim.run(100).unwrap();
        let steps = sim.steps_until_all_vote(MAX_STEPS);

        expect_that!(steps, lt(MAX_STEPS), "seed {seed}");
    }
}

/// Random schedules per cluster size; `BN_SEEDS` overrides the number.
fn seed_count() -> u64 {
    let value = std::env::var("BN_SEEDS").ok();
    value.and_then(|n| n.parse().ok()).unwrap_or(12)
}

/// Injects one loss: a partition, an emptied disk, or a process crash.
fn inject_loss(sim: &mut Simulation, random: &mut SmallRng, target: usize) {
    match random.random_range(0..4u8) {
        0 => sim.apply(&Action::Isolate(target)).unwrap(),
        1 => sim.wipe_disk(target),
        _ => sim.apply(&Action::Crash(target, random.random())).unwrap(),
    }
}

/// Guards against a log without a majority, or the loss of acknowledged entries, after repeated
/// losses: again and again up to two replicas at once crash, are partitioned, or restart with an
/// empty disk, for up to 12 s; in between all run. Returning replicas did not count again.
#[gtest]
fn after_any_two_losses_all_vote_again_and_nothing_is_lost() {
    let sizes = [5, 6, 9].into_iter();
    for (replicas, seed) in sizes.flat_map(|n| (0..seed_count()).map(move |s| (n, s))) {
        let case = format!("{replicas} replicas, seed {seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let mut sim = all_voting(
            ClusterConfig {
                losses: 2,
                ..config(replicas)
            },
            seed,
        );
        for round in 0..6 {
            let first = random.random_range(0..replicas);
            let second = (first + random.random_range(1..replicas)) % replicas;
            for target in [first, second] {
                inject_loss(&mut sim, &mut random, target);
                for _ in 0..random.random_range(0..6) {
                    sim.propose().unwrap();
                    sim.run(random.random_range(0..250)).unwrap();
                    let target = random.random_range(0..replicas);
                    sim.apply(&Action::Compact(target)).unwrap();
                }
            }
            sim.apply(&Action::Heal).unwrap();
            for target in [first, second] {
                sim.apply(&Action::Start(target)).unwrap();
            }

            let steps = sim.steps_until_all_vote(MAX_STEPS);

            assert!(
                steps < MAX_STEPS,
                "{case}, round {round}: {:?}",
                sim.changes
            );
        }
        expect_that!(sim.settle(), ok(anything()), "{case}");
    }
}

/// Guards against gateways that serve from an outdated document after a power loss: the survivors
/// have no majority, and hold entries on disk that may or may not be committed. What was known to
/// be committed earlier was taken for the newest state.
#[gtest]
fn without_a_majority_no_replica_is_current() {
    let within = Duration::from_millis(900);
    let mut sim = all_voting(
        ClusterConfig {
            losses: 2,
            ..config(6)
        },
        3,
    );
    let current = |sim: &mut Simulation, i: usize| {
        let now = sim.clock(i);
        sim.replica(i).is_current(now, within)
    };
    expect_true!((0..6).all(|i| current(&mut sim, i)));
    for i in 0..6 {
        sim.apply(&Action::Crash(i, false)).unwrap();
    }

    for i in 0..3 {
        sim.apply(&Action::Start(i)).unwrap();
    }
    sim.run(1_000).unwrap();
    let alone = (0..3).any(|i| current(&mut sim, i));
    sim.apply(&Action::Start(3)).unwrap();
    sim.run(300).unwrap();
    let together = (0..4).all(|i| current(&mut sim, i));

    expect_that!((alone, together), eq((false, true)));
}

/// Steps between a loss and the start of the replica that takes its place.
const GAP_STEPS: usize = 100;
/// Steps from that start until the next loss may come: the shortest that deployments allow, 4 s.
const CATCH_UP_STEPS: usize = 400;

/// A log in which only the first `running` replicas take part; the others have never started.
fn partly_running(config: ClusterConfig, running: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::with_config(config, seed);
    for spare in running..config.replicas {
        sim.apply(&Action::Crash(spare, true)).unwrap();
    }
    assert!(sim.steps_until_all_vote(START_STEPS) < START_STEPS);
    sim.propose().unwrap();
    sim.run(100).unwrap();
    sim
}

/// Takes these replicas away for good, and starts as many new ones.
fn replace(sim: &mut Simulation, lost: &[usize], new: &[usize]) {
    for lost in lost {
        sim.apply(&Action::Crash(*lost, false)).unwrap();
    }
    sim.run(GAP_STEPS).unwrap();
    for new in new {
        sim.apply(&Action::Start(*new)).unwrap();
    }
    sim.run(CATCH_UP_STEPS).unwrap();
    sim.propose().unwrap();
    sim.run(30).unwrap();
}

/// Guards against a log that no leader can be elected for any more: a replica is replaced as planned,
/// and right after its successor's time to catch up the next one is, too. The first one still counted
/// as a voter, so that four voted, and two of them were gone for good.
#[gtest]
fn replicas_replaced_one_after_the_other_leave_a_log_that_can_be_read() {
    for seed in 0..30 {
        let one_loss = ClusterConfig {
            losses: 1,
            ..config(5)
        };
        let mut sim = partly_running(one_loss, 3, seed);
        let first = seed as usize % 3;
        let second = (first + 1 + seed as usize / 3 % 2) % 3;

        replace(&mut sim, &[first], &[3]);
        replace(&mut sim, &[second], &[4]);
        let steps = sim.steps_until_all_vote(MAX_STEPS);

        expect_that!(steps, lt(MAX_STEPS), "seed {seed}: {:?}", sim.changes);
        expect_that!(sim.settle(), ok(anything()), "seed {seed}");
    }
}

/// The same where a disk is lost in place of the second replica, and where two losses at once must be
/// borne.
#[gtest]
fn a_loss_after_a_replacement_is_borne() {
    for seed in 0..30 {
        let mut sim = partly_running(config(4), 3, seed);
        let lost = seed as usize % 3;
        replace(&mut sim, &[lost], &[3]);
        sim.wipe_disk((lost + 1) % 3);
        let one = sim.steps_until_all_vote(MAX_STEPS);

        let two_losses = ClusterConfig {
            losses: 2,
            ..config(9)
        };
        let mut sim = partly_running(two_losses, 5, seed);
        let (first, second) = (seed as usize % 5, (seed as usize + 2) % 5);
        replace(&mut sim, &[first, second], &[5, 6]);
        let left: Vec<usize> = (0..5).filter(|n| *n != first && *n != second).collect();
        // A replica that starts asks the first three, one of which has to be there.
        replace(&mut sim, &left[1..], &[7, 8]);
        let two = sim.steps_until_all_vote(MAX_STEPS);

        expect_that!(
            (one, two),
            (lt(MAX_STEPS), lt(MAX_STEPS)),
            "seed {seed}: {:?}",
            sim.changes
        );
    }
}

/// How a replica ends for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// By a planned stop.
    Stopped,
    /// Without notice.
    Killed,
}

/// Steps that an emptied replica is off.
const OFF_STEPS: usize = 200;

/// A log of `first` replicas to which `added` successors were added, all of which vote.
fn with_successors(losses: usize, first: usize, added: usize, seed: u64) -> Simulation {
    let cluster = ClusterConfig {
        replicas: first + added,
        seeds: first,
        losses,
        timing: Timing::NO_LEASE,
    };
    let mut sim = partly_running(cluster, first, seed);
    for new in first..first + added {
        sim.apply(&Action::Start(new)).unwrap();
    }
    sim.run(CATCH_UP_STEPS).unwrap();
    sim
}

fn end(sim: &mut Simulation, replica: usize, how: End) {
    let action = match how {
        End::Stopped => Action::Stop(replica),
        End::Killed => Action::Crash(replica, false),
    };
    sim.apply(&action).unwrap();
}

/// The disks of `lost` are lost at once; their replicas are off for a while.
fn lose_disks(sim: &mut Simulation, lost: &[usize]) {
    for lost in lost {
        sim.apply(&Action::Crash(*lost, false)).unwrap();
    }
    sim.run(OFF_STEPS).unwrap();
    for lost in lost {
        sim.wipe_disk(*lost);
    }
}

/// Whether all running replicas vote within the time after which the next loss may come, and have
/// everything that was acknowledged.
fn recovers(sim: &mut Simulation) -> bool {
    let steps = sim.steps_until_all_vote(CATCH_UP_STEPS);
    // Followers learn with the next heartbeat what is committed.
    sim.run(30).unwrap();
    steps < CATCH_UP_STEPS && sim.all_have_acknowledged()
}

/// The replicas of `0..count`, but for some, in an order that depends on the seed.
fn others(count: usize, but: &[usize], seed: u64) -> Vec<usize> {
    let mut left: Vec<usize> = (0..count).filter(|n| !but.contains(n)).collect();
    let turns = (seed as usize / 3) % left.len();
    left.rotate_left(turns);
    left
}

/// Guards against a log that no leader can be elected for any more: a replica has its successor and
/// ends, and at any time after that a disk is lost. The one that ended still counted as a voter, so
/// that three of four had to agree, and two were left.
#[gtest]
fn a_disk_lost_at_any_time_after_a_planned_replacement_is_borne() {
    for (how, gap) in [End::Stopped, End::Killed]
        .into_iter()
        .flat_map(|how| [0, 5, 50, 100, 150, 200].map(|gap| (how, gap)))
    {
        for seed in 0..24 {
            let mut sim = with_successors(1, 3, 1, seed);
            let ended = seed as usize % 3;
            end(&mut sim, ended, how);
            sim.run(gap).unwrap();
            sim.propose().unwrap();
            sim.run(5).unwrap();

            lose_disks(&mut sim, &others(4, &[ended], seed)[..1]);

            expect_true!(
                recovers(&mut sim),
                "{how:?}, {gap} steps, seed {seed}: {:?}",
                sim.changes
            );
        }
    }
}

/// The same where planned work alone takes away three replicas that have their successors, half a
/// second apart.
#[gtest]
fn replicas_that_have_their_successors_may_stop_one_after_the_other() {
    for seed in 0..40 {
        let mut sim = with_successors(1, 3, 3, seed);
        for ended in others(3, &[], seed) {
            end(&mut sim, ended, End::Stopped);
            sim.run(50).unwrap();
        }

        let left = |change: &&Change| matches!(change, Change::Demoted(_, ChangeReason::Leaving));
        let departures = sim.changes.iter().filter(left).count();
        expect_that!(departures, eq(3), "seed {seed}: {:?}", sim.changes);
        // A replica that was made a voter again would be demoted for its absence.
        sim.run(CATCH_UP_STEPS).unwrap();
        let absent = |c: &&Change| matches!(c, Change::Demoted(_, ChangeReason::Absent));
        expect_that!(
            sim.changes.iter().filter(absent).count(),
            eq(0),
            "seed {seed}"
        );
        expect_true!(recovers(&mut sim), "seed {seed}: {:?}", sim.changes);
    }
}

/// The same where two losses at once must be borne: one or two of five replicas have their
/// successors and end at once, and two disks are lost after that.
#[gtest]
fn two_disks_lost_at_any_time_after_planned_replacements_are_borne() {
    let ends = [
        vec![End::Stopped],
        vec![End::Killed],
        vec![End::Stopped, End::Stopped],
        vec![End::Stopped, End::Killed],
        vec![End::Killed, End::Killed],
    ];
    for (ends, gap) in ends
        .iter()
        .flat_map(|ends| [0, 50, 150].map(|gap| (ends, gap)))
    {
        for seed in 0..24 {
            let count = 5 + ends.len();
            let mut sim = with_successors(2, 5, ends.len(), seed);
            let ended: Vec<usize> = others(5, &[], seed)[..ends.len()].to_vec();
            for (ended, how) in ended.iter().zip(ends) {
                end(&mut sim, *ended, *how);
            }
            sim.run(gap).unwrap();
            sim.propose().unwrap();
            sim.run(5).unwrap();

            lose_disks(&mut sim, &others(count, &ended, seed)[..2]);

            expect_true!(
                recovers(&mut sim),
                "{ends:?}, {gap} steps, seed {seed}: {:?}",
                sim.changes
            );
        }
    }
}

/// Guards against the loss of acknowledged commands: a leader demotes a silent voter, the entry and a
/// command reach one of the two others, whose disk is then lost. The third and the one that was
/// silent know of no change, leave out the emptied one of four voters, and elect a leader without
/// the command. A change must be agreed by the earlier members, too.
#[gtest]
fn a_change_that_the_earlier_members_do_not_know_is_not_committed() {
    for seed in 0..40 {
        let mut sim = with_successors(1, 3, 1, seed);
        let leader = sim.leader().unwrap();
        let [silent, told, untold] = [1, 2, 3].map(|n| (leader + n) % 4);
        sim.apply(&Action::Isolate(silent)).unwrap();
        let demoted = Change::Demoted(format!("c{silent}"), ChangeReason::Absent);
        while sim.changes.last() != Some(&demoted) {
            sim.run(1).unwrap();
        }
        sim.apply(&Action::PartitionPair(leader, untold)).unwrap();
        sim.run(10).unwrap();
        sim.propose().unwrap();
        sim.run(10).unwrap();

        sim.apply(&Action::Heal).unwrap();
        sim.apply(&Action::Isolate(leader)).unwrap();
        sim.wipe_disk(told);
        sim.run(CATCH_UP_STEPS).unwrap();

        expect_that!(sim.settle(), ok(anything()), "seed {seed}");
    }
}

/// Guards against a log without a leader: long after a replica was replaced, all others are killed at
/// once and one of them does not come back. A replica that restarts does not know which entries are
/// committed, and must not count by the members of before the replacement for ever.
#[gtest]
fn replicas_that_restart_count_by_confirmed_members() {
    for seed in 0..40 {
        let mut sim = with_successors(1, 3, 1, seed);
        let ended = seed as usize % 3;
        end(&mut sim, ended, End::Killed);
        sim.run(CATCH_UP_STEPS).unwrap();
        let left = others(4, &[ended], seed);
        for killed in &left {
            sim.apply(&Action::Crash(*killed, false)).unwrap();
        }

        for started in &left[1..] {
            sim.apply(&Action::Start(*started)).unwrap();
        }

        expect_true!(recovers(&mut sim), "seed {seed}: {:?}", sim.changes);
    }
}

/// Guards against a log without a leader: as soon as a repair is reported as complete, the leader is
/// gone for good. The others know of the change that made the repaired replica a voter, but not that
/// it is committed, and waited for a quorum of the members before it.
#[gtest]
fn a_leader_lost_as_soon_as_a_repair_is_complete_is_replaced() {
    for (replicas, seed) in [3, 4]
        .into_iter()
        .flat_map(|n| (0..40).map(move |s| (n, s)))
    {
        let mut sim = all_voting(config(replicas), seed);
        let leader = sim.leader().unwrap();
        sim.wipe_disk((leader + 1) % replicas);
        while !sim.repaired() {
            sim.run(1).unwrap();
        }

        let leader = sim.leader().unwrap();
        end(&mut sim, leader, End::Killed);

        expect_true!(
            recovers(&mut sim),
            "{replicas} replicas, seed {seed}: {:?}",
            sim.changes
        );
    }
}

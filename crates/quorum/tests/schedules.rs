//! The guarantees of the log under random schedules of faults; the seeds are fixed here and random
//! in `cargo bench -p bn-quorum`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod simulation;

use bn_quorum::Timing;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use simulation::{ClusterConfig, run_schedule, schedules};

const CASES: u32 = 1000;
/// Schedules of each larger cluster.
const CASES_OF_MORE: u32 = 400;

/// Runs random schedules. `BN_CASES` overrides their number, `BN_FIRST` gives another seed.
fn run_schedules(cluster: ClusterConfig, cases: u32) {
    let number = |name| std::env::var(name).ok()?.parse::<u64>().ok();
    let config = Config {
        cases: number("BN_CASES").map_or(cases, |n| n as u32),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = match number("BN_FIRST") {
        Some(seed) => TestRunner::new(Config {
            rng_seed: RngSeed::Fixed(seed),
            ..config
        }),
        None => {
            let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
            TestRunner::new_with_rng(config, rng)
        }
    };

    let outcome = runner.run(&schedules(cluster.replicas), |(seed, actions)| {
        run_schedule(cluster, seed, &actions)
    });

    if let Err(e) = outcome {
        panic!("{e}");
    }
}

/// A log as coordinators run it, started with `seeds` voters, to which the others are added.
fn cluster(replicas: usize, seeds: usize, losses: usize) -> ClusterConfig {
    ClusterConfig {
        replicas,
        seeds,
        losses,
        timing: Timing::NO_LEASE,
    }
}

/// Guards against lost or replaced acknowledged commands, two leaders in a term and two leases at
/// once, under any mix of delay, loss, duplication, crashes before the sync, silent partitions and
/// an emptied disk. A failure means that a rule of the protocol is broken.
#[test]
fn acknowledged_commands_survive_any_schedule() {
    run_schedules(ClusterConfig::default(), CASES);
}

/// The same with a voter more than one loss asks for, as while a replica is replaced.
#[test]
fn acknowledged_commands_survive_any_schedule_of_four() {
    let leased = ClusterConfig {
        replicas: 4,
        ..ClusterConfig::default()
    };
    run_schedules(leased, CASES_OF_MORE);
    run_schedules(cluster(4, 3, 1), CASES_OF_MORE);
}

/// The same where two disks may be lost at once, with one and two voters more than that asks for.
#[test]
fn acknowledged_commands_survive_any_schedule_of_six_and_seven() {
    run_schedules(cluster(6, 5, 2), CASES_OF_MORE);
    run_schedules(cluster(7, 5, 2), CASES_OF_MORE);
}

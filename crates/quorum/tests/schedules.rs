//! The guarantees of the log under random schedules of faults; the seeds are fixed here and random
//! in `cargo bench -p bn-quorum`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod simulation;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{run_schedule, schedules};

const CASES: u32 = 1000;

/// Guards against lost or replaced acknowledged commands, two leaders in a term and two leases at
/// once, under any mix of delay, loss, duplication, crashes before the sync, silent partitions and
/// an emptied disk. A failure means that a rule of the protocol is broken.
#[test]
fn acknowledged_commands_survive_any_schedule() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&schedules(), |(seed, actions)| run_schedule(seed, &actions));

    if let Err(e) = outcome {
        panic!("{e}");
    }
}

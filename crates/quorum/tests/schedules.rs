//! The promises of the log under random schedules of faults; seeds are fixed here
//! and free in `cargo bench -p bn-quorum`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod simulation;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{play, schedules};

const CASES: u32 = 1000;

/// Symptom: an acknowledged command is missing or another stands in its place, two
/// replicas lead one term, or two hold a lease at once. Sequence: any mix of delay,
/// loss, doubling, crash before the sync, silent cuts and an emptied disk. Cause:
/// whatever rule of the agreement is broken.
#[test]
fn acknowledged_commands_survive_any_schedule() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&schedules(), |(seed, actions)| play(seed, &actions));

    if let Err(e) = outcome {
        panic!("{e}");
    }
}

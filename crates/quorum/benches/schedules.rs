//! Random schedules of faults with random seeds: `cargo bench -p bn-quorum`. The number of
//! schedules is `BN_SCHEDULES`, 2,000 by default.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
#[path = "../tests/simulation/mod.rs"]
mod simulation;

use proptest::test_runner::{Config, TestRunner};
use simulation::{ClusterConfig, run_schedule, schedules};
use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let cases = std::env::var("BN_SCHEDULES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(2000);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let start = Instant::now();
    let cluster = ClusterConfig::default();
    let outcome = TestRunner::new(config).run(&schedules(cluster.replicas), |(s, a)| {
        run_schedule(cluster, s, &a)
    });
    let seconds = start.elapsed().as_secs_f64();
    match outcome {
        Ok(()) => {
            println!("{cases} schedules in {seconds:.1} s, none broke a promise");
            ExitCode::SUCCESS
        }
        Err(e) => {
            println!("a schedule violated a guarantee: {e}");
            ExitCode::FAILURE
        }
    }
}

//! Measures the duration of the search for a large group.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::{ExpertMap, Limits, imbalance, rebalance};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

const RANKS: usize = 192;
const EXPERTS: usize = 384;
const SETS: usize = 10;

/// Demand in which a few experts of each set get most of the load.
fn demand(random: &mut SmallRng) -> Vec<Vec<f64>> {
    let load = |random: &mut SmallRng| 20.0 + 400.0 * random.random::<f64>().powi(8);
    let set = |random: &mut SmallRng| (0..EXPERTS).map(|_| load(random)).collect();
    (0..SETS).map(|_| set(random)).collect()
}

/// Prints the duration of a search for each of six changes of demand. In a release build on one
/// core a search took 57 to 80 ms while the experts of a rank were looked up among all, and
/// takes 4.9 to 5.8 ms since they are stored, with the same maps. A leader that has 0.075 of a core
/// sends no heartbeats for 13 times as long.
///
///     cargo test --release -p bn-group --test large -- --ignored --nocapture
#[test]
#[ignore = "a measurement, not a check"]
fn time_of_a_search_for_192_ranks() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut map = ExpertMap::round_robin(SETS, EXPERTS, RANKS);
    let mut longest = Duration::ZERO;
    for _ in 0..6 {
        let loads = demand(&mut random);
        let limits = Limits {
            ranks: RANKS,
            slots: 3,
            new_per_layer: 2,
            new_total: 15,
            min_gain: 0.1,
            slowdowns: &[1.0; RANKS],
        };
        let start = Instant::now();
        let next = rebalance(&map, &loads, limits);
        let elapsed = start.elapsed();
        let (before, after) = (
            imbalance(&map, &loads, limits),
            imbalance(&next, &loads, limits),
        );
        println!("busiest rank {before:.2} to {after:.2} of the mean, {elapsed:?}");
        longest = longest.max(elapsed);
        map = next;
    }
    println!("longest {longest:?}");
}

//! Tests of the balancing policy: which plans it may propose, and when it must propose none.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::{Costs, Estimate, ExpertMap, plan, repack, skew};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const RANKS: usize = 8;
const EXPERTS: usize = 32;

fn costs() -> Costs {
    Costs {
        ranks: RANKS,
        slots: EXPERTS / RANKS + 1,
        token_seconds: 1e-5,
        horizon_steps: 10_000.0,
        load_seconds: 0.05,
        skew_weight: 1.0,
        move_weight: 1.0,
    }
}

/// Loads with a few hot experts among many, determined by the seed.
fn loads(seed: u64) -> Estimate {
    let mut rng = SmallRng::seed_from_u64(seed);
    let layer = |_| {
        (0..EXPERTS)
            .map(|_| {
                if rng.random_bool(0.1) {
                    100.0
                } else {
                    rng.random_range(1.0..10.0)
                }
            })
            .collect()
    };
    Estimate {
        layers: (0..3).map(layer).collect(),
    }
}

#[gtest]
fn plans_are_valid_maps_with_lower_skew() {
    for seed in 0..30 {
        let (map, loads) = (ExpertMap::round_robin(3, EXPERTS, RANKS), loads(seed));

        let Some(plan) = plan(&map, &loads, &costs()) else {
            continue;
        };

        expect_true!(plan.map.is_valid_for(RANKS as u32), "seed {seed}");
        expect_that!(plan.map.shape(), eq(map.shape()));
        expect_that!(plan.copies, eq(map.copies_to_load(&plan.map)));
        let (before, after) = (
            skew(&map, &loads.layers, RANKS),
            skew(&plan.map, &loads.layers, RANKS),
        );
        expect_that!(after, lt(before), "seed {seed}");
        expect_that!(plan.gain, gt(plan.cost));
        for layer in &plan.map.layers {
            for rank in 0..RANKS as u32 {
                let held = layer.iter().filter(|h| h.contains(&rank)).count();
                expect_that!(held, le(costs().slots), "seed {seed}");
            }
            expect_true!(layer.iter().all(|h| !h.is_empty()), "seed {seed}");
        }
    }
}

/// Guards against experts that move back and forth while requests wait for ranks to load them:
/// loads change little, or moves cost much, and plans have neither payback nor hysteresis.
#[gtest]
fn no_plan_is_made_unless_it_pays_off() {
    let map = ExpertMap::round_robin(3, EXPERTS, RANKS);
    let uniform = Estimate {
        layers: vec![vec![5.0; EXPERTS]; 3],
    };
    let expensive_moves = Costs {
        move_weight: 1e6,
        ..costs()
    };
    let short_horizon = Costs {
        horizon_steps: 1.0,
        ..costs()
    };

    expect_that!(plan(&map, &uniform, &costs()), none());
    expect_that!(plan(&map, &loads(1), &expensive_moves), none());
    expect_that!(plan(&map, &loads(1), &short_horizon), none());
}

#[gtest]
fn a_plan_is_not_followed_by_another_for_the_same_loads() {
    for seed in 0..10 {
        let (map, loads) = (ExpertMap::round_robin(3, EXPERTS, RANKS), loads(seed));
        let Some(first) = plan(&map, &loads, &costs()) else {
            continue;
        };

        expect_that!(plan(&first.map, &loads, &costs()), none(), "seed {seed}");
    }
}

#[gtest]
fn a_repack_is_a_valid_map() {
    let map = repack(&loads(3), &costs());

    expect_true!(map.is_valid_for(RANKS as u32));
    expect_that!(skew(&map, &loads(3).layers, RANKS), lt(1.5));
}

#[gtest]
fn maps_survive_a_round_trip_through_text() {
    let map = repack(&loads(4), &costs());

    expect_that!(ExpertMap::parse(&map.to_string()), ok(eq(&map)));
    for invalid in ["", "a", "0.1/0", "0..1", "0+.1"] {
        expect_that!(ExpertMap::parse(invalid), err(anything()), "{invalid}");
    }
}

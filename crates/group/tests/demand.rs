//! Which changes of demand a leader follows, where a look counts a few prompts.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod engines;

use bn_group::Demand;
use engines::{Prompts, Trouble, World};
use googletest::prelude::*;
use std::time::Duration;

/// Ranks of a group, and of one of twice the size.
const SIZES: [usize; 2] = [16, 32];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

const PROMPTS: Prompts = Prompts {
    count: 2,
    moved: 0,
    ranks: usize::MAX,
};

fn busy(seed: u64, ranks: usize) -> World {
    let beside = Trouble {
        beside: 1.0,
        ..Trouble::default()
    };
    let mut world = World::new(seed, ranks, beside);
    world.prompts = Some(PROMPTS);
    world
}

/// Guards against maps that follow the chance of a few prompts: each look differs from the one before.
#[googletest::test]
fn steady_demand_keeps_its_map() {
    for ranks in SIZES {
        for seed in SEEDS {
            let mut world = busy(seed, ranks);
            world.run(Duration::from_secs(10));
            let before = world.switches;

            world.run(Duration::from_secs(60));

            let changes = world.switches - before;
            expect_that!(changes, le(2), "{ranks} ranks, seed {seed}");
        }
    }
}

/// Guards against maps that follow each prompt of a group that has just begun to run and has few.
#[googletest::test]
fn few_prompts_on_few_ranks_keep_their_map() {
    for ranks in SIZES {
        for seed in SEEDS {
            let mut world = busy(seed, ranks);
            world.run(Duration::from_secs(10));
            let before = world.switches;

            let few = Prompts {
                count: 1,
                ranks: 2,
                ..PROMPTS
            };
            world.prompts = Some(few);
            world.run(Duration::from_secs(30));

            let changes = world.switches - before;
            expect_that!(changes, le(1), "{ranks} ranks, seed {seed}");
        }
    }
}

/// Guards against an estimate that clings to what was liked before.
#[googletest::test]
fn demand_that_moves_is_followed_half_of_the_way_within_two_seconds() {
    for ranks in SIZES {
        let (mut way, mut left) = (0.0, 0.0);
        for seed in SEEDS {
            let mut world = busy(seed, ranks);
            world.run(Duration::from_secs(20));
            let settled = world.lag();

            world.prompts = Some(Prompts {
                moved: 8,
                ..PROMPTS
            });
            way += world.lag() - settled;
            world.run(Duration::from_secs(2));

            left += world.lag() - settled;
        }

        expect_that!(left, lt(0.5 * way), "{ranks} ranks");
    }
}

/// Guards against an estimate without any error to judge by, which would never be dropped.
#[googletest::test]
fn counts_that_come_as_one_part_are_followed_look_by_look() {
    let mut demand = Demand::new();
    demand.add_counts(&[vec![90, 10]]);
    demand.update();

    demand.add_counts(&[vec![10, 90]]);
    let moved = demand.update();

    expect_true!(moved);
    expect_that!(demand.polls(), eq(1.0));
    let [searched, judged] = demand.halves(2);
    expect_that!(searched, eq(&vec![vec![0.1, 0.9]]));
    expect_that!(judged, eq(&searched));
}

/// Guards against looks without any choice, which tell nothing and have no shares.
#[googletest::test]
fn looks_in_which_nothing_was_counted_change_nothing() {
    let mut demand = Demand::new();
    demand.add_counts(&[vec![0, 0], vec![0, 0]]);

    let moved = demand.update();

    expect_false!(moved);
    expect_that!(demand.polls(), eq(0.0));
}

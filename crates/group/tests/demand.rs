//! Tests which changes of demand a leader follows when each poll counts only a few prompts.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod engines;

use bn_group::Demand;
use engines::{Faults, GroupModel, Prompts};
use googletest::prelude::*;
use std::time::Duration;

/// Numbers of ranks: a group, and one twice as large.
const SIZES: [usize; 2] = [16, 32];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

const PROMPTS: Prompts = Prompts {
    count: 2,
    shift: 0,
    ranks: usize::MAX,
};

fn group_with_prompts(seed: u64, ranks: usize) -> GroupModel {
    let faults = Faults {
        fresh_rate: 1.0,
        ..Faults::default()
    };
    let mut group = GroupModel::new(seed, ranks, faults);
    group.prompts = Some(PROMPTS);
    group
}

/// Guards against maps that follow the random variation between polls of a few prompts each.
#[googletest::test]
fn the_map_stays_while_demand_is_steady() {
    for ranks in SIZES {
        for seed in SEEDS {
            let mut group = group_with_prompts(seed, ranks);
            group.run(Duration::from_secs(10));
            let before = group.switches;

            group.run(Duration::from_secs(60));

            let changes = group.switches - before;
            expect_that!(changes, le(2), "{ranks} ranks, seed {seed}");
        }
    }
}

/// Guards against maps that follow each prompt of a group that has just started and has few.
#[googletest::test]
fn the_map_stays_when_few_ranks_have_few_prompts() {
    for ranks in SIZES {
        for seed in SEEDS {
            let mut group = group_with_prompts(seed, ranks);
            group.run(Duration::from_secs(10));
            let before = group.switches;

            let few = Prompts {
                count: 1,
                ranks: 2,
                ..PROMPTS
            };
            group.prompts = Some(few);
            group.run(Duration::from_secs(30));

            let changes = group.switches - before;
            expect_that!(changes, le(1), "{ranks} ranks, seed {seed}");
        }
    }
}

/// Guards against an estimate that holds on to earlier demand.
#[googletest::test]
fn half_of_a_demand_change_is_corrected_within_two_seconds() {
    for ranks in SIZES {
        let (mut initial, mut remaining) = (0.0, 0.0);
        for seed in SEEDS {
            let mut group = group_with_prompts(seed, ranks);
            group.run(Duration::from_secs(20));
            let baseline = group.imbalance();

            group.prompts = Some(Prompts {
                shift: 8,
                ..PROMPTS
            });
            initial += group.imbalance() - baseline;
            group.run(Duration::from_secs(2));

            remaining += group.imbalance() - baseline;
        }

        expect_that!(remaining, lt(0.5 * initial), "{ranks} ranks");
    }
}

/// Guards against an estimate that is never discarded because it has no error estimate.
#[googletest::test]
fn counts_of_a_single_part_are_followed_at_each_poll() {
    let mut demand = Demand::new();
    demand.add_counts(&[vec![90, 10]]);
    demand.update();

    demand.add_counts(&[vec![10, 90]]);
    let changed = demand.update();

    expect_true!(changed);
    expect_that!(demand.polls(), eq(1.0));
    let [search_half, evaluation_half] = demand.halves(2);
    expect_that!(search_half, eq(&vec![vec![0.1, 0.9]]));
    expect_that!(evaluation_half, eq(&search_half));
}

/// Guards against polls without any selection, which carry no information and have no shares.
#[googletest::test]
fn polls_without_selections_change_nothing() {
    let mut demand = Demand::new();
    demand.add_counts(&[vec![0, 0], vec![0, 0]]);

    let changed = demand.update();

    expect_false!(changed);
    expect_that!(demand.polls(), eq(0.0));
}

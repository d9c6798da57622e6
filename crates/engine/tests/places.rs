//! Maps on their way to relays.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_engine::{pack_places, unpack_places};
use googletest::prelude::*;

/// Ten sets of 384 experts on 192 ranks, of which each expert has one to three.
fn large() -> Vec<Vec<Vec<u32>>> {
    let holders = |n: u32| {
        (0..1 + n % 7 / 3)
            .map(move |c| (n * 97 + c * 53) % 192)
            .collect()
    };
    (0..10)
        .map(|set| (0..384).map(|e| holders(set * 384 + e)).collect())
        .collect()
}

#[googletest::test]
fn what_is_unpacked_is_what_was_packed() {
    let sets = large();

    let ranked = unpack_places(&pack_places(192, &sets).unwrap()).unwrap();

    expect_that!((ranked.len(), ranked[0].len()), eq((10, 192)));
    for (set, experts) in sets.iter().enumerate() {
        for (expert, holders) in experts.iter().enumerate() {
            let on = |rank: &u32| ranked[set][*rank as usize].contains(&(expert as u32));
            expect_true!(holders.iter().all(on));
        }
    }
    let places = |sets: &[Vec<Vec<u32>>]| sets.iter().flatten().map(Vec::len).sum::<usize>();
    expect_that!(places(&ranked), eq(places(&sets)));
}

/// Symptom: relays that pass a map on are taken to be silent. Sequence: 13 copies of it fill a link
/// of 6 Mbit/s. Cause: it went in the words of the engines, 25 KB for 384 experts in 10 sets.
#[googletest::test]
fn a_large_map_has_few_bytes() {
    let packed = pack_places(192, &large()).unwrap();

    expect_that!(packed.len(), lt(8 << 10));
}

#[googletest::test]
fn what_is_damaged_or_too_large_is_refused() {
    let packed = pack_places(192, &large()).unwrap();

    expect_that!(unpack_places(&packed[..packed.len() / 2]), err(anything()));
    expect_that!(unpack_places(b"[[[0]]]"), err(anything()));
    expect_that!(pack_places(192, &[vec![vec![70_000]]]), err(anything()));
}

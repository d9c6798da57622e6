//! Compression of expert maps for messages to relays.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_engine::{compress_placements, decompress_placements};
use googletest::prelude::*;

/// Ten sets of 384 experts on 192 ranks; each expert has one to three holders.
fn large_map() -> Vec<Vec<Vec<u32>>> {
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
fn compressed_map_round_trips() {
    let sets = large_map();

    let ranked = decompress_placements(&compress_placements(192, &sets).unwrap()).unwrap();

    expect_that!((ranked.len(), ranked[0].len()), eq((10, 192)));
    for (set, experts) in sets.iter().enumerate() {
        for (expert, holders) in experts.iter().enumerate() {
            let on = |rank: &u32| ranked[set][*rank as usize].contains(&(expert as u32));
            expect_true!(holders.iter().all(on));
        }
    }
    let count = |sets: &[Vec<Vec<u32>>]| sets.iter().flatten().map(Vec::len).sum::<usize>();
    expect_that!(count(&ranked), eq(count(&sets)));
}

/// Guards against relays that seem silent while they forward a map: in the JSON form of the
/// engines, 25 KB for 384 experts in 10 sets, 13 copies of it filled a link of 6 Mbit/s.
#[googletest::test]
fn large_map_is_below_8_kib() {
    let compressed = compress_placements(192, &large_map()).unwrap();

    expect_that!(compressed.len(), lt(8 << 10));
}

#[googletest::test]
fn invalid_or_too_large_input_is_refused() {
    let compressed = compress_placements(192, &large_map()).unwrap();

    expect_that!(
        decompress_placements(&compressed[..compressed.len() / 2]),
        err(anything())
    );
    expect_that!(decompress_placements(b"[[[0]]]"), err(anything()));
    expect_that!(
        compress_placements(192, &[vec![vec![70_000]]]),
        err(anything())
    );
}

//! At-most-once execution: holders and chains under restarts and changes of the set of holders.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_claim::{Answer, ChainId, Holder, Outcome, PendingClaim, mint_time, rendezvous};
use googletest::prelude::*;
use std::time::Duration;

const KEY: &str = "acc/k1";
const A: ChainId = (1, 1);
const B: ChainId = (2, 1);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// A holder in epoch 1 that started long ago.
fn holder() -> Holder {
    let mut holder = Holder::new(secs(1000));
    holder.new_epoch(secs(1000), 1);
    holder
}

/// Claims the key for one chain at all holders, one after the other.
fn claim(holders: &mut [Holder], now: u64, minted: u64, chain: ChainId) -> Outcome {
    let names: Vec<String> = (0..holders.len()).map(|i| format!("h{i}")).collect();
    let mut pending = PendingClaim::new(names.clone());
    for (name, holder) in names.iter().zip(holders) {
        pending.record(name, holder.claim(secs(now), KEY, secs(minted), chain, 1));
    }
    pending.outcome()
}

#[gtest]
fn one_chain_wins_and_may_repeat_its_claim() {
    let mut holders = [holder(), holder(), holder()];

    let first = claim(&mut holders, 2000, 1999, A);
    let again = claim(&mut holders, 2001, 1999, A);
    let other = claim(&mut holders, 2001, 1999, B);

    expect_that!(
        (first, again, other),
        eq((Outcome::Won, Outcome::Won, Outcome::Lost))
    );
}

/// The chain whose claim each of three holders receives first; at most one chain may win.
const FIRST_CHAINS: [[ChainId; 3]; 4] = [[A, A, A], [A, A, B], [A, B, A], [B, A, A]];

/// Failure: a duplicate sent to two entries at once runs twice. The holders receive the claims
/// of the two chains in different orders. Cause: one grant is taken for a majority.
#[gtest]
fn one_of_two_concurrent_chains_wins() {
    for first in FIRST_CHAINS {
        let mut holders = [holder(), holder(), holder()];
        for (holder, chain) in holders.iter_mut().zip(first) {
            holder.claim(secs(2000), KEY, secs(1999), chain, 1);
        }

        let outcomes = [A, B].map(|chain| claim(&mut holders, 2000, 1999, chain));

        expect_that!(outcomes, eq([Outcome::Won, Outcome::Lost]), "{first:?}");
    }
}

/// Which holders restart between two chains; the second chain must never win.
const RESTARTS: [&[usize]; 7] = [&[0], &[1], &[2], &[0, 1], &[0, 2], &[1, 2], &[0, 1, 2]];

/// Failure: a billed request runs twice. A chain claims and dispatches; holders restart; a
/// resend claims the same key. Cause: a restarted holder takes a forgotten key for an
/// unclaimed one.
#[gtest]
fn no_restart_of_holders_lets_a_second_chain_win() {
    for restarted in RESTARTS {
        let mut holders = [holder(), holder(), holder()];
        expect_that!(claim(&mut holders, 2000, 1999, A), eq(Outcome::Won));
        for i in restarted {
            holders[*i] = Holder::new(secs(2005));
            holders[*i].new_epoch(secs(2005), 1);
        }

        let second = claim(&mut holders, 2010, 1999, B);

        expect_that!(second, eq(Outcome::Lost), "restarted: {restarted:?}");
    }
}

/// The failure above, with a wall clock that jumps: the key's mint time is up to the clock
/// bound ahead of the holder's clock.
#[gtest]
fn a_clock_ahead_within_the_bound_does_not_free_a_forgotten_key() {
    let mut restarted = Holder::new(secs(2000));
    restarted.new_epoch(secs(2000), 1);

    let answer = restarted.claim(secs(2003), KEY, secs(2001), B, 1);

    expect_that!(answer, eq(Answer::Forgot));
}

/// Failure: a request runs a second time after entries were added. A chain claims at the old
/// holders; the set changes; a resend claims at the new ones. Cause: the new holders never
/// received the claim.
#[gtest]
fn a_new_set_of_holders_refuses_older_keys() {
    let mut added = holder();
    added.new_epoch(secs(2000), 2);

    expect_that!(
        added.claim(secs(2010), KEY, secs(1999), B, 1),
        eq(Answer::Stale)
    );
    expect_that!(
        added.claim(secs(2010), KEY, secs(1999), B, 2),
        eq(Answer::Forgot)
    );
    expect_that!(
        added.claim(secs(2010), KEY, secs(2009), B, 2),
        eq(Answer::Granted)
    );
}

/// Failure: a resend after a long time runs again. The claim was dropped to bound memory
/// before the resend. Cause: a dropped key looks unclaimed.
#[gtest]
fn a_dropped_claim_never_looks_unclaimed() {
    let mut holder = holder();
    expect_that!(
        holder.claim(secs(2000), KEY, secs(2000), A, 1),
        eq(Answer::Granted)
    );
    holder.claim(secs(3000), "acc/k2", secs(3000), A, 1);
    expect_that!(holder.len(), eq(1));

    let again = holder.claim(secs(3000), KEY, secs(2000), B, 1);

    expect_that!(again, eq(Answer::Forgot));
}

#[gtest]
fn holders_are_in_different_failure_domains() {
    let entries: Vec<(String, String)> = (0..6)
        .map(|i| (format!("e{i}"), format!("d{}", i % 3)))
        .collect();
    for n in 0..50 {
        let all = entries.iter().map(|(e, d)| (e.as_str(), d.as_str()));
        let chosen = rendezvous(&format!("key {n}"), 3, all);
        let domains: std::collections::HashSet<_> = chosen
            .iter()
            .filter_map(|c| entries.iter().find(|(e, _)| e == c).map(|(_, d)| d))
            .collect();
        expect_that!((chosen.len(), domains.len()), eq((3, 3)));
    }
}

#[gtest]
fn only_uuids_of_version_7_have_a_mint_time() {
    let v7 = uuid::Uuid::now_v7().to_string();
    let v4 = "2b1c0a52-3f0e-4d8e-9d6a-0123456789ab";

    expect_true!(mint_time(&v7).is_some());
    for wrong in [v4, "", "k1"] {
        expect_that!(mint_time(wrong), none(), "{wrong}");
    }
}

//! Cases, tries and lost runs, each by itself.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_quarantine::{Case, Digest, End, Lost, Next, Standing, Start, Table, Told, Trials, Watch};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST: Digest = 1;

fn start(id: &str, began: u64) -> Start {
    let id = id.into();
    Start { id, began }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn broke(digest: Digest) -> Lost {
    Lost {
        digest,
        alone: false,
        given_up: false,
    }
}

fn given_up(digest: Digest) -> Lost {
    Lost {
        given_up: true,
        ..broke(digest)
    }
}

/// A table in which each backend server of `ends` ended under the request.
fn table(ends: &[&str], alone: bool) -> Table {
    let mut table = Table::default();
    for id in ends {
        table.ended(seconds(1), REQUEST, &start(id, 0), alone);
    }
    table
}

#[googletest::test]
fn one_end_is_chance_two_are_suspicious_and_one_of_a_single_try_decides() {
    let standing = |ends: &[&str], alone| table(ends, alone).standing(REQUEST);

    expect_that!(standing(&[], false), eq(Standing::Free));
    expect_that!(standing(&["a"], false), eq(Standing::Free));
    // Several gateways tell of the same end.
    expect_that!(standing(&["a", "a"], false), eq(Standing::Free));
    expect_that!(standing(&["a", "b"], false), eq(Standing::Suspect));
    expect_that!(
        standing(&["a", "b", "c", "d"], false),
        eq(Standing::Suspect)
    );
    expect_that!(standing(&["a"], true), eq(Standing::Refused));
}

/// Symptom: a sound request that many callers send is refused after a rack was lost. Sequence: it runs
/// everywhere; six backend servers end at once; its next run brings a whole answer. Cause: having been
/// there was taken for having done it.
#[googletest::test]
fn a_whole_answer_closes_the_case_whatever_was_held_against_it() {
    let mut table = table(&["a", "b", "c", "d", "e", "f"], false);
    let before = table.since(0).remove(0);

    let closed = table.close(seconds(2), REQUEST);

    expect_true!(closed);
    expect_that!(table.standing(REQUEST), eq(Standing::Free));
    // Who hears of the ends only now does not open it again.
    table.merge(seconds(3), &before);
    expect_that!(table.standing(REQUEST), eq(Standing::Free));
    // One without a case needs no closing.
    expect_false!(table.close(seconds(3), REQUEST + 1));
}

#[googletest::test]
fn views_of_a_case_merge_to_the_same_in_any_order() {
    let views = [
        table(&["a", "b"], false),
        table(&["c"], true),
        {
            let mut closed = table(&["a"], false);
            closed.close(seconds(2), REQUEST);
            closed
        },
        {
            let mut again = table(&["a"], false);
            again.close(seconds(2), REQUEST);
            again.ended(seconds(3), REQUEST, &start("d", 0), false);
            again
        },
    ];
    let told: Vec<Told> = views.iter().flat_map(|t| t.since(0)).collect();
    let merged = |order: &[usize]| {
        let mut table = Table::default();
        for n in order {
            table.merge(seconds(4), &told[*n]);
        }
        table.get(REQUEST).cloned()
    };

    let first = merged(&[0, 1, 2, 3]);

    for order in [[3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]] {
        expect_that!(merged(&order), eq(&first));
    }
    expect_that!(merged(&[0, 1, 2, 3, 3, 0]), eq(&first));
    let ends: Vec<Start> = first.unwrap_or_default().ends.into_iter().collect();
    expect_that!(ends, eq(&[start("d", 0)]));
}

#[googletest::test]
fn what_is_refused_is_remembered_for_a_day_and_the_rest_for_minutes() {
    let mut open = table(&["a", "b"], false);
    let mut refused = table(&["a"], true);

    for table in [&mut open, &mut refused] {
        table.forget(seconds(602));
    }

    expect_that!(open.standing(REQUEST), eq(Standing::Free));
    expect_that!(refused.standing(REQUEST), eq(Standing::Refused));
    refused.forget(seconds(24 * 3600 + 2));
    expect_that!(refused.standing(REQUEST), eq(Standing::Free));
}

#[googletest::test]
fn tables_are_bounded_and_keep_what_is_refused() {
    let mut table = table(&["a"], true);
    for n in 0..6_000 {
        table.ended(seconds(2), 100 + n, &start("b", 0), false);
    }

    expect_that!(table.since(0).len(), eq(4096));
    expect_that!(table.standing(REQUEST), eq(Standing::Refused));
    for n in 0..400 {
        table.ended(seconds(3), 10_000 + n, &start("c", 0), true);
    }
    expect_that!(table.refused().len(), eq(256));
}

/// Symptom: copies at several gateways end a backend server each. Sequence: two gateways ask for the
/// same request within milliseconds. Cause: both were let.
#[googletest::test]
fn one_try_at_a_time_runs_in_the_fleet() {
    let mut trials = Trials::default();
    let time = seconds(2);

    expect_true!(trials.grant(seconds(1), REQUEST, time));
    expect_false!(trials.grant(seconds(1), REQUEST, time));
    expect_true!(trials.grant(seconds(1), REQUEST + 1, time));

    // Its backend server may have ended: that news takes some time.
    trials.done(seconds(2), REQUEST, false);
    expect_false!(trials.grant(seconds(2), REQUEST, time));
    // A look that opens a connection twice is over 0.6 s later.
    expect_false!(trials.grant(Duration::from_millis(2_600), REQUEST, time));
    expect_true!(trials.grant(seconds(3), REQUEST, time));
    trials.done(seconds(3), REQUEST, true);
    expect_true!(trials.grant(seconds(3), REQUEST, time));
    // A gateway that is gone says nothing.
    expect_true!(trials.grant(seconds(40), REQUEST, time));
}

/// Symptom: requests of a whole group are suspected after one rank ended. Sequence: the other ranks cut
/// their streams off 1.5 s later, and live. Cause: a broken connection was taken for an end.
#[googletest::test]
fn a_run_that_broke_off_counts_only_where_its_backend_server_ended() {
    let mut watch = Watch::default();
    let (ended, lives) = (start("a", 5), start("b", 5));

    let looks = [
        watch.lost(seconds(1), &ended, address(1), broke(1)),
        watch.lost(seconds(1), &ended, address(1), broke(2)),
        watch.lost(seconds(1), &lives, address(2), broke(3)),
    ];
    watch.lives(&lives);
    let end = watch.ended(seconds(1), &ended);
    let later = watch.lost(seconds(1), &ended, address(1), broke(4));

    expect_that!(looks, eq(&[Next::Look, Next::Wait, Next::Look]));
    let told = |runs: &[Digest]| End {
        start: ended.clone(),
        runs: runs.iter().map(|d| (*d, false)).collect(),
    };
    expect_that!(end, some(eq(&told(&[1, 2]))));
    expect_that!(later, eq(&Next::Tell(told(&[4]))));
    expect_that!(watch.ended(seconds(1), &ended), none());
    // One that lives is looked at again, and its run is not held against anybody.
    expect_that!(
        watch.lost(seconds(2), &lives, address(2), broke(5)),
        eq(&Next::Look)
    );
    let end = watch.ended(seconds(2), &lives).unwrap();
    expect_that!(end.runs, eq(&[(5, false)]));
}

/// Symptom: a request ends backend servers and is never suspected. Sequence: its caller leaves just
/// before the end, so that nothing breaks here. Cause: only broken runs counted.
#[googletest::test]
fn runs_that_were_given_up_just_before_an_end_count() {
    let mut watch = Watch::default();
    let there = start("a", 0);
    watch.lost(seconds(1), &there, address(1), given_up(1));
    watch.lost(seconds(4), &there, address(1), given_up(2));
    let next = watch.lost(seconds(4), &there, address(1), broke(3));

    let end = watch.ended(seconds(4), &there).unwrap();

    expect_that!(next, eq(&Next::Look));
    expect_that!(end.runs, eq(&[(2, false), (3, false)]));
}

/// Symptom: a request that makes its backend server fall silent is never suspected. Sequence: nobody
/// answers a look; seconds later another start is there. Cause: only a refused connection counted.
#[googletest::test]
fn a_later_start_shows_the_end_of_the_one_before() {
    for (next, ends) in [
        (start("a", 6), 1),
        (start("b", 9), 1),
        (start("a", 5), 0),
        (start("a", 4), 0),
    ] {
        let mut watch = Watch::default();
        let before = start("a", 5);
        watch.lost(seconds(1), &before, address(1), broke(1));
        watch.unclear(&before);

        let told = watch.followed(seconds(4), &next, Some(address(1)));

        expect_that!(told.len(), eq(ends), "{next:?}");
        let elsewhere = watch.followed(seconds(4), &start("c", 9), Some(address(2)));
        expect_that!(elsewhere, is_empty());
    }
}

#[googletest::test]
fn cases_and_ends_come_back_from_the_wire() {
    let told = table(&["a", "b"], true).since(0).remove(0);
    let end = End {
        start: start("a", 7),
        runs: vec![(REQUEST, true), (REQUEST + 1, false)],
    };

    let case = Told::try_from(bn_wire::messages::Case::from(&told));
    let ended = End::try_from(bn_wire::messages::Ended::from(&end));
    let broken = Told::try_from(bn_wire::messages::Case::default());

    expect_that!(case, ok(eq(&told)));
    expect_that!(ended, ok(eq(&end)));
    expect_that!(broken, err(anything()));
    expect_that!(Case::default().standing(), eq(Standing::Free));
}

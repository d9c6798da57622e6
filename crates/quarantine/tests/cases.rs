//! Unit tests of cases, trials and lost runs.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_quarantine::{
    Case, CaseStatus, CaseUpdate, Digest, LossTracker, LostRun, NextStep, Start, Table,
    Termination, Trials,
};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST: Digest = 1;

fn start(id: &str, start_time: u64) -> Start {
    let id = id.into();
    Start { id, start_time }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn broken(digest: Digest) -> LostRun {
    LostRun {
        digest,
        sole_trial: false,
        abandoned: false,
    }
}

fn abandoned(digest: Digest) -> LostRun {
    LostRun {
        abandoned: true,
        ..broken(digest)
    }
}

/// A table in which each backend server of `servers` terminated under the request.
fn table(servers: &[&str], sole_trial: bool) -> Table {
    let mut table = Table::default();
    for id in servers {
        table.add_termination(seconds(1), REQUEST, &start(id, 0), sole_trial);
    }
    table
}

#[googletest::test]
fn one_termination_is_free_two_are_suspect_and_one_during_a_trial_refuses() {
    let status = |servers: &[&str], sole_trial| table(servers, sole_trial).status(REQUEST);

    expect_that!(status(&[], false), eq(CaseStatus::Free));
    expect_that!(status(&["a"], false), eq(CaseStatus::Free));
    // Several gateways report the same termination.
    expect_that!(status(&["a", "a"], false), eq(CaseStatus::Free));
    expect_that!(status(&["a", "b"], false), eq(CaseStatus::Suspect));
    expect_that!(
        status(&["a", "b", "c", "d"], false),
        eq(CaseStatus::Suspect)
    );
    expect_that!(status(&["a"], true), eq(CaseStatus::Refused));
}

/// Failure: a harmless request that many callers send is refused after the loss of a rack. It runs
/// everywhere; six backend servers terminate at once; its next run gets a complete response. Cause:
/// running at a termination was taken for causing it.
#[googletest::test]
fn a_complete_response_closes_the_case_whatever_the_evidence() {
    let mut table = table(&["a", "b", "c", "d", "e", "f"], false);
    let before = table.since(0).remove(0);

    let closed = table.close(seconds(2), REQUEST);

    expect_true!(closed);
    expect_that!(table.status(REQUEST), eq(CaseStatus::Free));
    // An update with the earlier terminations that arrives late does not reopen the case.
    table.merge(seconds(3), &before);
    expect_that!(table.status(REQUEST), eq(CaseStatus::Free));
    // A request without a case needs no closing.
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
            let mut reopened = table(&["a"], false);
            reopened.close(seconds(2), REQUEST);
            reopened.add_termination(seconds(3), REQUEST, &start("d", 0), false);
            reopened
        },
    ];
    let updates: Vec<CaseUpdate> = views.iter().flat_map(|t| t.since(0)).collect();
    let merged = |order: &[usize]| {
        let mut table = Table::default();
        for n in order {
            table.merge(seconds(4), &updates[*n]);
        }
        table.get(REQUEST).cloned()
    };

    let first = merged(&[0, 1, 2, 3]);

    for order in [[3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]] {
        expect_that!(merged(&order), eq(&first));
    }
    expect_that!(merged(&[0, 1, 2, 3, 3, 0]), eq(&first));
    let case = first.unwrap_or_default();
    let starts: Vec<Start> = case.terminations.into_iter().collect();
    expect_that!(starts, eq(&[start("d", 0)]));
}

#[googletest::test]
fn refusals_are_kept_for_a_day_and_open_cases_for_minutes() {
    let mut open = table(&["a", "b"], false);
    let mut refused = table(&["a"], true);

    for table in [&mut open, &mut refused] {
        table.expire(seconds(602));
    }

    expect_that!(open.status(REQUEST), eq(CaseStatus::Free));
    expect_that!(refused.status(REQUEST), eq(CaseStatus::Refused));
    refused.expire(seconds(24 * 3600 + 2));
    expect_that!(refused.status(REQUEST), eq(CaseStatus::Free));
}

#[googletest::test]
fn tables_are_bounded_and_keep_refusals() {
    let mut table = table(&["a"], true);
    for n in 0..6_000 {
        table.add_termination(seconds(2), 100 + n, &start("b", 0), false);
    }

    expect_that!(table.since(0).len(), eq(4096));
    expect_that!(table.status(REQUEST), eq(CaseStatus::Refused));
    for n in 0..400 {
        table.add_termination(seconds(3), 10_000 + n, &start("c", 0), true);
    }
    expect_that!(table.refused().len(), eq(256));
}

/// Failure: copies of a request at several gateways terminate a backend server each. Two gateways
/// ask for a trial of the same request within milliseconds, and both are granted.
#[googletest::test]
fn one_trial_at_a_time_runs_in_the_fleet() {
    let mut trials = Trials::default();
    let time = seconds(2);

    expect_true!(trials.grant(seconds(1), REQUEST, time));
    expect_false!(trials.grant(seconds(1), REQUEST, time));
    expect_true!(trials.grant(seconds(1), REQUEST + 1, time));

    // Its backend server may have terminated: that report takes some time.
    trials.finish(seconds(2), REQUEST, false);
    expect_false!(trials.grant(seconds(2), REQUEST, time));
    // A probe that opens a connection twice takes 0.6 s.
    expect_false!(trials.grant(Duration::from_millis(2_600), REQUEST, time));
    expect_true!(trials.grant(seconds(3), REQUEST, time));
    trials.finish(seconds(3), REQUEST, true);
    expect_true!(trials.grant(seconds(3), REQUEST, time));
    // A gateway that is gone does not report the end of its trial.
    expect_true!(trials.grant(seconds(40), REQUEST, time));
}

/// Failure: requests of a whole group become suspects after one rank terminated. The other ranks
/// cut off their streams 1.5 s later, and stay alive. Cause: a broken connection was taken for a
/// termination.
#[googletest::test]
fn a_run_that_broke_off_counts_only_if_its_backend_server_terminated() {
    let mut tracker = LossTracker::default();
    let (terminated, alive) = (start("a", 5), start("b", 5));

    let steps = [
        tracker.on_lost(seconds(1), &terminated, address(1), broken(1)),
        tracker.on_lost(seconds(1), &terminated, address(1), broken(2)),
        tracker.on_lost(seconds(1), &alive, address(2), broken(3)),
    ];
    tracker.on_reachable(&alive);
    let first = tracker.on_terminated(seconds(1), &terminated);
    let later = tracker.on_lost(seconds(1), &terminated, address(1), broken(4));

    let expected = [NextStep::Probe, NextStep::Wait, NextStep::Probe];
    expect_that!(steps, eq(&expected));
    let report = |runs: &[Digest]| Termination {
        start: terminated.clone(),
        runs: runs.iter().map(|d| (*d, false)).collect(),
    };
    expect_that!(first, some(eq(&report(&[1, 2]))));
    expect_that!(later, eq(&NextStep::Report(report(&[4]))));
    expect_that!(tracker.on_terminated(seconds(1), &terminated), none());
    // One that is alive is probed again, and its earlier run does not count.
    expect_that!(
        tracker.on_lost(seconds(2), &alive, address(2), broken(5)),
        eq(&NextStep::Probe)
    );
    let second = tracker.on_terminated(seconds(2), &alive).unwrap();
    expect_that!(second.runs, eq(&[(5, false)]));
}

/// Failure: a request terminates backend servers and never becomes a suspect. Its caller leaves
/// just before the termination, so that no connection breaks here. Cause: only broken runs counted.
#[googletest::test]
fn runs_that_were_abandoned_just_before_a_termination_count() {
    let mut tracker = LossTracker::default();
    let server = start("a", 0);
    tracker.on_lost(seconds(1), &server, address(1), abandoned(1));
    tracker.on_lost(seconds(4), &server, address(1), abandoned(2));
    let next = tracker.on_lost(seconds(4), &server, address(1), broken(3));

    let termination = tracker.on_terminated(seconds(4), &server).unwrap();

    expect_that!(next, eq(&NextStep::Probe));
    expect_that!(termination.runs, eq(&[(2, false), (3, false)]));
}

/// Failure: a request that makes its backend server go silent never becomes a suspect. A probe gets
/// no answer; seconds later another start is there. Cause: only a refused connection counted.
#[googletest::test]
fn a_later_start_proves_the_termination_of_the_one_before() {
    for (next, count) in [
        (start("a", 6), 1),
        (start("b", 9), 1),
        (start("a", 5), 0),
        (start("a", 4), 0),
    ] {
        let mut tracker = LossTracker::default();
        let before = start("a", 5);
        tracker.on_lost(seconds(1), &before, address(1), broken(1));
        tracker.on_inconclusive(&before);

        let terminated = tracker.on_start(seconds(4), &next, Some(address(1)));

        expect_that!(terminated.len(), eq(count), "{next:?}");
        let elsewhere = tracker.on_start(seconds(4), &start("c", 9), Some(address(2)));
        expect_that!(elsewhere, is_empty());
    }
}

#[googletest::test]
fn cases_and_terminations_survive_the_wire_format() {
    let update = table(&["a", "b"], true).since(0).remove(0);
    let termination = Termination {
        start: start("a", 7),
        runs: vec![(REQUEST, true), (REQUEST + 1, false)],
    };

    let case = CaseUpdate::try_from(bn_wire::messages::Case::from(&update));
    let ended = Termination::try_from(bn_wire::messages::Ended::from(&termination));
    let invalid = CaseUpdate::try_from(bn_wire::messages::Case::default());

    expect_that!(case, ok(eq(&update)));
    expect_that!(ended, ok(eq(&termination)));
    expect_that!(invalid, err(anything()));
    expect_that!(Case::default().status(), eq(CaseStatus::Free));
}

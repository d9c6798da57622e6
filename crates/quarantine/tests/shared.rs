//! Unit tests of what requests share: the cases of parts of prompts, and their trials.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_quarantine::{
    AskStep, Asks, CaseStatus, CaseUpdate, Digest, Kind, Start, Table, Trials, Verdict, digest,
    part_digest,
};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn part(id: u64) -> Digest {
    part_digest("engines", id)
}

fn start(number: u64) -> Start {
    Start {
        id: format!("s{number}"),
        start_time: 0,
    }
}

/// Adds terminations of the backend servers `from` to `to` under each of `parts`.
fn terminate(table: &mut Table, parts: &[Digest], from: u64, to: u64, sole_trial: bool) {
    for number in from..to {
        for digest in parts {
            table.add_termination(seconds(1), *digest, &start(number), sole_trial);
        }
    }
}

/// A table in which the parts were tried together, at their third termination.
fn tried_jointly(parts: &[Digest]) -> Table {
    let mut table = Table::default();
    terminate(&mut table, parts, 0, 3, false);
    table.refuse_jointly(seconds(1), parts);
    table
}

#[googletest::test]
fn digests_of_parts_are_bound_to_the_service_and_name_the_part() {
    let (here, elsewhere) = (part(0xbad), part_digest("others", 0xbad));

    expect_that!(Kind::of(here), eq(Kind::Part(0xbad)));
    expect_that!(Kind::of(elsewhere), eq(Kind::Part(0xbad)));
    expect_that!(here, ne(elsewhere));
    expect_that!(Kind::of(digest(&[b"request"])), eq(Kind::Request));
}

/// Failure: a part that many requests share is refused after a coincidence. A trial is ended by
/// something else, where only one termination is counted.
#[googletest::test]
fn a_part_is_refused_by_the_end_of_a_trial_that_is_at_least_its_third_termination() {
    let status = |terminations: u64, sole_trial| {
        let mut table = Table::default();
        terminate(&mut table, &[part(1)], 0, terminations, sole_trial);
        table.status(part(1))
    };

    expect_that!(status(1, false), eq(CaseStatus::Free));
    expect_that!(status(1, true), eq(CaseStatus::Free));
    expect_that!(status(2, false), eq(CaseStatus::Suspect));
    expect_that!(status(2, true), eq(CaseStatus::Suspect));
    expect_that!(status(3, true), eq(CaseStatus::Refused));
    // A common crash is no proof, however many backend servers it takes.
    expect_that!(status(8, false), eq(CaseStatus::Suspect));
}

/// Failure: sound requests are refused because they share one part with bad ones that always hold
/// two suspects: any of the two may be the cause.
#[googletest::test]
fn parts_that_were_tried_together_are_refused_only_together() {
    let table = tried_jointly(&[part(1), part(2)]);

    let both = table.verdict([part(1), part(2), 77]);
    let one = table.verdict([part(1), 77]);

    expect_that!(both.refused, some(anything()));
    let expected = Verdict {
        refused: None,
        suspects: vec![part(1)],
    };
    expect_that!(one, eq(&expected));
}

#[googletest::test]
fn a_part_is_refused_alone_once_its_partners_are_cleared() {
    let mut table = tried_jointly(&[part(1), part(2)]);

    table.close(seconds(2), part(1));

    expect_that!(table.status(part(1)), eq(CaseStatus::Free));
    expect_that!(table.status(part(2)), eq(CaseStatus::Refused));
}

#[googletest::test]
fn a_second_joint_trial_leaves_the_parts_that_were_in_both() {
    let mut table = tried_jointly(&[part(1), part(2), part(3)]);

    table.refuse_jointly(seconds(2), &[part(1), part(2), part(4)]);

    expect_that!(table.verdict([part(1), part(2)]).refused, some(anything()));
    expect_that!(table.verdict([part(1), part(3)]).refused, none());
    // A trial of one alone leaves no doubt.
    terminate(&mut table, &[part(2)], 3, 4, true);
    expect_that!(table.status(part(2)), eq(CaseStatus::Refused));
}

/// Failure: an operator pardons one of two parts that are refused together, and the blame passes to
/// the other.
#[googletest::test]
fn a_pardon_also_closes_the_cases_of_partners() {
    let mut table = tried_jointly(&[part(1), part(2)]);

    let mut closed = table.pardon(seconds(2), part(1));

    closed.sort_unstable();
    expect_that!(closed, eq(&[part(1), part(2)]));
    expect_that!(table.status(part(2)), eq(CaseStatus::Free));
    expect_false!(table.has_shared());
    expect_that!(table.pardon(seconds(2), part(9)), is_empty());
}

#[googletest::test]
fn views_of_partners_merge_to_the_same_in_any_order() {
    let (parts, others) = ([part(1), part(2), part(3)], [part(1), part(2), part(4)]);
    let mut sole = tried_jointly(&[part(2)]);
    terminate(&mut sole, &[part(2)], 0, 3, true);
    let views = [tried_jointly(&parts), tried_jointly(&others), sole];
    let updates: Vec<Vec<CaseUpdate>> = views.iter().map(|t| t.since(0)).collect();
    let merged = |order: &[usize]| {
        let mut table = Table::default();
        for update in order.iter().flat_map(|n| &updates[*n]) {
            let wire = bn_wire::messages::Case::from(update);
            table.merge(seconds(2), &CaseUpdate::try_from(wire).unwrap());
        }
        [1, 2, 3, 4].map(|id| table.get(part(id)).cloned())
    };

    let first = merged(&[0, 1, 2]);

    for order in [[2, 1, 0], [1, 0, 2], [2, 0, 1]] {
        expect_that!(merged(&order), eq(&first));
    }
    let second = first[1].clone().unwrap();
    expect_true!(second.refused && second.partners.is_empty());
    expect_that!(first[0].clone().unwrap().partners.len(), eq(1));
}

/// Failure: a sound part is refused for a day after coincidences. Nothing can clear it, since
/// nothing with it is sent.
#[googletest::test]
fn a_refused_part_is_tried_again_after_a_time_that_grows_with_its_terminations() {
    for (terminations, retention) in [(3, 600), (4, 2_400), (5, 9_600), (8, 86_400)] {
        let mut table = Table::default();
        terminate(&mut table, &[part(1)], 0, terminations, true);

        table.expire(seconds(retention));
        let before = table.status(part(1));
        let refused = table.since(0).remove(0);
        table.expire(seconds(retention + 1));
        let after = table.status(part(1));

        expect_that!(before, eq(CaseStatus::Refused), "{terminations}");
        expect_that!(after, eq(CaseStatus::Suspect), "{terminations}");
        // Another process that still refuses it does not undo that.
        table.merge(seconds(retention + 2), &refused);
        expect_that!(table.status(part(1)), eq(CaseStatus::Suspect));
        // The end of the next trial does.
        terminate(&mut table, &[part(1)], 20, 21, true);
        expect_that!(table.status(part(1)), eq(CaseStatus::Refused));
    }
}

/// Failure: a sound request with two suspects, one of which is bad, is tried before requests with
/// one of them, and says nothing about either.
#[googletest::test]
fn requests_with_one_suspect_are_tried_before_those_with_several() {
    let mut trials = Trials::default();
    let (time, both) = (seconds(1), [part(1), part(2)]);
    let at = |ms: u64| Duration::from_millis(ms);

    expect_false!(trials.grant_all(at(0), None, &both, time, false));
    expect_true!(trials.grant(at(100), part(1), time));
    expect_false!(trials.grant_all(at(1_100), None, &both, time, false));
    trials.finish(at(1_200), part(1), false);
    expect_true!(trials.grant_all(at(2_200), None, &both, time, false));
    expect_that!(trials.joint_of(&[part(2), 5, part(1)]), some(eq(&both)));
    expect_that!(trials.joint_of(&[part(2), 5]), none());
    // Neither runs elsewhere meanwhile.
    expect_false!(trials.grant(at(2_300), part(2), time));
}

#[googletest::test]
fn suspects_that_were_tried_together_need_no_delay_in_a_smaller_set() {
    let mut trials = Trials::default();
    let table = tried_jointly(&[part(1), part(2), part(3)]);
    let some_of_them = [part(1), part(3)];

    let tried = table.all_tried(&some_of_them);

    expect_true!(trials.grant_all(seconds(5), None, &some_of_them, seconds(1), tried));
    expect_false!(table.all_tried(&[part(1), part(4)]));
}

/// Failure: a gateway that no leader answers sends nothing with a hot part, or everything.
#[googletest::test]
fn a_gateway_tries_shared_suspects_itself_once_no_leader_has_answered_for_a_second() {
    let mut asks = Asks::default();
    let at = |ms: u64| Duration::from_millis(ms);
    let step = |asks: &mut Asks, ms: u64, suspects: &[Digest]| {
        asks.next_step(at(ms), suspects, seconds(8), false)
    };

    expect_that!(step(&mut asks, 0, &[part(1)]), eq(AskStep::AskLeader));
    // One question at a time about the same suspects.
    expect_that!(step(&mut asks, 50, &[part(1)]), eq(AskStep::Hold));
    expect_that!(
        step(&mut asks, 60, &[part(1), part(2)]),
        eq(AskStep::AskLeader)
    );
    asks.on_timeout(at(0));
    expect_that!(step(&mut asks, 900, &[part(1)]), eq(AskStep::AskLeader));
    expect_that!(step(&mut asks, 1_100, &[part(1)]), eq(AskStep::TryHere));
    expect_that!(step(&mut asks, 1_300, &[part(1)]), eq(AskStep::Hold));
    asks.finish(at(1_350), part(1), true);
    expect_that!(step(&mut asks, 1_400, &[part(1)]), eq(AskStep::TryHere));
    expect_that!(
        step(&mut asks, 1_450, &[part(3), part(4)]),
        eq(AskStep::HoldHere)
    );
    asks.finish(at(1_500), part(1), true);
    // A request's own case waits for the leader.
    expect_that!(step(&mut asks, 1_400, &[77]), eq(AskStep::AskLeader));
    asks.on_answer();
    expect_that!(step(&mut asks, 1_600, &[part(1)]), eq(AskStep::AskLeader));
}

/// Failure: requests with a hot part are held for seconds, because the answer that grants a trial to a
/// gateway is lost.
#[googletest::test]
fn a_gateway_that_asks_again_gets_the_trial_whose_grant_was_lost() {
    let mut trials = Trials::default();
    let holder = |port: u16| Some(SocketAddr::from(([127, 0, 0, 1], port)));
    let mut grant =
        |port: u16| trials.grant_all(seconds(1), holder(port), &[part(1)], seconds(1), false);

    expect_true!(grant(1));
    expect_false!(grant(2));
    expect_true!(grant(1));
}

#[googletest::test]
fn a_gateway_with_a_trial_does_not_ask_for_the_same_suspects() {
    let mut asks = Asks::default();
    asks.on_granted(seconds(1), &[part(1)], seconds(1));
    let mut step =
        |ms: u64, suspect| asks.next_step(Duration::from_millis(ms), &[suspect], seconds(8), false);

    expect_that!(step(1_500, part(1)), eq(AskStep::Hold));
    expect_that!(step(1_500, part(2)), eq(AskStep::AskLeader));
    // Its gateway may have missed the end of it.
    expect_that!(step(2_900, part(1)), eq(AskStep::AskLeader));
}

#[googletest::test]
fn a_gateway_that_hears_of_no_coordinator_does_not_wait_for_a_leader() {
    let step = |heard_at, polled_at| {
        let mut asks = Asks::default();
        asks.on_poll(seconds(polled_at), seconds(heard_at));
        asks.next_step(seconds(polled_at), &[part(1)], seconds(8), false)
    };

    expect_that!(step(10, 11), eq(AskStep::AskLeader));
    expect_that!(step(10, 12), eq(AskStep::TryHere));
}

/// Failure: a sound part is refused because its trial ran where another part's did, and that one ended
/// the backend server.
#[googletest::test]
fn parts_whose_only_trials_were_at_one_backend_server_are_refused_only_together() {
    let mut table = Table::default();
    terminate(&mut table, &[part(1), part(2)], 0, 2, false);
    terminate(&mut table, &[part(1), part(2)], 2, 3, true);

    let one_of_them = table.status(part(1));
    let both = table.verdict([part(1), part(2)]);
    // A second trial of one, elsewhere, tells.
    terminate(&mut table, &[part(2)], 3, 4, true);

    expect_that!(one_of_them, eq(CaseStatus::Suspect));
    expect_that!(both.refused, some(anything()));
    expect_that!(table.status(part(2)), eq(CaseStatus::Refused));
    expect_that!(table.status(part(1)), eq(CaseStatus::Suspect));
}

/// Failure: the trial of a sound part is ended by a bad request that was sent before its part was a
/// suspect.
#[googletest::test]
fn no_trial_of_a_part_begins_just_after_a_termination_under_it() {
    let mut table = Table::default();
    terminate(&mut table, &[part(1)], 0, 2, false);
    let at = |ms: u64| Duration::from_millis(ms);

    expect_false!(table.is_settled(at(1_299), &[part(1)]));
    expect_true!(table.is_settled(at(1_300), &[part(1)]));
    expect_true!(table.is_settled(at(1_000), &[77, part(2)]));
}

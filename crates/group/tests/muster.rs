//! Which engines form which group.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::GroupDiscovery;
use bn_group::switch_controller::{Call, EngineReport, Reply};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn engines() -> Vec<String> {
    (0..6).map(|n| format!("e{n}")).collect()
}

/// The report of a rank: even engines form one group, odd ones another.
fn report(engine: &str) -> Reply {
    let number: u32 = engine[1..].parse().unwrap();
    Reply::Report(EngineReport {
        group: if number.is_multiple_of(2) {
            "even"
        } else {
            "odd"
        }
        .into(),
        rank: number / 2,
        size: 3,
        open: true,
        ..EngineReport::default()
    })
}

fn answer(muster: &mut GroupDiscovery, calls: Vec<Call>) {
    for call in calls {
        muster.reply(call.id, report(&call.engine));
    }
}

/// Symptom: no map is ever switched where a service has two groups. Sequence: all engines of
/// the service are taken for one group. Cause: nobody asked which they belong to.
#[googletest::test]
fn groups_are_learnt_from_what_ranks_report() {
    let mut muster = GroupDiscovery::new(0);

    let calls = muster.tick(NOW, &engines(), |_| false);
    answer(&mut muster, calls);

    expect_that!(
        muster.complete_groups(),
        elements_are![eq("even"), eq("odd")]
    );
    expect_that!(muster.members("odd").len(), eq(3));
    expect_that!(muster.tick(NOW, &engines(), |_| false).len(), eq(0));
}

/// Symptom: a group is steered with a rank missing, or never again. Sequence: a rank crashes and
/// its successor has not reported yet. Cause: a group was taken for whole too early, or what was
/// known of it for sure.
#[googletest::test]
fn a_group_with_an_unknown_rank_is_not_whole_and_unsure_ones_are_asked_again() {
    let mut muster = GroupDiscovery::new(0);
    let calls = muster.tick(NOW, &engines(), |_| false);
    answer(&mut muster, calls);
    let mut later = engines();
    later[2] = "e8".into();

    let calls = muster.tick(NOW, &later, |_| false);
    let whole = muster.complete_groups().to_vec();
    let asked: Vec<String> = calls.iter().map(|c| c.engine.clone()).collect();
    muster.reply(calls[0].id, Reply::Silent);
    let again = muster.tick(NOW + Duration::from_secs(1), &later, |g| g == "odd");

    expect_that!(whole, eq(&vec!["odd".to_string()]));
    // The others of its group, too: it may have formed anew without the one that is gone.
    expect_that!(asked, eq(&vec!["e0".to_string(), "e8".into(), "e4".into()]));
    // The odd ones, and those even ones whose group lacks a rank.
    expect_that!(again.len(), eq(6));
}

/// Symptom: maps of a group are never switched again after one of its ranks was taken away.
/// Sequence: the rank drains and leaves; the others form the group anew with one rank less.
/// Cause: it was waited for the rank that is gone, and nobody was asked again.
#[googletest::test]
fn a_group_that_lost_a_rank_is_learnt_anew() {
    let mut muster = GroupDiscovery::new(0);
    let calls = muster.tick(NOW, &engines(), |_| false);
    answer(&mut muster, calls);
    let left: Vec<String> = engines().into_iter().filter(|e| e != "e2").collect();
    let smaller = |engine: &str| match report(engine) {
        Reply::Report(view) if view.group == "even" => {
            Reply::Report(EngineReport { size: 2, ..view })
        }
        other => other,
    };

    let calls = muster.tick(NOW + Duration::from_secs(1), &left, |_| false);
    let before = muster.complete_groups().to_vec();
    for call in &calls {
        muster.reply(call.id, smaller(&call.engine));
    }

    expect_that!(calls.len(), eq(2));
    expect_that!(before, eq(&vec!["odd".to_string()]));
    expect_that!(muster.complete_groups().len(), eq(2));
}

/// Symptom: a new leader takes seconds for its first map. Sequence: it learns of 192 engines one
/// after the other, and of the group of each. Cause: what one engine told was told of all again.
#[googletest::test]
fn a_reply_tells_the_group_of_the_engine_that_made_it() {
    let mut muster = GroupDiscovery::new(0);
    let calls = muster.tick(NOW, &engines(), |_| false);
    let replies = calls.iter().map(|c| muster.reply(c.id, report(&c.engine)));

    let told: Vec<(String, String)> = replies.flatten().collect();

    expect_that!(told.len(), eq(6));
    expect_that!(told[3], eq(&("e3".to_string(), "odd".to_string())));
    expect_that!(muster.reply(calls[0].id, report("e0")), none());
}

//! Tests of the discovery of groups: which engines form which group.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::GroupDiscovery;
use bn_group::switch_controller::{Call, EngineReport, Reply};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn engines() -> Vec<String> {
    (0..6).map(|n| format!("e{n}")).collect()
}

/// Report of a rank: engines with even numbers form one group, those with odd numbers another.
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

fn reply_to_all(discovery: &mut GroupDiscovery, calls: Vec<Call>) {
    for call in calls {
        discovery.reply(call.id, report(&call.engine));
    }
}

/// Guards against maps that are never switched when a service has two groups, because all engines
/// of the service were taken for one group without being queried for theirs.
#[googletest::test]
fn groups_are_discovered_from_rank_reports() {
    let mut discovery = GroupDiscovery::new(0);

    let calls = discovery.tick(NOW, &engines(), |_| false);
    reply_to_all(&mut discovery, calls);

    expect_that!(
        discovery.complete_groups(),
        elements_are![eq("even"), eq("odd")]
    );
    expect_that!(discovery.members("odd").len(), eq(3));
    expect_that!(discovery.tick(NOW, &engines(), |_| false).len(), eq(0));
}

/// Guards against a group that is controlled while a rank is missing, or never again: a rank has
/// crashed, its successor has not reported yet, and the group was considered complete too early, or
/// its last known ranks were considered certain.
#[googletest::test]
fn a_group_with_an_unknown_rank_is_incomplete_and_uncertain_groups_are_queried_again() {
    let mut discovery = GroupDiscovery::new(0);
    let calls = discovery.tick(NOW, &engines(), |_| false);
    reply_to_all(&mut discovery, calls);
    let mut later = engines();
    later[2] = "e8".into();

    let calls = discovery.tick(NOW, &later, |_| false);
    let complete = discovery.complete_groups().to_vec();
    let queried: Vec<String> = calls.iter().map(|c| c.engine.clone()).collect();
    discovery.reply(calls[0].id, Reply::Silent);
    let repeated = discovery.tick(NOW + Duration::from_secs(1), &later, |g| g == "odd");

    expect_that!(complete, eq(&vec!["odd".to_string()]));
    // The other ranks of its group too: it may have re-formed without the missing rank.
    expect_that!(
        queried,
        eq(&vec!["e0".to_string(), "e8".into(), "e4".into()])
    );
    // All of the odd group, and those of the even group, which lacks a rank.
    expect_that!(repeated.len(), eq(6));
}

/// Guards against a group whose maps are never switched again after one of its ranks was removed:
/// the rank drains and leaves, the others re-form the group with one rank less, but discovery
/// waited for the removed rank and queried none of the others again.
#[googletest::test]
fn a_group_that_lost_a_rank_is_discovered_again() {
    let mut discovery = GroupDiscovery::new(0);
    let calls = discovery.tick(NOW, &engines(), |_| false);
    reply_to_all(&mut discovery, calls);
    let remaining: Vec<String> = engines().into_iter().filter(|e| e != "e2").collect();
    let smaller = |engine: &str| match report(engine) {
        Reply::Report(reported) if reported.group == "even" => Reply::Report(EngineReport {
            size: 2,
            ..reported
        }),
        other => other,
    };

    let calls = discovery.tick(NOW + Duration::from_secs(1), &remaining, |_| false);
    let before = discovery.complete_groups().to_vec();
    for call in &calls {
        discovery.reply(call.id, smaller(&call.engine));
    }

    expect_that!(calls.len(), eq(2));
    expect_that!(before, eq(&vec!["odd".to_string()]));
    expect_that!(discovery.complete_groups().len(), eq(2));
}

/// Guards against a new leader that takes seconds for its first map: it discovers 192 engines and
/// their groups one by one, and each reply returned the groups of all engines again.
#[googletest::test]
fn a_reply_returns_the_group_of_its_engine_only() {
    let mut discovery = GroupDiscovery::new(0);
    let calls = discovery.tick(NOW, &engines(), |_| false);
    let replies = calls
        .iter()
        .map(|c| discovery.reply(c.id, report(&c.engine)));

    let groups: Vec<(String, String)> = replies.flatten().collect();

    expect_that!(groups.len(), eq(6));
    expect_that!(groups[3], eq(&("e3".to_string(), "odd".to_string())));
    expect_that!(discovery.reply(calls[0].id, report("e0")), none());
}

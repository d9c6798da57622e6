//! Which engines form which group.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_group::Muster;
use bn_group::pilot::{Call, Reply, View};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn engines() -> Vec<String> {
    (0..6).map(|n| format!("e{n}")).collect()
}

/// The report of a rank: even engines form one group, odd ones another.
fn report(engine: &str) -> Reply {
    let number: u32 = engine[1..].parse().unwrap();
    Reply::View(View {
        group: if number.is_multiple_of(2) {
            "even"
        } else {
            "odd"
        }
        .into(),
        rank: number / 2,
        size: 3,
        open: true,
        ..View::default()
    })
}

fn answer(muster: &mut Muster, calls: Vec<Call>) {
    for call in calls {
        muster.reply(call.call, report(&call.engine));
    }
}

/// Symptom: no map is ever switched where a service has two groups. Sequence: all engines of
/// the service are taken for one group. Cause: nobody asked which they belong to.
#[googletest::test]
fn groups_are_learnt_from_what_ranks_report() {
    let mut muster = Muster::new(0);

    let calls = muster.tick(NOW, &engines(), |_| false);
    answer(&mut muster, calls);

    expect_that!(muster.whole(), eq(&vec!["even".to_string(), "odd".into()]));
    expect_that!(muster.members("odd").len(), eq(3));
    expect_that!(muster.tick(NOW, &engines(), |_| false).len(), eq(0));
}

/// Symptom: a group is steered with a rank missing, or never again. Sequence: a rank crashes and
/// its successor has not reported yet. Cause: a group was taken for whole too early, or what was
/// known of it for sure.
#[googletest::test]
fn a_group_with_an_unknown_rank_is_not_whole_and_unsure_ones_are_asked_again() {
    let mut muster = Muster::new(0);
    let calls = muster.tick(NOW, &engines(), |_| false);
    answer(&mut muster, calls);
    let mut later = engines();
    later[2] = "e8".into();

    let calls = muster.tick(NOW, &later, |_| false);
    let whole = muster.whole();
    let asked: Vec<String> = calls.iter().map(|c| c.engine.clone()).collect();
    muster.reply(calls[0].call, Reply::Silent);
    let again = muster.tick(NOW + Duration::from_secs(1), &later, |g| g == "odd");

    expect_that!(whole, eq(&vec!["odd".to_string()]));
    expect_that!(asked, eq(&vec!["e8".to_string()]));
    expect_that!(again.len(), eq(4));
}

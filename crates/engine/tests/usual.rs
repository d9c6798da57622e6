//! How long a call waits for its answer.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_engine::Usual;
use googletest::prelude::*;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn after(answers: u32, took: Duration) -> Duration {
    let usual = Usual::default();
    (0..answers).for_each(|_| usual.took(took));
    usual.timeout()
}

/// Symptom: a group stands still for an eighth of a second whenever an answer to the order
/// to go on is lost. Sequence: answers take 4 ms; the order is repeated after 120. Cause: one
/// timeout for leaders with little and with much to do.
#[googletest::test]
fn where_answers_are_quick_a_lost_one_is_missed_soon() {
    expect_that!(after(50, ms(4)), all![gt(ms(40)), lt(ms(60))]);
}

#[googletest::test]
fn where_answers_are_slow_they_are_waited_for() {
    expect_that!(after(50, ms(15)), gt(ms(90)));
    expect_that!(after(50, ms(500)), eq(ms(120)));
}

//! Positions in the changes of other coordinators.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_coordinator::{AnswerRange, PeerCursor};
use googletest::prelude::*;

fn answer(incarnation: u64, after: u64, cursor: u64) -> AnswerRange {
    AnswerRange {
        incarnation,
        after,
        cursor,
        case_cursor: cursor,
    }
}

/// Guards against a coordinator that never learns of backend servers: it restarts, an answer to a
/// poll of its earlier incarnation arrives, and its range was taken for known.
#[googletest::test]
fn a_late_answer_to_an_earlier_incarnation_does_not_hide_changes() {
    let mut known = PeerCursor::default();

    known.on_answer(answer(7, 90, 95));
    let late = known;
    known.on_answer(answer(7, 0, 96));

    expect_that!((late.cursor, late.case_cursor), eq((0, 0)));
    expect_that!((known.cursor, known.case_cursor), eq((96, 96)));
}

#[googletest::test]
fn another_incarnation_is_read_from_the_start() {
    let mut known = PeerCursor::default();
    known.on_answer(answer(7, 0, 95));

    known.on_answer(answer(8, 0, 3));
    let restarted = known;
    known.on_answer(answer(8, 3, 5));
    known.on_answer(answer(8, 0, 4));

    expect_that!((restarted.incarnation, restarted.cursor), eq((8, 3)));
    expect_that!(known.cursor, eq(5));
}

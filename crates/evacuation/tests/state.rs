//! The effect of orders on the state, and the names that orders may have.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_evacuation::{AppendedOrders, Applied, Evacuations, Order, StallGuard, is_valid_name};
use bn_wire::messages as wire;
use googletest::prelude::*;
use std::time::Duration;

fn order(domain: &str, evacuated: bool, base: u64) -> Order {
    Order {
        id: 1,
        domain: domain.into(),
        evacuated,
        base,
    }
}

/// Guards against a delayed repeat that takes effect after an order of the opposite kind: an order
/// that changed nothing left the revision as it was.
#[googletest::test]
fn an_order_with_an_old_base_is_void() {
    let mut state = Evacuations::default();

    let results = [
        state.apply(4, &order("d1", true, 0)),
        state.apply(5, &order("d1", true, 4)),
        state.apply(6, &order("d1", true, 4)),
        state.apply(7, &order("d1", false, 5)),
        state.apply(8, &order("d1", true, 5)),
    ];

    let (force, void) = (Applied::InForce, Applied::Void);
    expect_that!(results, eq([force, force, void, force, void]));
    expect_that!((state.revision, state.domains.len()), eq((7, 0)));
}

#[googletest::test]
fn evacuations_keep_the_index_from_which_they_hold() {
    let mut state = Evacuations::default();
    state.apply(4, &order("d1", true, 0));
    state.apply(5, &order("d2", true, 4));
    state.apply(6, &order("d1", true, 5));

    let decoded = Evacuations::try_from(wire::Evacuations::from(&state)).unwrap();

    expect_that!(decoded, eq(&state));
    expect_that!((state.domains["d1"], state.domains["d2"]), eq((4, 5)));
    expect_false!(state.advance_to(Evacuations::default()));
}

/// Guards against a log that grows with every repeat of an order.
#[googletest::test]
fn a_leader_appends_an_order_once_per_term_unless_it_is_void() {
    let mut appended = AppendedOrders::default();
    let order = order("d1", true, 4);

    let results = [(1, 3), (1, 4), (2, 4), (2, 5)]
        .map(|(term, revision)| appended.admit(term, revision, &order));

    expect_that!(results, eq([true, false, true, false]));
}

#[googletest::test]
fn names_have_up_to_64_letters_digits_and_three_signs() {
    let longest = "a".repeat(64);
    for valid in ["d1", "Zone-b_2.x", &longest] {
        expect_true!(is_valid_name(valid), "{valid}");
    }
    let too_long = "a".repeat(65);
    for invalid in ["", &too_long, "a b", "a/b", "%41", "\u{e9}", "a\n"] {
        expect_false!(is_valid_name(invalid), "{invalid}");
        let raw = wire::EvacuationOrder {
            domain: invalid.into(),
            ..wire::EvacuationOrder::default()
        };
        expect_that!(Order::try_from(raw), err(anything()));
    }
}

/// Guards against an order that waited in the socket of a stopped process and is proposed when it
/// continues, after a later order was acknowledged elsewhere.
#[googletest::test]
fn calls_are_refused_for_a_second_after_a_stall() {
    let ms = Duration::from_millis;
    let mut guard = StallGuard::new(ms(0));
    guard.on_iteration(ms(300));

    let before = guard.refuses(ms(310));
    let within_iteration = guard.refuses(ms(800));
    guard.on_iteration(ms(900));
    let after = (guard.refuses(ms(901)), guard.refuses(ms(1_899)));
    guard.on_iteration(ms(1_200));
    guard.on_iteration(ms(1_600));
    guard.on_iteration(ms(1_900));

    expect_that!((before, within_iteration), eq((false, true)));
    expect_that!(after, eq((true, true)));
    expect_false!(guard.refuses(ms(1_901)));
}

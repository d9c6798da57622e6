//! The operator language: parsing, positions of syntax errors, and `show`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_query::{Cell, DrainTarget, Error, ObjectKind, Show, Statement, Table, parse, select};
use googletest::prelude::*;

fn show(text: &str) -> Show {
    match parse(text).unwrap().remove(0) {
        Statement::Show(show) => show,
        other => panic!("{other:?}"),
    }
}

fn backends() -> Table {
    let mut t = Table::new(&["backend", "state", "load"]);
    for (name, state, load) in [
        ("n1", "serving", 3.0),
        ("n2", "leaving", 10.0),
        ("n3", "serving", 1.5),
    ] {
        t.rows.push(vec![name.into(), state.into(), load.into()]);
    }
    t
}

fn first_column(table: &Table) -> Vec<String> {
    table.rows.iter().map(|r| r[0].to_string()).collect()
}

#[gtest]
fn a_command_holds_several_statements() -> Result<()> {
    let text = "create account a1 key=\"k 1\" rate=5; -- a comment\n drain backend n1;";

    let statements = parse(text)?;

    verify_that!(statements.len(), eq(2))?;
    verify_that!(
        statements[1],
        eq(&Statement::Drain(DrainTarget::Backend, "n1".into()))
    )?;
    let Statement::Create(ObjectKind::Account, name, settings) = &statements[0] else {
        panic!()
    };
    verify_that!(name.as_str(), eq("a1"))?;
    verify_that!(settings[0].value.as_str(), eq("k 1"))
}

/// Input, then line and column of the syntax error.
const INVALID: [(&str, usize, usize); 6] = [
    ("", 1, 1),
    ("frobnicate x", 1, 1),
    ("drain backend", 1, 14),
    ("drain n1", 1, 7),
    ("create account a1 rate=", 1, 24),
    ("show backends;\nshow backends limit x", 2, 21),
];

#[gtest]
fn syntax_errors_give_line_and_column() {
    for (text, line, column) in INVALID {
        match parse(text) {
            Err(Error::Syntax {
                line: l, column: c, ..
            }) => {
                expect_that!((l, c), eq((line, column)), "{text:?}");
            }
            other => panic!("{text:?}: {other:?}"),
        }
    }
}

/// Query, then the first column of the rows it selects.
const QUERIES: [(&str, &[&str]); 7] = [
    ("show backends", &["n1", "n2", "n3"]),
    ("show backends where state = serving", &["n1", "n3"]),
    ("show backends where state != serving", &["n2"]),
    ("show backends where load > 2 and load <= 10", &["n1", "n2"]),
    ("show backends sort by load desc limit 2", &["n2", "n1"]),
    ("show backends where backend ~ 3", &["n3"]),
    ("SHOW backends (backend) SORT BY load", &["n3", "n1", "n2"]),
];

#[gtest]
fn show_filters_sorts_and_limits() -> Result<()> {
    for (text, rows) in QUERIES {
        let table = select(&show(text), backends())?;
        expect_that!(first_column(&table), eq(&rows.to_vec()), "{text}");
    }
    Ok(())
}

#[gtest]
fn an_unknown_column_is_reported_with_the_existing_ones() {
    let outcome = select(&show("show backends where colour = red"), backends());

    let known = "backend, state, load".to_string();
    expect_that!(
        outcome,
        err(eq(&Error::UnknownColumn {
            column: "colour".into(),
            known
        }))
    );
}

#[gtest]
fn numbers_compare_as_numbers() {
    expect_that!(Cell::from(3.0).to_string(), eq("3"));
    let table = select(&show("show backends where load < 10"), backends()).unwrap();
    expect_that!(first_column(&table), eq(&vec!["n1", "n3"]));
}

proptest::proptest! {
    /// Parsing any text returns statements or an error.
    #[test]
    fn parsing_any_text_does_not_panic(text in "\\PC{0,80}") {
        let _ = parse(&text);
    }

    /// Parsing nearly valid text returns statements or an error.
    #[test]
    fn parsing_nearly_valid_text_does_not_panic(text in "(show|create|drain|alter|;|=|\"|backend|account|where| |n1|--){0,20}") {
        let _ = parse(&text);
    }
}

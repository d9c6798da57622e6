//! Validation of settings: all errors are reported at once, with field and remedy.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_conf::{Error, parse};
use googletest::prelude::*;

fn fields(text: &str) -> Vec<String> {
    match parse(text) {
        Err(Error::Invalid { errors }) => errors.into_iter().map(|f| f.field).collect(),
        other => panic!("{text}: {other:?}"),
    }
}

const VALID: &str = r#"{"id": "e1", "domain": "d", "inbox": "127.0.0.1:1", "operators":
    "127.0.0.1:2", "entry": {"callers": "127.0.0.1:3", "control": ["127.0.0.1:1"]}}"#;

/// A part of the valid settings, its replacement, and the fields reported as invalid.
const ERRORS: [(&str, &str, &[&str]); 8] = [
    (r#""e1""#, r#""""#, &["id"]),
    (r#""e1""#, r#""e 1""#, &["id"]),
    (r#""127.0.0.1:1", "op"#, r#""localhost:1", "op"#, &["inbox"]),
    (r#"["127.0.0.1:1"]"#, "[]", &["entry.control"]),
    (
        r#"["127.0.0.1:1"]"#,
        r#"["127.0.0.1:1", "x"]"#,
        &["entry.control[1]"],
    ),
    (
        r#""entry": {"#,
        r#""entry": {"policy": "best", "#,
        &["entry.policy"],
    ),
    (
        r#""entry": {"#,
        r#""entry": {"max_body_bytes": 99999999, "#,
        &["entry.max_body_bytes"],
    ),
    (
        r#""entry""#,
        r#""entri""#,
        &[
            "entri",
            "entry, control, agent, gateway, coordinator, relay",
        ],
    ),
];

#[gtest]
fn valid_settings_are_accepted() {
    expect_that!(parse(VALID).map(|s| s.id), ok(eq("e1")));
}

#[gtest]
fn each_error_names_its_field() {
    for (part, replacement, invalid) in ERRORS {
        expect_that!(VALID.matches(part).count(), ge(1), "{part}");
        let text = VALID.replacen(part, replacement, 1);
        expect_that!(fields(&text), eq(&invalid.to_vec()), "{text}");
    }
}

#[gtest]
fn all_errors_are_reported_at_once() {
    let text = r#"{"id": "", "colour": 1, "inbox": "x", "operators": "127.0.0.1:2",
        "log": {"level": "loud"}, "control": {"data": ""}}"#;

    let expected = [
        "colour",
        "id",
        "domain",
        "inbox",
        "log.level",
        "control.data",
    ];
    expect_that!(
        fields(text).iter().map(String::as_str).collect::<Vec<_>>(),
        unordered_elements_are![
            eq(&expected[0]),
            eq(&expected[1]),
            eq(&expected[2]),
            eq(&expected[3]),
            eq(&expected[4]),
            eq(&expected[5])
        ]
    );
}

#[gtest]
fn error_of_a_wrong_type_contains_line_and_column() {
    let error = parse(r#"{"id": 7}"#).unwrap_err().to_string();

    expect_that!(error, contains_substring("line 1 column"));
}

#[gtest]
fn errors_of_gateways_and_coordinators_name_their_fields() {
    let text = r#"{"id": "g", "domain": "d", "inbox": "127.0.0.1:1", "operators": "127.0.0.1:2",
        "gateway": {"callers": "here", "readiness": "127.0.0.1:3", "seeds": [], "retry_ratio": 2, "directory": "7"},
        "coordinator": {"control": "127.0.0.1:4", "directory": "there", "seeds": ["127.0.0.1:5"]}}"#;

    let found = fields(text);

    expect_that!(
        found.iter().map(String::as_str).collect::<Vec<_>>(),
        unordered_elements_are![
            eq(&"gateway.retry_ratio"),
            eq(&"gateway.callers"),
            eq(&"gateway.seeds"),
            eq(&"gateway.directory"),
            eq(&"coordinator.data"),
            eq(&"coordinator.directory")
        ]
    );
}

/// Guards against gateways that do not start (1,090 terminations in a day): in a deployment
/// simulated at a fraction of its size the allowance of retries is 33.7, but settings accepted
/// integers only, and a fraction of a second followed by three zeros was read as milliseconds.
#[gtest]
fn gateway_settings_accept_fractions() {
    let text = r#"{"id": "g", "domain": "d", "inbox": "127.0.0.1:1", "operators": "127.0.0.1:2",
        "gateway": {"callers": "127.0.0.1:4", "readiness": "127.0.0.1:3",
            "seeds": ["127.0.0.1:5"], "retry_ratio": 0.2, "retry_slack": 33.68421052631579,
            "grace_s": 7.5, "retry_window_s": 2.25}}"#;

    let gateway = parse(text).unwrap().gateway.unwrap();

    expect_that!(gateway.retry_slack, eq(33));
    expect_that!(
        gateway.grace_period,
        eq(std::time::Duration::from_millis(7_500))
    );
    expect_that!(
        gateway.retry_window,
        eq(std::time::Duration::from_millis(2_250))
    );
}

#[gtest]
fn negative_times_and_counts_are_errors() {
    let text = r#"{"id": "g", "domain": "d", "inbox": "127.0.0.1:1", "operators": "127.0.0.1:2",
        "gateway": {"callers": "127.0.0.1:4", "readiness": "127.0.0.1:3",
            "seeds": ["127.0.0.1:5"], "retry_ratio": 0.2, "retry_slack": -1, "grace_s": -8,
            "retry_window_s": -0.5}}"#;

    let found = fields(text);

    expect_that!(
        found.iter().map(String::as_str).collect::<Vec<_>>(),
        unordered_elements_are![
            eq(&"gateway.retry_slack"),
            eq(&"gateway.grace_s"),
            eq(&"gateway.retry_window_s")
        ]
    );
}

#[gtest]
fn gateway_settings_for_load_have_defaults_and_are_checked() {
    let text = |extra: &str| {
        format!(
            r#"{{"id": "g1", "domain": "d", "inbox": "127.0.0.1:1", "operators": "127.0.0.1:2",
            "gateway": {{"callers": "127.0.0.1:4", "readiness": "127.0.0.1:3",
                "seeds": ["127.0.0.1:5"]{extra}}}}}"#
        )
    };
    let gateway = |extra: &str| parse(&text(extra)).unwrap().gateway.unwrap();

    let default = gateway("");
    let set = gateway(
        r#", "cold_ratio": 1.5, "cold_slack": 5, "memory_mb": 0.5, "admission": "streams""#,
    );
    let wrong = parse(&text(
        r#", "cold_ratio": -1, "memory_mb": -2, "admission": "fair""#,
    ));

    expect_that!(default.cold_ratio, eq(1.0));
    expect_that!(default.memory_bytes, none());
    expect_that!(default.admission, eq(bn_conf::Admission::Pauses));
    expect_that!(set.cold_ratio, eq(1.5));
    expect_that!(set.cold_slack, eq(5.0));
    expect_that!(set.memory_bytes, some(eq(512 * 1024)));
    expect_that!(set.admission, eq(bn_conf::Admission::Streams));
    let message = wrong.unwrap_err().to_string();
    for field in ["cold_ratio", "memory_mb", "admission"] {
        expect_that!(message, contains_substring(format!("gateway.{field}")));
    }
}

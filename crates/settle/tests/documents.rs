//! What a document must hold, and what requests find in it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_settle::{Account, Error, Kind, Limits, Part, Plan, Route, Service};
use googletest::prelude::*;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        resumes: false,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        pause: Duration::ZERO,
        priority: 1,
        attempts: 2,
        open: false,
        parts: vec![part("s", 1)],
    }
}

fn part(service: &str, weight: u64) -> Part {
    Part {
        service: service.into(),
        weight,
    }
}

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(ToString::to_string).collect(),
        priority: None,
    }
}

fn plan(routes: Vec<Route>, accounts: Vec<Account>) -> bn_settle::Result<Plan> {
    let service = Service {
        name: "s".into(),
        ..Service::default()
    };
    let limits = Limits {
        header_bytes: 1000,
        body_bytes: 1000,
        header_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    Plan::new(1, routes, vec![service], limits, accounts)
}

#[googletest::test]
fn the_longest_prefix_of_the_host_decides() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("root", "g", "/"),
    ];
    let plan = plan(routes, vec![]).unwrap();
    let cases = [
        ("h", "/a/b/c", Some("long")),
        ("h:8080", "/a/b/", Some("long")),
        ("H", "/a/bc", Some("short")),
        ("h", "/a", None),
        ("h", "/", None),
        ("g", "/a/b/c", Some("root")),
        ("other", "/a/b/c", None),
        ("h", "", None),
    ];

    for (host, path, expected) in cases {
        let found = plan.route(host, path).map(|r| r.name.as_str());
        expect_that!(found, eq(expected), "{host}{path}");
    }
}

#[googletest::test]
fn documents_that_do_not_hold_together_are_refused() {
    let with = |change: fn(&mut Route)| {
        let mut changed = route("r", "h", "/a/");
        change(&mut changed);
        plan(vec![changed], vec![]).unwrap_err()
    };

    let unknown = with(|r| r.parts = vec![part("t", 1)]);
    let weightless = with(|r| r.parts = vec![part("s", 0), part("s", 0)]);
    let timeless = with(|r| r.timeout = Duration::ZERO);
    let same = plan(vec![route("a", "h", "/a/"), route("b", "H", "/a/")], vec![]).unwrap_err();
    let accounts = vec![account("x", &["k"]), account("y", &["l", "k"])];
    let shared = plan(vec![], accounts).unwrap_err();

    expect_true!(matches!(unknown, Error::UnknownService { .. }));
    expect_true!(matches!(weightless, Error::NoWeight { .. }));
    expect_true!(matches!(timeless, Error::NoTimeout { .. }));
    expect_true!(matches!(same, Error::SamePlace { .. }));
    expect_true!(matches!(shared, Error::SharedKey { .. }));
    expect_false!(shared.to_string().contains("\"k\""));
}

#[googletest::test]
fn one_account_may_list_a_key_twice() {
    let plan = plan(vec![], vec![account("x", &["k", "k"])]).unwrap();

    expect_that!(plan.account("k").map(|a| a.name.as_str()), some(eq("x")));
    expect_that!(plan.account("l"), none());
}

#[googletest::test]
fn weights_share_out_the_draws() {
    let mut split = route("r", "h", "/");
    split.parts = vec![part("s", 3), part("t", 0), part("u", 1)];

    let drawn = (0..4).filter_map(|d| split.part(d).map(String::as_str));
    let drawn: Vec<&str> = drawn.collect();

    expect_that!(drawn, elements_are![eq(&"s"), eq(&"s"), eq(&"s"), eq(&"u")]);
    expect_that!(split.part(4), none());
}

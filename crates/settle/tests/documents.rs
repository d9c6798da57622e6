//! Validation of documents, and look-ups for requests.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_settle::{Account, Document, Error, Kind, Limits, Route, Service, WeightedService};
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
        patience: None,
        priority: 1,
        attempts: 2,
        open: false,
        services: vec![weighted("s", 1)],
    }
}

fn weighted(service: &str, weight: u64) -> WeightedService {
    WeightedService {
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

fn document(routes: Vec<Route>, accounts: Vec<Account>) -> bn_settle::Result<Document> {
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
    Document::new(1, routes, vec![service], limits, accounts)
}

#[googletest::test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "h", "/a/"),
        route("long", "h", "/a/b/"),
        route("root", "g", "/"),
    ];
    let doc = document(routes, vec![]).unwrap();
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
        let found = doc.route(host, path).map(|r| r.name.as_str());
        expect_that!(found, eq(expected), "{host}{path}");
    }
}

#[googletest::test]
fn invalid_documents_are_rejected() {
    let invalid = |change: fn(&mut Route)| {
        let mut changed = route("r", "h", "/a/");
        change(&mut changed);
        document(vec![changed], vec![]).unwrap_err()
    };

    let unknown = invalid(|r| r.services = vec![weighted("t", 1)]);
    let zero_weight = invalid(|r| r.services = vec![weighted("s", 0), weighted("s", 0)]);
    let zero_timeout = invalid(|r| r.timeout = Duration::ZERO);
    let same = document(vec![route("a", "h", "/a/"), route("b", "H", "/a/")], vec![]).unwrap_err();
    let accounts = vec![account("x", &["k"]), account("y", &["l", "k"])];
    let shared = document(vec![], accounts).unwrap_err();

    expect_true!(matches!(unknown, Error::UnknownService { .. }));
    expect_true!(matches!(zero_weight, Error::ZeroWeight { .. }));
    expect_true!(matches!(zero_timeout, Error::ZeroTimeout { .. }));
    expect_true!(matches!(same, Error::DuplicateRoute { .. }));
    expect_true!(matches!(shared, Error::DuplicateKey { .. }));
    expect_false!(shared.to_string().contains("\"k\""));
}

#[googletest::test]
fn one_account_may_list_a_key_twice() {
    let doc = document(vec![], vec![account("x", &["k", "k"])]).unwrap();

    expect_that!(doc.account("k").map(|a| a.name.as_str()), some(eq("x")));
    expect_that!(doc.account("l"), none());
}

#[googletest::test]
fn services_are_picked_by_weight() {
    let mut split = route("r", "h", "/");
    split.services = vec![weighted("s", 3), weighted("t", 0), weighted("u", 1)];

    let picks = (0..4).filter_map(|random| split.pick_service(random).map(String::as_str));
    let picks: Vec<&str> = picks.collect();

    expect_that!(picks, elements_are![eq(&"s"), eq(&"s"), eq(&"s"), eq(&"u")]);
    expect_that!(split.pick_service(4), none());
}

// A service whose routes all have one priority must be admitted as before there were levels,
// whatever the priorities of accounts.
#[googletest::test]
fn services_are_ranked_only_if_their_routes_differ_in_priority() {
    let is_ranked = |routes: &[u32], accounts: &[Option<u32>]| {
        let document = ranked_document(routes, accounts);
        document.ranked_services().count() > 0
    };

    expect_false!(is_ranked(&[1, 1], &[None, None]));
    expect_false!(is_ranked(&[1, 1], &[Some(0), Some(1)]));
    expect_false!(is_ranked(&[1], &[]));
    expect_true!(is_ranked(&[0, 2], &[]));
    expect_true!(is_ranked(&[0, 2], &[Some(1), Some(1)]));
}

// If all accounts have the same priority, a route's priority must still decide.
#[googletest::test]
fn urgency_goes_by_account_first_and_then_by_route() {
    let document = ranked_document(&[0, 2], &[Some(1), Some(0), None]);
    let level = |key: &str, path: &str| {
        let route = document.route("h", path).unwrap();
        document.urgency_level("s", document.account(key), route)
    };

    let levels = ["key1", "key2", "key0"].map(|key| [level(key, "/0/"), level(key, "/1/")]);

    expect_that!(
        levels,
        eq([[Some(0), Some(1)], [Some(0), Some(4)], [Some(2), Some(3)]])
    );
}

// Queues, and backend servers, tell ten levels apart: requests of any further one would have no turn
// by the floor of their priority.
#[googletest::test]
fn levels_beyond_the_tenth_count_as_the_tenth() {
    let document = ranked_document(&[0, 1, 2], &[Some(0), Some(1), Some(2), Some(3), Some(4)]);
    let level = |key: &str, path: &str| {
        let route = document.route("h", path).unwrap();
        document.urgency_level("s", document.account(key), route)
    };

    expect_that!(level("key0", "/0/"), some(eq(0)));
    expect_that!(level("key2", "/2/"), some(eq(8)));
    expect_that!(level("key3", "/0/"), some(eq(9)));
    expect_that!(level("key4", "/2/"), some(eq(9)));
}

/// A document with a route and an account for each priority, all of service `s`.
fn ranked_document(routes: &[u32], accounts: &[Option<u32>]) -> bn_settle::Document {
    let routes = routes.iter().enumerate().map(|(n, priority)| Route {
        priority: *priority,
        ..route("r", "h", &format!("/{n}/"))
    });
    let accounts = accounts.iter().enumerate().map(|(n, priority)| Account {
        priority: *priority,
        ..account(&n.to_string(), &[&format!("key{n}")])
    });
    document(routes.collect(), accounts.collect()).unwrap()
}

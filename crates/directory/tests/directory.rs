//! Selection of gateways for callers, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_directory::{Directory, Gateway, GatewaySelection, SelectedGateway};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

fn gateway(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 80).into()
}

fn report(n: u8, domain: &str, ready: bool) -> Gateway {
    Gateway {
        callers: gateway(n),
        domain: domain.into(),
        ready,
        rate: 4,
    }
}

/// Gateways `0..count`, round-robin in five failure domains.
fn five_domains(count: u8) -> Directory {
    let mut directory = Directory::default();
    for n in 0..count {
        let domain = format!("d{}", n % 5);
        directory.update(at(0), gateway(n), report(n, &domain, true));
    }
    directory
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[googletest::test]
fn gateways_without_contact_or_not_ready_are_left_out() {
    let mut directory = Directory::default();
    directory.update(at(0), gateway(1), report(1, "d", true));
    directory.update(at(1_000), gateway(2), report(2, "d", true));
    directory.update(at(1_000), gateway(3), report(3, "d", false));

    expect_that!(directory.select(at(1_500)).addresses("d").len(), eq(2));
    expect_that!(
        directory.select(at(2_000)).addresses("d"),
        eq(&vec![gateway(2)])
    );
}

/// Guards against callers getting no address although gateways serve: a coordinator is cut off from
/// all gateways, and took the silence of all as the termination of all.
#[googletest::test]
fn if_all_gateways_are_silent_the_known_ones_are_selected() {
    let mut directory = Directory::default();
    directory.update(at(0), gateway(1), report(1, "d", true));
    directory.update(at(0), gateway(2), report(2, "d", true));

    expect_that!(directory.select(at(5_000)).addresses("d").len(), eq(2));
    expect_that!(directory.select(at(16_000)).addresses("d").len(), eq(0));
}

/// Guards against half of the requests of a plain service being refused or late, and most needing a
/// new connection: 147 gateways accept three requests per second each and have contact with each
/// backend server once a minute. Callers were sent to all of them, or rather to the first 64 that a
/// coordinator had received reports from.
#[googletest::test]
fn callers_are_sent_to_as_many_gateways_as_requests_need() {
    let directory = five_domains(147);

    let near_d1 = directory.select(at(100)).addresses("d1");
    let near_d2 = directory.select(at(100)).addresses("d2");

    // 588 requests per second: 12 gateways suffice, 24 tolerate a loss too.
    expect_that!(near_d1.len(), eq(24));
    expect_that!(near_d2.len(), eq(24));
    let in_d1 = |a: &SocketAddr| (0..147).step_by(5).any(|n| *a == gateway(n + 1));
    expect_that!(near_d1.iter().take(4).filter(|a| in_d1(a)).count(), eq(4));
    let mut both = [near_d1, near_d2].concat();
    both.sort_unstable();
    both.dedup();
    expect_that!(both.len(), eq(24));
    expect_that!(directory.sharing_count(at(100)), eq(147));
}

/// Guards against all callers connecting to a handful of gateways for two seconds: a coordinator
/// was stalled or has just started, and knows few gateways when callers poll. It assumed that those
/// few were all.
#[googletest::test]
fn the_first_few_gateways_are_not_assumed_to_be_all() {
    let mut started = five_domains(7);
    let just_started = started.select(at(100)).addresses("d0");
    let later = started.select(at(1_000)).addresses("d0");
    let mut stalled = five_domains(40);
    stalled.resume(at(3_990));
    stalled.update(at(4_000), gateway(3), report(3, "d3", true));

    started.update(at(1_000), gateway(9), report(9, "d4", true));

    expect_that!(just_started.len(), eq(0));
    expect_that!(later.len(), eq(7));
    expect_that!(stalled.select(at(4_010)).addresses("d0").len(), eq(24));
}

/// Guards against callers being sent to instances that have long been off: four of six gateways
/// lose power; the others continue. If most were silent, the coordinator assumed that it was cut
/// off itself, although it received reports from the others all the time.
#[googletest::test]
fn gateways_that_are_off_are_not_selected_however_many_they_are() {
    let mut directory = five_domains(6);
    for ms in (800..4_000).step_by(800) {
        for n in 0..2 {
            directory.update(at(ms), gateway(n), report(n, "d", true));
        }
    }

    expect_that!(directory.select(at(3_900)).addresses("d").len(), eq(2));
}

/// Guards against overloaded gateways while others idle: requests grow to 50 per second and gateway
/// on average, and too few gateways were selected.
#[googletest::test]
fn all_gateways_are_selected_if_requests_need_them() {
    let mut directory = five_domains(40);
    for n in 0..40 {
        let busy = Gateway {
            rate: 50,
            ..report(n, "d", true)
        };
        directory.update(at(0), gateway(n), busy);
    }

    expect_that!(directory.select(at(100)).addresses("d").len(), eq(40));
}

/// Guards against callers being sent to stopped gateways, or to too few: some of the selected
/// gateways stop, and the selection was kept.
#[googletest::test]
fn another_gateway_replaces_one_that_stops() {
    let mut directory = five_domains(60);
    let before = directory.select(at(100)).addresses("d0");
    for n in (0..60).filter(|n| before[..3].contains(&gateway(*n))) {
        let domain = format!("d{}", n % 5);
        directory.update(at(200), gateway(n), report(n, &domain, false));
    }

    let after = directory.select(at(300)).addresses("d0");

    expect_that!(after.len(), eq(24));
    let kept = after.iter().filter(|a| before.contains(a)).count();
    expect_that!(kept, eq(21));
}

/// Guards against gateways listing stopped ones to callers: one stops; a gateway reports which
/// selection it knows and gets no update. Two selections had the same checksum.
#[googletest::test]
fn different_selections_have_different_checksums() {
    let sum = |domain: &str| {
        let gateway = SelectedGateway {
            callers: gateway(1),
            domain: domain.into(),
        };
        GatewaySelection::new(vec![gateway]).checksum()
    };

    expect_that!(GatewaySelection::new(Vec::new()).checksum(), eq(0));
    expect_that!(sum("d1"), all![eq(sum("d1")), not(eq(sum("d2")))]);
    expect_that!(sum("d1"), gt(0));
}

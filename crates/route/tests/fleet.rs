//! Placing and health of backend servers at a gateway, without a network.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::{Fleet, Lack, Pace, Server, Told, Want};
use googletest::prelude::*;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn fleet(servers: u32) -> Fleet {
    let mut fleet = Fleet::new("d0");
    for n in 0..servers {
        let address = ([10, 0, 0, n as u8], 80).into();
        let domain = format!("d{n}");
        fleet.put(Server::new(&format!("b{n}"), "s", address, &domain, 4));
    }
    fleet
}

fn want(tried: &[String]) -> Want<'_> {
    Want {
        service: "s",
        tried,
        last: false,
        room: &|_| 1.0,
    }
}

fn pick(fleet: &Fleet, now: Duration, tried: &[String]) -> std::result::Result<String, Lack> {
    fleet.pick(now, &want(tried), || 0.0).map(|s| s.id.clone())
}

#[googletest::test]
fn requests_are_spread_evenly_and_stop_at_the_room() {
    let mut fleet = fleet(3);

    for _ in 0..12 {
        let id = pick(&fleet, NOW, &[]).unwrap();
        fleet.sent(NOW, &id);
    }

    let mine = |id: &str| fleet.get(id).unwrap().mine();
    expect_that!((mine("b0"), mine("b1"), mine("b2")), eq((4, 4, 4)));
    expect_that!(pick(&fleet, NOW, &[]), err(eq(&Lack::Room)));
}

#[googletest::test]
fn load_that_others_cause_counts_and_fades() {
    let mut fleet = fleet(2);
    let told = Told {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    fleet.told(NOW, "b0", told);

    let at_once = pick(&fleet, NOW, &[]);
    let later = fleet
        .get("b0")
        .unwrap()
        .load(NOW + Duration::from_secs(15), 0.0);

    expect_that!(at_once, ok(eq("b1")));
    expect_that!(later, lt(0.1));
}

/// Symptom: a group is overfilled although every gateway keeps to the room. Sequence: six
/// gateways with like load, none of which has been told anything for a while. Cause: each
/// took the ranks for idle but for its own requests.
#[googletest::test]
fn what_other_gateways_do_is_assumed_where_nothing_is_told() {
    let mut fleet = fleet(2);
    fleet.peers = 5;
    let mut sent = 0;
    while let Ok(id) = pick(&fleet, NOW, &[]) {
        fleet.sent(NOW, &id);
        sent += 1;
    }

    expect_that!(sent, all![ge(1), le(3)]);
}

/// Symptom: callers are refused while half of the group's places are free. Sequence: four of
/// six gateways are cut off and their callers come to the two others, each of which takes
/// the four to have as many requests as itself. Cause: what answers tell was not believed.
#[googletest::test]
fn what_backend_servers_tell_goes_before_what_is_assumed() {
    let mut fleet = fleet(2);
    fleet.peers = 5;
    let few_others = |fleet: &Fleet| Told {
        running: fleet.get("b0").unwrap().mine() + 2,
        waiting: 0,
        slots: 4,
    };
    for n in 0..40u64 {
        let at = NOW + Duration::from_millis(n * 40);
        fleet.told(at, "b0", few_others(&fleet));
    }
    let now = NOW + Duration::from_millis(1_600);

    let mut sent = 0;
    while let Ok(id) = pick(&fleet, now, &[]) {
        fleet.sent(now, &id);
        sent += 1;
    }

    // Two backend servers of four slots, with two requests of others at each.
    expect_that!(sent, all![ge(4), le(6)]);
}

/// Symptom: a tenth of the gateways refuse all callers for four seconds after an outage, while the group
/// serves those of the others. Sequence: the group ran again, and room is the least; the others learnt
/// what it bears and fill it above that, so that this gateway never has a stream to learn by. Cause:
/// the least room was held against the load of all.
#[googletest::test]
fn a_gateway_without_a_stream_takes_one_to_learn_by() {
    let mut fleet = fleet(4);
    let half = Told {
        running: 2,
        waiting: 0,
        slots: 4,
    };
    for n in 0..40u64 {
        fleet.told(NOW + Duration::from_millis(n * 5), "b0", half);
    }
    let now = NOW + Duration::from_millis(200);
    let least = |_: &str| Pace::FIRST;
    let want = Want {
        room: &least,
        ..want(&[])
    };

    let first = fleet.pick(now, &want, || 0.5).map(|s| s.id.clone());
    fleet.sent(now, first.as_ref().unwrap());
    let second = fleet.pick(now, &want, || 0.5).map(|s| s.id.clone());

    expect_that!(first, ok(anything()));
    expect_that!(second, err(eq(&Lack::Room)));
}

/// Symptom: on a fleet of many groups streams are late everywhere. Sequence: some hundred gateways have
/// streams at a few groups each, and each takes one more at every other group, whatever it bears.
/// Cause: a stream to learn by at each group is a good part of its slots.
#[googletest::test]
fn a_gateway_with_a_stream_elsewhere_keeps_to_the_room() {
    let mut fleet = two_groups();
    let now = NOW + Duration::from_millis(200);
    let none = |_: &str| 0.0;
    let want = Want {
        room: &none,
        ..want(&[])
    };

    let first = fleet.pick(now, &want, || 0.5).map(|s| s.id.clone());
    fleet.sent(now, first.as_ref().unwrap());
    let second = fleet.pick(now, &want, || 0.5).map(|s| s.id.clone());

    expect_that!(first, ok(anything()));
    expect_that!(second, err(eq(&Lack::Room)));
}

/// Symptom: half of the requests of a service are refused or late while a tenth of its places are
/// taken. Sequence: 147 gateways send one request every few seconds each, to six backend servers,
/// and hear of one of them as seldom. Cause: one request in flight here was taken to stand for
/// one in flight at each other gateway.
#[googletest::test]
fn one_request_of_a_large_fleets_gateway_does_not_stand_for_all() {
    let mut fleet = fleet(6);
    fleet.peers = 146;
    let mut refused = 0;
    for n in 0..40u64 {
        let now = NOW + Duration::from_secs(n * 5);
        let first = pick(&fleet, now, &[]).unwrap();
        fleet.sent(now, &first);
        match pick(&fleet, now + Duration::from_millis(10), &[]) {
            Ok(second) => {
                fleet.sent(now, &second);
                fleet.ended(&second, 0);
            }
            Err(_) => refused += 1,
        }
        let light = Told {
            running: 1,
            waiting: 0,
            slots: 4,
        };
        fleet.told(now + Duration::from_millis(30), &first, light);
        fleet.ended(&first, 0);
    }

    expect_that!(refused, eq(0));
}

/// Symptom: the same, after a backend server was seen full once. Sequence: it tells of a full
/// house, seconds pass, and nothing more is heard. Cause: what was heard last stood for ever.
#[googletest::test]
fn what_was_heard_fades() {
    let mut fleet = fleet(6);
    fleet.peers = 146;
    let full = Told {
        running: 4,
        waiting: 4,
        slots: 4,
    };
    for n in 0..60u64 {
        fleet.told(NOW + Duration::from_millis(n * 10), "b0", full);
    }

    let at_once = fleet.mean_load(NOW + Duration::from_millis(700), "s");
    let later = fleet.mean_load(NOW + Duration::from_secs(15), "s");

    expect_that!(at_once, gt(0.6));
    expect_that!(later, lt(0.1));
}

#[googletest::test]
fn those_tried_leaving_or_gone_are_passed_over() {
    let mut fleet = fleet(3);
    let mut leaving = fleet.get("b1").unwrap().clone();
    leaving.leaving = true;
    fleet.put(leaving);
    fleet.remove("b2");

    let tried = ["b0".to_string()];

    expect_that!(pick(&fleet, NOW, &[]), ok(eq("b0")));
    expect_that!(pick(&fleet, NOW, &tried), err(eq(&Lack::Servers)));
}

/// Symptom: every third request fails while two backend servers are well. Sequence: one
/// fails all it gets, its load stays lowest, and it is chosen again. Cause: failures did
/// not make it dearer.
#[googletest::test]
fn one_that_fails_gets_little() {
    let mut fleet = fleet(3);
    let mut bad = 0;
    for n in 0..100u32 {
        let now = NOW + Duration::from_millis(50) * n;
        let id = pick(&fleet, now, &[]).unwrap();
        match id.as_str() {
            "b0" => {
                bad += 1;
                fleet.failed(now, &id, false);
            }
            _ => fleet.succeeded(now, &id),
        }
    }

    expect_that!(bad, le(10));
}

#[googletest::test]
fn where_all_are_out_the_first_to_be_back_is_tried() {
    let mut fleet = fleet(2);
    fleet.failed(NOW, "b1", true);
    fleet.failed(NOW + Duration::from_millis(10), "b0", true);

    let picked = pick(&fleet, NOW + Duration::from_millis(20), &[]);

    expect_that!(picked, ok(eq("b1")));
}

/// Symptom: during an outage of a group every request is sent, rejected and refused, and so
/// is its caller when it comes back. Sequence: a rank crashes, all others reject at once.
/// Cause: nothing was learnt from one rank about the others.
/// Symptom: callers of a group that was never whole wait for it, come back, and wait again. Sequence:
/// fewer backend servers started than the group has ranks; each probe is rejected. Cause: it was
/// taken for one that lost a rank a moment ago.
#[googletest::test]
fn nobody_waits_for_a_group_that_is_down() {
    let mut fleet = fleet(4);
    let after = |s: u64| NOW + Duration::from_secs(s);
    let lack = |fleet: &Fleet, now: Duration| pick(fleet, now, &[]).unwrap_err();
    fleet.stands_still(NOW, "b0");
    let at_first = lack(&fleet, NOW);
    for s in 0..=12 {
        fleet.stands_still(after(s), "b1");
    }

    let later = lack(&fleet, after(12));
    let probed = pick(&fleet, after(13), &[]);
    fleet.succeeded(after(13), "b1");
    fleet.stands_still(after(14), "b0");

    expect_that!((at_first, later), eq((Lack::Still, Lack::Down)));
    expect_that!(probed, ok(anything()));
    expect_that!(lack(&fleet, after(14)), eq(Lack::Still));
}

#[googletest::test]
fn a_group_that_stands_still_is_probed_only() {
    let mut fleet = fleet(3);
    fleet.stands_still(NOW, "b0");
    let ms = |n| NOW + Duration::from_millis(n);

    let at_once = pick(&fleet, ms(100), &[]);
    let probe = pick(&fleet, ms(400), &[]).unwrap();
    fleet.sent(ms(400), &probe);
    let beside = pick(&fleet, ms(500), &[]);
    fleet.succeeded(ms(600), &probe);
    let after = pick(&fleet, ms(600), &[]);

    expect_that!(at_once, err(eq(&Lack::Still)));
    expect_that!(beside, err(eq(&Lack::Still)));
    expect_true!(after.is_ok());
    expect_false!(fleet.is_still("s"));
}

/// A fleet whose backend servers are ranks of two groups: b0 and b1 of `a`, b2 and b3 of `b`.
fn two_groups() -> Fleet {
    let mut fleet = Fleet::new("elsewhere");
    for (n, group) in ["a", "a", "b", "b"].into_iter().enumerate() {
        let address = ([10, 0, 0, n as u8], 80).into();
        let mut server = Server::new(&format!("b{n}"), "s", address, "d", 4);
        server.join(group);
        fleet.put(server);
    }
    fleet
}

/// Symptom: all callers of a service are refused although two thirds of its ranks are well.
/// Sequence: a rank of one group crashes; its group stands still. Cause: stillness was kept for
/// the service as a whole.
#[googletest::test]
fn one_group_that_stands_still_leaves_the_others_alone() {
    let mut fleet = two_groups();

    fleet.stands_still(NOW, "b0");
    let other = pick(&fleet, NOW, &[]);
    let still = fleet.is_still("s");
    fleet.stands_still(NOW, "b2");

    expect_that!(other, ok(any![eq("b2"), eq("b3")]));
    expect_false!(still);
    expect_true!(fleet.is_still("s"));
    expect_that!(pick(&fleet, NOW, &[]), err(eq(&Lack::Still)));
}

/// Symptom: callers wait for 1.5 s and are refused then, after a rank ended. Sequence: nobody listens at
/// the rank any more; requests go on to the other ranks, which cannot work without it and say so only
/// after that time. Cause: only their word told that the group stands still.
#[googletest::test]
fn a_group_stands_still_as_soon_as_one_of_its_ranks_has_ended() {
    let mut fleet = two_groups();

    let news = fleet.fell(NOW, "b0", 0);
    let other = pick(&fleet, NOW, &["b2".into(), "b3".into()]);

    expect_true!(news);
    expect_that!(other, err(eq(&Lack::Still)));
    // The other group goes on, and so does this one once a request succeeds there.
    expect_that!(pick(&fleet, NOW, &[]), ok(any![eq("b2"), eq("b3")]));
    fleet.succeeded(NOW, "b1");
    expect_that!(pick(&fleet, NOW, &["b2".into(), "b3".into()]), ok(eq("b1")));
    // Whoever tells of it later brings no news, nor does one who means another start.
    expect_false!(fleet.fell(NOW, "b0", 0));
    expect_false!(fleet.fell(NOW, "b1", 7));
    expect_that!(pick(&fleet, NOW, &["b2".into(), "b3".into()]), ok(eq("b1")));
}

/// Symptom: streams at one group are late while another is half empty. Sequence: a rank of the
/// first is slow, so that it bears a third; requests go to all ranks alike. Cause: load was
/// counted against slots, not against what the group bears.
#[googletest::test]
fn a_group_that_bears_less_gets_less() {
    let mut fleet = two_groups();
    let bears = |unit: &str| if unit == "s/a" { 0.34 } else { 1.0 };
    let want = Want {
        room: &bears,
        ..want(&[])
    };
    for _ in 0..8 {
        let id = fleet.pick(NOW, &want, || 0.0).unwrap().id.clone();
        fleet.sent(NOW, &id);
    }

    let mine = |id: &str| fleet.get(id).unwrap().mine();
    expect_that!(mine("b0") + mine("b1"), eq(2));
    expect_that!(mine("b2") + mine("b3"), eq(6));
}

fn paced(fleet: &mut Fleet, id: &str, pace: f64) {
    let mut server = fleet.get(id).unwrap().clone();
    server.pace = pace;
    fleet.put(server);
}

/// Symptom: all streams of a group are late while some of its ranks are slow. Sequence: a fifth
/// of the ranks turn slow; requests go to all alike. Cause: a gateway did not know how fast ranks are.
#[googletest::test]
fn slow_ranks_get_nothing_while_most_are_sound() {
    let mut fleet = fleet(5);
    paced(&mut fleet, "b1", 2.5);
    paced(&mut fleet, "b3", 12.0);
    paced(&mut fleet, "b4", 1.25);
    let mut sent = Vec::new();
    while let Ok(id) = pick(&fleet, NOW, &[]) {
        fleet.sent(NOW, &id);
        sent.push(id);
    }

    paced(&mut fleet, "b1", 1.0);
    let sound_again = pick(&fleet, NOW, &[]);

    expect_that!(sent.len(), eq(12));
    expect_false!(sent.iter().any(|id| id == "b1" || id == "b3"));
    expect_that!(sound_again, ok(eq("b1")));
}

#[googletest::test]
fn where_most_are_slow_all_are_used() {
    let mut fleet = fleet(3);
    paced(&mut fleet, "b0", 2.0);
    paced(&mut fleet, "b1", 2.0);

    let mut sent = 0;
    while let Ok(id) = pick(&fleet, NOW, &[]) {
        fleet.sent(NOW, &id);
        sent += 1;
    }

    expect_that!(sent, eq(12));
}

//! A group under more than it bears, played without a network: what callers get.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::LatePart;
use googletest::prelude::*;
use std::time::Duration;

/// Tenths of a second for which a stream keeps its slot at least, and for how much longer the
/// longest does.
const STREAM: usize = 10;
const STREAM_SPREAD: usize = 11;
const SLOTS: f64 = 144.0;
/// Requests in a tenth of a second: the group bears 9.6.
const BURST: usize = 13;
const USUAL: usize = 8;
/// The same for the time after which a refused caller comes back.
const BACK: usize = 9;
const BACK_SPREAD: usize = 14;
/// Tenths of a second of burst, and of the whole play.
const BURST_FOR: usize = 60;
const PLAY: usize = 160;

/// What callers got.
#[derive(Default)]
struct Got {
    /// Began in time while `fresh` says that there is a burst, and afterwards.
    burst: usize,
    after: usize,
    /// Came back and were served, late.
    late: usize,
    /// Came back and were refused again.
    lost: usize,
}

/// Plays `fresh` requests in each tenth of a second, each of whose callers comes back once. `room`
/// says at which time how much of the slots is for late requests or others; it hears of each tenth
/// in which one that could be in time found none.
fn play(fresh: impl Fn(usize) -> usize, mut room: impl FnMut(Duration, bool, bool) -> f64) -> Got {
    let mut ends = vec![0usize; PLAY + STREAM + STREAM_SPREAD];
    let mut back = vec![0usize; PLAY + BACK + BACK_SPREAD];
    let (mut load, mut got) = (0usize, Got::default());
    let (mut streams, mut refused) = (0usize, 0usize);
    for now in 0..PLAY {
        load -= ends[now];
        let at = Duration::from_millis(100 * now as u64);
        let mut admit = |count: usize, late: bool, load: &mut usize| {
            let free = (SLOTS * room(at, late, false)) as usize;
            let admitted = count.min(free.saturating_sub(*load));
            if !late && admitted < count {
                room(at, late, true);
            }
            *load += admitted;
            for _ in 0..admitted {
                streams += 1;
                ends[now + STREAM + streams * 7 % STREAM_SPREAD] += 1;
            }
            admitted
        };
        let fresh = fresh(now);
        // Who came back and who comes for the first time arrive by turns.
        let (early, late) = (fresh / 2, back[now]);
        let mut begun = admit(early, false, &mut load);
        let served = admit(late, true, &mut load);
        got.late += served;
        got.lost += late - served;
        begun += admit(fresh - early, false, &mut load);
        for _ in begun..fresh {
            refused += 1;
            back[now + BACK + refused * 5 % BACK_SPREAD] += 1;
        }
        match now < BURST_FOR {
            true => got.burst += begun,
            false => got.after += begun,
        }
    }
    got
}

/// The rule under test, in a group that bears all of its slots.
fn by_lack() -> impl FnMut(Duration, bool, bool) -> f64 {
    let mut part = LatePart::default();
    move |now, late, lack| {
        if lack {
            part.lack(now);
        }
        part.room_for(now, late, 1.0)
    }
}

/// Symptom: most streams are late until long after a burst. Sequence: a burst is refused in
/// part; who was refused comes back, late for good, and takes the places of those who come for
/// the first time, who are refused and come back. Cause: late requests got all of the room.
#[googletest::test]
fn those_who_came_back_leave_room_for_those_in_time() {
    let burst = |now: usize| if now < BURST_FOR { BURST } else { USUAL };

    let got = play(burst, by_lack());
    let alike = play(burst, |_, _, _| 1.0);

    expect_that!(got.burst as f64, ge(1.1 * alike.burst as f64));
    expect_that!(got.after, ge(alike.after));
    // All who come after the burst, but for the first second.
    expect_that!(got.after, ge((PLAY - BURST_FOR - 10) * USUAL));
}

/// Symptom: after an outage thousands are refused a second time while a third of the room is free.
/// Sequence: nobody is served for two seconds; then as many come as the group bears at 0.57 of its
/// room, and those who were refused come back. Cause: late requests were kept below 0.6 of it always.
#[googletest::test]
fn those_who_came_back_get_the_room_that_others_leave() {
    let outage = |now: usize| now < 20;
    let usual = |_: usize| 5;
    let mut by_lack = by_lack();
    let during = |now: Duration| outage((now.as_millis() / 100) as usize);

    let got = play(usual, |now, late, lack| {
        let room = by_lack(now, late, lack);
        if during(now) { 0.0 } else { room }
    });
    let kept_below = play(usual, |now, late, _| match (during(now), late) {
        (true, _) => 0.0,
        (false, true) => 0.6,
        (false, false) => 1.0,
    });

    expect_that!(got.lost, le(kept_below.lost / 2));
    expect_that!(got.after, ge(kept_below.after));
}

//! A group under more than it bears, played without a network: what callers get.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_route::room_for;
use googletest::prelude::*;

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

/// Requests that began in time, in the burst and afterwards. Each caller comes back once.
fn begun_in_time(room: impl Fn(bool) -> f64) -> (usize, usize) {
    let mut ends = vec![0usize; PLAY + STREAM + STREAM_SPREAD];
    let mut back = vec![0usize; PLAY + BACK + BACK_SPREAD];
    let (mut load, mut burst, mut after) = (0usize, 0, 0);
    let (mut streams, mut refused) = (0usize, 0usize);
    for now in 0..PLAY {
        load -= ends[now];
        let mut admit = |count: usize, late: bool, load: &mut usize| {
            let free = (SLOTS * room(late)) as usize;
            let admitted = count.min(free.saturating_sub(*load));
            *load += admitted;
            for _ in 0..admitted {
                streams += 1;
                ends[now + STREAM + streams * 7 % STREAM_SPREAD] += 1;
            }
            admitted
        };
        let fresh = if now < BURST_FOR { BURST } else { USUAL };
        // Who came back and who comes for the first time arrive by turns.
        let (early, late) = (fresh / 2, back[now]);
        let mut begun = admit(early, false, &mut load);
        admit(late, true, &mut load);
        begun += admit(fresh - early, false, &mut load);
        for _ in begun..fresh {
            refused += 1;
            back[now + BACK + refused * 5 % BACK_SPREAD] += 1;
        }
        match now < BURST_FOR {
            true => burst += begun,
            false => after += begun,
        }
    }
    (burst, after)
}

/// Symptom: most streams are late until long after a burst. Sequence: a burst is refused in
/// part; who was refused comes back, late for good, and takes the places of those who come for
/// the first time, who are refused and come back. Cause: late requests got all of the room.
#[googletest::test]
fn those_who_came_back_leave_room_for_those_in_time() {
    let (burst, after) = begun_in_time(|late| room_for(late, 1.0));
    let (burst_alike, after_alike) = begun_in_time(|_| 1.0);

    expect_that!(burst as f64, ge(1.1 * burst_alike as f64));
    expect_that!(after, ge(after_alike));
    // All who come after the burst, but for the first second.
    expect_that!(after, ge((PLAY - BURST_FOR - 10) * USUAL));
}

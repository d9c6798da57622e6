//! How much of the room requests get that are late already: what those leave that can still be
//! in time.
//!
//! A late answer is worth about half to its caller, an early one all. In a burst those who had been
//! refused came back and kept the next ones from being in time, which were refused, and so on until
//! long after the burst. So late ones get a part of the room while others lack it: fifteen days with
//! trouble earned 0.77 of their credit with 0.6 and 0.72 with 0.85. But after an outage, with a load
//! of 0.57 and room for 0.9, that part left none to thousands who had come back, while a third of the
//! room stayed free; so it grows while nobody in time lacks room.

use std::time::Duration;

/// Part of the room that late requests get where others lack it.
const LEAST: f64 = 0.6;
/// The same where nobody has lacked room for some time; the rest is for those that come next.
const MOST: f64 = 0.95;
/// Growth a second, from the least to the most in 0.7 s: half of a usual stream, so that what is
/// let in shows before more is.
const GROWTH: f64 = 0.5;

/// The part of the room that late requests of one service get at this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LatePart {
    lacked: Duration,
}

impl LatePart {
    /// A request that could be in time found no room.
    pub fn lack(&mut self, now: Duration) {
        self.lacked = now;
    }

    /// Load over slots up to which a request is placed where in-time ones are up to `room`.
    pub fn room_for(&self, now: Duration, late: bool, room: f64) -> f64 {
        let free = now.saturating_sub(self.lacked).as_secs_f64();
        match late {
            true => room * (LEAST + GROWTH * free).min(MOST),
            false => room,
        }
    }
}

//! How many requests at once a lock-step group bears: learnt from the pauses between the
//! events that its streams bring.
//!
//! All ranks execute each pass together, and a pass takes longer the more requests write
//! and the less evenly their experts lie. Past some number every stream is late; fewer
//! requests served in time are worth more to callers than all of them late. What that
//! number is changes with the requests' content, so it is measured, not computed. Gain at one and
//! the same load, static maps: 1,009 of 2,128 streams in time in place of 90.

use std::time::Duration;

/// Time over which pauses are judged together: two to five passes.
const WINDOW: Duration = Duration::from_millis(250);
/// Pauses in a window below which nothing is concluded.
const FEWEST: usize = 6;
/// Part of the pauses that must stay below the limit: each stream has some 25 pauses and
/// is late if one of them is too long.
const QUANTILE: f64 = 0.9;
/// Part of the allowed pause at which less is admitted, and below which more is. Between
/// them nothing changes. What was admitted shows two to three passes later.
const HIGH: f64 = 0.95;
const LOW: f64 = 0.8;
/// Change of room a window: down by this factor, up by this much.
const DOWN: f64 = 0.85;
const UP: f64 = 0.04;
/// Least room: one request a rank or two must always pass, else nothing is learnt.
const LEAST: f64 = 0.25;
/// Room at the start, before any pause was seen: half of the slots.
const FIRST: f64 = 0.5;

/// Room of one service, as load over slots of a backend server.
#[derive(Debug, Clone)]
pub struct Pace {
    room: f64,
    pauses: Vec<f64>,
    began: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            room: FIRST,
            pauses: Vec::new(),
            began: Duration::ZERO,
        }
    }
}

impl Pace {
    /// Load over slots up to which a backend server is taken.
    pub fn room(&self) -> f64 {
        self.room
    }

    /// A stream brought an event `pause` after the one before; `limit` is the longest
    /// pause that is in time. Returns the new room where it changed.
    pub fn saw(&mut self, now: Duration, pause: Duration, limit: Duration) -> Option<f64> {
        if limit.is_zero() {
            return None;
        }
        self.pauses.push(pause.as_secs_f64() / limit.as_secs_f64());
        if now < self.began + WINDOW {
            return None;
        }
        self.began = now;
        let mut pauses = std::mem::take(&mut self.pauses);
        if pauses.len() < FEWEST {
            return None;
        }
        pauses.sort_unstable_by(f64::total_cmp);
        let at = ((pauses.len() - 1) as f64 * QUANTILE) as usize;
        let long = pauses.get(at).copied()?;
        let before = self.room;
        if long > HIGH {
            self.room = (self.room * DOWN).max(LEAST);
        } else if long < LOW {
            self.room = (self.room + UP).min(1.0);
        }
        (self.room != before).then_some(self.room)
    }
}

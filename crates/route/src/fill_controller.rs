//! How many requests at once a lock-step group bears: worked out from the pauses between the
//! events that its streams bring.
//!
//! All ranks execute each pass together, and a pass takes longer the more requests write
//! and the less evenly their experts lie. One pass that takes longer than the allowed pause
//! makes every stream in flight late, so the load must stay below that with a margin; what
//! load this is changes within a second, whenever other experts are in demand.
//!
//! A pass takes a fixed part, which the engine's operator publishes, and a part that grows
//! with the load. What the latter is for one unit of load shows in the pauses, and gives the
//! load at which a pass takes the time aimed at. Changing room by steps until the pauses fit
//! needed seconds for that, and overshot each time it came back.

use std::time::Duration;

/// Time over which pauses are judged together: one to three passes.
const WINDOW: Duration = Duration::from_millis(120);
/// Pauses below which nothing is concluded; a window lasts until there are as many.
const FEWEST: usize = 4;
/// Part of the pauses that must stay below the limit: each stream has some 25 pauses and
/// is late if one of them is too long.
const QUANTILE: f64 = 0.9;
/// Part of the allowed pause that a pass may take. The rest is for what is admitted before a pause is
/// seen that it made longer.
const AIM: f64 = 0.9;
/// Where a pass takes longer than [`AIM`] without any load, as beside a rank of several times the usual
/// pace, nobody can be in time. Then a pass may take this many times that: its streams are whole before
/// their callers give up, and as many get a late answer as can.
const LATE_AIM: f64 = 1.5;
/// Least growth of a pass that is believed, as a part of the allowed pause: what is below
/// is the time of reading and of the network.
const LEAST_GROWTH: f64 = 0.05;
/// Pauses of so many times the limit tell of a group that stood still, not of its load; streams with
/// such pauses outlast their callers.
const STILL: f64 = 2.5;
/// Part of the way up to the new room that is gone a window: what was admitted shows one or
/// two passes later. Down it goes at once.
const UP: f64 = 0.3;
/// Least room: one request a rank or two must always pass, else nothing is learnt.
const LEAST: f64 = 0.25;

/// Part of the room that requests get which are late already. What is left is for those that can
/// still be in time, and are worth several times as much to their callers: else those who were refused
/// in a burst come back and keep the next ones from being in time, which are refused, and so on until
/// long after the burst. It does not grow while nobody in time lacks room: that holds a group near its
/// limit, where all streams are late by some pause, and keeps it there.
const LATE_PART: f64 = 0.6;
/// Most room: the part of it for late requests is all slots.
const MOST: f64 = 1.0 / LATE_PART;

/// Load over slots up to which a request is placed where passes allow `room`. The part for late requests
/// is one of what passes allow, which may be more than there are slots. A group whose slots are taken
/// before its passes get long loses nothing by late requests: were they kept from the last slots, as
/// many would be refused twice, and get no answer at all.
pub fn room_for(late: bool, room: f64) -> f64 {
    let part = if late { room * LATE_PART } else { room };
    part.min(1.0)
}

/// What pauses are judged by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest pause that is in time.
    pub limit: Duration,
    /// Time of a pass without load, by the slowest of the ranks.
    pub idle: Duration,
}

/// What was judged, for lines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judged {
    /// Load over slots that passes allow from now on; above 1 the slots bind.
    pub room: f64,
    /// Mean load over slots.
    pub load: f64,
    /// Pause that nine in ten stayed below, as a part of the allowed one.
    pub pause: f64,
}

/// Room of one unit: load over slots of a backend server that its passes allow.
#[derive(Debug, Clone)]
pub struct Pace {
    room: f64,
    pauses: Vec<f64>,
    began: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            room: Pace::FIRST,
            pauses: Vec::new(),
            began: Duration::ZERO,
        }
    }
}

impl Pace {
    /// Room at the start, before any pause was seen, and after the group stood still: it begins with a
    /// map that fits no demand, and all would be late if who had waited for it filled it at once.
    pub const FIRST: f64 = LEAST;

    /// The group stands still: what was learnt of it does not hold when it runs again.
    pub fn forget(&mut self) {
        self.room = Pace::FIRST;
        self.pauses.clear();
    }

    /// Load over slots that passes allow; above 1 the slots bind.
    pub fn room(&self) -> f64 {
        self.room
    }

    /// A stream brought an event `pause` after the one before; `load` is the mean load over
    /// slots of the service's backend servers. Returns what was judged at the end of a window.
    pub fn saw(
        &mut self,
        now: Duration,
        pause: Duration,
        bounds: Bounds,
        load: impl FnOnce() -> f64,
    ) -> Option<Judged> {
        let limit = bounds.limit.as_secs_f64();
        if limit <= 0.0 {
            return None;
        }
        self.pauses.push(pause.as_secs_f64() / limit);
        // A gateway with few streams takes longer to see enough: where it began anew each
        // window, room stayed at the least for half a second after every outage.
        if now < self.began + WINDOW || self.pauses.len() < FEWEST {
            return None;
        }
        self.began = now;
        let long = quantile(std::mem::take(&mut self.pauses))?;
        if long > STILL {
            return None;
        }
        let idle = bounds.idle.as_secs_f64() / limit;
        let growth = (long - idle).max(LEAST_GROWTH);
        let load = load();
        let fits = (load * (aim(idle) - idle) / growth).clamp(LEAST, MOST);
        let before = self.room;
        self.room = match fits < before {
            true => fits,
            false => before + UP * (fits - before),
        };
        Some(Judged {
            room: self.room,
            load,
            pause: long,
        })
    }
}

/// Part of the allowed pause that a pass may take, where it takes `idle` of it without load.
fn aim(idle: f64) -> f64 {
    match idle < AIM {
        true => AIM,
        false => (idle * LATE_AIM).min(STILL),
    }
}

fn quantile(mut pauses: Vec<f64>) -> Option<f64> {
    pauses.sort_unstable_by(f64::total_cmp);
    let at = ((pauses.len() - 1) as f64 * QUANTILE) as usize;
    pauses.get(at).copied()
}

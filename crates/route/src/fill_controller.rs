//! How many concurrent requests a lock-step group can serve: derived from the pauses between the
//! events of its streams.
//!
//! All ranks execute each pass together, and a pass takes longer the more requests decode and the
//! less evenly their experts are placed. One pass longer than the allowed pause makes every stream
//! in flight late, so the load must stay below that with a margin; the load at which this happens
//! changes within a second whenever the demand for experts shifts.
//!
//! A pass takes a fixed time, which the engine's operator publishes, and a time that grows with the
//! load. The pauses show the latter per unit of load, which gives the load at which a pass takes
//! the target time. Finding that load by adjusting the limit in steps took seconds, and overshot
//! each time the limit rose again.

use std::time::Duration;

/// Window over which pauses are evaluated together: one to three passes.
const WINDOW: Duration = Duration::from_millis(120);
/// Minimum number of pauses for an evaluation; a window lasts until it has as many.
const MIN_PAUSES: usize = 4;
/// Fraction of the pauses that must stay below the limit: a stream has some 25 pauses and is late
/// if one of them is too long.
const QUANTILE: f64 = 0.9;
/// Fraction of the allowed pause that a pass may take. The rest is for requests admitted before
/// their effect on pauses shows.
pub(crate) const TARGET: f64 = 0.9;
/// If a pass takes longer than [`TARGET`] without load, for instance with a rank several times
/// slower than usual, no stream can be in time. A pass may then take this multiple of that time:
/// streams complete before their callers give up, and as many as possible get a late answer.
pub(crate) const LATE_FACTOR: f64 = 1.5;
/// Minimum growth of a pass that counts, as a fraction of the allowed pause: less than that is time
/// for reading and the network.
pub(crate) const MIN_GROWTH: f64 = 0.05;
/// Pauses longer than this multiple of the limit indicate a stalled group, not its load; streams
/// with such pauses outlast their callers.
const STALL_RATIO: f64 = 2.5;
/// Fraction of a rise of the fill limit that is applied per window: the effect of admitted requests
/// shows one or two passes later. Decreases apply at once.
const RAISE_RATE: f64 = 0.3;
/// Minimum fill limit: a request per rank or two must always pass, or nothing can be measured.
pub(crate) const MIN_FILL: f64 = 0.25;

/// Fraction of the fill limit for requests that are already late. The rest is kept for those that
/// can still be in time, which are worth several times as much to their callers: otherwise callers
/// refused in a burst retry and make the next ones late, which are refused in turn, and so on until
/// long after the burst. The fraction does not grow while no request in time lacks capacity: that
/// would hold a group near its limit, where every stream is late by some pause.
const LATE_SHARE: f64 = 0.6;
/// Maximum fill limit: the fraction of it for late requests is all slots.
pub(crate) const MAX_FILL: f64 = 1.0 / LATE_SHARE;

/// Load over slots up to which a request is placed if passes allow `fill_limit`. The fraction for
/// late requests is taken of what passes allow, which may exceed the slots. A group that runs out
/// of slots before its passes get long loses nothing by late requests: keeping them from the last
/// slots would refuse as many of them a second time, without any answer.
pub fn fill_limit_for(late: bool, fill_limit: f64) -> f64 {
    let limit = if late {
        fill_limit * LATE_SHARE
    } else {
        fill_limit
    };
    limit.min(1.0)
}

/// Bounds for evaluating pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseBounds {
    /// Longest pause that is in time.
    pub max_pause: Duration,
    /// Duration of a pass without load at the slowest rank.
    pub idle_pass: Duration,
}

/// Result of an evaluation, for structured log lines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FillUpdate {
    /// Load over slots that passes allow from now on; above 1 the slots are the limit.
    pub fill_limit: f64,
    /// Mean load over slots.
    pub load: f64,
    /// 90th percentile of the pauses, as a fraction of the allowed one.
    pub pause: f64,
    /// Predicted share of streams in time to their end, if the rule predicts it.
    pub in_time: Option<f64>,
}

/// Controls a unit's fill limit: the load over slots of a backend server that its passes allow.
#[derive(Debug, Clone)]
pub struct FillController {
    fill_limit: f64,
    pauses: Vec<f64>,
    window_start: Duration,
}

impl Default for FillController {
    fn default() -> FillController {
        FillController {
            fill_limit: FillController::INITIAL,
            pauses: Vec::new(),
            window_start: Duration::ZERO,
        }
    }
}

impl FillController {
    /// Fill limit before any pause was seen, and after a stall: a group starts with a map that fits
    /// no demand, and all streams would be late if waiting requests filled it at once.
    pub const INITIAL: f64 = MIN_FILL;

    /// Discards measurements from before a stall: they do not apply when the group runs again.
    pub fn reset(&mut self) {
        self.fill_limit = FillController::INITIAL;
        self.pauses.clear();
    }

    /// Load over slots that passes allow; above 1 the slots are the limit.
    pub fn fill_limit(&self) -> f64 {
        self.fill_limit
    }

    /// Records an event of a stream `pause` after the previous one; `load` is the mean load over
    /// slots of the service's backend servers. Returns the result at the end of a window.
    pub fn observe_pause(
        &mut self,
        now: Duration,
        pause: Duration,
        bounds: PauseBounds,
        load: impl FnOnce() -> f64,
    ) -> Option<FillUpdate> {
        let max_pause = bounds.max_pause.as_secs_f64();
        if max_pause <= 0.0 {
            return None;
        }
        self.pauses.push(pause.as_secs_f64() / max_pause);
        // A gateway with few streams takes longer to collect enough: discarding incomplete windows
        // kept the fill limit at the minimum for half a second after every outage.
        if now < self.window_start + WINDOW || self.pauses.len() < MIN_PAUSES {
            return None;
        }
        self.window_start = now;
        let high_pause = quantile(std::mem::take(&mut self.pauses))?;
        if high_pause > STALL_RATIO {
            return None;
        }
        let idle = bounds.idle_pass.as_secs_f64() / max_pause;
        let growth = (high_pause - idle).max(MIN_GROWTH);
        let load = load();
        let fitting = (load * (target(idle) - idle) / growth).clamp(MIN_FILL, MAX_FILL);
        let before = self.fill_limit;
        self.fill_limit = match fitting < before {
            true => fitting,
            false => before + RAISE_RATE * (fitting - before),
        };
        Some(FillUpdate {
            fill_limit: self.fill_limit,
            load,
            pause: high_pause,
            in_time: None,
        })
    }
}

/// Fraction of the allowed pause that a pass may take, if it takes `idle` of it without load.
fn target(idle: f64) -> f64 {
    match idle < TARGET {
        true => TARGET,
        false => (idle * LATE_FACTOR).min(STALL_RATIO),
    }
}

fn quantile(mut pauses: Vec<f64>) -> Option<f64> {
    pauses.sort_unstable_by(f64::total_cmp);
    let at = ((pauses.len() - 1) as f64 * QUANTILE) as usize;
    pauses.get(at).copied()
}

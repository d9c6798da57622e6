//! A fill limit that keeps streams in time to their end, instead of single pauses.
//!
//! A stream is late if one of its 20 to 30 passes is too long. A limit that keeps nine in ten
//! passes short lets nearly every stream meet a long one: all are served, and all are a little
//! late. Here the passes of the last seconds are scaled to each candidate load. They give the share
//! of streams that would have met no long pass in their life, and how many streams a second the
//! group would have served. The candidate with the highest worth becomes the fill limit.

use crate::fill_controller::{
    FillController, FillUpdate, LATE_FACTOR, MAX_FILL, MIN_FILL, MIN_GROWTH, PauseBounds, TARGET,
};
use std::collections::VecDeque;
use std::time::Duration;

/// Age up to which windows are used: two to three lives of a stream. Demand and expert maps change
/// within seconds, so older passes say little.
const HISTORY: Duration = Duration::from_secs(5);
/// Time constant of the decay of a run's weight with its age, in seconds.
const WEIGHT_DECAY_S: f64 = 2.5;
/// Span of windows that an evaluation needs: about half the life of a stream.
const MIN_SPAN: Duration = Duration::from_millis(1_000);
/// Worth of a late answer relative to one in time. Callers give it a third to a half.
const LATE_VALUE: f64 = 0.35;
/// Predicted longest pause up to which a stream is surely in time, and from which surely late, as
/// fractions of the allowed pause. The load changes while a stream lives, and its estimate is off
/// by some percent; a hard threshold would make the limit jump between candidates.
const SURELY_IN_TIME: f64 = 0.92;
const SURELY_LATE: f64 = 1.0;
/// Ratio between neighbouring candidates.
const CANDIDATE_RATIO: f64 = 1.04;
/// Candidates whose worth is at least this fraction of the highest count as equal.
const EQUAL_WORTH: f64 = 0.985;
/// Minimum load that growth is divided by: a single prompt read at an idle group would otherwise
/// predict very long passes of a full one.
const MIN_LOAD: f64 = 0.25;
/// Weight of the latest load in its moving average. The load of a group changes over the life of a
/// stream, while its estimate changes with each report.
const LOAD_WEIGHT: f64 = 0.4;
/// Passes count as longer than all recent ones if their growth per load exceeds the highest in the
/// history by this factor.
const MIN_STEEPENING: f64 = 1.05;
/// Fractions of a change that are applied per window. All gateways see the same passes and change
/// their limits together, before the load follows.
const RAISE_RATE: f64 = 0.15;
const LOWER_RATE: f64 = 0.3;

/// What a window of pauses showed.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Duration,
    /// Growth of a pass per load over slots, as a fraction of the allowed pause.
    slope: f64,
}

/// A candidate load and what it would give.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    load: f64,
    worth: f64,
    in_time: f64,
}

/// Controls a unit's fill limit by the share of streams that stay in time to their end.
#[derive(Debug, Clone)]
pub struct OnTimeController {
    /// Evaluates the windows, and decides while the history is too short or no stream can be in
    /// time at any load.
    pauses: FillController,
    fill_limit: f64,
    mean_load: Option<f64>,
    /// Oldest first.
    history: VecDeque<Sample>,
}

impl Default for OnTimeController {
    fn default() -> OnTimeController {
        OnTimeController {
            pauses: FillController::default(),
            fill_limit: FillController::INITIAL,
            mean_load: None,
            history: VecDeque::new(),
        }
    }
}

impl OnTimeController {
    /// Discards measurements from before a stall: they do not apply when the group runs again.
    pub fn reset(&mut self) {
        self.pauses.reset();
        self.fill_limit = FillController::INITIAL;
        self.mean_load = None;
        self.history.clear();
    }

    /// Load over slots that keeps the most streams in time; above 1 the slots are the limit.
    pub fn fill_limit(&self) -> f64 {
        self.fill_limit
    }

    /// Records an event of a stream `pause` after the previous one. Streams have `events` events;
    /// `load` is the mean load over slots of the service's backend servers. Returns the result at
    /// the end of a window.
    pub fn observe_pause(
        &mut self,
        now: Duration,
        pause: Duration,
        bounds: PauseBounds,
        events: f64,
        load: impl FnOnce() -> f64,
    ) -> Option<FillUpdate> {
        let update = self.pauses.observe_pause(now, pause, bounds, load)?;
        let max_pause = bounds.max_pause.as_secs_f64();
        let idle = bounds.idle_pass.as_secs_f64() / max_pause;
        let longer = self.record(now, idle, &update);
        let span = self
            .history
            .front()
            .map_or(Duration::ZERO, |s| now.saturating_sub(s.at));
        if span < MIN_SPAN || idle >= TARGET {
            self.fill_limit = update.fill_limit;
            return Some(update);
        }
        let life = events * max_pause;
        let best = self.best(now, idle, life, span)?;
        let before = self.fill_limit;
        let rate = match best.load > before {
            true => RAISE_RATE,
            false => LOWER_RATE,
        };
        self.fill_limit = before + rate * (best.load - before);
        if longer {
            self.fill_limit = self.fill_limit.min(update.fill_limit);
        }
        Some(FillUpdate {
            fill_limit: self.fill_limit,
            in_time: Some(best.in_time),
            ..update
        })
    }

    /// Adds a window to the history; `true` if its passes were longer than all in the history.
    fn record(&mut self, now: Duration, idle: f64, update: &FillUpdate) -> bool {
        let before = self.mean_load.unwrap_or(update.load);
        let load = before + LOAD_WEIGHT * (update.load - before);
        self.mean_load = Some(load);
        // The higher of the latest load and its mean: an estimate that is too low gives a slope that
        // is too steep, and the steepest slope of a run counts.
        let load = load.max(update.load).max(MIN_LOAD);
        let slope = (update.pause - idle).max(MIN_GROWTH) / load;
        let oldest = now.saturating_sub(HISTORY);
        while self.history.front().is_some_and(|s| s.at < oldest) {
            self.history.pop_front();
        }
        let steepest = self.history.iter().map(|s| s.slope).fold(0.0, f64::max);
        self.history.push_back(Sample { at: now, slope });
        slope > MIN_STEEPENING * steepest
    }

    /// The candidate of the highest worth; among nearly equal ones the nearest to the present
    /// limit, so that the limit does not oscillate. Where all slots are worth taking, it is the
    /// highest, of which late requests get a fraction.
    fn best(&self, now: Duration, idle: f64, life: f64, span: Duration) -> Option<Candidate> {
        let count = self.history.len();
        let spacing = span.as_secs_f64() / (count.max(2) - 1) as f64;
        let mean_slope = self.history.iter().map(|s| s.slope).sum::<f64>() / count.max(1) as f64;
        let mut runs = Runs::new(now, &self.history);
        let mut candidates = Vec::new();
        let mut limit = MIN_FILL;
        while limit <= MAX_FILL {
            // The slots bound the load, whatever passes allow.
            let load = limit.min(1.0);
            let pass = idle + mean_slope * load;
            if pass > LATE_FACTOR && limit > MIN_FILL {
                // Such streams would outlast their callers, as in the rule for late answers.
                break;
            }
            let length = (life * pass / spacing).ceil().max(1.0) as usize;
            let in_time = runs.share(length.min(count), |slope| idle + slope * limit);
            candidates.push(Candidate {
                load: limit,
                worth: load / pass * (in_time + LATE_VALUE * (1.0 - in_time)),
                in_time,
            });
            limit *= CANDIDATE_RATIO;
        }
        let highest = candidates.iter().map(|c| c.worth).fold(0.0, f64::max);
        let equal = |c: &&Candidate| c.worth >= EQUAL_WORTH * highest;
        let last = candidates.iter().rfind(equal).copied();
        if last.is_some_and(|c| c.load >= 1.0) {
            return last;
        }
        let distance = |c: &Candidate| (c.load - self.fill_limit).abs();
        let nearest = candidates.iter().filter(equal);
        nearest
            .min_by(|a, b| distance(a).total_cmp(&distance(b)))
            .copied()
    }
}

/// Runs of consecutive windows, one ending at each window. Runs that start before the oldest window
/// continue with the newest ones, so that all have the same length.
struct Runs {
    /// Newest first.
    slopes: Vec<f64>,
    weights: Vec<f64>,
    /// Steepest slope of the run ending at each window, for runs of `length`.
    steepest: Vec<f64>,
    length: usize,
}

impl Runs {
    fn new(now: Duration, history: &VecDeque<Sample>) -> Runs {
        let newest_first = || history.iter().rev();
        let weight = |s: &Sample| (-now.saturating_sub(s.at).as_secs_f64() / WEIGHT_DECAY_S).exp();
        Runs {
            slopes: newest_first().map(|s| s.slope).collect(),
            weights: newest_first().map(weight).collect(),
            steepest: Vec::new(),
            length: 0,
        }
    }

    /// Share of runs of this length that are in time, if `pause` gives the pause by the slope.
    fn share(&mut self, length: usize, pause: impl Fn(f64) -> f64) -> f64 {
        let in_time = |slope: &f64| {
            ((SURELY_LATE - pause(*slope)) / (SURELY_LATE - SURELY_IN_TIME)).clamp(0.0, 1.0)
        };
        // The outcome of all runs is known without their order, which saves most of the work.
        let extremes = self.slopes.iter().copied();
        let (lowest, highest) = (
            extremes.clone().fold(f64::MAX, f64::min),
            extremes.fold(0.0, f64::max),
        );
        if in_time(&highest) == 1.0 || in_time(&lowest) == 0.0 {
            return in_time(&lowest);
        }
        if length != self.length {
            let circular = |end| self.slopes.iter().cycle().skip(end).take(length);
            let steepest = |end| circular(end).copied().fold(0.0, f64::max);
            self.steepest = (0..self.slopes.len()).map(steepest).collect();
            self.length = length;
        }
        let weighted = self.steepest.iter().zip(&self.weights);
        let sum: f64 = weighted.map(|(slope, w)| w * in_time(slope)).sum();
        sum / self.weights.iter().sum::<f64>().max(f64::MIN_POSITIVE)
    }
}

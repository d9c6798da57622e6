//! Spreading hot experts: where to put copies so that the busiest rank of each layer has
//! less to do, within the places of a rank and what one change may bring new to it.

use crate::RankId;
use crate::map::ExpertMap;

/// Changes of one layer at most. A rank takes `spare` new experts, so this bounds time
/// rather than quality: the work runs on a twentieth of a core.
const MOST_CHANGES: usize = 48;
/// A change must lower the busiest rank by this part of the mean, or it is not worth its
/// copy.
const LEAST_GAIN: f64 = 0.01;

/// What a rank can hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits<'a> {
    /// Ranks of the group.
    pub ranks: usize,
    /// Experts of one layer on one rank at most.
    pub places: usize,
    /// Experts of one layer that may be new to a rank.
    pub spare: usize,
    /// Time that each rank takes for the same work, against a sound one. A slow rank sets
    /// the pace of all, so it gets less.
    pub paces: &'a [f64],
}

/// Time of the busiest rank over the mean of sound ones, over all layers; 1 is even.
pub fn lag(map: &ExpertMap, loads: &[Vec<f64>], limits: Limits<'_>) -> f64 {
    let mean = loads.iter().flatten().sum::<f64>() / limits.ranks.max(1) as f64;
    if mean <= 0.0 {
        return 1.0;
    }
    let layers = map.layers.iter().zip(loads);
    let busiest = layers.map(|(layer, loads)| Layer::new(layer, loads, limits).busiest());
    busiest.sum::<f64>() / mean
}

/// A map near `map` that spreads `loads` (by layer and expert) better.
pub fn spread(map: &ExpertMap, loads: &[Vec<f64>], limits: Limits<'_>) -> ExpertMap {
    let layers = map.layers.iter().zip(loads);
    let layers = layers.map(|(layer, loads)| Layer::new(layer, loads, limits).improve());
    ExpertMap {
        layers: layers.collect(),
    }
}

/// One layer while it is being changed.
struct Layer<'a> {
    loads: &'a [f64],
    limits: Limits<'a>,
    holders: Vec<Vec<RankId>>,
    base: &'a [Vec<RankId>],
    sums: Vec<f64>,
    used: Vec<usize>,
    fresh: Vec<usize>,
    mean: f64,
}

/// What happens to a layer.
#[derive(Clone, Copy)]
enum Step {
    /// A copy of an expert on a rank, in the place of the copy of another there.
    Copy(usize, usize, Option<usize>),
    /// A rank gives its copy of an expert up: costs nothing.
    Drop(usize, usize),
}

#[derive(Clone, Copy)]
struct Change {
    step: Step,
    /// Load of the busiest rank afterwards.
    busiest: f64,
}

impl<'a> Layer<'a> {
    fn new(base: &'a [Vec<RankId>], loads: &'a [f64], limits: Limits<'a>) -> Layer<'a> {
        let mut layer = Layer {
            loads,
            limits,
            holders: base.to_vec(),
            base,
            sums: vec![0.0; limits.ranks],
            used: vec![0; limits.ranks],
            fresh: vec![0; limits.ranks],
            mean: loads.iter().sum::<f64>() / limits.ranks.max(1) as f64,
        };
        for expert in 0..base.len() {
            for rank in layer.ranks_of(expert) {
                add(&mut layer.used, rank, 1);
                let share = layer.share(expert, 0) * layer.pace(rank);
                if let Some(sum) = layer.sums.get_mut(rank) {
                    *sum += share;
                }
            }
        }
        layer
    }

    fn pace(&self, rank: usize) -> f64 {
        self.limits.paces.get(rank).copied().unwrap_or(1.0)
    }

    fn busiest(&self) -> f64 {
        self.sums.iter().copied().fold(0.0, f64::max)
    }

    fn improve(mut self) -> Vec<Vec<RankId>> {
        for _ in 0..MOST_CHANGES {
            let hot = self.by_load().last().copied();
            let before = hot.and_then(|h| self.sums.get(h).copied()).unwrap_or(0.0);
            let Some(change) = hot.and_then(|h| self.best(h)) else {
                break;
            };
            if change.busiest > before - LEAST_GAIN * self.mean {
                break;
            }
            self.apply(change);
        }
        self.holders
    }

    /// Ranks, the idlest first.
    fn by_load(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.limits.ranks).collect();
        let sum = |r: &usize| self.sums.get(*r).copied().unwrap_or(0.0);
        ranks.sort_by(|a, b| sum(a).total_cmp(&sum(b)));
        ranks
    }

    fn ranks_of(&self, expert: usize) -> Vec<usize> {
        let holders = self.holders.get(expert);
        holders.map_or_else(Vec::new, |h| h.iter().map(|r| *r as usize).collect())
    }

    fn holds(&self, expert: usize, rank: usize) -> bool {
        let holders = self.holders.get(expert);
        holders.is_some_and(|h| h.contains(&(rank as RankId)))
    }

    fn is_new(&self, expert: usize, rank: usize) -> bool {
        let base = self.base.get(expert);
        !base.is_some_and(|h| h.contains(&(rank as RankId)))
    }

    fn experts_on(&self, rank: usize) -> Vec<usize> {
        (0..self.holders.len())
            .filter(|e| self.holds(*e, rank))
            .collect()
    }

    /// Load that each holder of an expert has of it, with so many copies more or less.
    fn share(&self, expert: usize, more: i64) -> f64 {
        let copies = self.holders.get(expert).map_or(0, Vec::len) as i64 + more;
        self.loads.get(expert).copied().unwrap_or(0.0) / copies.max(1) as f64
    }

    /// The best copy of one of the busiest rank's experts elsewhere.
    fn best(&self, hot: usize) -> Option<Change> {
        let mut best: Option<Change> = None;
        let idle = self.by_load();
        let mut offer = |step: Step| {
            let change = self.tried(step);
            if best.is_none_or(|b| change.busiest < b.busiest) {
                best = Some(change);
            }
        };
        for expert in self.experts_on(hot) {
            if self.copies(expert) > 1 {
                offer(Step::Drop(expert, hot));
            }
            let targets = idle.iter().copied().filter(|t| self.may_take(expert, *t));
            // The idlest ranks with room; more candidates gain little.
            for target in targets.take(3) {
                for out in self.outs(target) {
                    offer(Step::Copy(expert, target, out));
                }
            }
        }
        best
    }

    fn may_take(&self, expert: usize, target: usize) -> bool {
        let fresh = self.fresh.get(target).copied().unwrap_or(0);
        let room = fresh < self.limits.spare || !self.is_new(expert, target);
        !self.holds(expert, target) && room && !self.outs(target).is_empty()
    }

    /// What may give way on a rank: nothing where it has a free place, else any expert
    /// that others hold too.
    fn outs(&self, target: usize) -> Vec<Option<usize>> {
        if self.used.get(target).copied().unwrap_or(0) < self.limits.places {
            return vec![None];
        }
        let held = self.experts_on(target).into_iter();
        held.filter(|e| self.copies(*e) > 1).map(Some).collect()
    }

    fn copies(&self, expert: usize) -> usize {
        self.holders.get(expert).map_or(0, Vec::len)
    }

    fn tried(&self, step: Step) -> Change {
        let mut sums = self.sums.clone();
        self.shift(&mut sums, step);
        let busiest = sums.iter().copied().fold(0.0, f64::max);
        Change { step, busiest }
    }

    fn shift(&self, sums: &mut [f64], step: Step) {
        match step {
            Step::Drop(expert, rank) => self.shift_one(sums, expert, rank, -1),
            Step::Copy(expert, target, out) => {
                self.shift_one(sums, expert, target, 1);
                if let Some(out) = out {
                    self.shift_one(sums, out, target, -1);
                }
            }
        }
    }

    /// Loads after `rank` has a copy of `expert` more (1) or less (-1).
    fn shift_one(&self, sums: &mut [f64], expert: usize, rank: usize, more: i64) {
        let (now, then) = (self.share(expert, 0), self.share(expert, more));
        let mut change = |rank: usize, by: f64| {
            if let Some(sum) = sums.get_mut(rank) {
                *sum += by * self.pace(rank);
            }
        };
        for other in self.ranks_of(expert).into_iter().filter(|r| *r != rank) {
            change(other, then - now);
        }
        change(rank, if more > 0 { then } else { -now });
    }

    fn apply(&mut self, change: Change) {
        let mut sums = std::mem::take(&mut self.sums);
        self.shift(&mut sums, change.step);
        self.sums = sums;
        match change.step {
            Step::Drop(expert, rank) => self.remove(expert, rank),
            Step::Copy(expert, target, out) => {
                if let Some(out) = out {
                    self.remove(out, target);
                }
                self.put(expert, target);
            }
        }
    }

    fn remove(&mut self, expert: usize, rank: usize) {
        if self.is_new(expert, rank) {
            add(&mut self.fresh, rank, -1);
        }
        if let Some(holders) = self.holders.get_mut(expert) {
            holders.retain(|r| *r as usize != rank);
        }
        add(&mut self.used, rank, -1);
    }

    fn put(&mut self, expert: usize, rank: usize) {
        if self.is_new(expert, rank) {
            add(&mut self.fresh, rank, 1);
        }
        if let Some(holders) = self.holders.get_mut(expert) {
            holders.push(rank as RankId);
        }
        add(&mut self.used, rank, 1);
    }
}

fn add(counts: &mut [usize], rank: usize, by: i64) {
    if let Some(count) = counts.get_mut(rank) {
        *count = count.saturating_add_signed(by as isize);
    }
}

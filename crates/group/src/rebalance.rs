//! Spreading hot experts: where to put copies so that the busiest rank of each layer has
//! less to do, within the places of a rank and what one change may bring new to it.
//!
//! A search by single steps: a copy more, a copy less, or an exchange between two ranks. A
//! step is judged by the ranks that it concerns, not by the busiest of all: where two ranks
//! have the most to do, relieving one of them is half of the way.
//!
//! What each rank holds is kept beside who holds each expert. The search runs on a share of a core,
//! and the leader sends no heartbeat meanwhile: one that looked through all experts for those of a rank
//! would be deposed over a large group.

use crate::RankId;
use crate::map::ExpertMap;

/// Changes of one layer at most. It bounds time: the work runs on a twentieth of a core.
const MOST_CHANGES: usize = 200;
/// The idlest ranks that an expert may be copied to; more candidates gain little.
const TARGETS: usize = 3;
/// The idlest ranks that the busiest one may exchange experts with.
const PARTNERS: usize = 6;

/// What a rank can hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits<'a> {
    /// Ranks of the group.
    pub ranks: usize,
    /// Experts of one layer on one rank at most.
    pub places: usize,
    /// Experts of one layer that may be new to a rank.
    pub spare: usize,
    /// Experts of all layers that may be new to a rank: it copies one after the other.
    pub copies: usize,
    /// A change must lower the busiest rank of its layer by this part of the mean, or it is
    /// not worth its copy.
    pub gain: f64,
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

/// A map near `map` that spreads `loads` (by layer and expert) better. The layer whose
/// busiest rank has the most to do goes first, since copies are few.
pub fn spread(map: &ExpertMap, loads: &[Vec<f64>], limits: Limits<'_>) -> ExpertMap {
    let layers = map.layers.iter().zip(loads);
    let mut layers: Vec<Layer<'_>> = layers
        .map(|(layer, loads)| Layer::new(layer, loads, limits))
        .collect();
    let mut copied = vec![0; limits.ranks];
    let mut open: Vec<usize> = (0..layers.len()).collect();
    let mut excess: Vec<f64> = layers.iter().map(Layer::excess).collect();
    for _ in 0..MOST_CHANGES * layers.len() {
        let lag = |l: &usize| excess.get(*l).copied().unwrap_or(0.0);
        let Some(worst) = open
            .iter()
            .copied()
            .max_by(|a, b| lag(a).total_cmp(&lag(b)))
        else {
            break;
        };
        let Some(layer) = layers.get_mut(worst) else {
            break;
        };
        if !layer.improve_once(&mut copied) {
            open.retain(|l| *l != worst);
        }
        if let Some(excess) = excess.get_mut(worst) {
            *excess = layer.excess();
        }
    }
    ExpertMap {
        layers: layers.into_iter().map(|l| l.holders).collect(),
    }
}

/// One layer while it is being changed.
struct Layer<'a> {
    loads: &'a [f64],
    limits: Limits<'a>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<RankId>>,
    /// Experts that each rank holds, in ascending order.
    held: Vec<Vec<usize>>,
    base: &'a [Vec<RankId>],
    sums: Vec<f64>,
    /// All ranks, the idlest first.
    idle: Vec<usize>,
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
    /// Two ranks exchange a copy each: expert and rank, twice.
    Swap((usize, usize), (usize, usize)),
}

#[derive(Clone, Copy)]
struct Change {
    step: Step,
    /// Load afterwards of the busiest of the ranks that it concerns.
    busiest: f64,
}

impl<'a> Layer<'a> {
    fn new(base: &'a [Vec<RankId>], loads: &'a [f64], limits: Limits<'a>) -> Layer<'a> {
        let mut layer = Layer {
            loads,
            limits,
            holders: base.to_vec(),
            held: vec![Vec::new(); limits.ranks],
            base,
            sums: vec![0.0; limits.ranks],
            idle: (0..limits.ranks).collect(),
            fresh: vec![0; limits.ranks],
            mean: loads.iter().sum::<f64>() / limits.ranks.max(1) as f64,
        };
        for expert in 0..base.len() {
            for rank in base.get(expert).into_iter().flatten().map(|r| *r as usize) {
                if let Some(held) = layer.held.get_mut(rank) {
                    held.push(expert);
                }
                let share = layer.share(expert, 0) * layer.pace(rank);
                if let Some(sum) = layer.sums.get_mut(rank) {
                    *sum += share;
                }
            }
        }
        layer.order();
        layer
    }

    fn pace(&self, rank: usize) -> f64 {
        self.limits.paces.get(rank).copied().unwrap_or(1.0)
    }

    fn busiest(&self) -> f64 {
        self.idle.last().map_or(0.0, |r| self.sum(*r))
    }

    /// Load of the busiest rank over the mean, in load: layers with more of it weigh more.
    fn excess(&self) -> f64 {
        self.busiest() - self.mean
    }

    /// Makes the best change for the busiest rank, if one is worth it; `copied` counts what
    /// is new to each rank over all layers.
    fn improve_once(&mut self, copied: &mut [usize]) -> bool {
        let Some(hot) = self.idle.last().copied() else {
            return false;
        };
        let before = self.sum(hot);
        let best = self.best(hot, copied);
        let Some(change) = best.filter(|c| c.busiest <= before - self.limits.gain * self.mean)
        else {
            return false;
        };
        self.apply(change, copied);
        self.order();
        true
    }

    /// Puts the ranks in order, the idlest first. A change moves few of them, and sorting what is
    /// nearly in order takes little.
    fn order(&mut self) {
        let sum = |r: &usize| self.sums.get(*r).copied().unwrap_or(0.0);
        self.idle
            .sort_by(|a, b| sum(a).total_cmp(&sum(b)).then(a.cmp(b)));
    }

    fn ranks_of(&self, expert: usize) -> impl Iterator<Item = usize> {
        let holders = self.holders.get(expert).map_or(&[][..], Vec::as_slice);
        holders.iter().map(|r| *r as usize)
    }

    fn holds(&self, expert: usize, rank: usize) -> bool {
        let holders = self.holders.get(expert);
        holders.is_some_and(|h| h.contains(&(rank as RankId)))
    }

    fn is_new(&self, expert: usize, rank: usize) -> bool {
        let base = self.base.get(expert);
        !base.is_some_and(|h| h.contains(&(rank as RankId)))
    }

    fn experts_on(&self, rank: usize) -> &[usize] {
        self.held.get(rank).map_or(&[], Vec::as_slice)
    }

    /// Load that each holder of an expert has of it, with so many copies more or less.
    fn share(&self, expert: usize, more: i64) -> f64 {
        let copies = self.holders.get(expert).map_or(0, Vec::len) as i64 + more;
        self.loads.get(expert).copied().unwrap_or(0.0) / copies.max(1) as f64
    }

    /// The best change for one of the busiest rank's experts.
    fn best(&self, hot: usize, copied: &[usize]) -> Option<Change> {
        let mut best: Option<Change> = None;
        let mut offer = |step: Step| {
            let change = self.tried(step);
            if best.is_none_or(|b| change.busiest < b.busiest) {
                best = Some(change);
            }
        };
        for expert in self.experts_on(hot).iter().copied() {
            if self.copies(expert) > 1 {
                offer(Step::Drop(expert, hot));
            }
            let targets = self
                .idle
                .iter()
                .copied()
                .filter(|t| self.may_take(expert, *t, copied));
            for target in targets.take(TARGETS) {
                if self.has_place(target) {
                    offer(Step::Copy(expert, target, None));
                    continue;
                }
                for out in self.outs(target) {
                    offer(Step::Copy(expert, target, Some(out)));
                }
            }
            for target in self
                .idle
                .iter()
                .copied()
                .filter(|t| *t != hot)
                .take(PARTNERS)
            {
                for other in self.experts_on(target).iter().copied() {
                    if self.may_swap((expert, hot), (other, target), copied) {
                        offer(Step::Swap((expert, hot), (other, target)));
                    }
                }
            }
        }
        best
    }

    fn may_take(&self, expert: usize, target: usize, copied: &[usize]) -> bool {
        let makes_room = || self.has_place(target) || self.outs(target).next().is_some();
        self.fits(expert, target, copied) && makes_room()
    }

    fn may_swap(
        &self,
        (one, here): (usize, usize),
        (other, there): (usize, usize),
        copied: &[usize],
    ) -> bool {
        self.share(other, 0) < self.share(one, 0)
            && self.fits(one, there, copied)
            && self.fits(other, here, copied)
    }

    /// An expert is not on a rank yet, and may be copied there.
    fn fits(&self, expert: usize, rank: usize, copied: &[usize]) -> bool {
        if self.holds(expert, rank) {
            return false;
        }
        let fresh = self.fresh.get(rank).copied().unwrap_or(0);
        let copied = copied.get(rank).copied().unwrap_or(0);
        !self.is_new(expert, rank) || (fresh < self.limits.spare && copied < self.limits.copies)
    }

    fn has_place(&self, rank: usize) -> bool {
        self.experts_on(rank).len() < self.limits.places
    }

    /// What may give way on a full rank: any expert that others hold too.
    fn outs(&self, rank: usize) -> impl Iterator<Item = usize> {
        let held = self.experts_on(rank).iter().copied();
        held.filter(|e| self.copies(*e) > 1)
    }

    fn copies(&self, expert: usize) -> usize {
        self.holders.get(expert).map_or(0, Vec::len)
    }

    fn tried(&self, step: Step) -> Change {
        let shifts = self.shifts(step);
        let sums = shifts.iter().map(|(rank, by)| self.sum(*rank) + by);
        let busiest = sums.fold(0.0, f64::max);
        Change { step, busiest }
    }

    fn sum(&self, rank: usize) -> f64 {
        self.sums.get(rank).copied().unwrap_or(0.0)
    }

    /// Changes of load that a step makes, each rank once.
    fn shifts(&self, step: Step) -> Vec<(usize, f64)> {
        let mut shifts = Vec::new();
        match step {
            Step::Drop(expert, rank) => self.shift_one(&mut shifts, expert, rank, -1),
            Step::Copy(expert, target, out) => {
                self.shift_one(&mut shifts, expert, target, 1);
                if let Some(out) = out {
                    self.shift_one(&mut shifts, out, target, -1);
                }
            }
            Step::Swap((one, here), (other, there)) => {
                let (a, b) = (self.share(one, 0), self.share(other, 0));
                shift(&mut shifts, here, (b - a) * self.pace(here));
                shift(&mut shifts, there, (a - b) * self.pace(there));
            }
        }
        shifts
    }

    /// Loads after `rank` has a copy of `expert` more (1) or less (-1).
    fn shift_one(&self, shifts: &mut Vec<(usize, f64)>, expert: usize, rank: usize, more: i64) {
        let (now, then) = (self.share(expert, 0), self.share(expert, more));
        for other in self.ranks_of(expert).filter(|r| *r != rank) {
            shift(shifts, other, (then - now) * self.pace(other));
        }
        let own = if more > 0 { then } else { -now };
        shift(shifts, rank, own * self.pace(rank));
    }

    fn apply(&mut self, change: Change, copied: &mut [usize]) {
        for (rank, by) in self.shifts(change.step) {
            if let Some(sum) = self.sums.get_mut(rank) {
                *sum += by;
            }
        }
        match change.step {
            Step::Drop(expert, rank) => self.remove(expert, rank, copied),
            Step::Copy(expert, target, out) => {
                if let Some(out) = out {
                    self.remove(out, target, copied);
                }
                self.put(expert, target, copied);
            }
            Step::Swap((one, here), (other, there)) => {
                self.remove(one, here, copied);
                self.remove(other, there, copied);
                self.put(one, there, copied);
                self.put(other, here, copied);
            }
        }
    }

    fn remove(&mut self, expert: usize, rank: usize, copied: &mut [usize]) {
        if self.is_new(expert, rank) {
            add(&mut self.fresh, rank, -1);
            add(copied, rank, -1);
        }
        if let Some(holders) = self.holders.get_mut(expert) {
            holders.retain(|r| *r as usize != rank);
        }
        if let Some(held) = self.held.get_mut(rank) {
            held.retain(|e| *e != expert);
        }
    }

    fn put(&mut self, expert: usize, rank: usize, copied: &mut [usize]) {
        if self.is_new(expert, rank) {
            add(&mut self.fresh, rank, 1);
            add(copied, rank, 1);
        }
        if let Some(holders) = self.holders.get_mut(expert) {
            holders.push(rank as RankId);
        }
        if let Some(held) = self.held.get_mut(rank) {
            let at = held.partition_point(|e| *e < expert);
            held.insert(at, expert);
        }
    }
}

/// More load on a rank, which may have some in the list already.
fn shift(shifts: &mut Vec<(usize, f64)>, rank: usize, by: f64) {
    match shifts.iter_mut().find(|(r, _)| *r == rank) {
        Some((_, sum)) => *sum += by,
        None => shifts.push((rank, by)),
    }
}

fn add(counts: &mut [usize], rank: usize, by: i64) {
    if let Some(count) = counts.get_mut(rank) {
        *count = count.saturating_add_signed(by as isize);
    }
}

//! Rebalancing of hot experts: places copies so that the busiest rank of each layer has less load,
//! within the slots of a rank and the experts that one switch may add to it.
//!
//! The search makes one change at a time: add a copy, drop one, or swap two between ranks. A change
//! is evaluated by the ranks that it affects, not by the overall maximum: if two ranks are equally
//! busy, relieving one of them is half of the solution.
//!
//! Experts are also indexed by rank. The search gets a fraction of a core, and the leader sends no
//! heartbeats meanwhile: if it scanned all experts for those of a rank, the leader of a large group
//! would be deposed.

use crate::RankId;
use crate::map::ExpertMap;

/// Maximum changes per layer. Bounds the run time, as the search gets a twentieth of a core.
const MAX_CHANGES: usize = 200;
/// Number of least loaded ranks considered as targets of a copy; more candidates gain little.
const COPY_TARGETS: usize = 3;
/// Number of least loaded ranks considered for a swap with the busiest one.
const SWAP_PARTNERS: usize = 6;

/// Limits on what ranks can hold and what a switch may change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits<'a> {
    /// Ranks of the group.
    pub ranks: usize,
    /// Maximum number of experts of one layer on one rank.
    pub slots: usize,
    /// Maximum number of experts of one layer that a switch may add to a rank.
    pub new_per_layer: usize,
    /// Maximum number of experts over all layers that a switch may add to a rank, which copies them
    /// one by one.
    pub new_total: usize,
    /// Minimum reduction of the load of a layer's busiest rank, as a fraction of the mean, for
    /// which a change is worth its copy.
    pub min_gain: f64,
    /// Time that each rank takes for the same work, relative to a healthy one. A slow rank limits
    /// the whole group, so it gets less load.
    pub slowdowns: &'a [f64],
}

/// Time of the busiest rank over the mean of healthy ones, over all layers; 1 is balanced.
pub fn imbalance(map: &ExpertMap, loads: &[Vec<f64>], limits: Limits<'_>) -> f64 {
    let mean = loads.iter().flatten().sum::<f64>() / limits.ranks.max(1) as f64;
    if mean <= 0.0 {
        return 1.0;
    }
    let layers = map.layers.iter().zip(loads);
    let busiest = layers.map(|(layer, loads)| Layer::new(layer, loads, limits).busiest());
    busiest.sum::<f64>() / mean
}

/// Returns a map close to `map` that balances `loads` (by layer and expert) better. The layer with
/// the most overloaded rank goes first, since the number of copies is limited.
pub fn rebalance(map: &ExpertMap, loads: &[Vec<f64>], limits: Limits<'_>) -> ExpertMap {
    let layers = map.layers.iter().zip(loads);
    let mut layers: Vec<Layer<'_>> = layers
        .map(|(layer, loads)| Layer::new(layer, loads, limits))
        .collect();
    let mut copied = vec![0; limits.ranks];
    let mut open: Vec<usize> = (0..layers.len()).collect();
    let mut excess: Vec<f64> = layers.iter().map(Layer::excess).collect();
    for _ in 0..MAX_CHANGES * layers.len() {
        let excess_of = |l: &usize| excess.get(*l).copied().unwrap_or(0.0);
        let Some(worst) = open
            .iter()
            .copied()
            .max_by(|a, b| excess_of(a).total_cmp(&excess_of(b)))
        else {
            break;
        };
        let Some(layer) = layers.get_mut(worst) else {
            break;
        };
        if !layer.apply_best_change(&mut copied) {
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

/// One layer during the search.
struct Layer<'a> {
    loads: &'a [f64],
    limits: Limits<'a>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<RankId>>,
    /// Experts that each rank holds, in ascending order.
    by_rank: Vec<Vec<usize>>,
    base: &'a [Vec<RankId>],
    sums: Vec<f64>,
    /// All ranks, least loaded first.
    by_load: Vec<usize>,
    added: Vec<usize>,
    mean: f64,
}

/// A change to a layer.
#[derive(Clone, Copy)]
enum Move {
    /// Adds a copy of an expert to a rank, optionally in place of the copy of another expert.
    Copy(usize, usize, Option<usize>),
    /// Removes a rank's copy of an expert, at no cost.
    Drop(usize, usize),
    /// Swaps a copy of one rank with a copy of another: expert and rank, twice.
    Swap((usize, usize), (usize, usize)),
}

#[derive(Clone, Copy)]
struct Change {
    action: Move,
    /// Highest load afterwards among the ranks that it affects.
    busiest: f64,
}

impl<'a> Layer<'a> {
    fn new(base: &'a [Vec<RankId>], loads: &'a [f64], limits: Limits<'a>) -> Layer<'a> {
        let mut layer = Layer {
            loads,
            limits,
            holders: base.to_vec(),
            by_rank: vec![Vec::new(); limits.ranks],
            base,
            sums: vec![0.0; limits.ranks],
            by_load: (0..limits.ranks).collect(),
            added: vec![0; limits.ranks],
            mean: loads.iter().sum::<f64>() / limits.ranks.max(1) as f64,
        };
        for expert in 0..base.len() {
            for rank in base.get(expert).into_iter().flatten().map(|r| *r as usize) {
                if let Some(experts) = layer.by_rank.get_mut(rank) {
                    experts.push(expert);
                }
                let share = layer.share(expert, 0) * layer.slowdown(rank);
                if let Some(sum) = layer.sums.get_mut(rank) {
                    *sum += share;
                }
            }
        }
        layer.sort_ranks();
        layer
    }

    fn slowdown(&self, rank: usize) -> f64 {
        self.limits.slowdowns.get(rank).copied().unwrap_or(1.0)
    }

    fn busiest(&self) -> f64 {
        self.by_load.last().map_or(0.0, |r| self.sum(*r))
    }

    /// Load of the busiest rank above the mean, not relative: layers with more load weigh more.
    fn excess(&self) -> f64 {
        self.busiest() - self.mean
    }

    /// Applies the best change for the busiest rank, if it is worth it. `copied` counts the experts
    /// added to each rank over all layers.
    fn apply_best_change(&mut self, copied: &mut [usize]) -> bool {
        let Some(busiest_rank) = self.by_load.last().copied() else {
            return false;
        };
        let before = self.sum(busiest_rank);
        let best = self.best_change(busiest_rank, copied);
        let Some(change) = best.filter(|c| c.busiest <= before - self.limits.min_gain * self.mean)
        else {
            return false;
        };
        self.apply(change, copied);
        self.sort_ranks();
        true
    }

    /// Sorts the ranks by load, least loaded first. A change moves few of them, and sorting a
    /// nearly sorted list is cheap.
    fn sort_ranks(&mut self) {
        let sum = |r: &usize| self.sums.get(*r).copied().unwrap_or(0.0);
        self.by_load
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

    fn is_added(&self, expert: usize, rank: usize) -> bool {
        let base = self.base.get(expert);
        !base.is_some_and(|h| h.contains(&(rank as RankId)))
    }

    fn experts_on(&self, rank: usize) -> &[usize] {
        self.by_rank.get(rank).map_or(&[], Vec::as_slice)
    }

    /// Load that an expert puts on each of its holders if it had `more` copies.
    fn share(&self, expert: usize, more: i64) -> f64 {
        let copies = self.holders.get(expert).map_or(0, Vec::len) as i64 + more;
        self.loads.get(expert).copied().unwrap_or(0.0) / copies.max(1) as f64
    }

    /// The best change that involves one of the busiest rank's experts.
    fn best_change(&self, busiest_rank: usize, copied: &[usize]) -> Option<Change> {
        let mut best: Option<Change> = None;
        let mut consider = |action: Move| {
            let change = self.evaluate(action);
            if best.is_none_or(|b| change.busiest < b.busiest) {
                best = Some(change);
            }
        };
        for expert in self.experts_on(busiest_rank).iter().copied() {
            if self.copies(expert) > 1 {
                consider(Move::Drop(expert, busiest_rank));
            }
            let targets = self
                .by_load
                .iter()
                .copied()
                .filter(|t| self.can_receive(expert, *t, copied));
            for target in targets.take(COPY_TARGETS) {
                if self.has_slot(target) {
                    consider(Move::Copy(expert, target, None));
                    continue;
                }
                for dropped in self.droppable(target) {
                    consider(Move::Copy(expert, target, Some(dropped)));
                }
            }
            for target in self
                .by_load
                .iter()
                .copied()
                .filter(|t| *t != busiest_rank)
                .take(SWAP_PARTNERS)
            {
                for other in self.experts_on(target).iter().copied() {
                    if self.can_swap((expert, busiest_rank), (other, target), copied) {
                        consider(Move::Swap((expert, busiest_rank), (other, target)));
                    }
                }
            }
        }
        best
    }

    fn can_receive(&self, expert: usize, target: usize, copied: &[usize]) -> bool {
        let has_capacity = || self.has_slot(target) || self.droppable(target).next().is_some();
        self.can_copy(expert, target, copied) && has_capacity()
    }

    fn can_swap(
        &self,
        (one, here): (usize, usize),
        (other, there): (usize, usize),
        copied: &[usize],
    ) -> bool {
        self.share(other, 0) < self.share(one, 0)
            && self.can_copy(one, there, copied)
            && self.can_copy(other, here, copied)
    }

    /// Whether a rank does not hold an expert yet and may receive a copy.
    fn can_copy(&self, expert: usize, rank: usize, copied: &[usize]) -> bool {
        if self.holds(expert, rank) {
            return false;
        }
        let added = self.added.get(rank).copied().unwrap_or(0);
        let copied = copied.get(rank).copied().unwrap_or(0);
        !self.is_added(expert, rank)
            || (added < self.limits.new_per_layer && copied < self.limits.new_total)
    }

    fn has_slot(&self, rank: usize) -> bool {
        self.experts_on(rank).len() < self.limits.slots
    }

    /// Experts whose copy on a rank may be dropped because other ranks hold them, too.
    fn droppable(&self, rank: usize) -> impl Iterator<Item = usize> {
        let experts = self.experts_on(rank).iter().copied();
        experts.filter(|e| self.copies(*e) > 1)
    }

    fn copies(&self, expert: usize) -> usize {
        self.holders.get(expert).map_or(0, Vec::len)
    }

    fn evaluate(&self, action: Move) -> Change {
        let deltas = self.deltas(action);
        let sums = deltas.iter().map(|(rank, by)| self.sum(*rank) + by);
        let busiest = sums.fold(0.0, f64::max);
        Change { action, busiest }
    }

    fn sum(&self, rank: usize) -> f64 {
        self.sums.get(rank).copied().unwrap_or(0.0)
    }

    /// Changes of load caused by `action`, with one entry per rank.
    fn deltas(&self, action: Move) -> Vec<(usize, f64)> {
        let mut deltas = Vec::new();
        match action {
            Move::Drop(expert, rank) => self.copy_deltas(&mut deltas, expert, rank, -1),
            Move::Copy(expert, target, dropped) => {
                self.copy_deltas(&mut deltas, expert, target, 1);
                if let Some(dropped) = dropped {
                    self.copy_deltas(&mut deltas, dropped, target, -1);
                }
            }
            Move::Swap((one, here), (other, there)) => {
                let (a, b) = (self.share(one, 0), self.share(other, 0));
                add_delta(&mut deltas, here, (b - a) * self.slowdown(here));
                add_delta(&mut deltas, there, (a - b) * self.slowdown(there));
            }
        }
        deltas
    }

    /// Adds the changes of load if `rank` has one copy of `expert` more (1) or less (-1).
    fn copy_deltas(&self, deltas: &mut Vec<(usize, f64)>, expert: usize, rank: usize, more: i64) {
        let (before, after) = (self.share(expert, 0), self.share(expert, more));
        for other in self.ranks_of(expert).filter(|r| *r != rank) {
            add_delta(deltas, other, (after - before) * self.slowdown(other));
        }
        let own = if more > 0 { after } else { -before };
        add_delta(deltas, rank, own * self.slowdown(rank));
    }

    fn apply(&mut self, change: Change, copied: &mut [usize]) {
        for (rank, by) in self.deltas(change.action) {
            if let Some(sum) = self.sums.get_mut(rank) {
                *sum += by;
            }
        }
        match change.action {
            Move::Drop(expert, rank) => self.remove_copy(expert, rank, copied),
            Move::Copy(expert, target, dropped) => {
                if let Some(dropped) = dropped {
                    self.remove_copy(dropped, target, copied);
                }
                self.insert_copy(expert, target, copied);
            }
            Move::Swap((one, here), (other, there)) => {
                self.remove_copy(one, here, copied);
                self.remove_copy(other, there, copied);
                self.insert_copy(one, there, copied);
                self.insert_copy(other, here, copied);
            }
        }
    }

    fn remove_copy(&mut self, expert: usize, rank: usize, copied: &mut [usize]) {
        if self.is_added(expert, rank) {
            adjust(&mut self.added, rank, -1);
            adjust(copied, rank, -1);
        }
        if let Some(holders) = self.holders.get_mut(expert) {
            holders.retain(|r| *r as usize != rank);
        }
        if let Some(experts) = self.by_rank.get_mut(rank) {
            experts.retain(|e| *e != expert);
        }
    }

    fn insert_copy(&mut self, expert: usize, rank: usize, copied: &mut [usize]) {
        if self.is_added(expert, rank) {
            adjust(&mut self.added, rank, 1);
            adjust(copied, rank, 1);
        }
        if let Some(holders) = self.holders.get_mut(expert) {
            holders.push(rank as RankId);
        }
        if let Some(experts) = self.by_rank.get_mut(rank) {
            let at = experts.partition_point(|e| *e < expert);
            experts.insert(at, expert);
        }
    }
}

/// Adds to the load change of a rank, which may already be in the list.
fn add_delta(deltas: &mut Vec<(usize, f64)>, rank: usize, by: f64) {
    match deltas.iter_mut().find(|(r, _)| *r == rank) {
        Some((_, sum)) => *sum += by,
        None => deltas.push((rank, by)),
    }
}

fn adjust(counts: &mut [usize], rank: usize, by: i64) {
    if let Some(count) = counts.get_mut(rank) {
        *count = count.saturating_add_signed(by as isize);
    }
}

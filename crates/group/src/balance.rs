//! Decides when and how to move experts. Keeps an exponentially weighted estimate of each expert's
//! load, and prefers replicas of hot experts and single moves to full repacks. A move is made only
//! if the step time it saves over a horizon outweighs the pause it causes.

use crate::RankId;
use crate::map::ExpertMap;

/// Number of copies from which on a plan gets no further change, which keeps the pause short. The
/// last change may load two copies, so that a plan may load one more.
const MAX_MOVES: usize = 64;
/// A plan must gain more than its cost times this factor: loads are estimates, and moving back
/// costs as much again.
const HYSTERESIS: f64 = 1.5;

/// Smoothed load of each expert of each layer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Estimate {
    /// By layer and expert, in tokens per step.
    pub layers: Vec<Vec<f64>>,
}

impl Estimate {
    /// Adds a window's counts with weight `alpha`, from 0 to 1.
    pub fn update(&mut self, counts: &[Vec<f64>], alpha: f64) {
        if self.layers.len() != counts.len() {
            self.layers = counts.to_vec();
            return;
        }
        for (old, new) in self.layers.iter_mut().zip(counts) {
            for (o, n) in old.iter_mut().zip(new) {
                *o += alpha * (n - *o);
            }
        }
    }
}

/// Weights by which gains and moves are compared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Ranks of the group.
    pub ranks: usize,
    /// Copies of experts that a rank can hold in one layer.
    pub slots: usize,
    /// Seconds by which one token on the busiest rank of a layer lengthens a step.
    pub token_seconds: f64,
    /// Number of steps for which a better map is expected to stay useful.
    pub horizon_steps: f64,
    /// Seconds for which loading one copy pauses the group.
    pub load_seconds: f64,
    /// The service's weight for skew.
    pub skew_weight: f64,
    /// The service's weight for pauses.
    pub move_weight: f64,
}

/// A better map, with its gain and cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The map.
    pub map: ExpertMap,
    /// Copies to load.
    pub copies: usize,
    /// Weighted seconds saved over the horizon.
    pub gain: f64,
    /// Weighted seconds of pause.
    pub cost: f64,
}

/// Load of each rank in one layer. The copies of an expert share its load evenly.
fn rank_loads(layer: &[Vec<RankId>], loads: &[f64], ranks: usize) -> Vec<f64> {
    let mut sums = vec![0.0; ranks];
    for (holders, load) in layer.iter().zip(loads) {
        for rank in holders {
            if let Some(sum) = sums.get_mut(*rank as usize) {
                *sum += load / holders.len() as f64;
            }
        }
    }
    sums
}

fn busiest(sums: &[f64]) -> f64 {
    sums.iter().copied().fold(0.0, f64::max)
}

/// Tokens on the busiest rank, summed over layers; these determine the time of a step.
pub fn step_cost(map: &ExpertMap, loads: &[Vec<f64>], ranks: usize) -> f64 {
    let layers = map.layers.iter().zip(loads);
    layers
        .map(|(layer, l)| busiest(&rank_loads(layer, l, ranks)))
        .sum()
}

/// Load of the busiest rank over the mean, over all layers; 1 means perfectly balanced.
pub fn skew(map: &ExpertMap, loads: &[Vec<f64>], ranks: usize) -> f64 {
    let mean: f64 = loads.iter().flatten().sum::<f64>() / ranks.max(1) as f64;
    if mean > 0.0 {
        step_cost(map, loads, ranks) / mean
    } else {
        1.0
    }
}

/// The best plan found, if it pays off. In each layer in turn, repeatedly applies the change that
/// lowers its busiest rank's load most, as long as that change pays off by itself.
pub fn plan(map: &ExpertMap, estimate: &Estimate, costs: &Costs) -> Option<Plan> {
    let mut next = map.clone();
    let mut moves = 0;
    let pays = |saved: f64, copies: usize| {
        let gain = saved * costs.token_seconds * costs.horizon_steps * costs.skew_weight;
        let cost = copies as f64 * costs.load_seconds * costs.move_weight;
        gain > cost * HYSTERESIS
    };
    for (layer, loads) in next.layers.iter_mut().zip(&estimate.layers) {
        while moves < MAX_MOVES {
            let Some((changed, saved, loaded)) = best_change(layer, loads, costs) else {
                break;
            };
            if !pays(saved, loaded) {
                break;
            }
            moves += loaded;
            *layer = changed;
        }
    }
    let copies = map.copies_to_load(&next);
    let saved = step_cost(map, &estimate.layers, costs.ranks)
        - step_cost(&next, &estimate.layers, costs.ranks);
    let gain = saved * costs.token_seconds * costs.horizon_steps * costs.skew_weight;
    let cost = copies as f64 * costs.load_seconds * costs.move_weight;
    (copies > 0 && gain > cost * HYSTERESIS).then_some(Plan {
        map: next,
        copies,
        gain,
        cost,
    })
}

type Layer = Vec<Vec<RankId>>;

/// The change of one layer that lowers its busiest rank's load most per copy loaded: copies or
/// moves one of that rank's experts to a lightly loaded rank, or exchanges two.
fn best_change(layer: &Layer, loads: &[f64], costs: &Costs) -> Option<(Layer, f64, usize)> {
    let sums = rank_loads(layer, loads, costs.ranks);
    let before = busiest(&sums);
    let by_load = |a: &usize, b: &usize| {
        let load = |i: &usize| sums.get(*i).copied().unwrap_or(0.0);
        load(a).total_cmp(&load(b))
    };
    let hot = (0..costs.ranks).max_by(by_load)? as RankId;
    let mut cold: Vec<usize> = (0..costs.ranks).collect();
    cold.sort_by(by_load);
    let mut best: Option<(Layer, f64, usize)> = None;
    let mut consider = |changed: Layer, loaded: usize| {
        let saved = before - busiest(&rank_loads(&changed, loads, costs.ranks));
        let value = |s: f64, l: usize| s / l as f64;
        let better = best
            .as_ref()
            .is_none_or(|(_, s, l)| value(saved, loaded) > value(*s, *l));
        if saved > 1e-9 && better {
            best = Some((changed, saved, loaded));
        }
    };
    let experts_on = |rank: RankId| -> Vec<usize> {
        (0..layer.len())
            .filter(|e| layer.get(*e).is_some_and(|h| h.contains(&rank)))
            .collect()
    };
    for target in cold
        .into_iter()
        .take(3)
        .map(|r| r as RankId)
        .filter(|r| *r != hot)
    {
        let target_experts = experts_on(target);
        for expert in experts_on(hot) {
            let holders = layer.get(expert).cloned().unwrap_or_default();
            if holders.contains(&target) {
                continue;
            }
            if target_experts.len() < costs.slots {
                consider(with_change(layer, expert, |h| h.push(target)), 1);
                consider(with_change(layer, expert, |h| replace(h, hot, target)), 1);
            }
            for other in &target_experts {
                let copies = layer.get(*other).map_or(0, Vec::len);
                if copies > 1 {
                    // Dropping a redundant copy of another expert frees the slot.
                    let freed = with_change(layer, *other, |h| h.retain(|r| *r != target));
                    consider(with_change(&freed, expert, |h| h.push(target)), 1);
                }
                let holds_hot = layer.get(*other).is_some_and(|h| h.contains(&hot));
                if !holds_hot {
                    let moved = with_change(layer, expert, |h| replace(h, hot, target));
                    consider(with_change(&moved, *other, |h| replace(h, target, hot)), 2);
                }
            }
        }
    }
    best
}

fn with_change(layer: &Layer, expert: usize, change: impl Fn(&mut Vec<RankId>)) -> Layer {
    let mut changed = layer.clone();
    if let Some(holders) = changed.get_mut(expert) {
        change(holders);
    }
    changed
}

fn replace(holders: &mut [RankId], old: RankId, new: RankId) {
    for holder in holders.iter_mut().filter(|h| **h == old) {
        *holder = new;
    }
}

/// Full greedy repack, the baseline: heaviest expert first onto the least loaded rank with a free
/// slot. Spare slots go to copies of the heaviest experts.
pub fn repack(estimate: &Estimate, costs: &Costs) -> ExpertMap {
    let layers = estimate
        .layers
        .iter()
        .map(|loads| repack_layer(loads, costs))
        .collect();
    ExpertMap { layers }
}

fn repack_layer(loads: &[f64], costs: &Costs) -> Layer {
    let load = |e: &usize| loads.get(*e).copied().unwrap_or(0.0);
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| load(b).total_cmp(&load(a)));
    let spare = (costs.slots * costs.ranks).saturating_sub(loads.len());
    let mut copies = vec![1usize; loads.len()];
    for _ in 0..spare {
        let share = |e: &usize| load(e) / copies.get(*e).copied().unwrap_or(1) as f64;
        let open = |e: &&usize| copies.get(**e).is_some_and(|c| *c < costs.ranks);
        let hottest = order
            .iter()
            .filter(open)
            .max_by(|a, b| share(a).total_cmp(&share(b)));
        if let Some(count) = hottest.copied().and_then(|e| copies.get_mut(e)) {
            *count += 1;
        }
    }
    let mut units: Vec<(usize, f64)> = order
        .iter()
        .flat_map(|e| {
            let n = copies.get(*e).copied().unwrap_or(1);
            std::iter::repeat_n((*e, load(e) / n as f64), n)
        })
        .collect();
    units.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut layer: Layer = vec![Vec::new(); loads.len()];
    let mut sums = vec![(0.0, 0usize); costs.ranks];
    for (expert, share) in units {
        let Some(holders) = layer.get_mut(expert) else {
            continue;
        };
        let free = |(rank, (_, used)): &(usize, &(f64, usize))| {
            *used < costs.slots && !holders.contains(&(*rank as RankId))
        };
        let least_loaded = sums
            .iter()
            .enumerate()
            .filter(free)
            .min_by(|a, b| a.1.0.total_cmp(&b.1.0));
        if let Some(rank) = least_loaded.map(|(rank, _)| rank) {
            holders.push(rank as RankId);
            if let Some((sum, used)) = sums.get_mut(rank) {
                *sum += share;
                *used += 1;
            }
        }
    }
    layer
}

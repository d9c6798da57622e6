//! Demand for each expert of a lock-step group: a running mean while demand is steady, restarted
//! when demand changes.
//!
//! The counts of one poll come from a few prompts, so two polls differ even under the same demand.
//! A map that followed the latest poll would be switched over and over, and each switch copies
//! experts without any benefit.

/// Number of selections of each expert, by set.
pub type Loads = Vec<Vec<f64>>;

/// Parts into which the ranks of a poll are divided; their variance gives the error of the mean.
const PARTS: usize = 8;
/// Minimum parts with selections before anything is concluded. The few prompts of a group that has
/// just started give no error estimate, and each would pass for a change of demand.
const MIN_PARTS: usize = 4;
/// Minimum number of selections before anything is concluded.
const MIN_SELECTIONS: u64 = 2_000;
/// Maximum number of polls in the mean, so that drift too slow to show between polls is followed
/// within about ten seconds.
const MAX_POLLS: f64 = 64.0;
/// Squared distance of a poll from the mean, in squared standard errors, that shows no change.
/// Under steady demand it averages one.
const TOLERATED_DISTANCE: f64 = 2.0;
/// Demand has changed once consecutive polls exceed that distance by this much in total: one poll
/// four standard errors away suffices, as do two polls three standard errors away.
const CHANGE_THRESHOLD: f64 = 12.0;

/// Demand estimate of one group.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Counts since the last update.
    pending: Vec<Vec<u64>>,
    current: RunningMean,
    /// Mean over only the polls since the first one with an unusual distance.
    recent: RunningMean,
    /// Accumulated distance of these polls above the tolerated one.
    deviation: f64,
}

/// Mean shares over some polls, separately for two halves of the ranks.
#[derive(Debug, Clone, Default)]
struct RunningMean {
    halves: [Vec<f64>; 2],
    polls: f64,
}

/// Expert shares of one part of the ranks.
struct Part {
    shares: Vec<f64>,
    /// Fraction of all selections made by this part.
    weight: f64,
}

impl Demand {
    /// Creates an empty estimate.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Adds the counts of one poll, per rank or per group of ranks, each a flat list by set and
    /// expert. They must come in the same order every time, so that a rank stays in its part.
    pub fn add_counts(&mut self, poll: &[Vec<u64>]) {
        for (index, counts) in poll.iter().enumerate() {
            let index = index % PARTS;
            if self.pending.len() <= index {
                self.pending.push(vec![0; counts.len()]);
            }
            if let Some(part) = self.pending.get_mut(index) {
                let pairs = part.iter_mut().zip(counts);
                pairs.for_each(|(sum, new)| *sum = sum.saturating_add(*new));
            }
        }
    }

    /// Whether enough was counted since the last update.
    pub fn has_enough_counts(&self) -> bool {
        let sums = self.pending.iter().map(|p| p.iter().sum::<u64>());
        let sums: Vec<u64> = sums.filter(|sum| *sum > 0).collect();
        let min_parts = MIN_PARTS.min(self.pending.len());
        sums.len() >= min_parts && sums.iter().sum::<u64>() >= MIN_SELECTIONS
    }

    /// Discards the counts since the last update.
    pub fn discard_counts(&mut self) {
        self.pending.clear();
    }

    /// Adds the counts since the last update as one poll. Returns whether demand has changed, in
    /// which case the earlier estimate is discarded.
    pub fn update(&mut self) -> bool {
        let parts = to_parts(std::mem::take(&mut self.pending));
        if parts.is_empty() {
            return false;
        }
        let excess = self.current.distance(&parts) - TOLERATED_DISTANCE;
        self.deviation = (self.deviation + excess).max(0.0);
        if self.deviation == 0.0 {
            self.recent = RunningMean::default();
        } else {
            self.recent.update(&parts);
        }
        let changed = self.deviation > CHANGE_THRESHOLD;
        if changed {
            self.current = std::mem::take(&mut self.recent);
            self.deviation = 0.0;
        } else {
            self.current.update(&parts);
        }
        changed
    }

    /// Number of polls in the mean; 0 if nothing is known.
    pub fn polls(&self) -> f64 {
        self.current.polls
    }

    /// The estimate from each half of the ranks, in sets of this many experts. A map searched for
    /// on one half is evaluated on the other, since any map looks better than it is on the counts
    /// it was fitted to.
    pub fn halves(&self, experts: usize) -> [Loads; 2] {
        self.current.halves.each_ref().map(|half| {
            let sets = half.chunks(experts.max(1));
            sets.map(<[f64]>::to_vec).collect()
        })
    }
}

impl RunningMean {
    fn update(&mut self, parts: &[Part]) {
        self.polls = (self.polls + 1.0).min(MAX_POLLS);
        let weight = 1.0 / self.polls;
        for (index, half) in self.halves.iter_mut().enumerate() {
            let of_half = parts.iter().skip(index % parts.len()).step_by(2);
            let poll = weighted_mean(of_half);
            half.resize(poll.len(), 0.0);
            let pairs = half.iter_mut().zip(poll);
            pairs.for_each(|(old, new)| *old += weight * (new - *old));
        }
    }

    /// Squared distance of a poll from this mean over its squared error, as the variance between
    /// parts gives it. A single part has no variance: then only the latest poll counts.
    fn distance(&self, parts: &[Part]) -> f64 {
        if self.polls == 0.0 {
            return 0.0;
        }
        if parts.len() < 2 {
            return f64::INFINITY;
        }
        let poll = weighted_mean(parts.iter());
        let [one, other] = &self.halves;
        let known: Vec<f64> = one.iter().zip(other).map(|(a, b)| (a + b) / 2.0).collect();
        let scatter = parts
            .iter()
            .map(|p| p.weight.powi(2) * squared_distance(&p.shares, &poll));
        let count = parts.len() as f64;
        let error = scatter.sum::<f64>() * count / (count - 1.0);
        let total_error = error * (1.0 + 1.0 / self.polls);
        squared_distance(&poll, &known) / total_error.max(f64::MIN_POSITIVE)
    }
}

/// Shares of the parts that counted any selection.
fn to_parts(counts: Vec<Vec<u64>>) -> Vec<Part> {
    let total: u64 = counts.iter().flatten().sum();
    let part = |counts: Vec<u64>| {
        let sum: u64 = counts.iter().sum();
        (sum > 0).then(|| Part {
            shares: counts.iter().map(|n| *n as f64 / sum as f64).collect(),
            weight: sum as f64 / total as f64,
        })
    };
    counts.into_iter().filter_map(part).collect()
}

/// Weighted mean of the shares of these parts.
fn weighted_mean<'a>(parts: impl Iterator<Item = &'a Part>) -> Vec<f64> {
    let mut sums = Vec::new();
    let mut weight = 0.0;
    for part in parts {
        sums.resize(part.shares.len(), 0.0);
        let pairs = sums.iter_mut().zip(&part.shares);
        pairs.for_each(|(sum, share)| *sum += part.weight * share);
        weight += part.weight;
    }
    sums.iter_mut().for_each(|sum| *sum /= weight);
    sums
}

/// Squared Euclidean distance.
fn squared_distance(one: &[f64], other: &[f64]) -> f64 {
    let pairs = one.iter().zip(other);
    pairs.map(|(a, b)| (a - b).powi(2)).sum()
}

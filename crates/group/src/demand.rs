//! What is asked of each expert of a lock-step group: a mean for as long as demand stays as it
//! is, begun anew when it moves.
//!
//! A few prompts make up the counts of one look, so that two looks differ though demand is the same. A
//! map that follows the newest look is switched again and again, and each switch has experts
//! copied that serve nobody.

/// Choices of each expert, by set.
pub type Loads = Vec<Vec<f64>>;

/// Parts into which the ranks of a look fall; how much they differ tells the error of their mean.
const PARTS: usize = 8;
/// Parts with choices without which nothing is concluded: of the few prompts of a group that has just begun
/// to run no error can be told, and each would pass for a move of demand.
const LEAST_PARTS: usize = 4;
/// Choices without which nothing is concluded.
const LEAST_CHOICES: u64 = 2_000;
/// Looks that the mean reaches back at most: what drifts too slowly to show between looks is followed
/// within some ten seconds.
const HORIZON: f64 = 64.0;
/// Squared distance of a look from what is known, in squared standard errors, that says nothing: it is
/// one in the mean while demand stays.
const USUAL: f64 = 2.0;
/// Sum of what looks in a row have above that from which on demand has moved. A look that is four
/// standard errors away says so alone, two of three do together.
const MOVED: f64 = 12.0;

/// The estimate of one group.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Counts since the last look that was taken in.
    parts: Vec<Vec<u64>>,
    known: Mean,
    /// The same of the looks since one was farther away than usual.
    lately: Mean,
    /// How far these are away in sum, above what is usual.
    away: f64,
}

/// Mean shares of the two halves of the ranks over some looks.
#[derive(Debug, Clone, Default)]
struct Mean {
    halves: [Vec<f64>; 2],
    looks: f64,
}

/// Shares of one part of the ranks.
struct Part {
    shares: Vec<f64>,
    /// Its part of all choices.
    weight: f64,
}

impl Demand {
    /// Nothing is known.
    pub fn new() -> Demand {
        Demand::default()
    }

    /// Adds the counts of one look: of each rank, or of some together, by set and expert in one list. They
    /// come in the same order each time, so that a rank stays in its part.
    pub fn add(&mut self, look: &[Vec<u64>]) {
        for (at, counts) in look.iter().enumerate() {
            let at = at % PARTS;
            if self.parts.len() <= at {
                self.parts.push(vec![0; counts.len()]);
            }
            if let Some(part) = self.parts.get_mut(at) {
                let pairs = part.iter_mut().zip(counts);
                pairs.for_each(|(sum, new)| *sum = sum.saturating_add(*new));
            }
        }
    }

    /// Enough was counted since the last look that was taken in.
    pub fn is_enough(&self) -> bool {
        let sums = self.parts.iter().map(|p| p.iter().sum::<u64>());
        let sums: Vec<u64> = sums.filter(|sum| *sum > 0).collect();
        let least = LEAST_PARTS.min(self.parts.len());
        sums.len() >= least && sums.iter().sum::<u64>() >= LEAST_CHOICES
    }

    /// Drops what was counted and is not taken in yet.
    pub fn drop_counted(&mut self) {
        self.parts.clear();
    }

    /// Takes in what was counted as one look. Returns whether demand has moved: what was known before
    /// is dropped then.
    pub fn take_in(&mut self) -> bool {
        let parts = split(std::mem::take(&mut self.parts));
        if parts.is_empty() {
            return false;
        }
        let away = self.known.distance(&parts) - USUAL;
        self.away = (self.away + away).max(0.0);
        if self.away == 0.0 {
            self.lately = Mean::default();
        } else {
            self.lately.take_in(&parts);
        }
        let moved = self.away > MOVED;
        if moved {
            self.known = std::mem::take(&mut self.lately);
            self.away = 0.0;
        } else {
            self.known.take_in(&parts);
        }
        moved
    }

    /// Looks that the estimate is the mean of; 0 where nothing is known.
    pub fn looks(&self) -> f64 {
        self.known.looks
    }

    /// The estimate by one half of the ranks and by the other, in sets of so many experts. What is
    /// searched for on one is judged on the other: on the counts that it was fitted to, any map looks
    /// better than it is.
    pub fn halves(&self, experts: usize) -> [Loads; 2] {
        self.known.halves.each_ref().map(|half| {
            let sets = half.chunks(experts.max(1));
            sets.map(<[f64]>::to_vec).collect()
        })
    }
}

impl Mean {
    fn take_in(&mut self, parts: &[Part]) {
        self.looks = (self.looks + 1.0).min(HORIZON);
        let weight = 1.0 / self.looks;
        for (at, half) in self.halves.iter_mut().enumerate() {
            let of_half = parts.iter().skip(at % parts.len()).step_by(2);
            let fresh = mean(of_half);
            half.resize(fresh.len(), 0.0);
            let pairs = half.iter_mut().zip(fresh);
            pairs.for_each(|(old, new)| *old += weight * (new - *old));
        }
    }

    /// Squared distance of a look from this mean, over the square of its error as the scatter of the
    /// parts tells it. One part alone tells no scatter: then only the newest look counts.
    fn distance(&self, parts: &[Part]) -> f64 {
        if self.looks == 0.0 {
            return 0.0;
        }
        if parts.len() < 2 {
            return f64::INFINITY;
        }
        let fresh = mean(parts.iter());
        let [one, other] = &self.halves;
        let known: Vec<f64> = one.iter().zip(other).map(|(a, b)| (a + b) / 2.0).collect();
        let scatter = parts
            .iter()
            .map(|p| p.weight.powi(2) * squared(&p.shares, &fresh));
        let count = parts.len() as f64;
        let error = scatter.sum::<f64>() * count / (count - 1.0);
        let both = error * (1.0 + 1.0 / self.looks);
        squared(&fresh, &known) / both.max(f64::MIN_POSITIVE)
    }
}

/// Shares of the parts in which anything was counted.
fn split(counts: Vec<Vec<u64>>) -> Vec<Part> {
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

/// Shares of these parts together.
fn mean<'a>(parts: impl Iterator<Item = &'a Part>) -> Vec<f64> {
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

/// Squared distance.
fn squared(one: &[f64], other: &[f64]) -> f64 {
    let pairs = one.iter().zip(other);
    pairs.map(|(a, b)| (a - b).powi(2)).sum()
}

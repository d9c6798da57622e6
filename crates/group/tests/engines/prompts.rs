//! Selection counts of polls when few prompts are in progress.

use super::SHAPE;
use rand::RngExt;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::SmallRng;

/// A few prompts on several topics, each of which favors some experts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prompts {
    /// Prompts that a rank counts in one poll.
    pub(crate) count: usize,
    /// Number of experts by which the favored ones have been shifted.
    pub(crate) shift: usize,
    /// Number of ranks that have any prompts.
    pub(crate) ranks: usize,
}

/// Fraction of the prompts on each topic.
const TOPIC_SHARES: [f64; 4] = [0.4, 0.3, 0.2, 0.1];
/// Number of experts that a topic favors, and the fraction of its selections that they get.
const FAVORED: usize = 3;
const FAVORED_SHARE: f64 = 0.75;
/// Selections of one prompt in one set.
const SELECTIONS: usize = 400;

impl Prompts {
    fn favored_expert(self, topic: usize, at: usize) -> usize {
        (self.shift + FAVORED * topic + at) % SHAPE.experts
    }

    /// Random counts of one rank in one poll, by set and expert.
    pub(super) fn sample_counts(self, rng: &mut SmallRng) -> Vec<u64> {
        let mut counts = vec![0; SHAPE.sets * SHAPE.experts];
        for _ in 0..self.count {
            let topic = WeightedIndex::new(TOPIC_SHARES).unwrap().sample(rng);
            for at in 0..SHAPE.sets * SELECTIONS {
                let expert = match rng.random_bool(FAVORED_SHARE) {
                    true => self.favored_expert(topic, rng.random_range(0..FAVORED)),
                    false => rng.random_range(0..SHAPE.experts),
                };
                counts[at % SHAPE.sets * SHAPE.experts + expert] += 1;
            }
        }
        counts
    }

    /// Expected loads, to which the counts of very many prompts converge.
    pub(super) fn expected_loads(self) -> Vec<Vec<f64>> {
        let base = (1.0 - FAVORED_SHARE) / SHAPE.experts as f64;
        let mut loads = vec![base; SHAPE.experts];
        for (topic, share) in TOPIC_SHARES.iter().enumerate() {
            for at in 0..FAVORED {
                loads[self.favored_expert(topic, at)] += FAVORED_SHARE * share / FAVORED as f64;
            }
        }
        vec![loads; SHAPE.sets]
    }
}

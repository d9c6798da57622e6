//! What looks count where few prompts are under way.

use super::SHAPE;
use rand::RngExt;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::SmallRng;

/// Few prompts of some subjects, each of which likes some experts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prompts {
    /// Prompts that a rank counts in one look.
    pub(crate) count: usize,
    /// Experts by which what is liked has moved.
    pub(crate) moved: usize,
    /// Ranks that have any prompts.
    pub(crate) ranks: usize,
}

/// Parts of the prompts that each subject has.
const SUBJECTS: [f64; 4] = [0.4, 0.3, 0.2, 0.1];
/// Experts that a subject likes, and the part of its choices that they get.
const LIKED: usize = 3;
const LIKED_PART: f64 = 0.75;
/// Choices of one prompt in one set.
const CHOICES: usize = 400;

impl Prompts {
    fn likes(self, subject: usize, at: usize) -> usize {
        (self.moved + LIKED * subject + at) % SHAPE.experts
    }

    /// What one rank counts in one look, by set and expert.
    pub(super) fn counts(self, rng: &mut SmallRng) -> Vec<u64> {
        let mut counts = vec![0; SHAPE.sets * SHAPE.experts];
        for _ in 0..self.count {
            let subject = WeightedIndex::new(SUBJECTS).unwrap().sample(rng);
            for at in 0..SHAPE.sets * CHOICES {
                let expert = match rng.random_bool(LIKED_PART) {
                    true => self.likes(subject, rng.random_range(0..LIKED)),
                    false => rng.random_range(0..SHAPE.experts),
                };
                counts[at % SHAPE.sets * SHAPE.experts + expert] += 1;
            }
        }
        counts
    }

    /// What would be counted of very many.
    pub(super) fn loads(self) -> Vec<Vec<f64>> {
        let rest = (1.0 - LIKED_PART) / SHAPE.experts as f64;
        let mut loads = vec![rest; SHAPE.experts];
        for (subject, part) in SUBJECTS.iter().enumerate() {
            for at in 0..LIKED {
                loads[self.likes(subject, at)] += LIKED_PART * part / LIKED as f64;
            }
        }
        vec![loads; SHAPE.sets]
    }
}

//! The claimant's side: counts the holders' answers.

use crate::holder::Answer;
use crate::holders::HOLDERS;

/// A chain of attempts of one entry: the entry's incarnation, and its own number for the chain.
pub type ChainId = (u64, u64);

/// Outcome of a claim by the answers so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not decided yet.
    Undecided,
    /// A majority granted: this chain alone may dispatch.
    Won,
    /// Another chain holds the key, or no majority is possible because holders forgot it.
    /// The request may have run, through another chain.
    Lost,
}

/// A claim that waits for answers.
#[derive(Debug, Clone)]
pub struct PendingClaim {
    holders: Vec<(String, Option<Answer>)>,
}

impl PendingClaim {
    /// A claim at these holders.
    pub fn new(holders: Vec<String>) -> PendingClaim {
        PendingClaim {
            holders: holders.into_iter().map(|h| (h, None)).collect(),
        }
    }

    /// Holders that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &str> {
        self.holders
            .iter()
            .filter(|(_, a)| a.is_none())
            .map(|(h, _)| h.as_str())
    }

    /// Records an answer. A repeated one changes nothing.
    pub fn record(&mut self, holder: &str, answer: Answer) -> Outcome {
        if let Some((_, slot)) = self.holders.iter_mut().find(|(h, _)| h == holder) {
            slot.get_or_insert(answer);
        }
        self.outcome()
    }

    /// The outcome so far.
    pub fn outcome(&self) -> Outcome {
        let majority = self.majority();
        let granted = self.count(|a| a == Some(Answer::Granted));
        let unanswered = self.count(|a| a.is_none());
        match () {
            () if granted >= majority => Outcome::Won,
            () if granted + unanswered < majority => Outcome::Lost,
            () => Outcome::Undecided,
        }
    }

    fn majority(&self) -> usize {
        self.holders.len().min(HOLDERS) / 2 + 1
    }

    fn count(&self, matches: impl Fn(Option<Answer>) -> bool) -> usize {
        self.holders.iter().filter(|(_, a)| matches(*a)).count()
    }
}

//! The asker's side: counting the holders' answers.

use crate::holder::Answer;
use crate::holders::HOLDERS;

/// One chain of attempts of one entry: its incarnation and its own number.
pub type ChainId = (u64, u64);

/// What the answers so far decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not decided.
    Open,
    /// A majority granted: this chain alone may dispatch.
    Won,
    /// Another chain holds the key, or holders that forgot keep a majority from
    /// forming. The request may have run, through another chain.
    Lost,
}

/// A claim under way.
#[derive(Debug, Clone)]
pub struct Chain {
    holders: Vec<(String, Option<Answer>)>,
}

impl Chain {
    /// A claim at these holders.
    pub fn new(holders: Vec<String>) -> Chain {
        Chain {
            holders: holders.into_iter().map(|h| (h, None)).collect(),
        }
    }

    /// Holders that have not answered.
    pub fn open(&self) -> impl Iterator<Item = &str> {
        self.holders
            .iter()
            .filter(|(_, a)| a.is_none())
            .map(|(h, _)| h.as_str())
    }

    /// Takes an answer. A repeated one changes nothing.
    pub fn answer(&mut self, holder: &str, answer: Answer) -> Outcome {
        if let Some((_, slot)) = self.holders.iter_mut().find(|(h, _)| h == holder) {
            slot.get_or_insert(answer);
        }
        self.outcome()
    }

    /// What is decided.
    pub fn outcome(&self) -> Outcome {
        let majority = self.majority();
        let granted = self.count(|a| a == Some(Answer::Granted));
        let open = self.count(|a| a.is_none());
        match () {
            () if granted >= majority => Outcome::Won,
            () if granted + open < majority => Outcome::Lost,
            () => Outcome::Open,
        }
    }

    fn majority(&self) -> usize {
        self.holders.len().min(HOLDERS) / 2 + 1
    }

    fn count(&self, fits: impl Fn(Option<Answer>) -> bool) -> usize {
        self.holders.iter().filter(|(_, a)| fits(*a)).count()
    }
}

//! Requests a second that a start of a backend server takes from all gateways together.

use crate::{Began, ServerId};

/// Counts the changes of a limit: what is learnt after another word has a higher one, at whichever gateway.
pub type Turn = u64;

/// The limit of one start of a backend server, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    /// Requests a second; none where it takes what comes.
    pub rate: Option<f64>,
    /// Number of this word; 0 where none was ever heard.
    pub turn: Turn,
}

impl Limit {
    /// The one that holds where both were heard: the later; of two that followed the same word the
    /// stricter, so that all come to the same whichever they hear first.
    pub fn or(self, other: Limit) -> Limit {
        let newer = other.turn > self.turn;
        let stricter = other.turn == self.turn && stricter(other.rate, self.rate);
        if newer || stricter { other } else { self }
    }
}

/// The limit of a start of a backend server, as it is told.
#[derive(Debug, Clone, PartialEq)]
pub struct Limited {
    /// Its id.
    pub id: ServerId,
    /// The start.
    pub began: Began,
    /// What is known.
    pub limit: Limit,
}

/// Whether fewer requests are allowed by `rate` than by `other`.
pub(crate) fn stricter(rate: Option<f64>, other: Option<f64>) -> bool {
    let most = |rate: Option<f64>| rate.unwrap_or(f64::INFINITY);
    most(rate) < most(other)
}

//! The evacuated failure domains, and the effect of an order from the log.

use crate::{DomainName, LogIndex, OrderId, Revision};
use indexmap::IndexMap;

/// Longest name of a failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// An order for one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Random id of this proposal.
    pub id: OrderId,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the order starts an evacuation; otherwise it ends one.
    pub evacuated: bool,
    /// Revision known to the proposer.
    pub base: Revision,
}

/// Effect of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The order took effect.
    InForce,
    /// Another order was applied after the proposer's revision.
    Void,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Log index of the last order that took effect; 0 if there was none.
    pub revision: Revision,
    /// Evacuated failure domains, and the log index from which each is evacuated.
    pub domains: IndexMap<DomainName, LogIndex>,
}

impl Evacuations {
    /// Applies the order in the log entry at `index`. The revision advances even if the set of
    /// domains stays the same: otherwise a delayed repeat of the order's own kind, proposed before
    /// an order of the opposite kind, could still take effect after it.
    pub fn apply(&mut self, index: LogIndex, order: &Order) -> Applied {
        if order.base != self.revision || index <= self.revision {
            return Applied::Void;
        }
        self.revision = index;
        if order.evacuated {
            self.domains.entry(order.domain.clone()).or_insert(index);
        } else {
            self.domains.shift_remove(&order.domain);
        }
        Applied::InForce
    }

    /// Replaces the state by a later one; `false` if `other` is not later.
    pub fn advance_to(&mut self, other: Evacuations) -> bool {
        let later = other.revision > self.revision;
        if later {
            *self = other;
        }
        later
    }
}

/// Whether a failure domain in an order may have this name.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(allowed)
}

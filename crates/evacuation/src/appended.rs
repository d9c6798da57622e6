//! Proposals that a leader has appended to the log.

use crate::{Order, OrderId, Revision};
use indexmap::IndexMap;

/// Proposals appended in one term, with their bases.
#[derive(Debug, Clone, Default)]
pub struct AppendedOrders {
    term: u64,
    bases: IndexMap<OrderId, Revision>,
}

impl AppendedOrders {
    /// Whether the leader of `term` should append an order: once per term, and not if `revision`,
    /// which it has applied, already makes the order void. Proposals with such a base need not be
    /// remembered, so memory stays bounded.
    pub fn admit(&mut self, term: u64, revision: Revision, order: &Order) -> bool {
        if self.term != term {
            self.term = term;
            self.bases.clear();
        }
        self.bases.retain(|_, base| *base >= revision);
        order.base >= revision && self.bases.insert(order.id, order.base).is_none()
    }

    /// Forgets an admitted order that could not be appended.
    pub fn forget(&mut self, id: OrderId) {
        self.bases.shift_remove(&id);
    }
}

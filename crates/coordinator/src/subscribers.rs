//! Gateways that this coordinator tells of backend servers, and how far each has been told.
//!
//! If every coordinator told every gateway, a change would reach each gateway as often as there are
//! coordinators, and a start of all would have all registrations sent that often.

use bn_registry::Cursor;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two pushes: news of backend servers are this late at the most, and a storm of them costs
/// some messages a second and gateway.
const GAP: Duration = Duration::from_millis(200);

/// All gateways that asked for registrations last time.
#[derive(Debug, Clone, Default)]
pub struct Subscribers {
    told: IndexMap<SocketAddr, Cursor>,
    due: Duration,
}

impl Subscribers {
    /// A gateway asked for registrations and is told of them up to there.
    pub fn told(&mut self, gateway: SocketAddr, mark: Cursor) {
        self.told.insert(gateway, mark);
    }

    /// A gateway is gone, or others tell it.
    pub fn drop(&mut self, gateway: SocketAddr) {
        self.told.swap_remove(&gateway);
    }

    /// Whether this coordinator tells that gateway.
    pub fn has(&self, gateway: SocketAddr) -> bool {
        self.told.contains_key(&gateway)
    }

    /// Who is to be told now of changes up to `mark`, by how far they have been told until now. What is
    /// urgent waits for nothing.
    pub fn behind(
        &mut self,
        now: Duration,
        mark: Cursor,
        urgent: bool,
    ) -> IndexMap<Cursor, Vec<SocketAddr>> {
        let mut behind: IndexMap<Cursor, Vec<SocketAddr>> = IndexMap::new();
        if now < self.due && !urgent {
            return behind;
        }
        for (gateway, told) in self.told.iter_mut().filter(|(_, told)| **told < mark) {
            behind.entry(*told).or_default().push(*gateway);
            *told = mark;
        }
        if !behind.is_empty() {
            self.due = now + GAP;
        }
        behind
    }
}

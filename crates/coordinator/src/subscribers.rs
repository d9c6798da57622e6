//! Gateways that get changes of backend servers from this coordinator, and the cursor of each.
//!
//! If every coordinator sent them to every gateway, a change would reach each gateway as often as
//! there are coordinators, and after a common start all registrations would be sent that often.

use bn_registry::Cursor;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two pushes: changes of backend servers are delayed by at most this, and a flood
/// of them costs a few messages per second and gateway.
const GAP: Duration = Duration::from_millis(200);

/// Gateways that requested registrations in their last poll.
#[derive(Debug, Clone, Default)]
pub struct Subscribers {
    told: IndexMap<SocketAddr, Cursor>,
    due: Duration,
}

impl Subscribers {
    /// Records that a gateway requested registrations and has been sent those up to `cursor`.
    pub fn told(&mut self, gateway: SocketAddr, mark: Cursor) {
        self.told.insert(gateway, mark);
    }

    /// Removes a gateway that is gone, or that subscribes to another coordinator.
    pub fn drop(&mut self, gateway: SocketAddr) {
        self.told.swap_remove(&gateway);
    }

    /// Whether a gateway subscribes here.
    pub fn has(&self, gateway: SocketAddr) -> bool {
        self.told.contains_key(&gateway)
    }

    /// Gateways to send changes up to `cursor` to, by the cursor that each had before. Urgent
    /// changes are not delayed.
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

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
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Gateways that requested registrations in their last poll.
#[derive(Debug, Clone, Default)]
pub struct Subscribers {
    sent: IndexMap<SocketAddr, Cursor>,
    due: Duration,
}

impl Subscribers {
    /// Records that a gateway requested registrations and has been sent those up to `cursor`.
    pub fn record_sent(&mut self, gateway: SocketAddr, cursor: Cursor) {
        self.sent.insert(gateway, cursor);
    }

    /// Removes a gateway that is gone, or that subscribes to another coordinator.
    pub fn remove(&mut self, gateway: SocketAddr) {
        self.sent.swap_remove(&gateway);
    }

    /// Whether a gateway subscribes here.
    pub fn contains(&self, gateway: SocketAddr) -> bool {
        self.sent.contains_key(&gateway)
    }

    /// Gateways to send changes up to `cursor` to, by the cursor that each had before. Urgent
    /// changes are not delayed.
    pub fn take_behind(
        &mut self,
        now: Duration,
        cursor: Cursor,
        urgent: bool,
    ) -> IndexMap<Cursor, Vec<SocketAddr>> {
        let mut behind: IndexMap<Cursor, Vec<SocketAddr>> = IndexMap::new();
        if now < self.due && !urgent {
            return behind;
        }
        for (gateway, sent) in self.sent.iter_mut().filter(|(_, sent)| **sent < cursor) {
            behind.entry(*sent).or_default().push(*gateway);
            *sent = cursor;
        }
        if !behind.is_empty() {
            self.due = now + PUSH_INTERVAL;
        }
        behind
    }
}

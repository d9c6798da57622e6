//! Orders that wait at the coordinator that received them until they are in force.

use crate::{Applied, Order, OrderId, Revision};
use std::time::Duration;

/// How long a call waits. Operators try another coordinator after a second without an answer, so
/// an order must not be proposed any more by then.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between two submissions of an order to the leader: messages may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// Why a call ends without a definite answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// The time for which the caller waits has passed.
    TimedOut,
    /// The caller closed its connection.
    Disconnected,
}

/// An order with the call that it answers.
struct Pending<C> {
    call: C,
    order: Order,
    deadline: Duration,
    next_try: Duration,
}

/// Orders of the calls at one coordinator; `C` is what answers a call.
pub struct PendingOrders<C> {
    orders: Vec<Pending<C>>,
}

impl<C> Default for PendingOrders<C> {
    fn default() -> PendingOrders<C> {
        PendingOrders { orders: Vec::new() }
    }
}

impl<C> PendingOrders<C> {
    /// Adds the order of a call that arrived at `received`.
    pub fn add(&mut self, received: Duration, domain: &str, evacuated: bool, call: C) {
        let order = Order {
            id: 0,
            domain: domain.into(),
            evacuated,
            base: 0,
        };
        self.orders.push(Pending {
            call,
            order,
            deadline: received + CALL_TIMEOUT,
            next_try: Duration::ZERO,
        });
    }

    /// Removes the calls that no longer wait. Must precede [`PendingOrders::to_submit`], which may
    /// otherwise propose an order that its caller has given up.
    pub fn take_expired(
        &mut self,
        now: Duration,
        is_connected: impl Fn(&C) -> bool,
    ) -> Vec<(C, Order, Expiry)> {
        let expiry = |p: &Pending<C>| {
            if now >= p.deadline {
                Some(Expiry::TimedOut)
            } else {
                (!is_connected(&p.call)).then_some(Expiry::Disconnected)
            }
        };
        let mut expired = Vec::new();
        for pending in std::mem::take(&mut self.orders) {
            match expiry(&pending) {
                Some(why) => expired.push((pending.call, pending.order, why)),
                None => self.orders.push(pending),
            }
        }
        expired
    }

    /// The order to submit to the leader now, if one is due. Orders that are proposed together would
    /// make each other void, so only the oldest is. With an older base than `revision` it was void,
    /// or will be: it becomes a new proposal, with an id from `new_id`.
    pub fn to_submit(
        &mut self,
        now: Duration,
        revision: Revision,
        new_id: impl FnOnce() -> OrderId,
    ) -> Option<&Order> {
        let first = self.orders.first_mut()?;
        let proposed = first.order.id != 0;
        if !proposed || first.order.base < revision {
            // An id of 0 marks an order that was not proposed yet.
            first.order.id = new_id() | 1;
            first.order.base = revision;
            first.next_try = now;
        }
        if now < first.next_try {
            return None;
        }
        first.next_try = now + RESEND_INTERVAL;
        Some(&first.order)
    }

    /// Takes out the call of an order that was applied, if it is in force. A void one stays.
    pub fn on_applied(&mut self, id: OrderId, applied: Applied) -> Option<C> {
        let found = self.orders.iter().position(|p| p.order.id == id)?;
        match applied {
            Applied::InForce => Some(self.orders.remove(found).call),
            Applied::Void => None,
        }
    }

    /// Whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

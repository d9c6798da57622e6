//! Pushes changes of backend servers to gateways and other coordinators: in batches, and at once if
//! a departure must be known before it is acknowledged.
//!
//! A push per change and gateway would be tens of thousands of messages when the ranks of a large
//! group report. So changes are batched, and sent to the gateways that subscribe here.

use crate::core::{Core, count_unwanted};
use bn_registry::{BackendId, CONTACT_INTERVAL, Condition, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Registration};
use indexmap::IndexSet;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval between two pushes of non-urgent changes to the other coordinators, which gateways poll
/// in turn.
const PUSH_INTERVAL: Duration = Duration::from_millis(50);

/// A caller that waits until a change has been pushed.
pub(crate) enum Waiter {
    /// An accepted backend server announced itself.
    Announced(oneshot::Sender<bool>),
    /// A backend server left.
    Left(oneshot::Sender<bool>),
}

/// Changes that have not been pushed yet.
#[derive(Default)]
pub(crate) struct PendingPushes {
    /// Changes for other coordinators.
    changed: IndexSet<BackendId>,
    /// Backend servers that reported here that they take no more requests: for all gateways.
    leaving: IndexSet<BackendId>,
    /// Some backend servers take no more requests, whoever reported it.
    urgent: bool,
    waiters: Vec<Waiter>,
    due: Duration,
    contacts_due: Duration,
}

impl PendingPushes {
    /// Adds a change; `own` unless another coordinator sent it.
    pub(crate) fn add(&mut self, record: &Record, own: bool) {
        self.changed.insert(record.id.clone());
        let leaving_now = record.condition != Condition::Ready;
        self.urgent |= leaving_now;
        if leaving_now && own {
            self.leaving.insert(record.id.clone());
        }
    }

    /// Answers `waiter` after the next push; that includes the changes so far if they are urgent.
    pub(crate) fn answer_after_push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Ids of changes to push to other coordinators now.
    fn take_due(&mut self, now: Duration, urgent: bool) -> IndexSet<BackendId> {
        if self.changed.is_empty() || (!urgent && now < self.due) {
            return IndexSet::new();
        }
        self.due = now + PUSH_INTERVAL;
        std::mem::take(&mut self.changed)
    }
}

impl Core {
    /// Pushes changes: all of them to other coordinators and subscribers, and departures to all
    /// gateways. Then answers those who waited: a backend server that knows its departure is
    /// published stops serving soon, and gateways that do not know of it would go on sending
    /// requests there.
    pub(crate) fn push_changes(&mut self, now: Duration) {
        let urgent = std::mem::take(&mut self.pushes.urgent);
        self.push_departures(now);
        self.push_to_subscribers(now, urgent);
        self.push_to_coordinators(now, urgent);
        for waiter in std::mem::take(&mut self.pushes.waiters) {
            match waiter {
                Waiter::Announced(reply) | Waiter::Left(reply) => count_unwanted(reply.send(true)),
            }
        }
        self.push_contacts(now);
    }

    /// Reports to the other coordinators what announced itself here. That waits until they have been
    /// sent all changes: a contact with a start that they do not know makes them ask for it.
    fn push_contacts(&mut self, now: Duration) {
        if now < self.pushes.contacts_due || !self.pushes.changed.is_empty() {
            return;
        }
        self.pushes.contacts_due = now + CONTACT_INTERVAL;
        let contacts = self.registry.take_contacts(now);
        if contacts.is_empty() {
            return;
        }
        let update = wire::News {
            contacts: contacts.iter().map(Into::into).collect(),
            ..self.base_update()
        };
        for inbox in self.others() {
            self.net.send(inbox, Body::News(update.clone()));
        }
    }

    /// Pushes departures to gateways that subscribe to other coordinators. Those that subscribe
    /// here get them with all other changes.
    fn push_departures(&mut self, now: Duration) {
        let ids = std::mem::take(&mut self.pushes.leaving);
        let leaving: Vec<Registration> = ids
            .iter()
            .filter_map(|id| self.registry.get(id))
            .map(|r| self.registry.to_wire(now, r))
            .collect();
        if leaving.is_empty() {
            return;
        }
        let update = self.update_with(leaving);
        let gateways = self.directory.inboxes();
        for inbox in gateways.filter(|g| !self.subscribers.contains(*g)) {
            self.net.send(inbox, Body::News(update.clone()));
        }
    }

    fn push_to_subscribers(&mut self, now: Duration, urgent: bool) {
        let cursor = self.registry.cursor();
        for (after, inboxes) in self.subscribers.take_behind(now, cursor, urgent) {
            let changed = self.registry.changed_since(after);
            let changed = changed.iter().map(|r| self.registry.to_wire(now, r));
            let changed = changed.collect();
            let update = wire::News {
                mark: cursor,
                after,
                ..self.update_with(changed)
            };
            for inbox in inboxes {
                self.net.send(inbox, Body::News(update.clone()));
            }
        }
    }

    fn push_to_coordinators(&mut self, now: Duration, urgent: bool) {
        let ids = self.pushes.take_due(now, urgent);
        let records = ids.iter().filter_map(|id| self.registry.get(id));
        let changed: Vec<Registration> = records.map(|r| self.registry.to_wire(now, r)).collect();
        if changed.is_empty() {
            return;
        }
        let update = self.update_with(changed);
        for inbox in self.others() {
            self.net.send(inbox, Body::News(update.clone()));
        }
    }

    fn update_with(&mut self, changed: Vec<Registration>) -> wire::News {
        wire::News {
            changed,
            ..self.base_update()
        }
    }
}

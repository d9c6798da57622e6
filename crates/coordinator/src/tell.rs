//! Pushes of changes to backend servers: in batches, and at once if a departure must be known
//! before it is acknowledged.
//!
//! A push per change and gateway would be tens of thousands of messages when the ranks of a large
//! group report. So changes are batched, and sent to the gateways that subscribe here.

use crate::core::{Core, answered};
use bn_registry::{BackendId, Condition, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Registration};
use indexmap::IndexSet;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval between two pushes of changes that are not urgent to the other coordinators, which
/// gateways poll in turn.
const GAP: Duration = Duration::from_millis(50);

/// A caller that waits until a change has been pushed.
pub(crate) enum Told {
    /// An accepted backend server announced itself.
    Announced(oneshot::Sender<bool>),
    /// A backend server left.
    Left(oneshot::Sender<()>),
}

/// Changes that have not been pushed yet.
#[derive(Default)]
pub(crate) struct Untold {
    /// Changes for other coordinators.
    ids: IndexSet<BackendId>,
    /// Backend servers that reported here that they take no more requests: for all gateways.
    leaving: IndexSet<BackendId>,
    /// Some backend servers take no more requests, whoever reported it.
    urgent: bool,
    waiting: Vec<Told>,
    due: Duration,
}

impl Untold {
    /// Adds a change; `own` unless another coordinator sent it.
    pub(crate) fn add(&mut self, record: &Record, own: bool) {
        self.ids.insert(record.id.clone());
        let leaves = record.condition != Condition::Ready;
        self.urgent |= leaves;
        if leaves && own {
            self.leaving.insert(record.id.clone());
        }
    }

    /// Answers `waiter` after the next push of urgent changes.
    pub(crate) fn once_told(&mut self, told: Told) {
        self.waiting.push(told);
    }

    /// Ids of changes to push to other coordinators now.
    fn take(&mut self, now: Duration, urgent: bool) -> IndexSet<BackendId> {
        if self.ids.is_empty() || (!urgent && now < self.due) {
            return IndexSet::new();
        }
        self.due = now + GAP;
        std::mem::take(&mut self.ids)
    }
}

impl Core {
    /// Pushes changes: all of them to other coordinators and subscribers, and departures to all
    /// gateways. Then answers those who waited: a backend server that knows its departure is
    /// published stops serving soon, and gateways that do not know of it would go on sending
    /// requests there.
    pub(crate) fn tell_changes(&mut self, now: Duration) {
        let urgent = std::mem::take(&mut self.untold.urgent);
        self.tell_departures();
        self.tell_subscribers(now, urgent);
        self.tell_coordinators(now, urgent);
        for told in std::mem::take(&mut self.untold.waiting) {
            match told {
                Told::Announced(done) => answered(done.send(true)),
                Told::Left(done) => answered(done.send(())),
            }
        }
    }

    /// Pushes departures to gateways that subscribe to other coordinators. Those that subscribe
    /// here get them with all other changes.
    fn tell_departures(&mut self) {
        let ids = std::mem::take(&mut self.untold.leaving);
        let leaving: Vec<Registration> = ids
            .iter()
            .filter_map(|id| self.registry.get(id))
            .map(Registration::from)
            .collect();
        if leaving.is_empty() {
            return;
        }
        let news = self.pushed(leaving);
        let gateways = self.directory.inboxes();
        for inbox in gateways.filter(|g| !self.subscribers.has(*g)) {
            self.net.send(inbox, Body::News(news.clone()));
        }
    }

    fn tell_subscribers(&mut self, now: Duration, urgent: bool) {
        let mark = self.registry.cursor();
        for (after, inboxes) in self.subscribers.behind(now, mark, urgent) {
            let changed = self.registry.changed_since(after);
            let changed = changed.iter().map(Registration::from).collect();
            let news = wire::News {
                mark,
                after,
                ..self.pushed(changed)
            };
            for inbox in inboxes {
                self.net.send(inbox, Body::News(news.clone()));
            }
        }
    }

    fn tell_coordinators(&mut self, now: Duration, urgent: bool) {
        let ids = self.untold.take(now, urgent);
        let records = ids.iter().filter_map(|id| self.registry.get(id));
        let changed: Vec<Registration> = records.map(Registration::from).collect();
        if changed.is_empty() {
            return;
        }
        let news = self.pushed(changed);
        for inbox in self.others() {
            self.net.send(inbox, Body::News(news.clone()));
        }
    }

    fn pushed(&mut self, changed: Vec<Registration>) -> wire::News {
        wire::News {
            changed,
            ..self.plain_news()
        }
    }
}

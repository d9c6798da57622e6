//! Telling others what changed about backend servers: together, and at once where a departure must
//! be known before it is acknowledged.
//!
//! A push for each change to each gateway would be tens of thousands of messages when the ranks of a
//! large group told it. So changes go out together, to those gateways that subscribe here.

use crate::core::{Core, answered};
use bn_registry::{BackendId, Condition, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Registration};
use indexmap::IndexSet;
use std::time::Duration;
use tokio::sync::oneshot;

/// Between two pushes of what is not urgent to the other coordinators, which are asked by
/// gateways in turn.
const GAP: Duration = Duration::from_millis(50);

/// Who waits until a change was told, and the answer.
pub(crate) enum Told {
    /// A backend server that is one of ours announced itself.
    Announced(oneshot::Sender<bool>),
    /// A backend server left.
    Left(oneshot::Sender<()>),
}

/// What is not told yet.
#[derive(Default)]
pub(crate) struct Untold {
    /// What other coordinators are to be told.
    ids: IndexSet<BackendId>,
    /// Those that take no more work, as they said here: all gateways are to be told.
    leaving: IndexSet<BackendId>,
    /// Some take no more work, whoever was told.
    urgent: bool,
    waiting: Vec<Told>,
    due: Duration,
}

impl Untold {
    /// A backend server changed; `own` where no other coordinator told so.
    pub(crate) fn add(&mut self, record: &Record, own: bool) {
        self.ids.insert(record.id.clone());
        let leaves = record.condition != Condition::Ready;
        self.urgent |= leaves;
        if leaves && own {
            self.leaving.insert(record.id.clone());
        }
    }

    /// Answered after what changed until now was told, where that is urgent.
    pub(crate) fn once_told(&mut self, told: Told) {
        self.waiting.push(told);
    }

    /// Ids of changes that other coordinators are to be told now.
    fn take(&mut self, now: Duration, urgent: bool) -> IndexSet<BackendId> {
        if self.ids.is_empty() || (!urgent && now < self.due) {
            return IndexSet::new();
        }
        self.due = now + GAP;
        std::mem::take(&mut self.ids)
    }
}

impl Core {
    /// Tells what changed: other coordinators and subscribers all of it, all gateways which backend servers
    /// take no more work. Then answers those who waited for it: who is told that a departure is known
    /// stops serving soon, and gateways that don't know of it would go on sending there.
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

    /// Tells departures to the gateways that others tell of backend servers. Those that subscribe here hear
    /// of them with all other changes.
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

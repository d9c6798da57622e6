//! A coordinator of the model.

use crate::tally::Tally;
use bn_coordinator::Subscribers;
use bn_gateway::{PollState, UpdateRange};
use bn_registry::{Cursor, Record, Registry};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between two pushes to the other coordinators.
const AMONG: Duration = Duration::from_millis(50);
/// Between two asks of one coordinator to another, which are answered with what was lost.
const REPAIR: Duration = Duration::from_millis(500);
#[derive(Default)]
pub(crate) struct Coordinator {
    incarnation: u64,
    registry: Registry,
    subscribers: Subscribers,
    untold: Vec<Record>,
    pub(crate) stopped: bool,
    pub(crate) tally: Tally,
}

/// The same news for some gateways.
pub(crate) struct Push {
    pub(crate) inboxes: Vec<SocketAddr>,
    pub(crate) telling: UpdateRange,
    pub(crate) changed: Rc<[Record]>,
}

impl Coordinator {
    /// One that starts, for the so-manieth time, and knows nothing.
    pub(crate) fn start(incarnation: u64) -> Coordinator {
        Coordinator {
            incarnation,
            ..Coordinator::default()
        }
    }

    /// The next start of it.
    pub(crate) fn start_anew(&mut self) {
        *self = Coordinator::start(self.incarnation + 1);
    }

    /// A backend server announces itself here.
    pub(crate) fn announce(&mut self, now: Duration, record: Record) {
        self.registry.merge(now, record.clone());
        self.untold.push(record);
    }

    /// Another coordinator tells.
    pub(crate) fn take(&mut self, now: Duration, records: &[Record]) {
        for record in records {
            self.registry.merge(now, record.clone());
        }
    }

    /// What subscribers are to be told now.
    pub(crate) fn push(&mut self, now: Duration) -> Vec<Push> {
        let mark = self.registry.cursor();
        let behind = self.subscribers.take_behind(now, mark, false);
        let push = |(after, inboxes): (Cursor, Vec<SocketAddr>)| Push {
            inboxes,
            telling: self.telling(after, mark),
            changed: self.registry.changed_since(after).into(),
        };
        behind.into_iter().map(push).collect()
    }

    /// What the other coordinators are to be told now.
    pub(crate) fn tell_others(&mut self, now: Duration) -> Option<Rc<[Record]>> {
        let in_turn = |gap: Duration| now.as_millis().is_multiple_of(gap.as_millis());
        if in_turn(REPAIR) {
            self.untold = self.registry.changed_since(0);
        }
        let due = in_turn(AMONG) && !self.untold.is_empty();
        due.then(|| std::mem::take(&mut self.untold).into())
    }

    /// Answers a gateway's ask.
    pub(crate) fn answer(
        &mut self,
        gateway: SocketAddr,
        position: PollState,
    ) -> (UpdateRange, Rc<[Record]>) {
        if position.omit_registrations {
            self.subscribers.remove(gateway);
            return (self.telling(0, 0), Rc::default());
        }
        // A mark of an earlier start says nothing of this one.
        let known = match position.incarnation == self.incarnation {
            true => position.cursor,
            false => 0,
        };
        let mark = self.registry.cursor();
        self.subscribers.record_sent(gateway, mark);
        let changed = self.registry.changed_since(known);
        (self.telling(known, mark), changed.into())
    }

    fn telling(&self, after: Cursor, mark: Cursor) -> UpdateRange {
        UpdateRange {
            incarnation: self.incarnation,
            cursor: mark,
            after,
        }
    }
}

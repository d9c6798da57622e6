//! A coordinator of the model.

use crate::tally::Tally;
use bn_coordinator::Subscribers;
use bn_gateway::{Position, Telling};
use bn_registry::{Mark, Record, Registry};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between two pushes to the other coordinators.
const AMONG: Duration = Duration::from_millis(50);
/// Between two asks of one coordinator to another, which are answered with what was lost.
const REPAIR: Duration = Duration::from_millis(500);
/// Its start; none of the model starts again.
const INCARNATION: u64 = 1;

pub(crate) struct Coordinator {
    registry: Registry,
    subscribers: Subscribers,
    untold: Vec<Record>,
    pub(crate) stopped: bool,
    pub(crate) tally: Tally,
}

/// The same news for some gateways.
pub(crate) struct Push {
    pub(crate) inboxes: Vec<SocketAddr>,
    pub(crate) telling: Telling,
    pub(crate) changed: Rc<[Record]>,
}

impl Coordinator {
    pub(crate) fn new() -> Coordinator {
        Coordinator {
            registry: Registry::default(),
            subscribers: Subscribers::default(),
            untold: Vec::new(),
            stopped: false,
            tally: Tally::default(),
        }
    }

    /// A backend server announces itself here.
    pub(crate) fn announce(&mut self, now: Duration, record: Record) {
        self.registry.take(now, record.clone());
        self.untold.push(record);
    }

    /// Another coordinator tells.
    pub(crate) fn take(&mut self, now: Duration, records: &[Record]) {
        for record in records {
            self.registry.take(now, record.clone());
        }
    }

    /// What subscribers are to be told now.
    pub(crate) fn push(&mut self, now: Duration) -> Vec<Push> {
        let mark = self.registry.mark();
        let behind = self.subscribers.behind(now, mark, false);
        let push = |(after, inboxes): (Mark, Vec<SocketAddr>)| Push {
            inboxes,
            telling: telling(after, mark),
            changed: self.registry.since(after).into(),
        };
        behind.into_iter().map(push).collect()
    }

    /// What the other coordinators are to be told now.
    pub(crate) fn tell_others(&mut self, now: Duration) -> Option<Rc<[Record]>> {
        let in_turn = |gap: Duration| now.as_millis().is_multiple_of(gap.as_millis());
        if in_turn(REPAIR) {
            self.untold = self.registry.since(0);
        }
        let due = in_turn(AMONG) && !self.untold.is_empty();
        due.then(|| std::mem::take(&mut self.untold).into())
    }

    /// Answers a gateway's ask.
    pub(crate) fn answer(
        &mut self,
        gateway: SocketAddr,
        position: Position,
    ) -> (Telling, Rc<[Record]>) {
        if position.brief {
            self.subscribers.drop(gateway);
            return (telling(0, 0), Rc::default());
        }
        let mark = self.registry.mark();
        self.subscribers.told(gateway, mark);
        let changed = self.registry.since(position.mark);
        (telling(position.mark, mark), changed.into())
    }
}

fn telling(after: Mark, mark: Mark) -> Telling {
    Telling {
        incarnation: INCARNATION,
        mark,
        after,
    }
}

//! A simulated coordinator.

use crate::traffic::Traffic;
use bn_coordinator::Subscribers;
use bn_gateway::{PollState, UpdateRange};
use bn_registry::{Cursor, Record, Registry};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two pushes to the other coordinators.
const PEER_PUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two polls of one coordinator by another, whose answers make up for lost pushes.
const RESYNC_INTERVAL: Duration = Duration::from_millis(500);
#[derive(Default)]
pub(crate) struct Coordinator {
    incarnation: u64,
    registry: Registry,
    subscribers: Subscribers,
    pending: Vec<Record>,
    pub(crate) stopped: bool,
    pub(crate) traffic: Traffic,
}

/// One update that is sent to several gateways.
pub(crate) struct Push {
    pub(crate) inboxes: Vec<SocketAddr>,
    pub(crate) range: UpdateRange,
    pub(crate) changed: Rc<[Record]>,
}

impl Coordinator {
    /// Starts with an empty registry; `incarnation` counts its starts.
    pub(crate) fn start(incarnation: u64) -> Coordinator {
        Coordinator {
            incarnation,
            ..Coordinator::default()
        }
    }

    /// Restarts it as the next incarnation.
    pub(crate) fn restart(&mut self) {
        *self = Coordinator::start(self.incarnation + 1);
    }

    /// Accepts the announcement of a backend server.
    pub(crate) fn announce(&mut self, now: Duration, record: Record) {
        self.registry.merge(now, record.clone());
        self.pending.push(record);
    }

    /// Merges the records that another coordinator sent.
    pub(crate) fn receive(&mut self, now: Duration, records: &[Record]) {
        for record in records {
            self.registry.merge(now, record.clone());
        }
    }

    /// Updates that are due to subscribers.
    pub(crate) fn push(&mut self, now: Duration) -> Vec<Push> {
        let cursor = self.registry.cursor();
        let behind = self.subscribers.take_behind(now, cursor, false);
        let push = |(after, inboxes): (Cursor, Vec<SocketAddr>)| Push {
            inboxes,
            range: self.range_since(after, cursor),
            changed: self.registry.changed_since(after).into(),
        };
        behind.into_iter().map(push).collect()
    }

    /// Records that are due to the other coordinators.
    pub(crate) fn push_to_peers(&mut self, now: Duration) -> Option<Rc<[Record]>> {
        let is_due = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        if is_due(RESYNC_INTERVAL) {
            self.pending = self.registry.changed_since(0);
        }
        let due = is_due(PEER_PUSH_INTERVAL) && !self.pending.is_empty();
        due.then(|| std::mem::take(&mut self.pending).into())
    }

    /// Answers a gateway's poll.
    pub(crate) fn answer_poll(
        &mut self,
        gateway: SocketAddr,
        poll_state: PollState,
    ) -> (UpdateRange, Rc<[Record]>) {
        if poll_state.omit_registrations {
            self.subscribers.remove(gateway);
            return (self.range_since(0, 0), Rc::default());
        }
        // A cursor of an earlier incarnation is meaningless in this one.
        let known = match poll_state.incarnation == self.incarnation {
            true => poll_state.cursor,
            false => 0,
        };
        let cursor = self.registry.cursor();
        self.subscribers.record_sent(gateway, cursor);
        let changed = self.registry.changed_since(known);
        (self.range_since(known, cursor), changed.into())
    }

    fn range_since(&self, after: Cursor, cursor: Cursor) -> UpdateRange {
        UpdateRange {
            incarnation: self.incarnation,
            cursor,
            after,
        }
    }
}

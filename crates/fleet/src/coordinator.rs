//! A simulated coordinator.

use crate::traffic::Traffic;
use bn_coordinator::{AnswerRange, Departure, PeerCursor, Subscribers};
use bn_gateway::{PollState, UpdateRange};
use bn_registry::{
    BackendId, CONTACT_INTERVAL, Change, Condition, Contact, ContactEffect, Cursor, Record,
    Registry, SharedRecord,
};
use bn_wire::messages::Registration;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two pushes to the other coordinators.
const PEER_PUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two polls of one coordinator by another, whose answers make up for lost pushes.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two questions about backend servers that will be forgotten otherwise.
const DOUBT_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Default)]
pub(crate) struct Coordinator {
    incarnation: u64,
    pub(crate) registry: Registry,
    pub(crate) subscribers: Subscribers,
    pending: Vec<BackendId>,
    /// Departures that reached this coordinator first: for all gateways.
    leaving: Vec<BackendId>,
    urgent: bool,
    /// What is known of each other coordinator's changes.
    peers: IndexMap<usize, PeerCursor>,
    contacts_due: Duration,
    /// Departures that are not acknowledged yet, by call.
    pub(crate) departures: IndexMap<u64, Departure>,
    pub(crate) stopped: bool,
    /// It reaches neither the other coordinators nor gateways.
    pub(crate) cut_off: bool,
    pub(crate) traffic: Traffic,
    /// Reports of contacts, sent and received.
    pub(crate) contact_traffic: Traffic,
}

/// A poll of another coordinator.
#[derive(Debug, Clone)]
pub(crate) struct PeerPoll {
    pub(crate) known: PeerCursor,
    pub(crate) doubted: Rc<[BackendId]>,
}

/// One update that is sent to several gateways.
pub(crate) struct Push {
    pub(crate) inboxes: Vec<SocketAddr>,
    pub(crate) range: UpdateRange,
    pub(crate) changed: Rc<[Registration]>,
}

/// An update for another coordinator. Without a cursor it is a push.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerUpdate {
    pub(crate) range: Option<AnswerRange>,
    pub(crate) changed: Rc<[Registration]>,
    pub(crate) contacts: Rc<[Contact]>,
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
        let id = record.id.clone();
        if self.registry.announce(now, record) == Change::Updated {
            self.pending.push(id);
        }
    }

    /// Records that a start has departed.
    pub(crate) fn depart(&mut self, now: Duration, id: &str, start_time: u64) {
        if self.registry.record_unnamed_departure(now, id, start_time) == Change::Updated {
            self.pending.push(id.into());
            self.leaving.push(id.into());
            self.urgent = true;
        }
    }

    /// Merges what another process knows of a backend server.
    pub(crate) fn merge(&mut self, now: Duration, raw: &Registration) {
        let Ok(shared) = SharedRecord::try_from(raw.clone()) else {
            return;
        };
        let id = shared.record.id.clone();
        let change = self.registry.merge(now, shared);
        let held = self.registry.get(&id);
        let gone = held.is_some_and(|r| r.condition == Condition::Gone);
        if change == Change::Updated && gone {
            self.pending.push(id);
            self.urgent = true;
        }
    }

    /// Merges an update of another coordinator; returns backend servers to request from it.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        from: usize,
        update: &PeerUpdate,
    ) -> Vec<BackendId> {
        if let Some(range) = update.range {
            self.peers.entry(from).or_default().on_answer(range);
        }
        update.changed.iter().for_each(|r| self.merge(now, r));
        let mut unknown = Vec::new();
        for contact in update.contacts.iter() {
            match self.registry.record_contact(now, contact) {
                ContactEffect::Known => {}
                ContactEffect::Revived => self.pending.push(contact.id.clone()),
                ContactEffect::Unknown => unknown.push(contact.id.clone()),
            }
        }
        unknown
    }

    /// What it knows of one backend server.
    pub(crate) fn registration(&self, now: Duration, id: &str) -> Option<Registration> {
        let record = self.registry.get(id)?;
        Some(self.registry.to_wire(now, record))
    }

    /// Departures that are due to all gateways but subscribers.
    pub(crate) fn take_leaving(&mut self, now: Duration) -> Rc<[Registration]> {
        let ids = std::mem::take(&mut self.leaving);
        let leaving = ids.iter().filter_map(|id| self.registration(now, id));
        leaving.collect()
    }

    /// Updates that are due to subscribers.
    pub(crate) fn push(&mut self, now: Duration) -> Vec<Push> {
        let cursor = self.registry.cursor();
        let behind = self.subscribers.take_behind(now, cursor, self.urgent);
        let push = |(after, inboxes): (Cursor, Vec<SocketAddr>)| Push {
            inboxes,
            range: self.range_since(after, cursor),
            changed: self.changed_since(now, after),
        };
        behind.into_iter().map(push).collect()
    }

    /// Changes and contacts that are due to the other coordinators.
    pub(crate) fn push_to_peers(&mut self, now: Duration) -> Option<PeerUpdate> {
        let urgent = std::mem::take(&mut self.urgent);
        if !urgent && !is_due(now, PEER_PUSH_INTERVAL) {
            return None;
        }
        let ids = std::mem::take(&mut self.pending);
        let changed = ids.iter().filter_map(|id| self.registration(now, id));
        let mut update = PeerUpdate {
            changed: changed.collect(),
            ..PeerUpdate::default()
        };
        if now >= self.contacts_due {
            self.contacts_due = now + CONTACT_INTERVAL;
            update.contacts = self.registry.take_contacts(now).into();
        }
        let empty = update.changed.is_empty() && update.contacts.is_empty();
        (!empty).then_some(update)
    }

    /// Forgets backend servers without contact, and returns the poll of each other coordinator, if it is due.
    pub(crate) fn poll_peers(&mut self, now: Duration, in_touch: bool) -> Option<Rc<[BackendId]>> {
        if !is_due(now, PEER_POLL_INTERVAL) {
            return None;
        }
        let doubted = match is_due(now, DOUBT_INTERVAL) {
            true => self.registry.doubted(now),
            false => Vec::new(),
        };
        self.registry.evict_expired(now, in_touch);
        Some(doubted.into())
    }

    /// What it knows of another coordinator's changes.
    pub(crate) fn known_of(&self, peer: usize) -> PeerCursor {
        self.peers.get(&peer).copied().unwrap_or_default()
    }

    /// Answers the poll of another coordinator.
    pub(crate) fn answer_peer(&self, now: Duration, poll: &PeerPoll) -> PeerUpdate {
        let known = poll.known;
        let after = match known.incarnation == self.incarnation {
            true => known.cursor,
            false => 0,
        };
        let changed = self.registry.changed_since(after);
        let told = changed
            .iter()
            .filter(|r| !self.registry.is_forgotten(&r.id));
        PeerUpdate {
            range: Some(AnswerRange {
                incarnation: self.incarnation,
                after,
                cursor: self.registry.cursor(),
                case_cursor: 0,
            }),
            changed: told.map(|r| self.registry.to_wire(now, r)).collect(),
            contacts: self.registry.contacts_of(now, &poll.doubted).into(),
        }
    }

    /// Answers a gateway's poll.
    pub(crate) fn answer_poll(
        &mut self,
        now: Duration,
        gateway: SocketAddr,
        poll_state: PollState,
    ) -> (UpdateRange, Rc<[Registration]>) {
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
        (
            self.range_since(known, cursor),
            self.changed_since(now, known),
        )
    }

    fn changed_since(&self, now: Duration, after: Cursor) -> Rc<[Registration]> {
        let changed = self.registry.changed_since(after);
        let changed = changed.iter().map(|r| self.registry.to_wire(now, r));
        changed.collect()
    }

    fn range_since(&self, after: Cursor, cursor: Cursor) -> UpdateRange {
        UpdateRange {
            incarnation: self.incarnation,
            cursor,
            after,
        }
    }
}

fn is_due(now: Duration, interval: Duration) -> bool {
    now.as_millis().is_multiple_of(interval.as_millis())
}

//! A simulated gateway.

use crate::simulation::gateway_inbox;
use crate::traffic::Traffic;
use bn_gateway::{PollState, Registrations, Sources, UpdateRange};
use bn_registry::{BackendId, Condition, SharedRecord};
use bn_wire::messages::Registration;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) struct Gateway {
    pub(crate) inbox: SocketAddr,
    pub(crate) sources: Sources,
    next_poll: Duration,
    /// Backend servers that it has learned of.
    pub(crate) known: IndexMap<BackendId, KnownServer>,
    pub(crate) registrations: Registrations,
    pub(crate) traffic: Traffic,
}

/// Copies of one backend server's registration that updates brought, and when the first came.
pub(crate) struct KnownServer {
    pub(crate) copies: u32,
    pub(crate) first_received: Duration,
}

impl Gateway {
    /// Polls for the first time at `next_poll`; `random` selects the seed that it starts with.
    pub(crate) fn new(
        n: usize,
        seeds: Vec<SocketAddr>,
        random: usize,
        next_poll: Duration,
    ) -> Gateway {
        Gateway {
            inbox: gateway_inbox(n),
            sources: Sources::new(seeds, random),
            next_poll,
            known: IndexMap::new(),
            registrations: Registrations::default(),
            traffic: Traffic::default(),
        }
    }

    /// The coordinator that it polls now, and the state of the poll.
    pub(crate) fn poll(&mut self, now: Duration) -> Option<(SocketAddr, PollState)> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + self.sources.poll_interval();
        // No requests are simulated, so nothing answers here.
        let subscriptions = self.sources.subscriptions();
        self.registrations
            .evict_expired(now, &subscriptions, |_| None);
        let to = self.sources.next_poll()?;
        Some((to, self.sources.on_poll(to)))
    }

    /// Processes an update from a coordinator.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        range: UpdateRange,
        changed: &[Registration],
    ) {
        self.sources.on_update(from, range);
        if range.cursor > 0 && range.after == 0 {
            let listed = changed.iter().map(|r| r.id.clone()).collect();
            self.registrations.record_full_list(now, from, &listed);
        }
        for raw in changed {
            let new = KnownServer {
                copies: 0,
                first_received: now,
            };
            let known = self.known.entry(raw.id.clone()).or_insert(new);
            known.copies += 1;
            self.merge(now, from, raw);
        }
    }

    fn merge(&mut self, now: Duration, from: SocketAddr, raw: &Registration) {
        let Ok(shared) = SharedRecord::try_from(raw.clone()) else {
            return;
        };
        self.registrations.record_source(now, from, &shared);
        if shared.forgotten {
            return;
        }
        if let Some(record) = self.registrations.merged(&shared.record) {
            self.registrations.insert(now, record);
        }
    }

    /// Whether it may send requests to a backend server.
    pub(crate) fn uses(&self, id: &str) -> bool {
        let held = self.registrations.get(id);
        held.is_some_and(|r| r.condition != Condition::Gone)
    }
}

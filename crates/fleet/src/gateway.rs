//! A gateway of the model.

use crate::simulation::gateway_inbox;
use crate::traffic::Tally;
use bn_gateway::{Position, Sources, Telling};
use bn_registry::{BackendId, Record};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) struct Gateway {
    pub(crate) inbox: SocketAddr,
    pub(crate) sources: Sources,
    due: Duration,
    /// Backend servers that it knows of.
    pub(crate) held: IndexMap<BackendId, Held>,
    pub(crate) tally: Tally,
}

/// How one backend server became known.
pub(crate) struct Held {
    pub(crate) copies: u32,
    pub(crate) first: Duration,
}

impl Gateway {
    /// One that first asks at `due`; `first` is its random number.
    pub(crate) fn new(n: usize, seeds: Vec<SocketAddr>, first: usize, due: Duration) -> Gateway {
        Gateway {
            inbox: gateway_inbox(n),
            sources: Sources::new(seeds, first),
            due,
            held: IndexMap::new(),
            tally: Tally::default(),
        }
    }

    /// Whom it asks now, and what.
    pub(crate) fn ask(&mut self, now: Duration) -> Option<(SocketAddr, Position)> {
        if now < self.due {
            return None;
        }
        self.due = now + self.sources.gap();
        let to = self.sources.turn()?;
        Some((to, self.sources.asked(to)))
    }

    /// A coordinator tells.
    pub(crate) fn take(
        &mut self,
        now: Duration,
        from: SocketAddr,
        telling: Telling,
        records: &[Record],
    ) {
        self.sources.heard(from, telling);
        for record in records {
            let new = Held {
                copies: 0,
                first: now,
            };
            let held = self.held.entry(record.id.clone()).or_insert(new);
            held.copies += 1;
        }
    }
}

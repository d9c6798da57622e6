//! A gateway of the model.

use crate::tally::Tally;
use crate::world::gateway_inbox;
use bn_gateway::{PollState, Sources, UpdateRange};
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
    pub(crate) fn ask(&mut self, now: Duration) -> Option<(SocketAddr, PollState)> {
        if now < self.due {
            return None;
        }
        self.due = now + self.sources.poll_interval();
        let to = self.sources.next_poll()?;
        Some((to, self.sources.on_poll(to)))
    }

    /// A coordinator tells.
    pub(crate) fn take(
        &mut self,
        now: Duration,
        from: SocketAddr,
        telling: UpdateRange,
        records: &[Record],
    ) {
        self.sources.on_update(from, telling);
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

//! Which gateways callers may be sent to: soft state, told by the gateways themselves.

use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway that has not asked for news for this long is left out: four of its asks, and
/// below the two seconds for which callers keep an answer.
const SILENCE: Duration = Duration::from_millis(1_700);
/// Where every gateway is silent it is rather this process that is cut off: those heard
/// of within this time are still named, since callers may reach them.
const STATIC: Duration = Duration::from_secs(15);
/// A gateway that was there within this time counts among those that share budgets.
const COUNTED: Duration = Duration::from_secs(10);

#[derive(Debug, Clone)]
struct Row {
    callers: SocketAddr,
    ready: bool,
    heard: Duration,
}

/// All gateways by inbox.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    rows: IndexMap<SocketAddr, Row>,
}

impl Directory {
    /// A gateway tells of itself.
    pub fn hear(&mut self, now: Duration, inbox: SocketAddr, callers: SocketAddr, ready: bool) {
        let row = Row {
            callers,
            ready,
            heard: now,
        };
        self.rows.insert(inbox, row);
    }

    /// Where callers may connect now.
    pub fn addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let within = |most: Duration| {
            let ready = self.rows.values().filter(|r| r.ready);
            let near = ready.filter(|r| now.saturating_sub(r.heard) < most);
            near.map(|r| r.callers).collect::<Vec<_>>()
        };
        let live = within(SILENCE);
        if live.is_empty() {
            return within(STATIC);
        }
        live
    }

    /// Inboxes of gateways that are to be told of changes.
    pub fn inboxes(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.keys().copied()
    }

    /// Gateways that share what all may do together.
    pub fn count(&self, now: Duration) -> usize {
        let counted = |r: &&Row| now.saturating_sub(r.heard) < COUNTED;
        self.rows.values().filter(counted).count()
    }

    /// Drops gateways that have been silent for long; returns their inboxes.
    pub fn forget(&mut self, now: Duration) -> Vec<SocketAddr> {
        let old = |r: &Row| now.saturating_sub(r.heard) > STATIC;
        let gone = self.rows.iter().filter(|(_, r)| old(r));
        let gone: Vec<_> = gone.map(|(inbox, _)| *inbox).collect();
        self.rows.retain(|_, r| !old(r));
        gone
    }
}

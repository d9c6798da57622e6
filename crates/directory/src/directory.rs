//! What a coordinator knows of gateways, and its choice: soft state, told by the gateways themselves.
//!
//! A caller is sent to some of the gateways only where there are more than its requests need. A
//! gateway learns what engines bear from the streams that it has there, and with few of them it knows
//! little and opens a new connection for nearly each request. Those that are not named stay ready and
//! take over at once.

use crate::named::{Named, turn};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway that has not asked for news for this long is left out: two of its asks, and
/// below the two seconds for which callers keep an answer.
const SILENCE: Duration = Duration::from_millis(1_700);
/// Where every gateway is silent it is rather this process that is cut off: those heard
/// of within this time are still named, since callers may reach them.
const STATIC: Duration = Duration::from_secs(15);
/// After the first gateway was heard of, so long passes until all others were: each asks a
/// coordinator every 0.8 s.
const MEETING: Duration = Duration::from_millis(900);
/// A gateway that was there within this time counts among those that share budgets.
const COUNTED: Duration = Duration::from_secs(10);
/// Fewest gateways that callers are sent to, where there are so many: the loss of one in ten
/// processes then takes about a tenth of the requests with it, as it does with more.
const FEWEST: usize = 24;
/// Requests a second for which there is one gateway more. It is what each of 320 carries of 16,000,
/// and takes 0.02 of a core at 0.45 ms a request, a tenth of what the smallest instances have.
const RATE: usize = 50;

/// What a gateway says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gateway {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Callers may be sent there.
    pub ready: bool,
    /// Requests that it takes in, a second.
    pub rate: u32,
}

#[derive(Debug, Clone)]
struct Row {
    gateway: Gateway,
    /// Its place in an order that is the same everywhere.
    turn: u32,
    heard: Duration,
}

/// All gateways by inbox.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    rows: IndexMap<SocketAddr, Row>,
    /// When the first gateway was heard of.
    first: Option<Duration>,
    /// When this process went on after it had been held up.
    resumed: Option<Duration>,
}

impl Directory {
    /// A gateway tells of itself.
    pub fn hear(&mut self, now: Duration, inbox: SocketAddr, gateway: Gateway) {
        self.first.get_or_insert(now);
        let row = Row {
            turn: turn(gateway.callers, ""),
            gateway,
            heard: now,
        };
        self.rows.insert(inbox, row);
    }

    /// This process was held up until now: that gateways were not heard says nothing of them.
    pub fn resume(&mut self, now: Duration) {
        self.resumed = Some(now);
    }

    /// Gateways that callers may be sent to now: as many as the requests need, of each failure domain in
    /// turn. None while the gateways are still being met after a start: all callers would be sent to
    /// the first few. All coordinators that hear of the same gateways choose the same ones.
    pub fn named(&self, now: Duration) -> Named {
        let mut ready = match is_meeting(now, self.resumed) {
            // What they said meanwhile is still to be read; the few of until now are not all.
            true => self.ready(now, STATIC),
            false => self.ready(now, SILENCE),
        };
        if ready.is_empty() {
            ready = self.ready(now, STATIC);
        }
        ready.sort_by_key(|r| r.turn);
        let ready: Vec<&Gateway> = ready.into_iter().map(|r| &r.gateway).collect();
        let needed = needed(&ready);
        let addressed = ready.iter().map(|g| (g.callers, g.domain.as_str()));
        let named = Named::in_turn(addressed, needed);
        match is_meeting(now, self.first) && named.gateways().len() < FEWEST {
            true => Named::default(),
            false => named,
        }
    }

    fn ready(&self, now: Duration, within: Duration) -> Vec<&Row> {
        let near = |r: &&Row| r.gateway.ready && now.saturating_sub(r.heard) < within;
        self.rows.values().filter(near).collect()
    }

    /// Inboxes of gateways that are to be told of changes.
    pub fn inboxes(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.keys().copied()
    }

    /// Gateways that share what all may do together: those that callers are sent to, or more
    /// where more have requests.
    pub fn count(&self, now: Duration) -> usize {
        let rows = self.rows.values();
        let counted = rows.filter(|r| now.saturating_sub(r.heard) < COUNTED);
        let counted: Vec<&Gateway> = counted.map(|r| &r.gateway).collect();
        let busy = counted.iter().filter(|g| g.rate > 0).count();
        busy.max(needed(&counted))
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

/// Gateways are being met since `began`.
fn is_meeting(now: Duration, began: Option<Duration>) -> bool {
    began.is_some_and(|began| now < began + MEETING)
}

/// How many of these gateways the requests need that they take in now.
fn needed(gateways: &[&Gateway]) -> usize {
    let rate: usize = gateways.iter().map(|g| g.rate as usize).sum();
    rate.div_ceil(RATE).max(FEWEST).min(gateways.len())
}

//! The gateways known to a coordinator and its selection among them: soft state, reported by the
//! gateways themselves.
//!
//! Callers are sent to only some of the gateways if there are more than the requests need. A
//! gateway learns what load engines sustain from the streams it has open there; with few streams
//! it knows little and opens a new connection for nearly each request. Gateways that are not
//! selected stay ready and take over at once.

use crate::selection::{GatewaySelection, hash_order};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway that has not requested updates for this long is left out: two of its polls, and below
/// the two seconds for which callers cache an answer.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// If all gateways are silent, it is more likely that this process is cut off: those that made
/// contact within this time are still selected, since callers may reach them.
const FALLBACK_TIMEOUT: Duration = Duration::from_secs(15);
/// Time from the first contact of a gateway until all others have made contact: each polls a
/// coordinator every 0.8 s.
const DISCOVERY_TIME: Duration = Duration::from_millis(900);
/// A gateway that made contact within this time counts among those that share budgets.
const COUNT_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of selected gateways, if there are so many: the loss of one in ten processes
/// then costs about a tenth of the requests, as it does with more gateways.
const MIN_SELECTED: usize = 24;
/// Requests per second for each selected gateway: the share of each of 320 gateways at 16,000. It
/// takes 0.02 of a core at 0.45 ms per request, a tenth of what the smallest instances have.
const RATE_PER_GATEWAY: usize = 50;

/// State that a gateway reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gateway {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Callers may be sent there.
    pub ready: bool,
    /// Requests that it accepts per second.
    pub rate: u32,
}

#[derive(Debug, Clone)]
struct Row {
    gateway: Gateway,
    /// Its position in an order that is the same in all processes.
    order: u32,
    last_contact: Duration,
}

/// All gateways by inbox.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    rows: IndexMap<SocketAddr, Row>,
    /// First contact of any gateway.
    first_contact: Option<Duration>,
    /// When this process resumed after a stall.
    resumed: Option<Duration>,
}

impl Directory {
    /// Records the state that a gateway reports.
    pub fn update(&mut self, now: Duration, inbox: SocketAddr, gateway: Gateway) {
        self.first_contact.get_or_insert(now);
        let row = Row {
            order: hash_order(gateway.callers, ""),
            gateway,
            last_contact: now,
        };
        self.rows.insert(inbox, row);
    }

    /// This process was stalled until now: missing contact says nothing about the gateways.
    pub fn resume(&mut self, now: Duration) {
        self.resumed = Some(now);
    }

    /// Gateways that callers may be sent to now: as many as the requests need, round-robin over the
    /// failure domains. Empty while gateways are being discovered after a start: all callers would
    /// be sent to the first few. All coordinators that know the same gateways select the same ones.
    pub fn select(&self, now: Duration) -> GatewaySelection {
        let mut ready = match is_discovering(now, self.resumed) {
            // Reports from during the stall are unread: gateways with recent contact are not all.
            true => self.ready(now, FALLBACK_TIMEOUT),
            false => self.ready(now, CONTACT_TIMEOUT),
        };
        if ready.is_empty() {
            ready = self.ready(now, FALLBACK_TIMEOUT);
        }
        ready.sort_by_key(|r| r.order);
        let ready: Vec<&Gateway> = ready.into_iter().map(|r| &r.gateway).collect();
        let needed = needed(&ready);
        let candidates = ready.iter().map(|g| (g.callers, g.domain.as_str()));
        let selection = GatewaySelection::round_robin(candidates, needed);
        match is_discovering(now, self.first_contact) && selection.gateways().len() < MIN_SELECTED {
            true => GatewaySelection::default(),
            false => selection,
        }
    }

    fn ready(&self, now: Duration, within: Duration) -> Vec<&Row> {
        let recent = |r: &&Row| r.gateway.ready && now.saturating_sub(r.last_contact) < within;
        self.rows.values().filter(recent).collect()
    }

    /// Inboxes of gateways that are notified of changes.
    pub fn inboxes(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.keys().copied()
    }

    /// Number of gateways that share the common budgets: those that callers are sent to, or more if
    /// more have requests.
    pub fn sharing_count(&self, now: Duration) -> usize {
        let rows = self.rows.values();
        let counted = rows.filter(|r| now.saturating_sub(r.last_contact) < COUNT_WINDOW);
        let counted: Vec<&Gateway> = counted.map(|r| &r.gateway).collect();
        let busy = counted.iter().filter(|g| g.rate > 0).count();
        busy.max(needed(&counted))
    }

    /// Evicts gateways without contact for [`FALLBACK_TIMEOUT`]; returns their inboxes.
    pub fn evict_expired(&mut self, now: Duration) -> Vec<SocketAddr> {
        let expired = |r: &Row| now.saturating_sub(r.last_contact) > FALLBACK_TIMEOUT;
        let gone = self.rows.iter().filter(|(_, r)| expired(r));
        let gone: Vec<_> = gone.map(|(inbox, _)| *inbox).collect();
        self.rows.retain(|_, r| !expired(r));
        gone
    }
}

/// Whether gateways are still being discovered, which started at `since`.
fn is_discovering(now: Duration, since: Option<Duration>) -> bool {
    since.is_some_and(|since| now < since + DISCOVERY_TIME)
}

/// How many of these gateways are needed for the requests that they accept now.
fn needed(gateways: &[&Gateway]) -> usize {
    let rate: usize = gateways.iter().map(|g| g.rate as usize).sum();
    rate.div_ceil(RATE_PER_GATEWAY)
        .max(MIN_SELECTED)
        .min(gateways.len())
}

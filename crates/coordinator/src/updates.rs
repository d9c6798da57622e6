//! Updates for gateways and other coordinators, and updates received from the latter.
//!
//! An update is pushed at a change and also polled for, so that a lost push costs half a second at
//! most. A link may go silent without a reset, in one direction only: polls then stay unanswered,
//! the poller reopens its link and says so in its next poll, and the other side reopens its own.

use crate::announcements::Source;
use crate::core::Core;
use crate::peer_cursor::{AnswerRange, PeerCursor};
use bn_admission::{Demand, DemandSum, ReceivedDemand};
use bn_directory::{Gateway, GatewaySelection};
use bn_registry::{Change, Contact, ContactEffect, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Registration};
use indexmap::IndexMap;
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Interval between two polls of one peer. Pushes carry urgent changes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// A gateway that is still behind after this time gets the document from any coordinator: below its
/// interval between two polls of the same coordinator, so that the second poll is answered with the
/// document, and below the two seconds within which a document must be in force.
const HELP_DELAY: Duration = Duration::from_millis(600);
/// Time for which the common part of all updates is cached.
const COMMON_TTL: Duration = Duration::from_millis(200);
/// Interval between two questions about backend servers that will be forgotten otherwise.
const DOUBT_INTERVAL: Duration = Duration::from_secs(5);
/// Unanswered polls after which the link is considered dead: 1.5 s.
const MAX_UNANSWERED: u32 = 3;

/// Progress of the updates from another coordinator.
#[derive(Debug, Clone, Default)]
struct Peer {
    known: PeerCursor,
    unanswered: u32,
}

/// Gateways that are behind: their version, and when they were first behind with it.
#[derive(Debug, Clone, Default)]
pub struct GatewayLag(IndexMap<SocketAddr, (u64, Duration)>);

impl GatewayLag {
    /// Whether a gateway has been behind for so long that any coordinator should send it the
    /// document. The time counts from when the gateway was first behind with its version, not from
    /// the newest document, or frequent documents would put help off forever. A gateway without
    /// any document gets it at once.
    pub fn needs_help(&mut self, now: Duration, gateway: SocketAddr, version: u64) -> bool {
        let (known, since) = self.0.entry(gateway).or_insert((version, now));
        if *known != version {
            (*known, *since) = (version, now);
        }
        version == 0 || now >= *since + HELP_DELAY
    }

    /// Removes a gateway that is up to date or gone.
    pub fn clear(&mut self, gateway: SocketAddr) {
        self.0.swap_remove(&gateway);
    }
}

/// All other coordinators by inbox.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    by_inbox: IndexMap<SocketAddr, Peer>,
    lag: GatewayLag,
    due: Duration,
    doubted_due: Duration,
    /// Common part of all updates, valid until `common_due`: coordinators and number of gateways.
    common: wire::News,
    /// Gateways that callers are sent to, valid as long.
    selection: GatewaySelection,
    common_due: Duration,
    /// Demand that gateways reported, and its sum, which is computed as often as `common`.
    demand: DemandSum<SocketAddr>,
    demand_sum: Demand,
}

impl Peers {
    /// Whether a coordinator has not answered for so long that it is considered gone.
    fn is_lost(&self, inbox: SocketAddr) -> bool {
        let peer = self.by_inbox.get(&inbox);
        peer.is_some_and(|p| p.unanswered > MAX_UNANSWERED)
    }
}

/// The one of `all` coordinators that sends a gateway its documents: otherwise every document would be
/// sent as often as there are coordinators. `None` if any may.
///
/// The others step in if a gateway still polls with an older version some time later. So those that
/// are gone do not count: their gateways would get every document that much later.
pub fn assigned_coordinator(
    gateway: SocketAddr,
    all: Vec<SocketAddr>,
    is_gone: impl Fn(&SocketAddr) -> bool,
) -> Option<SocketAddr> {
    let IpAddr::V4(ip) = gateway.ip() else {
        return None;
    };
    let mut present = all;
    present.retain(|inbox| !is_gone(inbox));
    present.sort_unstable();
    let index = u32::from(ip) as usize % present.len().max(1);
    present.get(index).copied()
}

impl Core {
    /// Inboxes of all other coordinators that are known here.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let members = self.quorum.members().values();
        let known = members.filter_map(|m| m.address.parse().ok());
        let mut all: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all.retain(|a| *a != self.inbox);
        all
    }

    /// Pushes the document in force to the gateways assigned to this coordinator. A gateway that
    /// has just started serves from then on, so it also gets the requests that it must not send.
    pub(crate) fn push_document(&mut self) {
        let update = wire::News {
            document: self.committed.document.clone(),
            evacuations: Some((&self.evacuations).into()),
            cases: self.cases.updates_since(0, true),
            ..self.base_update()
        };
        self.push_to_assigned(&update);
    }

    /// Pushes an update to the gateways assigned to this coordinator.
    pub(crate) fn push_to_assigned(&self, update: &wire::News) {
        for inbox in self.directory.inboxes().filter(|g| self.is_assigned(*g)) {
            self.net.send(inbox, Body::News(update.clone()));
        }
    }

    /// Whether a gateway is assigned to this coordinator.
    fn is_assigned(&self, gateway: SocketAddr) -> bool {
        let mut all = self.others();
        all.push(self.inbox);
        let is_gone = |inbox: &SocketAddr| {
            *inbox != self.inbox && (self.peers.is_lost(*inbox) || self.is_learner(*inbox))
        };
        assigned_coordinator(gateway, all, is_gone).is_none_or(|inbox| inbox == self.inbox)
    }

    /// A coordinator that was made a learner has left or is absent, or has not caught up yet.
    fn is_learner(&self, inbox: SocketAddr) -> bool {
        let member = self.quorum.members().get(&inbox.ip().to_string());
        member.is_some_and(|m| !m.voter)
    }

    /// Builds the common part of all updates. It is cached: coordinators and gateways change
    /// seldom, and some hundred polls a second are answered with it.
    pub(crate) fn base_update(&mut self) -> wire::News {
        let now = self.now();
        if now >= self.peers.common_due {
            self.peers.common_due = now + COMMON_TTL;
            self.peers.selection = self.directory.select(now);
            self.peers.demand_sum = self.peers.demand.sum(now);
            let others = self.others();
            let all = others.iter().chain([&self.inbox]);
            self.peers.common = wire::News {
                coordinators: all.map(ToString::to_string).collect(),
                gateways: self.directory.sharing_count(now) as u32,
                ..wire::News::default()
            };
        }
        wire::News {
            version: self.committed.version,
            current: self.current,
            ..self.peers.common.clone()
        }
    }

    pub(crate) fn on_poll(&mut self, now: Duration, inbox: SocketAddr, poll: &wire::NewsAsk) {
        if poll.unheard {
            self.net.disconnect(inbox);
        }
        self.update_directory(now, inbox, poll);
        let (cursor, known_cases) = match poll.source == self.net.incarnation() {
            true => (poll.mark, poll.cases),
            false => (0, 0),
        };
        let is_gateway = !poll.callers.is_empty();
        let document = self.document_for(now, inbox, poll);
        let known = poll.evacuations == Some(self.evacuations.revision);
        let evacuations =
            (is_gateway && (!known || !document.is_empty())).then(|| (&self.evacuations).into());
        let changed = match poll.brief {
            true => Vec::new(),
            false => self.registry.changed_since(cursor),
        };
        match (is_gateway, poll.brief) {
            (true, true) => self.subscribers.remove(inbox),
            (true, false) => self.subscribers.record_sent(inbox, self.registry.cursor()),
            (false, _) => {}
        }
        // Each coordinator forgets by itself: another one may have had a contact since.
        let tells = |r: &&Record| is_gateway || !self.registry.is_forgotten(&r.id);
        let changed = changed.iter().filter(tells);
        let changed = changed.map(|r| self.registry.to_wire(now, r));
        let changed: Vec<Registration> = changed.collect();
        let doubted: Vec<String> = poll.doubted.iter().map(|d| d.id.clone()).collect();
        let contacts = self.registry.contacts_of(now, &doubted);
        let demand = self.record_demand(now, inbox, poll);
        let base = self.base_update();
        let gateways = match is_gateway && poll.named != self.peers.selection.checksum() {
            true => self.peers.selection.gateways(),
            false => &[],
        };
        let update = wire::News {
            document,
            evacuations,
            named: gateways.iter().map(Into::into).collect(),
            mark: if poll.brief {
                0
            } else {
                self.registry.cursor()
            },
            after: cursor,
            changed,
            cases: self.cases.updates_since(known_cases, is_gateway),
            cases_mark: self.cases.table.cursor(),
            demand,
            contacts: contacts.iter().map(Into::into).collect(),
            ..base
        };
        self.net.send(inbox, Body::News(update));
    }

    /// Records a gateway in the directory that callers get their gateways from.
    fn update_directory(&mut self, now: Duration, inbox: SocketAddr, poll: &wire::NewsAsk) {
        let Ok(callers) = poll.callers.parse() else {
            return;
        };
        let gateway = Gateway {
            callers,
            domain: poll.domain.clone(),
            ready: poll.ready,
            rate: poll.rate,
        };
        let stopping = !gateway.ready;
        self.directory.update(now, inbox, gateway);
        if stopping {
            // Callers must not be sent there any more.
            self.peers.common_due = now;
        }
    }

    /// The document for a gateway that holds an older one and is due to get it from this
    /// coordinator; otherwise empty.
    fn document_for(&mut self, now: Duration, inbox: SocketAddr, poll: &wire::NewsAsk) -> Vec<u8> {
        let is_gateway = !poll.callers.is_empty();
        let behind = is_gateway && poll.version < self.committed.version;
        let overdue = behind && self.peers.lag.needs_help(now, inbox, poll.version);
        if !behind {
            self.peers.lag.clear(inbox);
        }
        // A gateway without a document only accepts one that is known to be the newest.
        let accepts = poll.version > 0 || self.current;
        match behind && accepts && (overdue || self.is_assigned(inbox)) {
            true => self.committed.document.clone(),
            false => Vec::new(),
        }
    }

    /// Records the demand that a gateway reports; returns the sum over all gateways for the answer.
    fn record_demand(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        poll: &wire::NewsAsk,
    ) -> Option<wire::Demand> {
        let is_gateway = !poll.callers.is_empty();
        let raw = poll.demand.clone().filter(|_| is_gateway)?;
        let ReceivedDemand { demand, invalid } = raw.into();
        metrics::counter!("demand_invalid_total").increment(invalid);
        self.peers.demand.record(now, inbox, demand);
        // The coordinators that send a gateway its registrations also send it the demand.
        (!poll.brief).then(|| (&self.peers.demand_sum).into())
    }

    /// Merges registrations from another coordinator; documents arrive through the log only.
    pub(crate) fn on_update(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        incarnation: u64,
        update: wire::News,
    ) {
        self.record_coordinators(&update.coordinators);
        let peer = self.peers.by_inbox.entry(inbox).or_default();
        peer.unanswered = 0;
        // Pushes from there have no cursors: they do not say up to where anything is known.
        if update.mark > 0 || update.cases_mark > 0 {
            peer.known.on_answer(AnswerRange {
                incarnation,
                after: update.after,
                cursor: update.mark,
                case_cursor: update.cases_mark,
            });
        }
        self.merge_cases(now, inbox, update.cases);
        for raw in update.changed {
            self.merge_registration(now, raw);
        }
        for contact in update.contacts {
            self.merge_contact(now, inbox, &contact.into());
        }
    }

    /// Merges a contact that another coordinator reports; if its start is not known here, requests it.
    fn merge_contact(&mut self, now: Duration, inbox: SocketAddr, contact: &Contact) {
        match self.registry.record_contact(now, contact) {
            ContactEffect::Known => {}
            ContactEffect::Revived => {
                self.publish_change(&contact.id, Change::Updated, Source::Coordinator);
            }
            ContactEffect::Unknown => self.request_registration(inbox, 0, &contact.id),
        }
    }

    /// Backend servers about which the others are asked with this poll.
    fn take_doubted(&mut self, now: Duration) -> Vec<wire::ServerStart> {
        if now < self.peers.doubted_due {
            return Vec::new();
        }
        self.peers.doubted_due = now + DOUBT_INTERVAL;
        let start = |id| wire::ServerStart { id, began: 0 };
        self.registry.doubted(now).into_iter().map(start).collect()
    }

    /// Polls every other coordinator for updates, and evicts expired gateways and registrations.
    pub(crate) fn poll_peers(&mut self, now: Duration) {
        if now < self.peers.due {
            return;
        }
        self.peers.due = now + POLL_INTERVAL;
        let doubted = self.take_doubted(now);
        for inbox in self.others() {
            let peer = self.peers.by_inbox.entry(inbox).or_default();
            let lost = peer.unanswered >= MAX_UNANSWERED;
            if lost && peer.unanswered.is_multiple_of(MAX_UNANSWERED) {
                self.net.disconnect(inbox);
            }
            if peer.unanswered == MAX_UNANSWERED {
                let fields = json!({ "peer": inbox, "unanswered": peer.unanswered });
                self.lines.put("peer_lost", fields);
            }
            peer.unanswered += 1;
            let poll = wire::NewsAsk {
                source: peer.known.incarnation,
                mark: peer.known.cursor,
                cases: peer.known.case_cursor,
                unheard: lost,
                doubted: doubted.clone(),
                ..wire::NewsAsk::default()
            };
            self.net.send(inbox, Body::NewsAsk(poll));
        }
        for gone in self.directory.evict_expired(now) {
            self.net.disconnect(gone);
            self.peers.lag.clear(gone);
            self.subscribers.remove(gone);
            self.lines.put("gateway_lost", json!({ "inbox": gone }));
        }
        let forgotten = self.registry.evict_expired(now, self.current);
        if !forgotten.is_empty() {
            let fields = json!({ "count": forgotten.len(), "ids": forgotten });
            self.lines.put("backend_servers_forgotten", fields);
        }
    }
}

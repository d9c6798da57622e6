//! Telling gateways and other coordinators what is new, and hearing it from the latter.
//!
//! News is pushed at a change and asked for again and again, so that a lost push costs
//! half a second at most. A link may go silent without a reset, in one direction alone;
//! then asks stay unanswered, the asker opens its link anew and says so in its next ask,
//! and the other side opens its own anew.

use crate::announcements::Source;
use crate::core::Core;
use bn_directory::{Gateway, GatewaySelection};
use bn_registry::{Condition, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Registration};
use indexmap::IndexMap;
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Between two asks of one peer. Pushes carry what is urgent.
const ASK_GAP: Duration = Duration::from_millis(500);
/// A gateway that is still behind after this is told by any coordinator: below its gap between
/// two asks of the same one, so that the second is answered with the document, and below the two
/// seconds within which a document must be in force.
const HELP_AFTER: Duration = Duration::from_millis(600);
/// Time for which what every piece of news says is not worked out anew.
const STANDING: Duration = Duration::from_millis(200);
/// Asks without an answer after which the link is taken for dead: 1.5 s.
const SILENT_ASKS: u32 = 3;

/// Another coordinator, as far as news goes.
#[derive(Debug, Clone, Default)]
struct Peer {
    source: u64,
    mark: u64,
    cases: u64,
    unanswered: u32,
}

/// Which gateways are behind, at which version and since when.
#[derive(Debug, Clone, Default)]
pub struct Lag(IndexMap<SocketAddr, (u64, Duration)>);

impl Lag {
    /// Whether a gateway has been at this version for so long that any coordinator should
    /// help it. It counts from when the gateway fell behind: while documents come in
    /// quick succession, each of them is new, and help would never be due. One that knows
    /// none at all is helped at once.
    pub fn late(&mut self, now: Duration, gateway: SocketAddr, version: u64) -> bool {
        let (known, since) = self.0.entry(gateway).or_insert((version, now));
        if *known != version {
            (*known, *since) = (version, now);
        }
        version == 0 || now >= *since + HELP_AFTER
    }

    /// A gateway is not behind, or gone.
    pub fn clear(&mut self, gateway: SocketAddr) {
        self.0.swap_remove(&gateway);
    }
}

/// All other coordinators by inbox.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    rows: IndexMap<SocketAddr, Peer>,
    lag: Lag,
    due: Duration,
    /// Coordinators and number of gateways, as all news say them until then.
    standing: wire::News,
    /// Gateways that callers are sent to, the same way.
    named: GatewaySelection,
    standing_due: Duration,
}

impl Core {
    /// Inboxes of all other coordinators that this one knows of.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let members = self.quorum.members().values();
        let known = members.filter_map(|m| m.address.parse().ok());
        let mut all: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all.retain(|a| *a != self.inbox);
        all
    }

    /// Tells the document in force to the gateways that are this coordinator's to tell. One that has
    /// just started serves from then on, so it has to know which requests it must not send.
    pub(crate) fn push_document(&mut self) {
        let news = wire::News {
            document: self.settled.document.clone(),
            cases: self.cases.told_since(0, true),
            ..self.plain_news()
        };
        self.push_to_own(&news);
    }

    /// Tells something to the gateways that are this coordinator's to tell.
    pub(crate) fn push_to_own(&self, news: &wire::News) {
        for inbox in self.directory.inboxes().filter(|g| self.tells(*g)) {
            self.net.send(inbox, Body::News(news.clone()));
        }
    }

    /// Each gateway is told by one coordinator: all of them at once would send every
    /// document as often as there are coordinators. The others help out where a gateway
    /// still asks with an older version some time later.
    fn tells(&self, gateway: SocketAddr) -> bool {
        let mut all = self.others();
        all.push(self.inbox);
        all.sort_unstable();
        let IpAddr::V4(ip) = gateway.ip() else {
            return true;
        };
        let turn = u32::from(ip) as usize % all.len().max(1);
        all.get(turn) == Some(&self.inbox)
    }

    /// What every piece of news says. Who there is changes seldom, and some hundred asks a second
    /// are answered with it.
    pub(crate) fn plain_news(&mut self) -> wire::News {
        let now = self.now();
        if now >= self.peers.standing_due {
            self.peers.standing_due = now + STANDING;
            self.peers.named = self.directory.select(now);
            let others = self.others();
            let all = others.iter().chain([&self.inbox]);
            self.peers.standing = wire::News {
                coordinators: all.map(ToString::to_string).collect(),
                gateways: self.directory.sharing_count(now) as u32,
                ..wire::News::default()
            };
        }
        wire::News {
            version: self.settled.version,
            current: self.current,
            ..self.peers.standing.clone()
        }
    }

    pub(crate) fn on_news_ask(&mut self, now: Duration, inbox: SocketAddr, ask: &wire::NewsAsk) {
        if ask.unheard {
            self.net.disconnect(inbox);
        }
        if let Ok(callers) = ask.callers.parse() {
            let gateway = Gateway {
                callers,
                domain: ask.domain.clone(),
                ready: ask.ready,
                rate: ask.rate,
            };
            let stops = !gateway.ready;
            self.directory.update(now, inbox, gateway);
            if stops {
                // Callers must not be sent there any more.
                self.peers.standing_due = now;
            }
        }
        let (mark, known) = match ask.source == self.net.incarnation() {
            true => (ask.mark, ask.cases),
            false => (0, 0),
        };
        let is_gateway = !ask.callers.is_empty();
        let behind = is_gateway && ask.version < self.settled.version;
        let late = behind && self.peers.lag.late(now, inbox, ask.version);
        if !behind {
            self.peers.lag.clear(inbox);
        }
        // One that holds none takes only what is known to be the newest.
        let takes = ask.version > 0 || self.current;
        let document = match behind && takes && (late || self.tells(inbox)) {
            true => self.settled.document.clone(),
            false => Vec::new(),
        };
        let changed = match ask.brief {
            true => Vec::new(),
            false => self.registry.changed_since(mark),
        };
        match (is_gateway, ask.brief) {
            (true, true) => self.subscribers.drop(inbox),
            (true, false) => self.subscribers.told(inbox, self.registry.cursor()),
            (false, _) => {}
        }
        let plain = self.plain_news();
        let named = match is_gateway && ask.named != self.peers.named.checksum() {
            true => self.peers.named.gateways(),
            false => &[],
        };
        let news = wire::News {
            document,
            named: named.iter().map(Into::into).collect(),
            mark: if ask.brief { 0 } else { self.registry.cursor() },
            after: mark,
            changed: changed.iter().map(Registration::from).collect(),
            cases: self.cases.told_since(known, is_gateway),
            cases_mark: self.cases.table.cursor(),
            ..plain
        };
        self.net.send(inbox, Body::News(news));
    }

    /// Registrations from another coordinator; documents come by the log alone.
    pub(crate) fn on_news(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        incarnation: u64,
        news: wire::News,
    ) {
        self.note_coordinators(&news.coordinators);
        let peer = self.peers.rows.entry(inbox).or_default();
        peer.unanswered = 0;
        // A push has no mark: it says nothing of how far registrations are known.
        if news.mark > 0 {
            if peer.source != incarnation {
                // Another start counts its changes anew.
                peer.cases = 0;
            }
            peer.source = incarnation;
            peer.mark = news.mark;
        }
        if news.cases_mark > 0 {
            peer.cases = news.cases_mark;
        }
        self.take_cases(now, inbox, news.cases);
        for raw in news.changed {
            let Ok(record) = Record::try_from(raw) else {
                metrics::counter!("registrations_undecodable_total").increment(1);
                continue;
            };
            let id = record.id.clone();
            let gone = record.condition == Condition::Gone;
            let change = self.registry.merge(now, record);
            // Departures go on at once: the coordinator that was told of it may be cut
            // off from gateways that this one reaches.
            if gone {
                self.spread(&id, change, Source::Coordinator);
            }
        }
    }

    /// Asks every other coordinator for news, and drops what is too old.
    pub(crate) fn ask_peers(&mut self, now: Duration) {
        if now < self.peers.due {
            return;
        }
        self.peers.due = now + ASK_GAP;
        for inbox in self.others() {
            let peer = self.peers.rows.entry(inbox).or_default();
            let unheard = peer.unanswered >= SILENT_ASKS;
            if unheard && peer.unanswered.is_multiple_of(SILENT_ASKS) {
                self.net.disconnect(inbox);
            }
            if peer.unanswered == SILENT_ASKS {
                let fields = json!({ "peer": inbox, "unanswered": peer.unanswered });
                self.lines.put("peer_lost", fields);
            }
            peer.unanswered += 1;
            let ask = wire::NewsAsk {
                source: peer.source,
                mark: peer.mark,
                cases: peer.cases,
                unheard,
                ..wire::NewsAsk::default()
            };
            self.net.send(inbox, Body::NewsAsk(ask));
        }
        for gone in self.directory.evict_expired(now) {
            self.net.disconnect(gone);
            self.peers.lag.clear(gone);
            self.subscribers.drop(gone);
            self.lines.put("gateway_lost", json!({ "inbox": gone }));
        }
        let forgotten = self.registry.evict_expired(now);
        if forgotten > 0 {
            self.lines
                .put("backend_servers_forgotten", json!({ "count": forgotten }));
        }
    }
}

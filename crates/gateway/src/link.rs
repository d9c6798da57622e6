//! News from the coordinators: the document in force and the backend servers.
//!
//! Every coordinator is asked again and again; what any of them tells is taken if it is
//! newer. A gateway that reaches none goes on with what it holds.

use crate::shared::Shared;
use bn_net::Net;
use bn_registry::{Condition, Record};
use bn_route::Server;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Envelope};
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Between two asks of one coordinator: also how often it hears that this gateway lives.
const ASK_GAP: Duration = Duration::from_millis(400);
/// Asks without an answer after which a link is taken for dead: 1.2 s.
const SILENT_ASKS: u32 = 3;

/// What a coordinator told last.
#[derive(Debug, Clone, Default)]
struct Source {
    incarnation: u64,
    mark: u64,
    unanswered: u32,
}

/// This gateway's end of the links.
pub(crate) struct Link {
    pub(crate) shared: Shared,
    pub(crate) net: Net,
    pub(crate) callers: SocketAddr,
    pub(crate) domain: String,
    pub(crate) seeds: Vec<SocketAddr>,
    sources: IndexMap<SocketAddr, Source>,
    registered: IndexMap<String, Record>,
}

impl Link {
    pub(crate) fn new(
        shared: Shared,
        net: Net,
        callers: SocketAddr,
        domain: String,
        seeds: Vec<SocketAddr>,
    ) -> Link {
        Link {
            shared,
            net,
            callers,
            domain,
            seeds,
            sources: IndexMap::new(),
            registered: IndexMap::new(),
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Envelope>) {
        let mut due = tokio::time::interval(ASK_GAP);
        due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut closing = self.shared.closing.subscribe();
        loop {
            tokio::select! {
                Some(message) = inbox.recv() => self.take(message),
                _ = due.tick() => self.ask_all(),
                // A gateway that stops is told at once, so that no caller is sent here.
                Ok(()) = closing.changed() => self.ask_all(),
            }
        }
    }

    fn ask_all(&mut self) {
        let now = self.shared.now();
        self.shared.pool.sweep(now);
        for seed in self.seeds.clone() {
            self.sources.entry(seed).or_default();
        }
        let version = self.shared.plan().map_or(0, |p| p.version());
        let ready = self.shared.is_ready();
        for (inbox, source) in &mut self.sources {
            let unheard = source.unanswered >= SILENT_ASKS;
            if unheard && source.unanswered.is_multiple_of(SILENT_ASKS) {
                self.net.forget(*inbox);
            }
            if source.unanswered == SILENT_ASKS {
                let lost = json!({ "coordinator": inbox, "version": version });
                self.shared.lines.put("coordinator_lost", lost);
            }
            source.unanswered += 1;
            let ask = wire::NewsAsk {
                callers: self.callers.to_string(),
                domain: self.domain.clone(),
                ready,
                version,
                source: source.incarnation,
                mark: source.mark,
                unheard,
            };
            self.net.send(*inbox, Body::NewsAsk(ask));
        }
    }

    fn take(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        let Some(Body::News(news)) = envelope.body else {
            return;
        };
        let source = self.sources.entry(inbox).or_default();
        if source.unanswered > SILENT_ASKS {
            let fields = json!({ "coordinator": inbox, "version": news.version });
            self.shared.lines.put("coordinator_regained", fields);
        }
        source.unanswered = 0;
        if news.mark > 0 || news.changed.is_empty() {
            source.incarnation = envelope.incarnation;
            source.mark = news.mark;
        }
        self.follow(&news.coordinators);
        self.adopt(&news);
        for raw in news.changed {
            match Record::try_from(raw) {
                Ok(record) => self.register(record),
                Err(e) => log::warn!("a registration from {inbox}: {e}"),
            }
        }
        let mut state = self.shared.state();
        state.gateways = news.gateways.max(1);
        state.fleet.peers = state.gateways - 1;
    }

    /// Coordinators that are no longer named are asked no more, seeds excepted.
    fn follow(&mut self, named: &[String]) {
        let named: Vec<SocketAddr> = named.iter().filter_map(|a| a.parse().ok()).collect();
        let seeds = &self.seeds;
        let silent = |s: &Source| s.unanswered > 4 * SILENT_ASKS;
        self.sources
            .retain(|a, s| named.contains(a) || seeds.contains(a) || !silent(s));
        for inbox in named {
            self.sources.entry(inbox).or_default();
        }
    }

    fn adopt(&self, news: &wire::News) {
        let held = self.shared.plan().map_or(0, |p| p.version());
        if news.document.is_empty() || news.version <= held {
            return;
        }
        let document = match bn_wire::unpack(&news.document) {
            Ok(document) => document,
            Err(e) => return log::error!("document {}: {e}", news.version),
        };
        match bn_platform::plan(&document) {
            Ok(plan) => {
                let fields = json!({ "version": plan.version(), "before": held });
                self.shared.lines.put("document_in_force", fields);
                self.shared.state().plan = Some(std::sync::Arc::new(plan));
            }
            // Coordinators check before they settle, so this is a fault of ours.
            Err(e) => log::error!("document {} does not hold: {e}", news.version),
        }
    }

    fn register(&mut self, record: Record) {
        let known = self.registered.get(&record.id);
        let Some(record) = known.map_or(Some(record.clone()), |held| record.over(held)) else {
            return;
        };
        let again = known.is_some_and(|held| held.began != record.began);
        let mut state = self.shared.state();
        if again {
            // It holds and knows nothing of before: its load, its failures and connections to it
            // are of the earlier start.
            state.fleet.remove(&record.id);
        }
        match (record.condition, record.address) {
            (Condition::Gone, _) | (_, None) => state.fleet.remove(&record.id),
            (condition, Some(address)) => {
                let (id, service) = (&record.id, &record.service);
                let mut server = Server::new(id, service, address, &record.domain, record.slots);
                server.began = record.began;
                server.join(&record.group);
                server.leaving = condition == Condition::Draining;
                state.fleet.put(server);
            }
        }
        drop(state);
        if let Some(address) = record.address.filter(|_| again) {
            self.shared.pool.forget(address);
        }
        self.shared.room.notify_waiters();
        let fields = json!({
            "id": record.id, "service": record.service, "address": record.address,
            "condition": format!("{:?}", record.condition), "sequence": record.sequence,
            "began": record.began, "group": record.group,
        });
        self.shared.lines.put("backend_server", fields);
        self.registered.insert(record.id.clone(), record);
    }
}

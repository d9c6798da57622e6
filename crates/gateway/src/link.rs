//! News from the coordinators: the document in force and the backend servers.
//!
//! Every coordinator is asked in turn, again and again; what any of them tells is taken if it is
//! newer. A gateway that reaches none goes on with what it holds.

use crate::asked;
use crate::shared::Shared;
use crate::sources::{Sources, Telling};
use crate::suspects::Report;
use bn_backpressure::GatewaySet;
use bn_directory::{GatewaySelection, SelectedGateway};
use bn_net::{Net, UsageReporter};
use bn_quarantine::{CaseUpdate, Digest};
use bn_registry::{Condition, Record};
use bn_route::Server;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Envelope};
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time over which the rate of requests is a mean: some seconds, so that chance is not told.
const RATE_OVER: Duration = Duration::from_secs(5);
/// FillController of a sound backend server, and of one whose pace is not known.
const SOUND: u32 = 100;
/// Requests a second below which a gateway counts as one without any.
const LEAST_RATE: f64 = 0.05;

/// Requests taken in a second, of late.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    taken: u64,
    at: Duration,
    mean: f64,
}

impl Rate {
    /// Takes in how many requests there were until now; the rate, at least 1 where there are any.
    fn note(&mut self, now: Duration, taken: u64) -> u32 {
        let time = now.saturating_sub(self.at).as_secs_f64();
        if time > 0.0 {
            let fresh = (taken - self.taken) as f64 / time;
            let weight = 1.0 - (-time / RATE_OVER.as_secs_f64()).exp();
            self.mean += weight * (fresh - self.mean);
            (self.taken, self.at) = (taken, now);
        }
        // What is far below one request a second has faded.
        (self.mean - LEAST_RATE).ceil().max(0.0) as u32
    }
}

/// This gateway's end of the links.
pub(crate) struct Link {
    pub(crate) shared: Shared,
    pub(crate) net: Net,
    pub(crate) callers: SocketAddr,
    pub(crate) domain: String,
    pub(crate) sources: Sources,
    /// What coordinators were told last of whether callers may be sent here.
    told_ready: bool,
    registered: IndexMap<String, Record>,
    rate: Rate,
    usage: UsageReporter,
    /// Most messages that waited since the last line of usage.
    longest: usize,
    /// Suspects that wait for the leader's word, by call.
    pub(crate) asked: IndexMap<u64, (Digest, oneshot::Sender<bool>)>,
    pub(crate) calls: u64,
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
            sources: Sources::new(seeds, rand::random_range(0..1 << 16)),
            told_ready: false,
            registered: IndexMap::new(),
            rate: Rate::default(),
            usage: UsageReporter::default(),
            longest: 0,
            asked: IndexMap::new(),
            calls: 0,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Envelope>,
        mut reports: mpsc::Receiver<Report>,
    ) {
        let mut closing = self.shared.closing.subscribe();
        let due = tokio::time::sleep(Duration::ZERO);
        let mut due = std::pin::pin!(due);
        loop {
            tokio::select! {
                Some(message) = inbox.recv() => {
                    self.longest = self.longest.max(inbox.len() + 1);
                    self.take(message);
                }
                Some(report) = reports.recv() => self.report(report),
                () = due.as_mut() => {
                    self.ask_next();
                    self.note_usage(inbox.len());
                    due.as_mut().reset(tokio::time::Instant::now() + self.sources.gap());
                }
                // A gateway that stops is told at once, so that no caller is sent here.
                Ok(()) = closing.changed() => self.ask_all(),
            }
            // All are told at once, too, when callers may be sent here from now on.
            if self.shared.is_ready() != self.told_ready {
                self.ask_all();
            }
        }
    }

    fn note_usage(&mut self, waiting: usize) {
        let longest = &mut self.longest;
        let queues = || json!({ "inbox": waiting, "inbox_longest": std::mem::take(longest) });
        let now = self.shared.now();
        self.usage
            .report_if_due(now, &self.net, &self.shared.lines, queues);
    }

    fn ask_next(&mut self) {
        let now = self.shared.now();
        self.shared.pool.evict_expired(now);
        let held = self.shared.state().fleet.throttled_count(now);
        metrics::gauge!("backend_servers_held").set(held as f64);
        self.tell_limits();
        if let Some(inbox) = self.sources.turn() {
            self.ask(inbox);
        }
    }

    /// Tells coordinators of limits that their registrations don't say.
    fn tell_limits(&self) {
        let now = self.shared.now();
        let limits = self.shared.state().fleet.limits_to_report(now);
        if limits.is_empty() {
            return;
        }
        let limits = limits.into_iter().map(Into::into).collect();
        let body = Body::LimitsHeard(wire::LimitsHeard { limits });
        for inbox in self.sources.all() {
            self.net.send(inbox, body.clone());
        }
    }

    fn ask_all(&mut self) {
        self.told_ready = self.shared.is_ready();
        for inbox in self.sources.all() {
            self.ask(inbox);
        }
    }

    fn ask(&mut self, inbox: SocketAddr) {
        let version = self.shared.plan().map_or(0, |p| p.version());
        let position = self.sources.asked(inbox);
        if position.reopen {
            self.net.disconnect(inbox);
        }
        if position.lost {
            let lost = json!({ "coordinator": inbox, "version": version });
            self.shared.lines.put("coordinator_lost", lost);
        }
        let ask = wire::NewsAsk {
            callers: self.callers.to_string(),
            domain: self.domain.clone(),
            ready: self.shared.is_ready(),
            version,
            source: position.incarnation,
            mark: position.mark,
            cases: position.cases,
            unheard: position.unheard,
            rate: self.rate.note(self.shared.now(), self.shared.taken()),
            named: self.shared.state().named.checksum(),
            brief: position.brief,
        };
        self.net.send(inbox, Body::NewsAsk(ask));
    }

    fn take(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        let news = match envelope.body {
            Some(Body::News(news)) => news,
            Some(Body::TrialAnswer(answer)) => return self.take_word(&answer),
            _ => return,
        };
        let telling = Telling {
            incarnation: envelope.incarnation,
            mark: news.mark,
            after: news.after,
        };
        let heard = self.sources.heard(inbox, telling);
        if heard.gap {
            metrics::counter!("news_gaps_total").increment(1);
            let fields = json!({ "coordinator": inbox, "after": news.after, "mark": news.mark });
            self.shared.lines.put("news_gap", fields);
        }
        if heard.regained {
            let fields = json!({ "coordinator": inbox, "version": news.version });
            self.shared.lines.put("coordinator_regained", fields);
        }
        let named = news.coordinators.iter().filter_map(|a| a.parse().ok());
        self.sources.follow(&named.collect::<Vec<_>>());
        self.adopt(inbox, &news);
        self.follow_choice(news.named);
        for raw in news.changed {
            match Record::try_from(raw) {
                Ok(record) => self.register(record, inbox),
                Err(e) => log::warn!("a registration from {inbox}: {e}"),
            }
        }
        for raw in news.cases {
            match CaseUpdate::try_from(raw) {
                Ok(told) => self.learn(&told),
                Err(e) => log::warn!("a case from {inbox}: {e}"),
            }
        }
        self.sources.told_cases(inbox, news.cases_mark);
        for start in news.ended {
            self.learn_end(&start.into());
        }
        let mut state = self.shared.state();
        state.gateways = news.gateways.max(1);
        state.fleet.peers = state.gateways - 1;
    }

    /// Takes a newer document. One that has just started takes its first only from a coordinator that
    /// knows what is settled: others hold what was on their disks, which may be any number of versions
    /// old, and routes and keys that were taken away since would be served again.
    fn adopt(&self, inbox: SocketAddr, news: &wire::News) {
        let held = self.shared.plan().map_or(0, |p| p.version());
        if news.document.is_empty() || news.version <= held {
            return;
        }
        if held == 0 && !news.current {
            let fields = json!({ "version": news.version, "coordinator": inbox });
            return self.shared.lines.put("document_not_taken", fields);
        }
        let document = match bn_wire::decompress(&news.document) {
            Ok(document) => document,
            Err(e) => return log::error!("document {}: {e}", news.version),
        };
        match bn_platform::parse_document(&document) {
            Ok(plan) => {
                let fields = json!({ "version": plan.version(), "before": held });
                self.shared.lines.put("document_in_force", fields);
                self.shared.state().plan = Some(std::sync::Arc::new(plan));
            }
            // Coordinators check before they settle, so this is a fault of ours.
            Err(e) => log::error!("document {} does not hold: {e}", news.version),
        }
    }

    /// Takes the coordinators' choice of gateways that callers are sent to.
    fn follow_choice(&self, named: Vec<wire::NamedGateway>) {
        if named.is_empty() {
            return;
        }
        let named: Result<Vec<_>, _> = named.into_iter().map(SelectedGateway::try_from).collect();
        match named {
            Ok(named) => {
                let named = GatewaySelection::new(named);
                let fields =
                    json!({ "gateways": named.gateways().len(), "mark": named.checksum() });
                self.shared.lines.put("gateways_named", fields);
                let share = GatewaySet {
                    own: Some(self.callers),
                    gateways: named.gateways().iter().map(|g| g.callers).collect(),
                };
                let now = self.shared.now();
                let mut state = self.shared.state();
                state.fleet.set_gateways(now, share, rand::random);
                state.named = named;
            }
            Err(e) => log::warn!("a choice of gateways: {e}"),
        }
    }

    /// `source` is the coordinator that tells it.
    fn register(&mut self, record: Record, source: SocketAddr) {
        let known = self.registered.get(&record.id);
        let Some(record) = known.map_or(Some(record.clone()), |held| record.merged_over(held))
        else {
            return;
        };
        let again = known.is_some_and(|held| held.start_time != record.start_time);
        if again || known.is_none() {
            self.note_ends(&record);
        }
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
                server.start_time = record.start_time;
                server.join_group(&record.group);
                server.leaving = condition == Condition::Draining;
                server.slowdown = f64::from(record.slowdown.max(SOUND)) / f64::from(SOUND);
                state.fleet.upsert(server);
            }
        }
        drop(state);
        asked::learn(&self.shared, &record, source);
        if let Some(address) = record.address.filter(|_| again) {
            self.shared.pool.close_idle(address);
        }
        self.shared.room.notify_waiters();
        let fields = json!({
            "id": record.id, "service": record.service, "address": record.address,
            "condition": format!("{:?}", record.condition), "sequence": record.sequence,
            "began": record.start_time, "group": record.group, "pace": record.slowdown,
            "limit": record.limit.rate, "turn": record.limit.version,
        });
        self.shared.lines.put("backend_server", fields);
        self.registered.insert(record.id.clone(), record);
    }
}

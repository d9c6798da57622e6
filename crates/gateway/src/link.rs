//! Updates from the coordinators: the document in force and the backend servers.
//!
//! Every coordinator is polled in turn, again and again; an update from any of them is applied if
//! it is newer. A gateway that reaches no coordinator continues with its current state.

use crate::feedback::{self, ColdAllowance};
use crate::registrations::Registrations;
use crate::shared::Shared;
use crate::sources::{Sources, UpdateRange};
use crate::suspects::Report;
use crate::urgency;
use bn_backpressure::GatewaySet;
use bn_directory::{GatewaySelection, SelectedGateway};
use bn_evacuation::Evacuations;
use bn_net::{Net, UsageReporter};
use bn_quarantine::{CaseUpdate, Digest};
use bn_registry::SharedRecord;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Envelope};
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Time over which the request rate is averaged: some seconds, so that noise is not reported.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Minimum interval between two reports of the work of accounts to one coordinator: below the age at
/// which coordinators forget them.
const ACCOUNTS_INTERVAL: Duration = Duration::from_millis(1_400);
/// Requests per second below which a gateway counts as receiving none.
const MIN_RATE: f64 = 0.05;

/// Recent rate of accepted requests per second.
#[derive(Debug, Clone, Copy, Default)]
struct RequestRate {
    accepted: u64,
    measured_at: Duration,
    mean: f64,
}

impl RequestRate {
    /// Takes the number of requests accepted until now; the rate is at least 1 if there are any.
    fn update(&mut self, now: Duration, accepted: u64) -> u32 {
        let time = now.saturating_sub(self.measured_at).as_secs_f64();
        if time > 0.0 {
            let current = (accepted - self.accepted) as f64 / time;
            let weight = 1.0 - (-time / RATE_WINDOW.as_secs_f64()).exp();
            self.mean += weight * (current - self.mean);
            (self.accepted, self.measured_at) = (accepted, now);
        }
        // Rates far below one request per second count as zero.
        (self.mean - MIN_RATE).ceil().max(0.0) as u32
    }
}

/// This gateway's connections to the coordinators.
pub(crate) struct Link {
    pub(crate) shared: Shared,
    pub(crate) net: Net,
    pub(crate) callers: SocketAddr,
    pub(crate) domain: String,
    pub(crate) sources: Sources,
    cold_allowance: ColdAllowance,
    /// Last readiness reported to coordinators: whether callers may be sent here.
    reported_ready: bool,
    pub(crate) registrations: Registrations,
    /// Evacuations in force here; none until they are known.
    evacuations: Option<Evacuations>,
    rate: RequestRate,
    /// When the work of accounts was last reported, by coordinator.
    accounts_sent: IndexMap<SocketAddr, Duration>,
    usage: UsageReporter,
    /// Maximum inbox length since the last usage event.
    max_inbox: usize,
    /// When the last update of a coordinator was received.
    heard_at: Duration,
    /// Suspects that wait for the leader's trial answer, by call number.
    pub(crate) pending_trials: IndexMap<u64, (Vec<Digest>, oneshot::Sender<bool>)>,
    pub(crate) last_call: u64,
}

impl Link {
    pub(crate) fn new(
        shared: Shared,
        net: Net,
        callers: SocketAddr,
        domain: String,
        seeds: Vec<SocketAddr>,
        cold_allowance: ColdAllowance,
    ) -> Link {
        Link {
            shared,
            net,
            callers,
            domain,
            cold_allowance,
            sources: Sources::new(seeds, rand::random_range(0..1 << 16)),
            reported_ready: false,
            registrations: Registrations::default(),
            evacuations: None,
            rate: RequestRate::default(),
            accounts_sent: IndexMap::new(),
            usage: UsageReporter::default(),
            max_inbox: 0,
            heard_at: Duration::ZERO,
            pending_trials: IndexMap::new(),
            last_call: 0,
        }
    }

    /// Runs until the process exits.
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
                    self.max_inbox = self.max_inbox.max(inbox.len() + 1);
                    self.on_message(message);
                }
                Some(report) = reports.recv() => self.report(report),
                () = due.as_mut() => {
                    self.poll_next();
                    self.report_usage(inbox.len());
                    due.as_mut().reset(tokio::time::Instant::now() + self.sources.poll_interval());
                }
                // A stop is reported at once, so that no more callers are sent here.
                Ok(()) = closing.changed() => self.poll_all(),
            }
            // All coordinators are also notified at once when callers may be sent here from now on.
            if self.shared.is_ready() != self.reported_ready {
                self.poll_all();
            }
        }
    }

    fn report_usage(&mut self, inbox_length: usize) {
        let max_inbox = &mut self.max_inbox;
        let queues =
            || json!({ "inbox": inbox_length, "inbox_longest": std::mem::take(max_inbox) });
        let now = self.shared.now();
        self.usage
            .report_if_due(now, &self.net, &self.shared.lines, queues);
    }

    fn poll_next(&mut self) {
        let now = self.shared.now();
        self.shared.pool.evict_expired(now);
        self.evict_registrations(now);
        let throttled = self.shared.state().fleet.throttled_count(now);
        metrics::gauge!("backend_servers_held").set(throttled as f64);
        let cold = self.shared.state().fleet.cold_count(now);
        metrics::gauge!("backend_servers_cold").set(cold as f64);
        self.shared.state().asks.on_poll(now, self.heard_at);
        self.report_limits();
        if let Some(inbox) = self.sources.next_poll() {
            self.poll(inbox);
        }
    }

    /// Reports to coordinators the limits that their registrations do not contain.
    fn report_limits(&self) {
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

    fn poll_all(&mut self) {
        self.reported_ready = self.shared.is_ready();
        for inbox in self.sources.all() {
            self.poll(inbox);
        }
    }

    fn poll(&mut self, inbox: SocketAddr) {
        let version = self.shared.document().map_or(0, |d| d.version());
        let poll = self.sources.on_poll(inbox);
        if poll.reopen {
            self.net.disconnect(inbox);
        }
        if poll.lost {
            let lost = json!({ "coordinator": inbox, "version": version });
            self.shared.lines.put("coordinator_lost", lost);
        }
        let with_accounts = self.accounts_due(inbox);
        // Computed first: the expression below keeps the state locked, and this locks it, too.
        let demand = urgency::local_demand(&self.shared, with_accounts);
        let request = wire::NewsAsk {
            callers: self.callers.to_string(),
            domain: self.domain.clone(),
            ready: self.shared.is_ready(),
            version,
            source: poll.incarnation,
            mark: poll.cursor,
            cases: poll.case_cursor,
            unheard: poll.unanswered,
            rate: self.rate.update(self.shared.now(), self.shared.accepted()),
            named: self.shared.state().selection.checksum(),
            brief: poll.omit_registrations,
            demand,
            evacuations: self.evacuations.as_ref().map(|e| e.revision),
            doubted: Vec::new(),
        };
        self.net.send(inbox, Body::NewsAsk(request));
    }

    /// Whether the work of accounts is reported to a coordinator with this poll: with every second
    /// one, since it changes slowly and takes most of the message.
    fn accounts_due(&mut self, inbox: SocketAddr) -> bool {
        let now = self.shared.now();
        // Addresses of former coordinators would otherwise stay.
        self.accounts_sent
            .retain(|_, sent_at| now < *sent_at + ACCOUNTS_INTERVAL);
        let due = !self.accounts_sent.contains_key(&inbox);
        if due {
            self.accounts_sent.insert(inbox, now);
        }
        due
    }

    fn on_message(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        let mut update = match envelope.body {
            Some(Body::News(update)) => update,
            Some(Body::TrialAnswer(answer)) => return self.on_trial_answer(&answer),
            Some(Body::RegistrationAsk(request)) => {
                return self.answer_registration(inbox, &request);
            }
            _ => return,
        };
        self.heard_at = self.shared.now();
        let range = UpdateRange {
            incarnation: envelope.incarnation,
            cursor: update.mark,
            after: update.after,
        };
        let receipt = self.sources.on_update(inbox, range);
        if receipt.gap {
            metrics::counter!("news_gaps_total").increment(1);
            let fields =
                json!({ "coordinator": inbox, "after": update.after, "mark": update.mark });
            self.shared.lines.put("news_gap", fields);
        }
        if receipt.regained {
            let fields = json!({ "coordinator": inbox, "version": update.version });
            self.shared.lines.put("coordinator_regained", fields);
        }
        if let Some(demand) = update.demand.take() {
            urgency::merge_demand(&self.shared, demand);
        }
        let members = update.coordinators.iter().filter_map(|a| a.parse().ok());
        self.sources.set_members(&members.collect::<Vec<_>>());
        self.set_gateway_count(update.gateways);
        self.adopt_evacuations(inbox, &update);
        self.adopt_document(inbox, &update);
        self.update_selection(update.named);
        if update.mark > 0 && update.after == 0 {
            let listed = update.changed.iter().map(|r| r.id.clone()).collect();
            let now = self.shared.now();
            self.registrations.record_full_list(now, inbox, &listed);
        }
        for raw in update.changed {
            match SharedRecord::try_from(raw) {
                Ok(shared) => self.on_registration(shared, inbox),
                Err(e) => log::warn!("invalid registration from {inbox}: {e}"),
            }
        }
        for raw in update.cases {
            match CaseUpdate::try_from(raw) {
                Ok(case) => self.merge_case(&case),
                Err(e) => log::warn!("invalid case update from {inbox}: {e}"),
            }
        }
        self.sources.set_case_cursor(inbox, update.cases_mark);
        for start in update.ended {
            self.on_remote_termination(&start.into());
        }
    }

    fn set_gateway_count(&self, count: u32) {
        let count = count.max(1);
        let mut state = self.shared.state();
        state.gateway_count = count;
        state.fleet.peers = count - 1;
        state.fleet.set_running(count);
    }

    /// Applies later evacuations. A document without them comes from a coordinator of an earlier
    /// version, whose log contains none.
    fn adopt_evacuations(&mut self, inbox: SocketAddr, update: &wire::News) {
        let received = match &update.evacuations {
            Some(raw) => raw.clone(),
            None if !update.document.is_empty() => wire::Evacuations::default(),
            None => return,
        };
        let received = match Evacuations::try_from(received) {
            Ok(received) => received,
            Err(e) => return log::error!("invalid evacuations from {inbox}: {e}"),
        };
        let known = self.evacuations.as_ref();
        if known.is_some_and(|known| received.revision <= known.revision) {
            return;
        }
        let domains: Vec<_> = received.domains.keys().collect();
        let fields = json!({
            "revision": received.revision, "domains": domains, "coordinator": inbox,
        });
        self.shared.lines.put("evacuations_in_force", fields);
        metrics::gauge!("evacuated_domains").set(received.domains.len() as f64);
        let returned = known.into_iter().flat_map(|known| known.domains.keys());
        let returned = returned.filter(|d| !received.domains.contains_key(*d));
        let now = self.shared.now();
        let mut state = self.shared.state();
        state
            .fleet
            .set_evacuated(received.domains.keys().cloned().collect());
        for domain in returned {
            // Backend servers may have become cold while they got no requests.
            state.fleet.assume_cold(now, domain, rand::random::<f64>);
        }
        drop(state);
        feedback::log_cold_changes(&self.shared);
        self.evacuations = Some(received);
        // Queued requests whose service has no other backend servers are refused at once.
        self.shared.capacity_freed.notify_waiters();
    }

    /// Applies a newer document. A gateway that has just started accepts its first one only from a
    /// coordinator that knows the settled configuration: others hold what was on their disks, which
    /// may be any number of versions old, and routes and keys removed since then would be served
    /// again.
    fn adopt_document(&self, inbox: SocketAddr, update: &wire::News) {
        let in_force = self.shared.document().map_or(0, |d| d.version());
        if update.document.is_empty() || update.version <= in_force {
            return;
        }
        if self.evacuations.is_none() {
            return;
        }
        if in_force == 0 && !update.current {
            let fields = json!({ "version": update.version, "coordinator": inbox });
            return self.shared.lines.put("document_not_taken", fields);
        }
        let json = match bn_wire::decompress(&update.document) {
            Ok(json) => json,
            Err(e) => return log::error!("cannot decompress document {}: {e}", update.version),
        };
        match bn_platform::parse_document(&json) {
            Ok(document) => {
                let fields = json!({ "version": document.version(), "before": in_force });
                self.shared.lines.put("document_in_force", fields);
                let terms = feedback::cold_terms(&document, self.cold_allowance);
                let now = self.shared.now();
                let mut state = self.shared.state();
                state.fleet.set_cold_terms(now, terms, rand::random);
                state.update_ranked_services(&document);
                state.document = Some(std::sync::Arc::new(document));
                drop(state);
                feedback::log_cold_changes(&self.shared);
            }
            // Coordinators validate a document before they settle it, so this is a bug.
            Err(e) => log::error!("document {} is invalid: {e}", update.version),
        }
    }

    /// Applies the coordinators' selection of gateways that callers are sent to.
    fn update_selection(&self, named: Vec<wire::NamedGateway>) {
        if named.is_empty() {
            return;
        }
        let named: Result<Vec<_>, _> = named.into_iter().map(SelectedGateway::try_from).collect();
        match named {
            Ok(named) => {
                let selection = GatewaySelection::new(named);
                let fields =
                    json!({ "gateways": selection.gateways().len(), "mark": selection.checksum() });
                self.shared.lines.put("gateways_named", fields);
                let gateway_set = GatewaySet {
                    own: Some(self.callers),
                    gateways: selection.gateways().iter().map(|g| g.callers).collect(),
                    ..GatewaySet::default()
                };
                let now = self.shared.now();
                let mut state = self.shared.state();
                state.fleet.set_gateways(now, gateway_set, rand::random);
                state.selection = selection;
            }
            Err(e) => log::warn!("invalid selection of gateways: {e}"),
        }
    }
}

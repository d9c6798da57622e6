//! The agent role: a proxy in front of one backend server. It receives the server's announcements,
//! controls which requests reach it, and reports its load to entries.

mod announce;
mod engine;
mod orders;
mod report;

pub(crate) use announce::announce_page;

use crate::Result;
use crate::run::Common;
use announce::Announcement;
use bn_backpressure::{Backpressure, Feedback, GatewaySet};
use bn_claim::{FULL, Gate, RunKey};
use bn_conf::Agent as Conf;
use bn_group::{Order, OrderKind, RankGate};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::finish::Kind;
use bn_wire::messages::switch_order::Kind as OrderWire;
use bn_wire::messages::{Dispatch, Envelope, Finish, SwitchOrder};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use indexmap::IndexMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const MAX_BATCH: usize = 256;
/// Time without an announcement after which no requests are sent to the backend server; also the
/// time without an answer after which an entry is reported to less often.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Events handled by the agent thread.
pub(crate) enum Event {
    /// An announcement of the backend server.
    Announced(Box<Announcement>),
    /// A message from an entry or from the control leader.
    Message(Box<Envelope>),
    /// Feedback in the response head of the backend server.
    ResponseHead(Feedback),
    /// A request completed.
    RequestEnded(RunKey),
    /// Start a graceful shutdown.
    Stop,
}

/// Status whose change triggers an immediate rank report: the leader, the fencing token, and the
/// expert map versions that the engine has loaded and knows.
type RankStatus = (Option<SocketAddr>, u64, u64, u64);

/// An entry that this agent reports to.
#[derive(Default)]
struct EntryLink {
    next_report: Duration,
    last_contact: Option<Duration>,
    /// Whether it has the profile of this incarnation.
    has_profile: bool,
}

/// State of the agent role.
pub(crate) struct Agent {
    common: Common,
    channel: Sender<Event>,
    seeds: Vec<SocketAddr>,
    entries: IndexMap<SocketAddr, EntryLink>,
    backend: Option<Announcement>,
    announced_at: Duration,
    gate: Gate,
    /// Backpressure that the backend server requests from its only sender, this agent.
    backpressure: Backpressure,
    /// Whether the backend server accepted requests at the last report to entries.
    reported_open: bool,
    /// Group state of the engine.
    rank: RankGate,
    orders: Sender<orders::EngineCommand>,
    /// Inbox of the control leader.
    leader: Option<SocketAddr>,
    /// Digest of the assigned list of entries.
    entries_digest: u32,
    /// Revision of the assigned list of entries.
    entries_revision: u64,
    /// Time and content of the last rank report to the leader.
    last_rank_report: (Duration, RankStatus),
    /// Running requests, each with its cancellation flag.
    running: HashMap<RunKey, Arc<AtomicBool>>,
    /// Number of running requests, which their threads report.
    running_count: Arc<AtomicU32>,
    stopping: bool,
}

impl Agent {
    pub(crate) fn new(common: Common, conf: &Conf, channel: Sender<Event>) -> Agent {
        Agent {
            channel,
            seeds: conf.entries.clone(),
            entries: conf
                .entries
                .iter()
                .map(|a| (*a, EntryLink::default()))
                .collect(),
            backend: None,
            announced_at: Duration::ZERO,
            gate: Gate::default(),
            backpressure: Backpressure::default(),
            reported_open: true,
            rank: RankGate::new(common.net.incarnation()),
            orders: orders::start(common.events.clone()),
            common,
            leader: None,
            entries_digest: 0,
            entries_revision: 0,
            last_rank_report: (Duration::ZERO, RankStatus::default()),
            running: HashMap::new(),
            running_count: Arc::default(),
            stopping: false,
        }
    }

    /// Runs until a graceful shutdown is complete.
    pub(crate) fn run(mut self, channel: &Receiver<Event>) -> Result<()> {
        loop {
            match channel.recv_timeout(TICK) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for event in channel.try_iter().take(MAX_BATCH) {
                self.handle(event);
            }
            // A change is reported at once, so that entries use other backend servers meanwhile.
            let open = self.accepts_requests(self.now());
            let changed = std::mem::replace(&mut self.reported_open, open) != open;
            self.report(changed);
            if self.stopping && self.running.is_empty() {
                self.report(true);
                return Ok(());
            }
        }
    }

    fn now(&self) -> Duration {
        self.common.clock.now()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announced(a) => self.on_announcement(*a),
            Event::Message(envelope) => self.on_message(*envelope),
            Event::ResponseHead(feedback) => self.on_feedback(&feedback),
            Event::RequestEnded(key) => {
                self.running.remove(&key);
                self.running_count
                    .store(self.running.len() as u32, Ordering::Relaxed);
            }
            Event::Stop => {
                self.stopping = true;
                self.gate.leaving = true;
                self.common
                    .events
                    .note("leaving", "no new work from now on");
                self.report(true);
            }
        }
    }

    fn on_feedback(&mut self, feedback: &Feedback) {
        let now = self.now();
        let name = self.backend.as_ref().map(|b| b.name.clone());
        let draw = rand::random();
        let backpressure = &mut self.backpressure;
        let changed = backpressure.on_response(
            now,
            &name.unwrap_or_default(),
            feedback,
            &GatewaySet::default(),
            draw,
        );
        if changed.is_some() {
            let backoff = feedback.directives.backoff.unwrap_or_default();
            let detail = format!(
                "the backend server wants {} ms of rest",
                backoff.as_millis()
            );
            self.common.events.note("rest", detail);
        }
    }

    /// Whether the backend server accepts a request now, according to its feedback.
    fn accepts_requests(&self, now: Duration) -> bool {
        self.backpressure.may_send(now)
    }

    fn on_announcement(&mut self, announcement: Announcement) {
        let now = self.now();
        let new_backend = self
            .backend
            .as_ref()
            .is_none_or(|b| b.address != announcement.address);
        if new_backend {
            // A different backend server, which has not requested any backpressure yet.
            self.backpressure = Backpressure::default();
            let detail = format!("{} at {}", announcement.name, announcement.address);
            self.common.events.note("announced", detail);
        }
        let changed = self
            .backend
            .as_ref()
            .is_none_or(|b| b.leaving != announcement.leaving);
        if let Some(s) = &announcement.steps {
            self.rank
                .on_announcement(s.next, s.granted, s.version, s.prepared);
        }
        self.gate.backend_leaving = announcement.leaving;
        self.gate.capacity = announcement.capacity;
        self.backend = Some(announcement);
        self.announced_at = now;
        if new_backend || changed {
            self.entries
                .values_mut()
                .for_each(|e| e.has_profile = false);
            self.report(true);
        }
        self.report_rank();
    }

    fn on_message(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        match envelope.body {
            Some(Body::AgentLease(lease)) => self.on_lease(inbox, &lease),
            Some(Body::Dispatch(d)) => self.on_dispatch(inbox, envelope.incarnation, d),
            Some(Body::SwitchOrder(order)) => self.on_order(order),
            Some(Body::Cancel(c)) => {
                let key = (envelope.incarnation, c.attempt);
                self.gate.cancel(key);
                if let Some(flag) = self.running.get(&key) {
                    flag.store(true, Ordering::Relaxed);
                }
            }
            _ => {}
        }
    }

    fn on_dispatch(&mut self, inbox: SocketAddr, incarnation: u64, dispatch: Dispatch) {
        let now = self.now();
        let key = (incarnation, dispatch.attempt);
        let current = dispatch.agent == self.common.net.incarnation();
        let present = now < self.announced_at + MAX_SILENCE;
        let backend = self.backend.as_ref().filter(|_| present);
        let refusal = match backend {
            None => Some("the backend server is not there"),
            Some(_) if !current => Some("meant for an earlier start of this agent"),
            Some(_) if !self.backpressure.may_send(now) => Some("the backend server wants rest"),
            Some(_) => {
                let not_after = Duration::from_millis(dispatch.not_after_ms);
                self.gate.refusal(now, key, not_after, self.running.len())
            }
        };
        if let Some(reason) = refusal {
            metrics::counter!("gate_refused", "reason" => reason).increment(1);
            return self.reject(inbox, dispatch.attempt, reason);
        }
        let Some(backend) = backend else { return };
        self.backpressure.on_sent(now);
        let flag = Arc::new(AtomicBool::new(false));
        self.running.insert(key, flag.clone());
        self.running_count
            .store(self.running.len() as u32, Ordering::Relaxed);
        let call = engine::BackendCall {
            net: self.common.net.clone(),
            channel: self.channel.clone(),
            base_url: format!("http://{}", backend.address),
            entry: inbox,
            key,
            dispatch,
            cancelled: flag,
            clock: self.common.clock,
            running: self.running_count.clone(),
        };
        std::thread::spawn(move || call.run());
    }

    /// Forwards an order to the engine if it comes from the latest known leader.
    fn on_order(&mut self, raw: SwitchOrder) {
        let Some(engine) = self.backend.as_ref().map(|b| b.address) else {
            return;
        };
        let Some(order) = from_wire(raw) else { return };
        if let Err(refusal) = self.rank.admit(&order) {
            metrics::counter!("orders_refused").increment(1);
            return log::warn!("order to the engine refused: {refusal}");
        }
        if self
            .orders
            .try_send(orders::EngineCommand { engine, order })
            .is_err()
        {
            metrics::counter!("orders_dropped").increment(1);
        }
    }

    fn reject(&self, inbox: SocketAddr, attempt: u64, reason: &str) {
        let finish = Finish {
            attempt,
            kind: Kind::NotRun.into(),
            length: 0,
            reason: reason.into(),
            running: self.running.len() as u32,
            full: reason == FULL,
        };
        self.common.net.send(inbox, Body::Finish(finish));
    }
}

fn from_wire(raw: SwitchOrder) -> Option<Order> {
    let kind = match raw.kind() {
        OrderWire::Prepare => OrderKind::Prepare {
            version: raw.version,
            map: raw.map,
        },
        OrderWire::Grant => {
            let SwitchOrder {
                version,
                from,
                until,
                map,
                ..
            } = raw;
            OrderKind::Grant {
                version,
                from,
                until,
                map,
            }
        }
        OrderWire::Unspecified => return None,
    };
    Some(Order {
        fence: raw.fence,
        incarnation: raw.incarnation,
        kind,
    })
}

//! The agent role: stands before one backend server, takes its announcements, gates
//! what reaches it, and reports its load to entries.

mod announce;
mod engine;
mod orders;

pub(crate) use announce::announce_page;

use crate::Result;
use crate::clock::ms;
use crate::entry::digest_of;
use crate::run::Common;
use announce::{Announcement, Load};
use bn_claim::{Gate, RunKey};
use bn_conf::Agent as Conf;
use bn_group::{Order, OrderKind, Rank};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::finish::Kind;
use bn_wire::messages::switch_order::Kind as OrderWire;
use bn_wire::messages::{
    AgentLease, Attach, Dispatch, Envelope, Finish, Profile, SwitchOrder, SwitchReport,
};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use indexmap::{IndexMap, IndexSet};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const GROUP: usize = 256;
/// After so long without any entry's answer the list of entries is in doubt.
const LOST: Duration = Duration::from_secs(10);
/// Between two reports to each entry.
const REPORT: Duration = Duration::from_secs(1);
/// A backend server that has not announced itself for this long is not served.
const SILENCE: Duration = Duration::from_secs(3);
/// Entries that never answer are asked this often, so that they cost little.
const SEEK: Duration = Duration::from_secs(2);
/// Between two reports of a rank, unless something changed.
const RANK_REPORT: Duration = Duration::from_secs(1);

/// What the agent thread is told.
pub(crate) enum Event {
    /// The backend server announces itself.
    Announced(Box<Announcement>),
    /// A message of an entry.
    Message(Box<Envelope>),
    /// A request ended.
    Ended(RunKey),
    /// Begin a graceful stop.
    Stop,
}

/// One entry this agent reports to.
#[derive(Default)]
struct Attached {
    due: Duration,
    heard: Option<Duration>,
    /// It has the profile of this start.
    knows: bool,
}

/// The agent role's state.
pub(crate) struct Agent {
    common: Common,
    ring: Sender<Event>,
    seeds: Vec<SocketAddr>,
    entries: IndexMap<SocketAddr, Attached>,
    backend: Option<Announcement>,
    announced: Duration,
    gate: Gate,
    /// The engine's place in its group.
    rank: Rank,
    orders: Sender<orders::Errand>,
    /// Where the control leader listens.
    leader: Option<SocketAddr>,
    /// Digest of the entries it was told to report to.
    entries_digest: u32,
    /// Revision of the list of entries it follows.
    followed: u64,
    /// When the leader was last told of the rank, and what.
    rank_told: (Duration, u64, u64),
    /// Requests that run, each with its flag of being cancelled.
    running: HashMap<RunKey, Arc<AtomicBool>>,
    stopping: bool,
}

impl Agent {
    pub(crate) fn new(common: Common, conf: &Conf, ring: Sender<Event>) -> Agent {
        Agent {
            ring,
            seeds: conf.entries.clone(),
            entries: conf
                .entries
                .iter()
                .map(|a| (*a, Attached::default()))
                .collect(),
            backend: None,
            announced: Duration::ZERO,
            gate: Gate::default(),
            rank: Rank::new(common.net.incarnation()),
            orders: orders::start(common.events.clone()),
            common,
            leader: None,
            entries_digest: 0,
            followed: 0,
            rank_told: (Duration::ZERO, 0, 0),
            running: HashMap::new(),
            stopping: false,
        }
    }

    /// Runs until a graceful stop is complete.
    pub(crate) fn run(mut self, ring: &Receiver<Event>) -> Result<()> {
        loop {
            match ring.recv_timeout(TICK) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for event in ring.try_iter().take(GROUP) {
                self.take(event);
            }
            self.report(false);
            if self.stopping && self.running.is_empty() {
                self.report(true);
                return Ok(());
            }
        }
    }

    fn now(&self) -> Duration {
        self.common.clock.now()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Announced(a) => self.on_announcement(*a),
            Event::Message(envelope) => self.message(*envelope),
            Event::Ended(key) => {
                self.running.remove(&key);
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

    fn on_announcement(&mut self, announcement: Announcement) {
        let now = self.now();
        let first = self
            .backend
            .as_ref()
            .is_none_or(|b| b.address != announcement.address);
        if first {
            let detail = format!("{} at {}", announcement.name, announcement.address);
            self.common.events.note("announced", detail);
        }
        let changed = self
            .backend
            .as_ref()
            .is_none_or(|b| b.leaving != announcement.leaving);
        if let Some(s) = &announcement.steps {
            self.rank
                .announced(s.next, s.granted, s.version, s.prepared);
        }
        self.gate.backend_leaving = announcement.leaving;
        self.gate.capacity = announcement.capacity;
        self.backend = Some(announcement);
        self.announced = now;
        if first || changed {
            self.entries.values_mut().for_each(|e| e.knows = false);
            self.report(true);
        }
        self.report_rank();
    }

    fn message(&mut self, envelope: Envelope) {
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

    fn on_lease(&mut self, inbox: SocketAddr, lease: &AgentLease) {
        let now = self.now();
        if let Some(entry) = self.entries.get_mut(&inbox) {
            entry.heard = Some(now);
            entry.knows = !lease.unknown;
        }
        if lease.unknown {
            return self.report(true);
        }
        let until = Duration::from_millis(lease.agent_ms + lease.lease_ms);
        let before = (self.gate.drained, self.gate.leased(now));
        self.gate
            .lease(until, lease.fence, lease.revision, lease.drained);
        if self.gate.drained != before.0 {
            self.common
                .events
                .note("drain", format!("drained: {}", self.gate.drained));
        }
        if before != (self.gate.drained, self.gate.leased(now)) {
            self.report(true);
        }
        self.rank.learn(lease.fence);
        self.leader = lease.leader.parse().ok().or(self.leader);
        self.follow_entries(lease);
    }

    /// Reports to the entries it is told. An entry that lags behind must not pull it
    /// back to an older list.
    fn follow_entries(&mut self, lease: &AgentLease) {
        let wanted: IndexSet<SocketAddr> = lease
            .entries
            .iter()
            .filter_map(|a| a.parse().ok())
            .collect();
        if wanted.is_empty() || lease.revision < self.followed {
            return;
        }
        self.followed = lease.revision;
        self.entries_digest = digest_of(&lease.entries);
        for address in &wanted {
            self.entries.entry(*address).or_default();
        }
        self.entries.retain(|a, _| wanted.contains(a));
    }

    /// Where every entry it knows has been silent for long, the list may be out of
    /// date: it turns to the entries of its settings again.
    fn return_to_seeds(&mut self, now: Duration) {
        let latest = self
            .entries
            .values()
            .filter_map(|e| e.heard)
            .max()
            .unwrap_or_default();
        if now > latest + LOST {
            for seed in &self.seeds {
                self.entries.entry(*seed).or_default();
            }
        }
    }

    fn on_dispatch(&mut self, inbox: SocketAddr, incarnation: u64, dispatch: Dispatch) {
        let now = self.now();
        let key = (incarnation, dispatch.attempt);
        let fresh = dispatch.agent == self.common.net.incarnation();
        let present = now < self.announced + SILENCE;
        let backend = self.backend.as_ref().filter(|_| present);
        let refusal = match backend {
            None => Some("the backend server is not there"),
            Some(_) if !fresh => Some("meant for an earlier start of this agent"),
            Some(_) => {
                let not_after = Duration::from_millis(dispatch.not_after_ms);
                self.gate.refusal(now, key, not_after, self.running.len())
            }
        };
        if let Some(reason) = refusal {
            metrics::counter!("gate_refused", "reason" => reason).increment(1);
            return self.turn_away(inbox, dispatch.attempt, reason);
        }
        let Some(backend) = backend else { return };
        let flag = Arc::new(AtomicBool::new(false));
        self.running.insert(key, flag.clone());
        let work = engine::Work {
            net: self.common.net.clone(),
            ring: self.ring.clone(),
            base: format!("http://{}", backend.address),
            entry: inbox,
            key,
            dispatch,
            cancelled: flag,
        };
        std::thread::spawn(move || work.run());
    }

    /// Tells the leader where the engine stands. After an announcement only, so that
    /// the leader hears nothing of an engine that is gone.
    fn report_rank(&mut self) {
        let now = self.now();
        let (at, prepared, version) = self.rank_told;
        let r = self.rank.report();
        let same = (prepared, version) == (r.prepared, r.version);
        if same && now < at + RANK_REPORT {
            return;
        }
        self.rank_told = (now, r.prepared, r.version);
        let Some(backend) = self.backend.as_ref().filter(|b| b.steps.is_some()) else {
            return;
        };
        let r = self.rank.report();
        let report = SwitchReport {
            group: backend.group.clone(),
            rank: backend.rank,
            fence: r.fence,
            next: r.next,
            granted: r.granted,
            version: r.version,
            prepared: r.prepared,
        };
        if let Some(leader) = self.leader {
            self.common.net.send(leader, Body::SwitchReport(report));
        }
    }

    /// Passes an order on to the engine, if it is one of the latest leader known.
    fn on_order(&mut self, raw: SwitchOrder) {
        let Some(engine) = self.backend.as_ref().map(|b| b.address) else {
            return;
        };
        let Some(order) = order_in(raw) else { return };
        if let Err(refusal) = self.rank.order(&order) {
            metrics::counter!("orders_refused").increment(1);
            return log::warn!("order refused: {refusal}");
        }
        if self
            .orders
            .try_send(orders::Errand { engine, order })
            .is_err()
        {
            metrics::counter!("orders_dropped").increment(1);
        }
    }

    fn turn_away(&self, inbox: SocketAddr, attempt: u64, reason: &str) {
        let finish = Finish {
            attempt,
            kind: Kind::NotRun.into(),
            length: 0,
            reason: reason.into(),
            running: self.running.len() as u32,
        };
        self.common.net.send(inbox, Body::Finish(finish));
    }

    /// Tells each entry that is due, or every entry, how things stand.
    fn report(&mut self, all: bool) {
        let now = self.now();
        self.return_to_seeds(now);
        let Some(backend) = &self.backend else { return };
        let due: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| all || now >= e.due)
            .map(|(a, _)| *a)
            .collect();
        if due.is_empty() {
            return;
        }
        let attach = self.attach(now, &backend.load);
        let profile = self.profile(backend);
        for address in due {
            let Some(entry) = self.entries.get_mut(&address) else {
                continue;
            };
            let answers = entry.heard.is_some_and(|at| now < at + SILENCE);
            entry.due = now + if answers { REPORT } else { SEEK };
            let mut attach = attach.clone();
            attach.profile = (!entry.knows).then(|| profile.clone());
            self.common.net.send(address, Body::Attach(attach));
        }
    }

    fn attach(&self, now: Duration, load: &Load) -> Attach {
        Attach {
            agent_ms: ms(now),
            running: self.running.len() as u32,
            queued: 0,
            tokens: load.tokens,
            leaving: self.gate.leaves(),
            // Without a lease it would turn everything away.
            healthy: now < self.announced + SILENCE && self.gate.leased(now),
            report_age_ms: 0,
            entries: self.entries_digest,
            profile: None,
        }
    }

    fn profile(&self, backend: &Announcement) -> Profile {
        Profile {
            name: backend.name.clone(),
            service: backend.service.clone(),
            group: backend.group.clone(),
            rank: backend.rank,
            domain: self.common.domain.clone(),
            capacity: backend.capacity,
            fences: backend.fences,
            resumes: backend.resumes,
        }
    }
}

fn order_in(raw: SwitchOrder) -> Option<Order> {
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

//! The thread that owns the log, the settled document and the registrations.

use crate::durable::{first_members, restored};
use crate::ring::{Event, Inlet, Ring, ring};
use crate::settled::{Settled, decode};
use crate::subscribers::Subscribers;
use crate::supervise::{Opening, supervise};
use crate::{
    CallsSnafu, ListenSnafu, Result, cases, groups, http, news, reads, relays, settling, tell,
};
use bn_conf::{Coordinator as Conf, Settings};
use bn_directory::Directory;
use bn_engine::EngineClient;
use bn_net::{Net, Usage};
use bn_quorum::{
    Entry, Membership, Message, Output, Payload, Replica, ReplicaConfig, Role, Timing,
};
use bn_registry::Registry;
use bn_store::{Disk, Store};
use bn_trace::Lines;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Envelope, Role as ProcessRole};
use indexmap::IndexSet;
use serde_json::json;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Longest wait for an event: the precision of heartbeats and elections.
const TICK: Duration = Duration::from_millis(20);
/// Events taken before one write: group commit.
const GROUP: usize = 256;
/// Time for which events that may wait are taken before the thread turns to consensus again: a
/// sixth of the time between heartbeats.
const TURN: Duration = Duration::from_millis(20);
/// For how long what a leader said counts as the newest: a leader that lost its majority steps down
/// within this time, and whoever is cut off gives no document to gateways that hold none.
const CURRENT: Duration = Duration::from_millis(900);

/// A turn of the thread that takes so long was held up: half of a gateway's time between two asks.
const HELD_UP: Duration = Duration::from_millis(400);

/// All state of a coordinator.
pub(crate) struct Core {
    pub(crate) net: Net,
    pub(crate) lines: Lines,
    start: Instant,
    pub(crate) inbox: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) quorum: Replica,
    pub(crate) store: Store,
    pub(crate) settled: Settled,
    pub(crate) applied: u64,
    pub(crate) logged_bytes: usize,
    pub(crate) registry: Registry,
    /// Services that the document of that version names.
    pub(crate) services: (u64, IndexSet<String>),
    pub(crate) directory: Directory,
    pub(crate) peers: news::Peers,
    pub(crate) untold: tell::Untold,
    pub(crate) subscribers: Subscribers,
    pub(crate) waits: settling::Waits,
    pub(crate) reads: reads::Reads,
    pub(crate) members: Membership,
    /// Coordinators that others named.
    pub(crate) heard_of: IndexSet<SocketAddr>,
    pub(crate) groups: groups::Groups,
    pub(crate) cases: cases::Cases,
    pub(crate) calls: EngineClient,
    pub(crate) relays: relays::Relays,
    pub(crate) ring: Ring,
    usage: Usage,
    role: Role,
    /// It knew all that was settled when that was last looked at.
    pub(crate) current: bool,
    /// It voted when that was last looked at.
    pub(crate) voting: Option<bool>,
    calls_made: u64,
}

/// Starts a coordinator; its thread ends at [`Event::Stop`] or when its disk fails.
pub fn start(
    settings: &Settings,
    conf: &Conf,
    lines: Lines,
) -> Result<(Ring, std::thread::JoinHandle<Result<()>>)> {
    let (ring, events) = ring();
    let sink = ring.clone();
    let id = settings.inbox.ip().to_string();
    let put = move |e| sink.put(Event::Message(Box::new(e)));
    let net = Net::begin(
        ProcessRole::Coordinator,
        &id,
        settings.inbox,
        settings.listen,
        put,
    )?;
    let opening = Opening {
        inbox: settings.inbox,
        start: Instant::now(),
        conf: conf.clone(),
        net,
        lines,
        calls: EngineClient::start().context(CallsSnafu)?,
        ring: ring.clone(),
    };
    let core = Core::open(&opening)?;
    for address in [Some(conf.control), conf.directory].into_iter().flatten() {
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        http::serve(listener, ring.clone()).context(ListenSnafu { address })?;
    }
    let thread = std::thread::spawn(move || supervise(core, &opening, &events));
    Ok((ring, thread))
}

impl Core {
    pub(crate) fn open(opening: &Opening) -> Result<Core> {
        let Opening {
            inbox, conf, lines, ..
        } = opening;
        let fresh = rand::random::<u64>() | 1;
        let (mut store, mut loaded) = Store::open(&conf.data_dir, fresh, Disk::default())?;
        let identity = loaded.identity;
        let empty = loaded.snapshot.is_none() && loaded.entries.is_empty();
        let seeds = inboxes(&conf.seeds, inbox.port());
        if empty && conf.first_start {
            // The first voters must outlast a restart, at which the settings no longer
            // say that the system is new: else a restarted voter would know nobody.
            let first = first_members(&seeds);
            store.snapshot(&(&first).into(), Vec::new())?;
            loaded.snapshot = Some((&first).into());
        }
        lines.put(
            "data_opened",
            json!({
                "identity": format!("{identity:016x}"), "empty": empty, "first": conf.first_start,
                "entries": loaded.entries.len(), "torn_bytes": loaded.cut_bytes,
            }),
        );
        let restored = restored(loaded)?;
        let (settled, applied) = match &restored.snapshot {
            Some(s) => (decode(&s.state)?, s.index),
            None => (Settled::default(), 0),
        };
        let setup = ReplicaConfig {
            id: inbox.ip().to_string(),
            identity,
            initial_members: Default::default(),
            timing: Timing::NO_LEASE,
            seed: rand::random(),
        };
        let start = opening.start;
        let quorum = Replica::new(setup, restored, start.elapsed());
        Ok(Core {
            role: quorum.role(),
            current: false,
            voting: None,
            calls_made: 0,
            net: opening.net.clone(),
            lines: lines.clone(),
            start,
            inbox: *inbox,
            seeds,
            quorum,
            store,
            settled,
            applied,
            logged_bytes: 0,
            registry: Registry::default(),
            services: Default::default(),
            directory: Directory::default(),
            peers: Default::default(),
            untold: Default::default(),
            subscribers: Default::default(),
            waits: Default::default(),
            reads: Default::default(),
            heard_of: IndexSet::new(),
            members: Membership::new(&inbox.to_string(), conf.max_losses as usize),
            groups: Default::default(),
            cases: cases::Cases::open(&conf.data_dir),
            calls: opening.calls.clone(),
            relays: Default::default(),
            ring: opening.ring.clone(),
            usage: Usage::default(),
        })
    }

    /// Takes over what is not on disk from the core before it.
    pub(crate) fn inherit(&mut self, before: Core) {
        self.registry = before.registry;
        self.directory = before.directory;
        self.cases.inherit(self.now(), before.cases);
        self.seeds = before.seeds;
        self.heard_of = before.heard_of;
    }

    pub(crate) fn run(&mut self, inlet: &Inlet) -> Result<()> {
        let mut turned = self.now();
        loop {
            inlet.wait(TICK);
            if self.now() > turned + HELD_UP {
                self.directory.resume(self.now());
            }
            turned = self.now();
            for event in std::iter::from_fn(|| inlet.first()).take(GROUP) {
                match event {
                    Event::Stop => return Ok(()),
                    event => self.take(event),
                }
            }
            self.take_rest(inlet);
            let now = self.now();
            self.quorum.tick(now);
            self.flush()?;
            self.note_role();
            self.note_current(now);
            self.keep_cases(now);
            self.answer_reads(now);
            self.press_settling(now);
            self.keep_members(now);
            self.ask_peers(now);
            self.tell_changes(now);
            self.steer_groups(now);
            self.flush()?;
            self.usage
                .note(now, &self.net, &self.lines, || inlet.waiting());
        }
    }

    /// Events that may wait, for a short time.
    fn take_rest(&mut self, inlet: &Inlet) {
        let until = self.now() + TURN;
        let events = std::iter::from_fn(|| inlet.rest());
        for event in events.take(GROUP) {
            self.take(event);
            if self.now() >= until {
                return;
            }
        }
    }

    /// Number of a call to another coordinator. Numbers begin at a random one: an answer
    /// to a call of an earlier start may arrive late, and would otherwise be taken for
    /// the answer to a new call, and acknowledge what was never settled.
    pub(crate) fn next_call(&mut self) -> u64 {
        self.calls_made += 1;
        self.net.incarnation().wrapping_add(self.calls_made)
    }

    /// Time since this process started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Message(m) => self.take_message(now, *m),
            Event::Announce(record, done) => self.on_announce(now, record, done),
            Event::Leave(id, done) => self.on_leave(now, &id, done),
            Event::Settle(plan, document, done) => self.on_settle(now, &plan, document, done),
            Event::Read(done) => self.on_read(now, done),
            Event::Cases(done) => answered(done.send(self.show_cases())),
            Event::Limits(done) => answered(done.send(self.show_limits())),
            Event::Members(done) => answered(done.send(self.show_members())),
            Event::Pardon(digest, done) => {
                answered(done.send(self.pardon(now, digest)));
            }
            Event::Resolve(domain, done) => {
                answered(done.send(self.directory.select(now).addresses(&domain)));
            }
            Event::Called(group, call, reply) => self.on_called(now, &group, call, reply),
            Event::Seeds(seeds) => {
                self.seeds = inboxes(&seeds, self.inbox.port());
                self.lines
                    .put("seeds_changed", json!({ "seeds": self.seeds }));
            }
            Event::Stop => {}
        }
    }

    fn take_message(&mut self, now: Duration, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        match envelope.body {
            Some(Body::Quorum(m)) => {
                if let Ok(message) = Message::try_from(m) {
                    self.quorum.receive(now, &envelope.from, message);
                }
            }
            Some(Body::NewsAsk(ask)) => self.on_news_ask(now, inbox, &ask),
            Some(Body::News(news)) => self.on_news(now, inbox, envelope.incarnation, news),
            Some(Body::DocumentAsk(ask)) => self.on_document_ask(now, inbox, ask),
            Some(Body::DocumentAnswer(answer)) => self.on_document_answer(&answer),
            Some(Body::ReadAsk(ask)) => self.on_read_ask(now, inbox, &ask),
            Some(Body::ReadAnswer(answer)) => self.on_read_answer(&answer),
            Some(Body::JoinAsk(ask)) => self.on_join_ask(inbox, &ask),
            Some(Body::Ended(ended)) => self.on_ended(now, inbox, ended),
            Some(Body::TrialAsk(ask)) => self.on_trial_ask(now, inbox, &ask),
            Some(Body::RunDone(done)) => self.on_run_done(now, inbox, &done),
            Some(Body::LimitsHeard(heard)) => self.on_limits(now, inbox, heard),
            Some(Body::EngineAnswers(answers)) => self.on_engine_answers(now, answers),
            _ => {}
        }
    }

    /// Stores, then sends, then applies, until nothing is left to do. A message that
    /// left before the sync could acknowledge what a crash then forgets.
    pub(crate) fn flush(&mut self) -> Result<()> {
        let before = self.settled.version;
        self.flush_all()?;
        // Once, with the newest: after a start the whole log is applied, and gateways would be
        // told every document of it.
        if self.settled.version > before {
            self.push_document();
        }
        Ok(())
    }

    fn flush_all(&mut self) -> Result<()> {
        loop {
            let out = self.quorum.take_output();
            if out == Output::default() {
                return Ok(());
            }
            self.persist(&out)?;
            for (to, message) in &out.messages {
                self.send_member(to, message);
            }
            for entry in out.committed {
                self.apply(entry);
            }
            self.compact()?;
        }
    }

    fn send_member(&self, to: &str, message: &Message) {
        let member = self.quorum.members().get(to);
        let known = member.and_then(|m| m.address.parse::<SocketAddr>().ok());
        // A leader may not be among the members that this replica knows yet.
        let port = self.inbox.port();
        let assumed = to.parse().ok().map(|ip| SocketAddr::new(ip, port));
        if let Some(address) = known.or(assumed) {
            self.net.send(address, Body::Quorum(message.into()));
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        match entry.payload {
            Payload::Empty => {}
            Payload::Members(m) => {
                let named = m
                    .iter()
                    .map(|(id, m)| json!({ "id": id, "voter": m.voter }));
                let named: Vec<_> = named.collect();
                self.lines
                    .put("members", json!({ "index": entry.index, "members": named }));
            }
            Payload::Command(bytes) => {
                self.logged_bytes += bytes.len();
                match decode(&bytes) {
                    Ok(settled) => self.adopt(settled),
                    // Every replica passes over it alike.
                    Err(e) => log::error!("entry {}: {e}", entry.index),
                }
            }
        }
    }

    /// Takes a committed document; an older one than is in force changes nothing.
    pub(crate) fn adopt(&mut self, settled: Settled) {
        let older = settled.version <= self.settled.version;
        self.lines.put(
            "document_committed",
            json!({
                "version": settled.version, "bytes": settled.document.len(),
                "index": self.applied, "in_force": !older,
            }),
        );
        if !older {
            self.settled = settled;
        }
        self.finish_settling();
    }

    /// Notes whether it knows all that was settled until [`CURRENT`] ago.
    fn note_current(&mut self, now: Duration) {
        let current = self.quorum.is_current(now, CURRENT);
        if current == self.current {
            return;
        }
        self.current = current;
        let fields = json!({
            "current": current, "version": self.settled.version,
            "leader": self.quorum.leader(), "term": self.quorum.term(),
        });
        self.lines.put("current", fields);
    }

    fn note_role(&mut self) {
        let role = self.quorum.role();
        if role == self.role {
            return;
        }
        self.role = role;
        let fields = json!({
            "role": format!("{role:?}"), "term": self.quorum.term(),
            "leader": self.quorum.leader(),
        });
        self.lines.put("role", fields);
    }
}

/// A peer that asked over HTTP may be gone by now; that changes nothing here.
pub(crate) fn answered<T>(sent: std::result::Result<(), T>) {
    if sent.is_err() {
        metrics::counter!("answers_unwanted_total").increment(1);
    }
}

/// Inboxes of coordinators, from any of their addresses: ports are the same everywhere.
fn inboxes(seeds: &[SocketAddr], port: u16) -> Vec<SocketAddr> {
    seeds
        .iter()
        .map(|s| SocketAddr::new(s.ip(), port))
        .collect()
}

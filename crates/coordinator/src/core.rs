//! The thread that owns the log, the committed document and the registrations.

use crate::departures::Departures;
use crate::document::{Command, VersionedDocument, decode, decode_state};
use crate::durable::{initial_members, restored};
use crate::events::{Event, EventReceiver, EventSender, event_queue};
use crate::subscribers::Subscribers;
use crate::supervise::{CoreArgs, supervise};
use crate::{
    CallsSnafu, ListenSnafu, Result, cases, evacuations, groups, http, proposals, pushes, reads,
    relays, updates,
};
use bn_conf::{Coordinator as Conf, Settings};
use bn_directory::Directory;
use bn_engine::EngineClient;
use bn_evacuation::Evacuations;
use bn_net::{Net, UsageReporter};
use bn_quorum::{
    Entry, Identity, MemberId, Membership, Message, Output, Payload, Replica, ReplicaConfig, Role,
    Timing,
};
use bn_registry::Registry;
use bn_store::{Disk, Store};
use bn_trace::Lines;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Envelope, Role as ProcessRole};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Longest wait for an event: the resolution of heartbeats and elections.
const TICK: Duration = Duration::from_millis(20);
/// Events handled before one write: group commit.
const COMMIT_BATCH: usize = 256;
/// Time for deferrable events before the thread returns to consensus: a sixth of the heartbeat
/// interval.
const DEFERRABLE_TIME: Duration = Duration::from_millis(20);
/// For how long what a leader sent counts as the newest: a leader that lost its majority steps down
/// within this time, and a coordinator that is cut off sends no document to gateways that lack one.
const CURRENT_WINDOW: Duration = Duration::from_millis(900);

/// An event loop iteration that took this long was delayed: half of a gateway's poll interval.
const STALL_TIME: Duration = Duration::from_millis(400);

/// State of a coordinator.
pub(crate) struct Core {
    pub(crate) net: Net,
    pub(crate) lines: Lines,
    start: Instant,
    pub(crate) inbox: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) quorum: Replica,
    pub(crate) store: Store,
    pub(crate) committed: VersionedDocument,
    /// Committed evacuations; independent of the document's version.
    pub(crate) evacuations: Evacuations,
    pub(crate) orders: evacuations::Orders,
    pub(crate) applied: u64,
    pub(crate) logged_bytes: usize,
    pub(crate) registry: Registry,
    pub(crate) departures: Departures,
    /// Services in the document, and the version of that document.
    pub(crate) services: (u64, IndexSet<String>),
    pub(crate) directory: Directory,
    pub(crate) peers: updates::Peers,
    pub(crate) pushes: pushes::PendingPushes,
    pub(crate) subscribers: Subscribers,
    pub(crate) proposals: proposals::Proposals,
    pub(crate) reads: reads::Reads,
    pub(crate) members: Membership,
    /// Coordinators that others reported.
    pub(crate) coordinators: IndexSet<SocketAddr>,
    pub(crate) groups: groups::Groups,
    pub(crate) cases: cases::Cases,
    pub(crate) calls: EngineClient,
    pub(crate) relays: relays::Relays,
    pub(crate) events: EventSender,
    usage: UsageReporter,
    role: Role,
    /// Whether all committed entries were known at the last check.
    pub(crate) current: bool,
    /// Since when this process is about to end.
    pub(crate) leaving_since: Option<Duration>,
    /// Voters known to be emptied at the last check, with the identity that is gone.
    pub(crate) lost: IndexMap<MemberId, Identity>,
    /// Whether this coordinator was a voter at the last check.
    pub(crate) voting: Option<bool>,
    calls_made: u64,
}

/// Starts a coordinator; its thread ends at [`Event::Stop`] or on an error other than the store's.
pub fn start(
    settings: &Settings,
    conf: &Conf,
    lines: Lines,
) -> Result<(EventSender, std::thread::JoinHandle<Result<()>>)> {
    let (events, receiver) = event_queue();
    let sender = events.clone();
    let id = settings.inbox.ip().to_string();
    let deliver = move |e| sender.send(Event::Message(Box::new(e)));
    let net = Net::start(
        ProcessRole::Coordinator,
        &id,
        settings.inbox,
        settings.listen,
        deliver,
    )?;
    let args = CoreArgs {
        inbox: settings.inbox,
        start: Instant::now(),
        conf: conf.clone(),
        net,
        lines,
        calls: EngineClient::start().context(CallsSnafu)?,
        events: events.clone(),
    };
    let core = Core::open(&args)?;
    for address in [Some(conf.control), conf.directory].into_iter().flatten() {
        let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
        http::serve(listener, events.clone()).context(ListenSnafu { address })?;
    }
    let thread = std::thread::spawn(move || supervise(core, &args, &receiver));
    Ok((events, thread))
}

impl Core {
    pub(crate) fn open(args: &CoreArgs) -> Result<Core> {
        let CoreArgs {
            inbox, conf, lines, ..
        } = args;
        let new_identity = rand::random::<u64>() | 1;
        let (mut store, mut loaded) = Store::open(&conf.data_dir, new_identity, Disk::default())?;
        let identity = loaded.identity;
        let empty = loaded.snapshot.is_none() && loaded.entries.is_empty();
        let seeds = inboxes(&conf.seeds, inbox.port());
        if empty && conf.first_start {
            // The initial voters must be on disk: after a restart the settings no longer say that
            // the system is new, and a restarted voter would know no other one.
            let initial = initial_members(&seeds, conf.max_losses);
            store.replace_snapshot(&(&initial).into(), Vec::new())?;
            loaded.snapshot = Some((&initial).into());
        }
        lines.put(
            "data_opened",
            json!({
                "identity": format!("{identity:016x}"), "empty": empty, "first": conf.first_start,
                "entries": loaded.entries.len(), "torn_bytes": loaded.truncated_bytes,
            }),
        );
        let restored = restored(loaded)?;
        let (committed, evacuations) = match &restored.snapshot {
            Some(s) => decode_state(&s.state)?,
            None => Default::default(),
        };
        let applied = restored.snapshot.as_ref().map_or(0, |s| s.index);
        let config = ReplicaConfig {
            id: inbox.ip().to_string(),
            identity,
            initial_members: Default::default(),
            timing: Timing::NO_LEASE,
            seed: rand::random(),
        };
        let start = args.start;
        let quorum = Replica::new(config, restored, start.elapsed());
        let core = Core {
            role: quorum.role(),
            current: false,
            leaving_since: None,
            lost: IndexMap::new(),
            voting: None,
            calls_made: 0,
            net: args.net.clone(),
            lines: lines.clone(),
            start,
            inbox: *inbox,
            seeds,
            quorum,
            store,
            committed,
            evacuations,
            orders: evacuations::Orders::new(start.elapsed()),
            applied,
            logged_bytes: 0,
            registry: Registry::default(),
            departures: Default::default(),
            services: Default::default(),
            directory: Directory::default(),
            peers: Default::default(),
            pushes: Default::default(),
            subscribers: Default::default(),
            proposals: Default::default(),
            reads: Default::default(),
            coordinators: IndexSet::new(),
            members: Membership::new(&inbox.to_string(), conf.max_losses as usize),
            groups: Default::default(),
            cases: cases::Cases::open(&conf.data_dir),
            calls: args.calls.clone(),
            relays: Default::default(),
            events: args.events.clone(),
            usage: UsageReporter::default(),
        };
        core.report_evacuated();
        Ok(core)
    }

    /// Takes over from the previous core what is not on disk.
    pub(crate) fn inherit(&mut self, before: Core) {
        self.registry = before.registry;
        self.directory = before.directory;
        self.cases.inherit(self.now(), before.cases);
        self.seeds = before.seeds;
        // The event loop stood still while the disk failed.
        self.orders.stall = before.orders.stall;
        self.coordinators = before.coordinators;
    }

    pub(crate) fn run(&mut self, receiver: &EventReceiver) -> Result<()> {
        let mut last_iteration = self.now();
        loop {
            receiver.wait(TICK);
            if self.now() > last_iteration + STALL_TIME {
                self.directory.resume(self.now());
            }
            last_iteration = self.now();
            self.orders.stall.on_iteration(last_iteration);
            for event in std::iter::from_fn(|| receiver.next_urgent()).take(COMMIT_BATCH) {
                self.handle(event);
            }
            self.handle_deferrable(receiver);
            let now = self.now();
            self.quorum.tick(now);
            self.flush()?;
            self.log_role_change();
            self.log_current_change(now);
            self.maintain_cases(now);
            self.answer_reads(now);
            self.advance_proposals(now);
            self.advance_orders();
            self.update_membership(now);
            self.poll_peers(now);
            self.advance_departures(now);
            self.push_changes(now);
            self.update_groups(now);
            self.flush()?;
            if self.may_end(now) {
                return Ok(());
            }
            self.usage
                .report_if_due(now, &self.net, &self.lines, || receiver.queue_lengths());
        }
    }

    /// Handles deferrable events for a short time.
    fn handle_deferrable(&mut self, receiver: &EventReceiver) {
        let until = self.now() + DEFERRABLE_TIME;
        let events = std::iter::from_fn(|| receiver.next_deferrable());
        for event in events.take(COMMIT_BATCH) {
            self.handle(event);
            if self.now() >= until {
                return;
            }
        }
    }

    /// Id of a request to another coordinator or a relay. Ids start at a random number: a late
    /// response to a request of an earlier incarnation would otherwise be taken for the response
    /// to a new request, and acknowledge a document that was never committed.
    pub(crate) fn next_call_id(&mut self) -> u64 {
        self.calls_made += 1;
        self.net.incarnation().wrapping_add(self.calls_made)
    }

    /// Time since this process started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The time since this process started of an instant taken by another thread.
    pub(crate) fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Message(m) => self.handle_message(now, *m),
            Event::Announce(record, reply) => self.on_announce(now, record, reply),
            Event::Leave(id, start, reply) => self.on_leave(now, &id, start, reply),
            Event::HealthChecked(call, health) => self.on_health_checked(now, call, health),
            Event::Propose(document, compressed, reply) => {
                self.on_propose(now, &document, compressed, reply)
            }
            Event::ReadDocument(reply) => self.on_read(now, reply),
            Event::Evacuate(call) => self.on_evacuate(now, call),
            Event::Evacuations(reply) => count_unwanted(reply.send(self.show_evacuations())),
            Event::Cases(reply) => count_unwanted(reply.send(self.show_cases())),
            Event::Limits(reply) => count_unwanted(reply.send(self.show_limits())),
            Event::Members(reply) => count_unwanted(reply.send(self.show_members())),
            Event::Pardon(digest, reply) => {
                count_unwanted(reply.send(self.pardon(now, digest)));
            }
            Event::Resolve(domain, reply) => {
                count_unwanted(reply.send(self.directory.select(now).addresses(&domain)));
            }
            Event::EngineReplied(group, call, reply) => self.on_reply(now, &group, call, reply),
            Event::SeedsChanged(seeds) => {
                self.seeds = inboxes(&seeds, self.inbox.port());
                self.lines
                    .put("seeds_changed", json!({ "seeds": self.seeds }));
            }
            Event::Stop => self.start_leaving(),
        }
    }

    fn handle_message(&mut self, now: Duration, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        match envelope.body {
            Some(Body::Quorum(m)) => {
                if let Ok(message) = Message::try_from(m) {
                    self.quorum.receive(now, &envelope.from, message);
                }
            }
            Some(Body::NewsAsk(poll)) => self.on_poll(now, inbox, &poll),
            Some(Body::News(update)) => self.on_update(now, inbox, envelope.incarnation, update),
            Some(Body::DocumentAsk(request)) => self.on_document_request(now, inbox, request),
            Some(Body::DocumentAnswer(answer)) => self.on_document_response(&answer),
            Some(Body::EvacuationAsk(order)) => self.on_evacuation_request(order),
            Some(Body::ReadAsk(request)) => self.on_read_request(now, inbox, &request),
            Some(Body::ReadAnswer(answer)) => self.on_read_response(&answer),
            Some(Body::JoinAsk(request)) => self.on_join_request(inbox, &request),
            Some(Body::Ended(ended)) => self.on_ended(now, inbox, ended),
            Some(Body::TrialAsk(request)) => self.on_trial_request(now, inbox, &request),
            Some(Body::RunDone(run)) => self.on_run_done(now, inbox, &run),
            Some(Body::LimitsHeard(report)) => self.on_limits(now, inbox, report),
            Some(Body::RegistrationAsk(request)) => {
                self.on_registration_request(now, inbox, &request);
            }
            Some(Body::RegistrationAnswer(answer)) => {
                self.on_registration_answer(now, inbox, answer);
            }
            Some(Body::EngineAnswers(answers)) => self.on_engine_answers(now, answers),
            _ => {}
        }
    }

    /// Writes to disk, then sends, then applies, until nothing is left to do. A message sent before
    /// the sync could acknowledge what a crash then loses.
    pub(crate) fn flush(&mut self) -> Result<()> {
        let (before, revision) = (self.committed.version, self.evacuations.revision);
        self.flush_all()?;
        // Once, with the newest: after a start the whole log is applied, and gateways would get
        // every document in it.
        if self.committed.version > before {
            self.push_document();
        } else if self.evacuations.revision > revision {
            self.push_evacuations();
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
        // A leader may be missing from the members that this replica knows.
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
                let rows = m
                    .iter()
                    .map(|(id, m)| json!({ "id": id, "voter": m.voter }));
                let rows: Vec<_> = rows.collect();
                self.lines
                    .put("members", json!({ "index": entry.index, "members": rows }));
            }
            Payload::Command(bytes) => {
                self.logged_bytes += bytes.len();
                match decode(&bytes) {
                    Ok(Command::Document(committed)) => self.adopt(committed),
                    Ok(Command::Evacuation(order)) => self.apply_order(entry.index, &order),
                    // Every replica skips it alike.
                    Err(e) => log::error!("log entry {} skipped: {e}", entry.index),
                }
            }
        }
    }

    /// Applies a committed document; one not newer than the document in force changes nothing.
    pub(crate) fn adopt(&mut self, committed: VersionedDocument) {
        let older = committed.version <= self.committed.version;
        self.lines.put(
            "document_committed",
            json!({
                "version": committed.version, "bytes": committed.document.len(),
                "index": self.applied, "in_force": !older,
            }),
        );
        if !older {
            self.committed = committed;
        }
        self.acknowledge_committed();
    }

    /// Logs whether everything that was committed until [`CURRENT_WINDOW`] ago is known here.
    fn log_current_change(&mut self, now: Duration) {
        let current = self.quorum.is_current(now, CURRENT_WINDOW);
        if current == self.current {
            return;
        }
        self.current = current;
        let fields = json!({
            "current": current, "version": self.committed.version,
            "leader": self.quorum.leader(), "term": self.quorum.term(),
        });
        self.lines.put("current", fields);
    }

    fn log_role_change(&mut self) {
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

/// Counts a response whose receiver is gone, for example because the HTTP request was closed.
pub(crate) fn count_unwanted<T>(sent: std::result::Result<(), T>) {
    if sent.is_err() {
        metrics::counter!("answers_unwanted_total").increment(1);
    }
}

/// Inboxes of coordinators, from any of their addresses: ports are the same on all of them.
fn inboxes(seeds: &[SocketAddr], port: u16) -> Vec<SocketAddr> {
    seeds
        .iter()
        .map(|s| SocketAddr::new(s.ip(), port))
        .collect()
}

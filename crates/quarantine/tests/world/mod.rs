//! A simulation of gateways, coordinators and backend servers on a manual clock, with messages that
//! are delayed and lost.

use bn_quarantine::{
    AskStep, Asks, Case, CaseStatus, CaseUpdate, Digest, Kind, LossTracker, LostRun, NextStep,
    Start, Table, Termination, Trials, Verdict, all_shared,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a terminated backend server runs again.
const RESTART_TIME: Duration = Duration::from_millis(3_300);
/// Interval between two polls of a gateway for updates.
const POLL_INTERVAL: Duration = Duration::from_millis(270);
/// How long a stopped coordinator stays absent.
const ABSENCE: Duration = Duration::from_millis(900);
/// Time from the start of a run to its first event, or to the termination by a deadly one.
const BEGIN_TIME: Duration = Duration::from_millis(100);
/// Time after a termination within which other members of its group may terminate under what they
/// run, and from which on they cut off all runs.
const GROUP_TERMINATIONS: Duration = Duration::from_millis(80);
const GROUP_STALL: Duration = Duration::from_millis(1_500);
/// How long a request waits for others' trials, and how often it looks.
const HOLD_TIME: Duration = Duration::from_millis(750);
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a gateway waits for the leader's answer.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// The sizes of a fleet, and its message loss.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) gateways: usize,
    pub(crate) coordinators: usize,
    pub(crate) servers: usize,
    /// Fraction of messages that are lost.
    pub(crate) loss: f64,
    pub(crate) seed: u64,
    /// All backend servers are one group: it stands still while one of them is down.
    pub(crate) grouped: bool,
}

/// A request: what identifies it, and what it shares with others.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) digest: Digest,
    pub(crate) parts: Vec<Digest>,
}

impl From<Digest> for Request {
    fn from(digest: Digest) -> Request {
        let parts = Vec::new();
        Request { digest, parts }
    }
}

impl Request {
    fn attributes(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.digest).chain(self.parts.iter().copied())
    }
}

/// A request at a gateway.
#[derive(Debug, Clone)]
struct Arrival {
    gateway: usize,
    request: Request,
    work: Duration,
    /// Until when it waits for others' trials.
    hold_until: Option<Duration>,
}

/// A gateway's question for a trial.
#[derive(Debug, Clone)]
struct Ask {
    number: u64,
    arrival: Arrival,
    suspects: Vec<Digest>,
    time: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(Arrival),
    TrialReply(Ask, bool),
    AskTimeout(u64, Duration),
    RunBegun(u64),
    RunFinished(u64),
    ProbeRefused(usize, Start),
    RestartServer(usize),
    TerminationReport(usize, Termination),
    TrialRequest(usize, Ask),
    RunReport(usize, Digest, bool),
    Push(usize, CaseUpdate),
    Poll(usize),
    Sync(usize),
    TerminateServer(usize),
    DeadlyWrite(u64),
    CutOffRuns,
    StopCoordinators,
    StopGateways,
    RestartCoordinator(usize),
}

struct Server {
    start: u64,
    up: bool,
}

#[derive(Clone)]
struct Run {
    gateway: usize,
    server: usize,
    start: Start,
    request: Request,
    /// Suspects of which it is the only trial.
    suspects: Vec<Digest>,
    begun: bool,
}

#[derive(Default)]
struct Gateway {
    table: Table,
    losses: LossTracker,
    asks: Asks,
    /// Questions that wait for the leader's answer.
    pending: HashMap<u64, Ask>,
    cursors: Vec<u64>,
    heard_at: Duration,
    /// It has polled a coordinator since its start; it serves no requests before.
    ready: bool,
}

#[derive(Default)]
struct Coordinator {
    table: Table,
    trials: Trials,
    disk: Vec<CaseUpdate>,
    absent: bool,
    pushed: u64,
}

/// What happened to the requests of a fleet.
#[derive(Debug, Default, Clone)]
pub(crate) struct Record {
    /// When runs of deadly requests started.
    pub(crate) deadly_runs: Vec<Duration>,
    /// When backend servers terminated under them.
    pub(crate) terminations: Vec<Duration>,
    pub(crate) ordinary: usize,
    /// Ordinary requests that were refused for good, or asked to retry later.
    pub(crate) ordinary_refused: usize,
    pub(crate) ordinary_deferred: usize,
    /// When ordinary requests were refused or deferred.
    pub(crate) ordinary_turned: Vec<Duration>,
    /// Ordinary requests that arrived while no backend server could run them.
    pub(crate) ordinary_stalled: usize,
    pub(crate) messages: usize,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) record: Record,
    setup: Setup,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    last_number: u64,
    gateways: Vec<Gateway>,
    coordinators: Vec<Coordinator>,
    servers: Vec<Server>,
    runs: HashMap<u64, Run>,
    deadly: Vec<Digest>,
    leader: usize,
    last_terminated: Duration,
    /// A gateway that no coordinator reaches, and from when until when.
    cut: Option<(usize, Duration, Duration)>,
}

impl World {
    pub(crate) fn new(setup: Setup) -> World {
        let mut world = World {
            now: Duration::ZERO,
            record: Record::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_number: 0,
            gateways: (0..setup.gateways).map(|_| Gateway::default()).collect(),
            coordinators: (0..setup.coordinators)
                .map(|_| Coordinator::default())
                .collect(),
            servers: (0..setup.servers)
                .map(|_| Server { start: 1, up: true })
                .collect(),
            runs: HashMap::new(),
            deadly: Vec::new(),
            leader: 0,
            last_terminated: Duration::ZERO,
            cut: None,
            setup,
        };
        for gateway in 0..world.gateways.len() {
            world.gateways[gateway].cursors = vec![0; world.coordinators.len()];
            world.gateways[gateway].ready = true;
            let first = world.draw(POLL_INTERVAL);
            world.schedule(first, Event::Poll(gateway));
        }
        for coordinator in 0..world.coordinators.len() {
            world.schedule(Duration::from_millis(500), Event::Sync(coordinator));
        }
        world
    }

    /// Makes a request terminate each backend server that runs it.
    pub(crate) fn make_deadly(&mut self, digest: Digest) {
        self.deadly.push(digest);
    }

    /// A request arrives at some gateway at the time `at`, and takes `work`.
    pub(crate) fn arrive(&mut self, at: Duration, request: impl Into<Request>, work: Duration) {
        let arrival = Arrival {
            gateway: self.rng.random_range(0..self.gateways.len()),
            request: request.into(),
            work,
            hold_until: None,
        };
        self.schedule(at, Event::Arrive(arrival));
    }

    /// Cuts a gateway off from all coordinators.
    #[allow(dead_code)] // Not by every test target.
    pub(crate) fn cut_off(&mut self, gateway: usize, from: Duration, until: Duration) {
        self.cut = Some((gateway, from, until));
    }

    fn is_cut_off(&self, gateway: usize) -> bool {
        let is_now = |(g, from, until)| g == gateway && from <= self.now && self.now < until;
        self.cut.is_some_and(is_now)
    }

    /// Some backend servers terminate at once, whatever they run.
    pub(crate) fn terminate_servers(&mut self, at: Duration, count: usize) {
        let first = self.rng.random_range(0..self.servers.len());
        for n in 0..count {
            let server = (first + n) % self.servers.len();
            self.schedule(at, Event::TerminateServer(server));
        }
    }

    pub(crate) fn stop_coordinators(&mut self, at: Duration) {
        self.schedule(at, Event::StopCoordinators);
    }

    pub(crate) fn stop_gateways(&mut self, at: Duration) {
        self.schedule(at, Event::StopGateways);
    }

    pub(crate) fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.queue.push(Reverse((at, self.last_number)));
    }

    fn schedule_after(&mut self, time: Duration, event: Event) {
        self.schedule(self.now + time, event);
    }

    fn draw(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random())
    }

    /// Sends a message, which takes some milliseconds unless it is lost.
    fn send(&mut self, event: Event) {
        self.record.messages += 1;
        if self.rng.random::<f64>() >= self.setup.loss {
            let delay = Duration::from_millis(1) + self.draw(Duration::from_millis(20));
            self.schedule_after(delay, event);
        }
    }

    /// Sends a message between a gateway and a coordinator.
    fn send_over(&mut self, gateway: usize, event: Event) {
        if !self.is_cut_off(gateway) {
            self.send(event);
        }
    }

    fn is_deadly(&self, request: &Request) -> bool {
        request.attributes().any(|d| self.deadly.contains(&d))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(arrival) => {
                if arrival.hold_until.is_none() && !self.is_deadly(&arrival.request) {
                    self.record.ordinary += usize::from(self.gateways[arrival.gateway].ready);
                }
                self.on_arrival(arrival);
            }
            Event::TrialReply(ask, granted) => self.on_trial_reply(&ask, granted),
            Event::AskTimeout(number, asked_at) => self.on_ask_timeout(number, asked_at),
            Event::RunBegun(run) => self.on_run_begun(run),
            Event::RunFinished(run) => self.on_run_finished(run),
            Event::ProbeRefused(gateway, start) => self.on_probe_refused(gateway, &start),
            Event::RestartServer(server) => {
                let server = &mut self.servers[server];
                (server.up, server.start) = (true, server.start + 1);
            }
            Event::TerminationReport(to, termination) => self.on_termination(to, &termination),
            Event::TrialRequest(to, ask) => self.on_trial_request(to, ask),
            Event::RunReport(to, digest, complete) => self.on_run_report(to, digest, complete),
            Event::Push(gateway, update) => {
                self.gateways[gateway].table.merge(self.now, &update);
            }
            Event::Poll(gateway) => self.on_poll(gateway),
            Event::Sync(coordinator) => self.on_sync(coordinator),
            Event::TerminateServer(server) => self.terminate_server(server),
            Event::DeadlyWrite(run) => self.on_deadly_write(run),
            Event::CutOffRuns => self.runs.clear(),
            Event::StopCoordinators => self.on_coordinators_stop(),
            Event::StopGateways => {
                for gateway in &mut self.gateways {
                    *gateway = Gateway {
                        cursors: vec![0; gateway.cursors.len()],
                        ..Gateway::default()
                    };
                }
                self.runs.clear();
            }
            Event::RestartCoordinator(coordinator) => self.coordinators[coordinator].absent = false,
        }
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let gateway = &self.gateways[arrival.gateway];
        if !gateway.ready {
            return;
        }
        let attributes = arrival.request.attributes();
        let Verdict { refused, suspects } = gateway.table.verdict(attributes);
        if refused.is_some() {
            if !self.is_deadly(&arrival.request) {
                self.record.ordinary_refused += 1;
                self.record.ordinary_turned.push(self.now);
            }
            return;
        }
        // A slot comes first.
        if self.running_servers().is_empty() {
            if !self.is_deadly(&arrival.request) {
                self.record.ordinary_stalled += 1;
            }
            return;
        }
        if suspects.is_empty() {
            return self.start_run(arrival, suspects);
        }
        let time = arrival.work + Duration::from_secs(1);
        let gateway = &mut self.gateways[arrival.gateway];
        if !gateway.table.is_settled(self.now, &suspects) {
            return self.hold_or_defer(arrival, &suspects);
        }
        let tried = gateway.table.all_tried(&suspects);
        match gateway.asks.next_step(self.now, &suspects, time, tried) {
            AskStep::Hold | AskStep::HoldHere => self.hold_or_defer(arrival, &suspects),
            AskStep::TryHere => self.start_run(arrival, suspects),
            AskStep::AskLeader => self.ask_leader(arrival, suspects, time),
        }
    }

    fn ask_leader(&mut self, arrival: Arrival, suspects: Vec<Digest>, time: Duration) {
        self.last_number += 1;
        let number = self.last_number;
        let gateway = arrival.gateway;
        let ask = Ask {
            number,
            arrival,
            suspects,
            time,
        };
        let pending = &mut self.gateways[gateway].pending;
        pending.insert(number, ask.clone());
        self.schedule_after(TRIAL_TIMEOUT, Event::AskTimeout(number, self.now));
        self.send_over(gateway, Event::TrialRequest(self.leader, ask));
    }

    fn on_trial_reply(&mut self, ask: &Ask, granted: bool) {
        let gateway = &mut self.gateways[ask.arrival.gateway];
        gateway.asks.on_answer();
        let is_pending = gateway.pending.remove(&ask.number);
        match (is_pending, granted) {
            (Some(ask), true) => {
                gateway.asks.on_granted(self.now, &ask.suspects, ask.time);
                self.start_run(ask.arrival, ask.suspects);
            }
            (Some(ask), false) => self.hold_or_defer(ask.arrival, &ask.suspects),
            (None, _) => {}
        }
    }

    fn on_ask_timeout(&mut self, number: u64, asked_at: Duration) {
        let gateways = self.gateways.iter_mut();
        let mut gateways = gateways.filter(|g| g.pending.contains_key(&number));
        let Some(gateway) = gateways.next() else {
            return;
        };
        gateway.asks.on_timeout(asked_at);
        if let Some(ask) = gateway.pending.remove(&number) {
            self.hold_or_defer(ask.arrival, &ask.suspects);
        }
    }

    fn hold_or_defer(&mut self, mut arrival: Arrival, suspects: &[Digest]) {
        let hold_until = *arrival.hold_until.get_or_insert(self.now + HOLD_TIME);
        if all_shared(suspects) && self.now < hold_until {
            return self.schedule_after(HOLD_POLL_INTERVAL, Event::Arrive(arrival));
        }
        if !self.is_deadly(&arrival.request) {
            self.record.ordinary_deferred += 1;
            self.record.ordinary_turned.push(self.now);
        }
    }

    /// Backend servers that can run requests.
    fn running_servers(&self) -> Vec<usize> {
        if self.setup.grouped && self.servers.iter().any(|s| !s.up) {
            return Vec::new();
        }
        let servers = 0..self.servers.len();
        servers.filter(|s| self.servers[*s].up).collect()
    }

    fn start_run(&mut self, arrival: Arrival, suspects: Vec<Digest>) {
        let up = self.running_servers();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let deadly = self.is_deadly(&arrival.request);
        let run = Run {
            gateway: arrival.gateway,
            server,
            start: self.start_of(server),
            request: arrival.request,
            suspects,
            begun: false,
        };
        self.last_number += 1;
        let number = self.last_number;
        self.runs.insert(number, run);
        if deadly {
            self.record.deadly_runs.push(self.now);
            self.schedule_after(BEGIN_TIME, Event::DeadlyWrite(number));
        } else {
            self.schedule_after(BEGIN_TIME, Event::RunBegun(number));
            self.schedule_after(arrival.work, Event::RunFinished(number));
        }
    }

    fn on_run_begun(&mut self, number: u64) {
        if self.running_servers().is_empty() {
            return;
        }
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        run.begun = true;
        let (suspects, own): (Vec<Digest>, Vec<Digest>) =
            run.suspects.iter().partition(|d| Kind::of(**d).is_shared());
        run.suspects = own;
        let (gateway, parts) = (run.gateway, run.request.parts.clone());
        let Gateway { table, asks, .. } = &mut self.gateways[gateway];
        for digest in &suspects {
            asks.finish(self.now, *digest, true);
        }
        let is_known = |d: &Digest| table.is_open(*d) || suspects.contains(d);
        let harmless: Vec<Digest> = parts.into_iter().filter(is_known).collect();
        for digest in harmless {
            self.gateways[gateway].table.close(self.now, digest);
            self.report_finished(gateway, digest, true);
        }
    }

    fn start_of(&self, server: usize) -> Start {
        Start {
            id: format!("s{server}"),
            start_time: self.servers[server].start,
        }
    }

    fn on_deadly_write(&mut self, number: u64) {
        let stalled = self.running_servers().is_empty();
        if stalled && self.now > self.last_terminated + GROUP_TERMINATIONS {
            return;
        }
        if let Some(server) = self.runs.get(&number).map(|r| r.server) {
            self.terminate_server(server);
        }
    }

    fn on_run_finished(&mut self, number: u64) {
        if self.running_servers().is_empty() {
            return;
        }
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let table = &self.gateways[run.gateway].table;
        if table.is_open(run.request.digest) {
            self.report_finished(run.gateway, run.request.digest, true);
        }
    }

    fn report_finished(&mut self, gateway: usize, digest: Digest, complete: bool) {
        for to in 0..self.coordinators.len() {
            self.send_over(gateway, Event::RunReport(to, digest, complete));
        }
    }

    fn terminate_server(&mut self, server: usize) {
        if !self.servers[server].up {
            return;
        }
        self.servers[server].up = false;
        self.schedule_after(RESTART_TIME, Event::RestartServer(server));
        self.last_terminated = self.now;
        if self.setup.grouped {
            self.schedule_after(GROUP_STALL, Event::CutOffRuns);
        }
        let lost: Vec<u64> = {
            let runs = self.runs.iter().filter(|(_, r)| r.server == server);
            let mut numbers: Vec<u64> = runs.map(|(n, _)| *n).collect();
            numbers.sort_unstable();
            numbers
        };
        let lost: Vec<Run> = lost.iter().filter_map(|n| self.runs.remove(n)).collect();
        if lost.iter().any(|r| self.is_deadly(&r.request)) {
            self.record.terminations.push(self.now);
        }
        for run in lost {
            self.on_lost(&run);
        }
    }

    fn on_lost(&mut self, run: &Run) {
        let address = SocketAddr::from(([127, 0, 0, 1], run.server as u16 + 1));
        let blamed = run.request.attributes();
        let blamed = blamed.filter(|d| !(run.begun && Kind::of(*d).is_shared()));
        let mut known: Option<Termination> = None;
        for digest in blamed {
            let is_sole = run.suspects.len() == 1 || !Kind::of(digest).is_shared();
            let lost = LostRun {
                digest,
                sole_trial: is_sole && run.suspects.contains(&digest),
                abandoned: false,
            };
            let losses = &mut self.gateways[run.gateway].losses;
            match losses.on_lost(self.now, &run.start, address, lost) {
                NextStep::Wait => {}
                NextStep::Probe => {
                    let delay = Duration::from_millis(2) + self.draw(Duration::from_millis(10));
                    self.schedule_after(delay, Event::ProbeRefused(run.gateway, run.start.clone()));
                }
                NextStep::Report(termination) => match &mut known {
                    Some(known) => known.runs.extend(termination.runs),
                    None => known = Some(termination),
                },
            }
        }
        if let Some(termination) = known {
            self.report_termination(run.gateway, &termination);
        }
        for digest in &run.suspects {
            let asks = &mut self.gateways[run.gateway].asks;
            asks.finish(self.now, *digest, false);
            self.report_finished(run.gateway, *digest, false);
        }
    }

    fn on_probe_refused(&mut self, gateway: usize, start: &Start) {
        let losses = &mut self.gateways[gateway].losses;
        if let Some(termination) = losses.on_terminated(self.now, start) {
            self.report_termination(gateway, &termination);
        }
    }

    fn report_termination(&mut self, gateway: usize, termination: &Termination) {
        let shared = termination.runs.iter();
        for (digest, sole_trial) in shared.filter(|(d, _)| Kind::of(*d).is_shared()) {
            let table = &mut self.gateways[gateway].table;
            table.add_termination(self.now, *digest, &termination.start, *sole_trial);
        }
        for to in 0..self.coordinators.len() {
            let report = Event::TerminationReport(to, termination.clone());
            self.send_over(gateway, report);
        }
    }

    fn on_termination(&mut self, to: usize, termination: &Termination) {
        let now = self.now;
        let coordinator = &mut self.coordinators[to];
        if coordinator.absent {
            return;
        }
        for (digest, sole_trial) in &termination.runs {
            let start = &termination.start;
            let table = &mut coordinator.table;
            table.add_termination(now, *digest, start, *sole_trial);
        }
        let digests: Vec<Digest> = termination.runs.iter().map(|(d, _)| *d).collect();
        if let Some(suspects) = coordinator.trials.joint_of(&digests) {
            coordinator.table.refuse_jointly(now, suspects);
        }
        self.publish(to);
    }

    /// Stores a coordinator's refusals, and pushes the changes that matter to its own gateways.
    fn publish(&mut self, to: usize) {
        let coordinator = &mut self.coordinators[to];
        coordinator.disk = coordinator.table.refused();
        let acted_on = |d: Digest, c: &Case| {
            let kind = Kind::of(d);
            let is_watched = kind.is_shared() && c.is_open();
            is_watched || c.status_as(kind) != CaseStatus::Free || c.round > 0
        };
        let mut updates = coordinator.table.since(coordinator.pushed);
        coordinator.pushed = coordinator.table.cursor();
        updates.retain(|u| acted_on(u.digest, &u.case));
        let own = (0..self.gateways.len()).filter(|g| g % self.setup.coordinators == to);
        for gateway in own.collect::<Vec<_>>() {
            for update in &updates {
                self.send_over(gateway, Event::Push(gateway, update.clone()));
            }
        }
    }

    fn on_trial_request(&mut self, to: usize, ask: Ask) {
        let now = self.now;
        let coordinator = &mut self.coordinators[to];
        if coordinator.absent || to != self.leader {
            return;
        }
        let (table, trials) = (&coordinator.table, &mut coordinator.trials);
        let is_refused = table
            .verdict(ask.suspects.iter().copied())
            .refused
            .is_some();
        let tried = table.all_tried(&ask.suspects);
        let holder = Some(SocketAddr::from((
            [127, 0, 0, 1],
            ask.arrival.gateway as u16 + 1,
        )));
        let is_settled = table.is_settled(now, &ask.suspects);
        let granted = !is_refused
            && is_settled
            && trials.grant_all(now, holder, &ask.suspects, ask.time, tried);
        self.send_over(ask.arrival.gateway, Event::TrialReply(ask, granted));
    }

    fn on_run_report(&mut self, to: usize, digest: Digest, complete: bool) {
        let now = self.now;
        let coordinator = &mut self.coordinators[to];
        if coordinator.absent {
            return;
        }
        coordinator.trials.finish(now, digest, complete);
        if complete && coordinator.table.close(now, digest) {
            self.publish(to);
        }
    }

    fn on_poll(&mut self, gateway: usize) {
        self.schedule_after(POLL_INTERVAL, Event::Poll(gateway));
        let to = self.rng.random_range(0..self.coordinators.len());
        let own = &mut self.gateways[gateway];
        own.asks.on_poll(self.now, own.heard_at);
        if self.coordinators[to].absent || self.is_cut_off(gateway) {
            return;
        }
        let known = self.gateways[gateway].cursors[to];
        let table = &self.coordinators[to].table;
        let (new, cursor) = (table.since(known), table.cursor());
        // The cursor restarts from zero with the coordinator.
        let updates = if cursor < known { table.since(0) } else { new };
        self.gateways[gateway].cursors[to] = cursor;
        self.gateways[gateway].heard_at = self.now;
        self.gateways[gateway].ready = true;
        for update in updates {
            self.gateways[gateway].table.merge(self.now, &update);
        }
    }

    fn on_sync(&mut self, to: usize) {
        self.schedule_after(Duration::from_millis(500), Event::Sync(to));
        let updates: Vec<CaseUpdate> = self
            .coordinators
            .iter()
            .flat_map(|c| c.table.since(0))
            .collect();
        let coordinator = &mut self.coordinators[to];
        if coordinator.absent {
            return;
        }
        for update in &updates {
            coordinator.table.merge(self.now, update);
        }
        self.publish(to);
    }

    /// All coordinators restart with what is on their disks; another one becomes the leader.
    fn on_coordinators_stop(&mut self) {
        for coordinator in &mut self.coordinators {
            let disk = std::mem::take(&mut coordinator.disk);
            *coordinator = Coordinator {
                absent: true,
                ..Coordinator::default()
            };
            for update in &disk {
                coordinator.table.merge(self.now, update);
            }
            coordinator.disk = disk;
        }
        self.leader = (self.leader + 1) % self.coordinators.len();
        for coordinator in 0..self.coordinators.len() {
            self.schedule_after(ABSENCE, Event::RestartCoordinator(coordinator));
        }
    }
}

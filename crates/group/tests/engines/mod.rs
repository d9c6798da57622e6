//! A model of the ranks of a group, following their vendor's documentation: they carry out their
//! orders, late where faults are simulated, and do not compare maps themselves.

// Each test target uses a part of this module.
#![allow(dead_code)]

mod prompts;

pub(crate) use prompts::Prompts;

use bn_group::switch_controller::{
    Call, Command, EngineReport, EngineRequest, Reply, Shape, SwitchController,
};
use bn_group::{ExpertMap, Limits};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
const PASS_TIME: Duration = Duration::from_millis(90);
const TIMEOUT: Duration = Duration::from_millis(300);
const FORM_TIME: Duration = Duration::from_millis(600);
const DOWNTIME: Duration = Duration::from_secs(2);
const COPY_TIME: Duration = Duration::from_millis(300);
const SHAPE: Shape = Shape {
    sets: 2,
    experts: 16,
    slots: 6,
    new_per_set: 2,
    copy_time: Duration::from_millis(50),
};

/// Faults of the network.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Fraction of the answers that are lost.
    pub(crate) loss_rate: f64,
    /// Fraction of the orders that are carried out 2 to 12 s late, without an answer.
    pub(crate) late_rate: f64,
    /// Fraction of the polls that are read fresh through the relay beside the engine.
    pub(crate) fresh_rate: f64,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    id: String,
    fence: u64,
    version: u64,
    content: String,
    highest: u64,
    prepared: Option<(u64, String, Duration)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

struct Leader {
    controller: SwitchController,
    frozen: bool,
}

enum Event {
    /// An order or query reaches its engine; the reply is sent to a leader unless it is lost.
    Deliver(usize, Call, bool),
    Reply(usize, u64, Reply),
}

pub(crate) struct GroupModel {
    now: Duration,
    rng: SmallRng,
    faults: Faults,
    engines: Vec<Engine>,
    down: Option<(usize, Duration)>,
    forming_until: Option<Duration>,
    epoch: u64,
    pass: u64,
    next_pass_at: Duration,
    leaders: Vec<Leader>,
    events: Vec<(Duration, Event)>,
    history: VecDeque<(Duration, Vec<EngineReport>)>,
    orders: Vec<(Command, Reply)>,
    tokens: Vec<u64>,
    /// Description of the first pass that ran on two maps.
    pub(crate) mixed_pass: Option<String>,
    pub(crate) switches: u32,
    /// Total time from each change of demand to the next switch.
    pub(crate) outdated_time: Duration,
    /// Phase of the demand at the last switch.
    map_phase: u64,
    /// Counts at the last fresh poll, by rank.
    last_counts: Vec<Vec<u64>>,
    /// Total time for which passes were held.
    pub(crate) held_time: Duration,
    /// Slowdown of each rank, in hundredths of a healthy one's time.
    pub(crate) slowdowns: Vec<u32>,
    /// Slowdowns that leaders reported, in order.
    pub(crate) slowdown_updates: Vec<(String, u32)>,
    /// If set, polls count these prompts, and demand changes only with them.
    pub(crate) prompts: Option<Prompts>,
}

impl GroupModel {
    pub(crate) fn new(seed: u64, ranks: usize, faults: Faults) -> GroupModel {
        let engine = |rank: usize| Engine {
            id: format!("e{rank}-0"),
            ..Engine::default()
        };
        GroupModel {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            faults,
            engines: (0..ranks).map(engine).collect(),
            down: None,
            forming_until: None,
            epoch: 1,
            pass: 0,
            next_pass_at: Duration::ZERO,
            leaders: vec![leader(1)],
            events: Vec::new(),
            history: VecDeque::new(),
            orders: Vec::new(),
            tokens: Vec::new(),
            mixed_pass: None,
            switches: 0,
            held_time: Duration::ZERO,
            outdated_time: Duration::ZERO,
            map_phase: 0,
            last_counts: vec![Vec::new(); ranks],
            slowdowns: vec![100; ranks],
            slowdown_updates: Vec::new(),
            prompts: None,
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.advance();
        }
    }

    pub(crate) fn run_until(&mut self, reached: impl Fn(&GroupModel) -> bool, within: Duration) {
        let until = self.now + within;
        while !reached(self) {
            assert!(self.now < until, "state not reached within {within:?}");
            self.advance();
        }
    }

    /// Elects another leader; the previous one continues unaware of it.
    pub(crate) fn elect(&mut self) {
        let term = self.leaders.len() as u64 + 1;
        self.leaders.push(leader(term));
    }

    pub(crate) fn freeze_leader(&mut self) {
        if let Some(last) = self.leaders.last_mut() {
            last.frozen = true;
        }
    }

    pub(crate) fn thaw_leaders(&mut self) {
        self.leaders.iter_mut().for_each(|l| l.frozen = false);
    }

    /// Crashes an engine, which restarts under a new id or under its old one.
    pub(crate) fn crash(&mut self, rank: usize) {
        if self.down.is_none() {
            self.down = Some((rank, self.now + DOWNTIME));
        }
    }

    /// Raises the fence of every engine above all tokens.
    pub(crate) fn fence_all(&mut self) {
        self.engines.iter_mut().for_each(|e| e.fence = u64::MAX);
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn pass(&self) -> u64 {
        self.pass
    }

    /// Load of the busiest rank over the mean with the map in use, at the prompts' expected load.
    pub(crate) fn imbalance(&self) -> f64 {
        let content = &self.engines[0].content;
        let ranks = self.engines.len();
        let map = match content.is_empty() {
            true => ExpertMap::round_robin(SHAPE.sets, SHAPE.experts, ranks),
            false => ExpertMap::parse(content).unwrap(),
        };
        let limits = Limits {
            ranks,
            slots: SHAPE.slots,
            new_per_layer: SHAPE.new_per_set,
            new_total: SHAPE.new_per_set,
            min_gain: 0.0,
            slowdowns: &vec![1.0; ranks],
        };
        bn_group::imbalance(&map, &self.prompts.unwrap().expected_loads(), limits)
    }

    pub(crate) fn last_order(&self) -> Option<&'static str> {
        self.orders.last().map(|(c, _)| command_name(c))
    }

    /// Tokens of all orders, in the order of sending.
    pub(crate) fn tokens(&self) -> &[u64] {
        &self.tokens
    }

    pub(crate) fn ordered(&self, which: &str) -> bool {
        self.position_first(which).is_some()
    }

    pub(crate) fn position_first(&self, which: &str) -> Option<usize> {
        self.orders.iter().position(|(c, _)| is_named(c, which))
    }

    pub(crate) fn position_last(&self, which: &str) -> Option<usize> {
        self.orders.iter().rposition(|(c, _)| is_named(c, which))
    }

    pub(crate) fn count(&self, which: impl Fn(&Command) -> bool, reply: &Reply) -> usize {
        let matches = |(c, r): &&(Command, Reply)| which(c) && r == reply;
        self.orders.iter().filter(matches).count()
    }

    fn advance(&mut self) {
        self.now += TICK;
        self.restart_and_form();
        if self.now.as_secs() / 2 > self.map_phase {
            self.outdated_time += TICK;
        }
        self.start_pass();
        self.record_reports();
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.events = later;
        for (_, event) in due {
            self.handle_event(event);
        }
        let ids: Vec<String> = self.engines.iter().map(|e| e.id.clone()).collect();
        for at in 0..self.leaders.len() {
            let leader = &mut self.leaders[at];
            if !leader.frozen {
                let calls = leader.controller.tick(now, &ids);
                self.send(at, calls);
            }
        }
    }

    fn restart_and_form(&mut self) {
        if let Some((rank, _)) = self.down.filter(|(_, until)| self.now >= *until) {
            self.down = None;
            let number = self.rng.random::<u32>();
            let id = match number.is_multiple_of(2) {
                true => self.engines[rank].id.clone(),
                false => format!("e{rank}-{number}"),
            };
            // In both cases it has lost its fence, version and orders.
            self.engines[rank] = Engine {
                id,
                ..Engine::default()
            };
            self.forming_until = Some(self.now + FORM_TIME);
        }
        if self.down.is_none() && self.forming_until.is_some_and(|at| self.now >= at) {
            self.forming_until = None;
            self.epoch += 1;
            for engine in &mut self.engines {
                // Re-forming drops orders and holds; fences are lost only with the process.
                *engine = Engine {
                    id: engine.id.clone(),
                    fence: engine.fence,
                    highest: engine.highest,
                    ..Engine::default()
                };
            }
        }
    }

    /// Whether all ranks are present and the group runs passes.
    pub(crate) fn is_open(&self) -> bool {
        self.down.is_none() && self.forming_until.is_none()
    }

    fn start_pass(&mut self) {
        if !self.is_open() || self.now < self.next_pass_at {
            return;
        }
        let next = self.pass + 1;
        if self.engines.iter().any(|e| e.held == Some(next)) {
            self.held_time += TICK;
            return;
        }
        self.pass = next;
        self.next_pass_at = self.now + PASS_TIME;
        let mut switched = false;
        for engine in &mut self.engines {
            if let Some((version, _)) = engine.armed.filter(|(_, p)| *p == next) {
                let prepared = engine.prepared.take();
                engine.content = prepared.map(|p| p.1).unwrap_or_default();
                engine.version = version;
                engine.armed = None;
                switched = true;
            }
        }
        self.switches += u32::from(switched);
        if switched {
            self.map_phase = self.now.as_secs() / 2;
        }
        let first = (&self.engines[0].version, &self.engines[0].content);
        let same_map = |e: &Engine| (&e.version, &e.content) == first;
        if !self.engines.iter().all(same_map) && self.mixed_pass.is_none() {
            let versions: Vec<u64> = self.engines.iter().map(|e| e.version).collect();
            self.mixed_pass = Some(format!("pass {next} at {:?} ran on {versions:?}", self.now));
        }
    }

    fn record_reports(&mut self) {
        let reports = (0..self.engines.len()).map(|r| self.report(r)).collect();
        self.history.push_back((self.now, reports));
        if self.history.len() > 60 {
            self.history.pop_front();
        }
    }

    fn report(&self, rank: usize) -> EngineReport {
        let engine = &self.engines[rank];
        EngineReport {
            group: "g".into(),
            epoch: self.epoch,
            rank: rank as u32,
            open: self.is_open(),
            size: self.engines.len() as u32,
            pass: self.pass,
            map: engine.version,
            prepared: engine
                .prepared
                .as_ref()
                .filter(|p| p.2 <= self.now)
                .map(|p| p.0),
            armed: engine.armed.map(|a| a.0),
            held: engine.held,
            slowdown: self.slowdowns[rank],
            fresh: false,
            recent_counts: None,
        }
    }

    fn send(&mut self, leader: usize, calls: Vec<Call>) {
        for call in calls {
            let latency = Duration::from_millis(self.rng.random_range(1..40));
            if let EngineRequest::Order(_, _, token) = call.request {
                self.tokens.push(token);
            }
            let is_order = matches!(call.request, EngineRequest::Order(..));
            let late = is_order && self.rng.random_bool(self.faults.late_rate);
            let lost = late || self.rng.random_bool(self.faults.loss_rate);
            let delay = match late {
                true => Duration::from_millis(self.rng.random_range(2_000..12_000)),
                false => latency,
            };
            if lost {
                let event = Event::Reply(leader, call.id, Reply::Silent);
                self.events.push((self.now + TIMEOUT, event));
            }
            let event = Event::Deliver(leader, call, !lost);
            self.events.push((self.now + delay, event));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(leader, call, answered) => {
                let id = call.id;
                let reply = self.handle_call(call);
                let latency = match reply {
                    Reply::Silent => TIMEOUT,
                    _ => Duration::from_millis(self.rng.random_range(1..40)),
                };
                if answered {
                    let event = Event::Reply(leader, id, reply);
                    self.events.push((self.now + latency, event));
                }
            }
            Event::Reply(leader, call, reply) => {
                let now = self.now;
                let receiver = &mut self.leaders[leader];
                if receiver.frozen {
                    let retry = Event::Reply(leader, call, reply);
                    self.events.push((now + TICK, retry));
                    return;
                }
                let calls = receiver.controller.reply(now, call, reply);
                self.slowdown_updates
                    .extend(receiver.controller.take_slowdowns());
                self.send(leader, calls);
            }
        }
    }

    fn handle_call(&mut self, call: Call) -> Reply {
        let Some(rank) = self.engines.iter().position(|e| e.id == call.engine) else {
            return Reply::Odd;
        };
        if self.down.is_some_and(|(down, _)| down == rank) {
            return Reply::Silent;
        }
        match call.request {
            EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_)
                if self.rng.random_bool(self.faults.fresh_rate) =>
            {
                let recent_counts =
                    (call.request == EngineRequest::Poll).then(|| self.recent_counts(rank));
                Reply::Report(EngineReport {
                    fresh: true,
                    recent_counts,
                    ..self.report(rank)
                })
            }
            EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_) => {
                let age = Duration::from_millis(self.rng.random_range(100..400));
                let read_at = self.now.saturating_sub(age);
                let recorded = self.history.iter().rev().find(|(at, _)| *at <= read_at);
                let report = recorded
                    .or(self.history.front())
                    .map(|(_, v)| v[rank].clone());
                report.map_or(Reply::Silent, Reply::Report)
            }
            EngineRequest::Counts => self.counts(rank),
            EngineRequest::List => Reply::Silent,
            EngineRequest::Order(command, epoch, token) => {
                let reply = self.carry_out(rank, &command, epoch, token);
                self.orders.push((command, reply.clone()));
                reply
            }
        }
    }

    /// Cumulative counts; demand moves to the next expert every two seconds.
    fn counts(&self, rank: usize) -> Reply {
        let hot = (self.now.as_secs() / 2) as usize % SHAPE.experts;
        let ms = self.now.as_millis() as u64;
        let count = |i: usize| ms * if i % SHAPE.experts == hot { 30 } else { 2 };
        let all = (0..SHAPE.sets * SHAPE.experts).map(|i| count(i) + rank as u64);
        Reply::Counts(self.epoch, all.collect())
    }

    /// Counts since the previous poll.
    fn recent_counts(&mut self, rank: usize) -> Vec<u64> {
        match self.prompts {
            Some(prompts) if rank < prompts.ranks => return prompts.sample_counts(&mut self.rng),
            Some(_) => return vec![0; SHAPE.sets * SHAPE.experts],
            None => {}
        }
        let Reply::Counts(_, now) = self.counts(rank) else {
            return Vec::new();
        };
        let before = std::mem::replace(&mut self.last_counts[rank], now.clone());
        let pairs = now.iter().zip(before.iter().chain(std::iter::repeat(&0)));
        pairs.map(|(n, b)| n.saturating_sub(*b)).collect()
    }

    fn carry_out(&mut self, rank: usize, command: &Command, epoch: u64, token: u64) -> Reply {
        let (now, pass) = (self.now, self.pass);
        let same_epoch = epoch == self.epoch && self.is_open();
        let engine = &mut self.engines[rank];
        if token < engine.fence {
            return Reply::Fenced;
        }
        if !same_epoch {
            return Reply::Conflict;
        }
        engine.fence = token;
        match command {
            // Engines refuse version 0, which can never be armed.
            Command::Disarm(0) => return Reply::Odd,
            Command::Prepare(version, map) => {
                let content = map.to_string();
                if engine.prepared.as_ref().is_some_and(|p| p.0 == *version) {
                    return Reply::Done;
                }
                if *version <= engine.highest || engine.armed.is_some() {
                    return Reply::Conflict;
                }
                engine.highest = *version;
                engine.prepared = Some((*version, content, now + COPY_TIME));
            }
            Command::Arm(version, at) => {
                if engine.armed == Some((*version, *at)) {
                    return Reply::Done;
                }
                let ready = engine.prepared.as_ref();
                let ready = ready.is_some_and(|p| p.0 == *version && p.2 <= now);
                if !ready || *at <= pass {
                    return Reply::Conflict;
                }
                engine.armed = Some((*version, *at));
            }
            Command::Disarm(version) => {
                if engine.version == *version {
                    return Reply::Conflict;
                }
                engine.armed = engine.armed.filter(|a| a.0 != *version);
            }
            Command::Hold(at) => {
                if engine.held == Some(*at) {
                    return Reply::Done;
                }
                if *at <= pass || engine.held.is_some() {
                    return Reply::Conflict;
                }
                engine.held = Some(*at);
            }
            Command::Go(at) => engine.held = engine.held.filter(|h| h != at),
        }
        Reply::Done
    }
}

fn leader(term: u64) -> Leader {
    Leader {
        controller: SwitchController::new(term, SHAPE),
        frozen: false,
    }
}

fn command_name(command: &Command) -> &'static str {
    match command {
        Command::Prepare(..) => "prepare",
        Command::Arm(..) => "arm",
        Command::Disarm(..) => "disarm",
        Command::Hold(..) => "hold",
        Command::Go(..) => "go",
    }
}

/// Whether a command is the one named, such as `hold` or `disarm 7`.
fn is_named(command: &Command, which: &str) -> bool {
    let full = match command {
        Command::Disarm(version) => format!("disarm {version}"),
        other => command_name(other).into(),
    };
    which == full || which == command_name(command)
}

//! A model of the ranks of a group as the pages of their maker describe them: they carry
//! out what they are ordered, late where trouble is, and compare no maps themselves.

// Each file of tests uses a part of it.
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
const PASS: Duration = Duration::from_millis(90);
const TIMEOUT: Duration = Duration::from_millis(300);
const FORM: Duration = Duration::from_millis(600);
const DOWN: Duration = Duration::from_secs(2);
const COPY: Duration = Duration::from_millis(300);
const SHAPE: Shape = Shape {
    sets: 2,
    experts: 16,
    slots: 6,
    new_per_set: 2,
    copy_time: Duration::from_millis(50),
};

/// How orders fare.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Trouble {
    /// Part of the answers that are lost.
    pub(crate) lost: f64,
    /// Part of the orders that are carried out 2 to 12 s late, without an answer.
    pub(crate) late: f64,
    /// Part of the looks that are made from beside the engine.
    pub(crate) beside: f64,
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
    pilot: SwitchController,
    frozen: bool,
}

enum Happening {
    /// An order or question arrives; the reply goes to a leader unless lost.
    Arrive(usize, Call, bool),
    Reply(usize, u64, Reply),
}

pub(crate) struct World {
    now: Duration,
    rng: SmallRng,
    trouble: Trouble,
    engines: Vec<Engine>,
    down: Option<(usize, Duration)>,
    forming: Option<Duration>,
    epoch: u64,
    pass: u64,
    due: Duration,
    leaders: Vec<Leader>,
    coming: Vec<(Duration, Happening)>,
    past: VecDeque<(Duration, Vec<EngineReport>)>,
    orders: Vec<(Command, Reply)>,
    tokens: Vec<u64>,
    /// First pass that ran on two maps.
    pub(crate) mixed: Option<String>,
    pub(crate) switches: u32,
    /// Time from each move of what is in demand to the next switch.
    pub(crate) uneven_for: Duration,
    moved: u64,
    /// Counts at the last fresh look, by rank.
    looked: Vec<Vec<u64>>,
    /// Time that passes were held back.
    pub(crate) held_for: Duration,
    /// Pace of each rank, in hundredths of a sound one's time.
    pub(crate) paces: Vec<u32>,
    /// Paces that leaders told, in order.
    pub(crate) told: Vec<(String, u32)>,
    /// Where set, looks count the prompts of the moment, and what is liked moves by this alone.
    pub(crate) prompts: Option<Prompts>,
}

impl World {
    pub(crate) fn new(seed: u64, ranks: usize, trouble: Trouble) -> World {
        let engine = |rank: usize| Engine {
            id: format!("e{rank}-0"),
            ..Engine::default()
        };
        World {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            trouble,
            engines: (0..ranks).map(engine).collect(),
            down: None,
            forming: None,
            epoch: 1,
            pass: 0,
            due: Duration::ZERO,
            leaders: vec![leader(1)],
            coming: Vec::new(),
            past: VecDeque::new(),
            orders: Vec::new(),
            tokens: Vec::new(),
            mixed: None,
            switches: 0,
            held_for: Duration::ZERO,
            uneven_for: Duration::ZERO,
            moved: 0,
            looked: vec![Vec::new(); ranks],
            paces: vec![100; ranks],
            told: Vec::new(),
            prompts: None,
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    pub(crate) fn run_until(&mut self, reached: impl Fn(&World) -> bool, within: Duration) {
        let until = self.now + within;
        while !reached(self) {
            assert!(self.now < until, "never reached");
            self.step();
        }
    }

    /// Another leader begins; the one before goes on as if nothing were.
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

    /// An engine dies; it starts again under another id, or under the one that it had.
    pub(crate) fn crash(&mut self, rank: usize) {
        if self.down.is_none() {
            self.down = Some((rank, self.now + DOWN));
        }
    }

    /// Every engine sees a token above all others.
    pub(crate) fn fence_all(&mut self) {
        self.engines.iter_mut().for_each(|e| e.fence = u64::MAX);
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn pass(&self) -> u64 {
        self.pass
    }

    /// Load of the busiest rank over the mean with the map in use, as prompts are in the long run.
    pub(crate) fn lag(&self) -> f64 {
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
        bn_group::imbalance(&map, &self.prompts.unwrap().loads(), limits)
    }

    pub(crate) fn last_order(&self) -> Option<&'static str> {
        self.orders.last().map(|(c, _)| name(c))
    }

    /// Tokens of all orders in the order of sending.
    pub(crate) fn tokens(&self) -> &[u64] {
        &self.tokens
    }

    pub(crate) fn ordered(&self, which: &str) -> bool {
        self.position_first(which).is_some()
    }

    pub(crate) fn position_first(&self, which: &str) -> Option<usize> {
        self.orders.iter().position(|(c, _)| fits(c, which))
    }

    pub(crate) fn position_last(&self, which: &str) -> Option<usize> {
        self.orders.iter().rposition(|(c, _)| fits(c, which))
    }

    pub(crate) fn count(&self, which: impl Fn(&Command) -> bool, reply: &Reply) -> usize {
        let fits = |(c, r): &&(Command, Reply)| which(c) && r == reply;
        self.orders.iter().filter(fits).count()
    }

    fn step(&mut self) {
        self.now += TICK;
        self.revive();
        if self.now.as_secs() / 2 > self.moved {
            self.uneven_for += TICK;
        }
        self.begin_pass();
        self.remember();
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.coming = later;
        for (_, happening) in due {
            self.happen(happening);
        }
        let ids: Vec<String> = self.engines.iter().map(|e| e.id.clone()).collect();
        for at in 0..self.leaders.len() {
            let leader = &mut self.leaders[at];
            if !leader.frozen {
                let calls = leader.pilot.tick(now, &ids);
                self.send(at, calls);
            }
        }
    }

    fn revive(&mut self) {
        if let Some((rank, _)) = self.down.filter(|(_, until)| self.now >= *until) {
            self.down = None;
            let number = self.rng.random::<u32>();
            let id = match number.is_multiple_of(2) {
                true => self.engines[rank].id.clone(),
                false => format!("e{rank}-{number}"),
            };
            // Either way it knows no fence, no version and no order of before.
            self.engines[rank] = Engine {
                id,
                ..Engine::default()
            };
            self.forming = Some(self.now + FORM);
        }
        if self.down.is_none() && self.forming.is_some_and(|at| self.now >= at) {
            self.forming = None;
            self.epoch += 1;
            for engine in &mut self.engines {
                // A forming keeps no order and no hold; fences end with a process alone.
                *engine = Engine {
                    id: engine.id.clone(),
                    fence: engine.fence,
                    highest: engine.highest,
                    ..Engine::default()
                };
            }
        }
    }

    /// All ranks are there, and the group makes passes.
    pub(crate) fn open(&self) -> bool {
        self.down.is_none() && self.forming.is_none()
    }

    fn begin_pass(&mut self) {
        if !self.open() || self.now < self.due {
            return;
        }
        let next = self.pass + 1;
        if self.engines.iter().any(|e| e.held == Some(next)) {
            self.held_for += TICK;
            return;
        }
        self.pass = next;
        self.due = self.now + PASS;
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
            self.moved = self.now.as_secs() / 2;
        }
        let first = (&self.engines[0].version, &self.engines[0].content);
        let alike = |e: &Engine| (&e.version, &e.content) == first;
        if !self.engines.iter().all(alike) && self.mixed.is_none() {
            let maps: Vec<u64> = self.engines.iter().map(|e| e.version).collect();
            self.mixed = Some(format!("pass {next} at {:?} ran on {maps:?}", self.now));
        }
    }

    fn remember(&mut self) {
        let views = (0..self.engines.len()).map(|r| self.view(r)).collect();
        self.past.push_back((self.now, views));
        if self.past.len() > 60 {
            self.past.pop_front();
        }
    }

    fn view(&self, rank: usize) -> EngineReport {
        let engine = &self.engines[rank];
        EngineReport {
            group: "g".into(),
            epoch: self.epoch,
            rank: rank as u32,
            open: self.open(),
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
            slowdown: self.paces[rank],
            fresh: false,
            recent_counts: None,
        }
    }

    fn send(&mut self, leader: usize, calls: Vec<Call>) {
        for call in calls {
            let way = Duration::from_millis(self.rng.random_range(1..40));
            if let EngineRequest::Order(_, _, token) = call.request {
                self.tokens.push(token);
            }
            let is_order = matches!(call.request, EngineRequest::Order(..));
            let late = is_order && self.rng.random_bool(self.trouble.late);
            let lost = late || self.rng.random_bool(self.trouble.lost);
            let delay = match late {
                true => Duration::from_millis(self.rng.random_range(2_000..12_000)),
                false => way,
            };
            if lost {
                let silent = Happening::Reply(leader, call.id, Reply::Silent);
                self.coming.push((self.now + TIMEOUT, silent));
            }
            let arrive = Happening::Arrive(leader, call, !lost);
            self.coming.push((self.now + delay, arrive));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(leader, call, answered) => {
                let number = call.id;
                let reply = self.arrive(call);
                let back = match reply {
                    Reply::Silent => TIMEOUT,
                    _ => Duration::from_millis(self.rng.random_range(1..40)),
                };
                if answered {
                    let reply = Happening::Reply(leader, number, reply);
                    self.coming.push((self.now + back, reply));
                }
            }
            Happening::Reply(leader, call, reply) => {
                let now = self.now;
                let at = &mut self.leaders[leader];
                if at.frozen {
                    let again = Happening::Reply(leader, call, reply);
                    self.coming.push((now + TICK, again));
                    return;
                }
                let calls = at.pilot.reply(now, call, reply);
                self.told.extend(at.pilot.take_slowdowns());
                self.send(leader, calls);
            }
        }
    }

    fn arrive(&mut self, call: Call) -> Reply {
        let Some(rank) = self.engines.iter().position(|e| e.id == call.engine) else {
            return Reply::Odd;
        };
        if self.down.is_some_and(|(down, _)| down == rank) {
            return Reply::Silent;
        }
        match call.request {
            EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_)
                if self.rng.random_bool(self.trouble.beside) =>
            {
                let lately = (call.request == EngineRequest::Poll).then(|| self.lately(rank));
                Reply::Report(EngineReport {
                    fresh: true,
                    recent_counts: lately,
                    ..self.view(rank)
                })
            }
            EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_) => {
                let lag = Duration::from_millis(self.rng.random_range(100..400));
                let then = self.now.saturating_sub(lag);
                let held = self.past.iter().rev().find(|(at, _)| *at <= then);
                let view = held.or(self.past.front()).map(|(_, v)| v[rank].clone());
                view.map_or(Reply::Silent, Reply::Report)
            }
            EngineRequest::Counts => self.counts(rank),
            EngineRequest::List => Reply::Silent,
            EngineRequest::Order(command, epoch, token) => {
                let reply = self.order(rank, &command, epoch, token);
                self.orders.push((command, reply.clone()));
                reply
            }
        }
    }

    /// What is liked moves on every two seconds.
    fn counts(&self, rank: usize) -> Reply {
        let hot = (self.now.as_secs() / 2) as usize % SHAPE.experts;
        let ms = self.now.as_millis() as u64;
        let count = |i: usize| ms * if i % SHAPE.experts == hot { 30 } else { 2 };
        let all = (0..SHAPE.sets * SHAPE.experts).map(|i| count(i) + rank as u64);
        Reply::Counts(self.epoch, all.collect())
    }

    /// Counts since the look before.
    fn lately(&mut self, rank: usize) -> Vec<u64> {
        match self.prompts {
            Some(prompts) if rank < prompts.ranks => return prompts.counts(&mut self.rng),
            Some(_) => return vec![0; SHAPE.sets * SHAPE.experts],
            None => {}
        }
        let Reply::Counts(_, now) = self.counts(rank) else {
            return Vec::new();
        };
        let before = std::mem::replace(&mut self.looked[rank], now.clone());
        let pairs = now.iter().zip(before.iter().chain(std::iter::repeat(&0)));
        pairs.map(|(n, b)| n.saturating_sub(*b)).collect()
    }

    fn order(&mut self, rank: usize, command: &Command, epoch: u64, token: u64) -> Reply {
        let (now, pass) = (self.now, self.pass);
        let same_epoch = epoch == self.epoch && self.open();
        let engine = &mut self.engines[rank];
        if token < engine.fence {
            return Reply::Fenced;
        }
        if !same_epoch {
            return Reply::Conflict;
        }
        engine.fence = token;
        match command {
            // Engines know no version 0 that could be armed.
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
                engine.prepared = Some((*version, content, now + COPY));
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
        pilot: SwitchController::new(term, SHAPE),
        frozen: false,
    }
}

fn name(command: &Command) -> &'static str {
    match command {
        Command::Prepare(..) => "prepare",
        Command::Arm(..) => "arm",
        Command::Disarm(..) => "disarm",
        Command::Hold(..) => "hold",
        Command::Go(..) => "go",
    }
}

/// Whether a command is the one named, such as `hold` or `disarm 7`.
fn fits(command: &Command, which: &str) -> bool {
    let full = match command {
        Command::Disarm(version) => format!("disarm {version}"),
        other => name(other).into(),
    };
    which == full || which == name(command)
}

//! A fleet on a manual clock: gateways, coordinators and backend servers as plain values, with
//! messages that take their time and get lost.

use bn_quarantine::{Case, Digest, End, Lost, Next, Standing, Start, Table, Told, Trials, Watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// A backend server that ended is back after this.
const BACK: Duration = Duration::from_millis(3_300);
/// Between two asks of a gateway for news.
const ASK: Duration = Duration::from_millis(270);
/// How long a coordinator that was stopped stays away.
const AWAY: Duration = Duration::from_millis(900);

/// The sizes and habits of a fleet.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) gateways: usize,
    pub(crate) coordinators: usize,
    pub(crate) servers: usize,
    /// Messages lost on their way.
    pub(crate) loss: f64,
    pub(crate) seed: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(usize, Digest, Duration),
    Word(usize, Digest, Duration, bool),
    RunOver(u64),
    Looked(usize, Start),
    Serve(usize),
    Ended(usize, End),
    Ask(usize, usize, Digest, Duration, Duration),
    Done(usize, Digest, bool),
    Push(usize, Told),
    Poll(usize),
    Sync(usize),
    EndServer(usize),
    StopCoordinators,
    StopGateways,
    Return(usize),
}

struct Server {
    began: u64,
    up: bool,
}

#[derive(Clone)]
struct Run {
    gateway: usize,
    server: usize,
    start: Start,
    digest: Digest,
    alone: bool,
}

#[derive(Default)]
struct Gateway {
    table: Table,
    watch: Watch,
    known: Vec<u64>,
    /// It has heard from a coordinator since its start: before, it serves nobody.
    settled: bool,
}

#[derive(Default)]
struct Coordinator {
    table: Table,
    trials: Trials,
    disk: Vec<Told>,
    away: bool,
    pushed: u64,
}

/// What the requests of a fleet met.
#[derive(Debug, Default, Clone)]
pub(crate) struct Record {
    /// When runs of guilty requests began.
    pub(crate) guilty_runs: Vec<Duration>,
    /// When backend servers ended under them.
    pub(crate) ends: Vec<Duration>,
    pub(crate) ordinary: usize,
    /// Ordinary requests that were refused for good, or told to come back.
    pub(crate) ordinary_refused: usize,
    pub(crate) ordinary_later: usize,
    pub(crate) messages: usize,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) record: Record,
    setup: Setup,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    numbered: u64,
    gateways: Vec<Gateway>,
    coordinators: Vec<Coordinator>,
    servers: Vec<Server>,
    runs: HashMap<u64, Run>,
    guilty: Vec<Digest>,
    leader: usize,
}

impl World {
    pub(crate) fn new(setup: Setup) -> World {
        let mut world = World {
            now: Duration::ZERO,
            record: Record::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            numbered: 0,
            gateways: (0..setup.gateways).map(|_| Gateway::default()).collect(),
            coordinators: (0..setup.coordinators)
                .map(|_| Coordinator::default())
                .collect(),
            servers: (0..setup.servers)
                .map(|_| Server { began: 1, up: true })
                .collect(),
            runs: HashMap::new(),
            guilty: Vec::new(),
            leader: 0,
            setup,
        };
        for gateway in 0..world.gateways.len() {
            world.gateways[gateway].known = vec![0; world.coordinators.len()];
            world.gateways[gateway].settled = true;
            let first = world.draw(ASK);
            world.at(first, Event::Poll(gateway));
        }
        for coordinator in 0..world.coordinators.len() {
            world.at(Duration::from_millis(500), Event::Sync(coordinator));
        }
        world
    }

    /// Such a request ends each backend server that runs it.
    pub(crate) fn make_guilty(&mut self, digest: Digest) {
        self.guilty.push(digest);
    }

    /// A request arrives at some gateway at that time, and takes `work`.
    pub(crate) fn arrive(&mut self, at: Duration, digest: Digest, work: Duration) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.at(at, Event::Arrive(gateway, digest, work));
    }

    /// Some backend servers end at once, for reasons of their own.
    pub(crate) fn end_servers(&mut self, at: Duration, count: usize) {
        let first = self.rng.random_range(0..self.servers.len());
        for n in 0..count {
            let server = (first + n) % self.servers.len();
            self.at(at, Event::EndServer(server));
        }
    }

    pub(crate) fn stop_coordinators(&mut self, at: Duration) {
        self.at(at, Event::StopCoordinators);
    }

    pub(crate) fn stop_gateways(&mut self, at: Duration) {
        self.at(at, Event::StopGateways);
    }

    pub(crate) fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.take(event);
            }
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.numbered += 1;
        self.events.insert(self.numbered, event);
        self.queue.push(Reverse((at, self.numbered)));
    }

    fn after(&mut self, time: Duration, event: Event) {
        self.at(self.now + time, event);
    }

    fn draw(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random())
    }

    /// A message: some milliseconds on its way, where it isn't lost.
    fn send(&mut self, event: Event) {
        self.record.messages += 1;
        if self.rng.random::<f64>() >= self.setup.loss {
            let way = Duration::from_millis(1) + self.draw(Duration::from_millis(20));
            self.after(way, event);
        }
    }

    fn is_guilty(&self, digest: Digest) -> bool {
        self.guilty.contains(&digest)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(gateway, digest, work) => self.on_arrival(gateway, digest, work),
            Event::Word(gateway, digest, work, granted) => match granted {
                true => self.begin(gateway, digest, work, true),
                false => self.later(digest),
            },
            Event::RunOver(run) => self.on_run_over(run),
            Event::Looked(gateway, start) => self.on_looked(gateway, &start),
            Event::Serve(server) => {
                let server = &mut self.servers[server];
                (server.up, server.began) = (true, server.began + 1);
            }
            Event::Ended(to, end) => self.on_ended(to, &end),
            Event::Ask(to, gateway, digest, time, work) => {
                self.on_ask(to, gateway, digest, time, work);
            }
            Event::Done(to, digest, whole) => self.on_done(to, digest, whole),
            Event::Push(gateway, told) => {
                self.gateways[gateway].table.merge(self.now, &told);
            }
            Event::Poll(gateway) => self.on_poll(gateway),
            Event::Sync(coordinator) => self.on_sync(coordinator),
            Event::EndServer(server) => self.end_server(server),
            Event::StopCoordinators => self.on_stop(),
            Event::StopGateways => {
                for gateway in &mut self.gateways {
                    *gateway = Gateway {
                        known: vec![0; gateway.known.len()],
                        ..Gateway::default()
                    };
                }
                self.runs.clear();
            }
            Event::Return(coordinator) => self.coordinators[coordinator].away = false,
        }
    }

    fn on_arrival(&mut self, gateway: usize, digest: Digest, work: Duration) {
        if !self.gateways[gateway].settled {
            return;
        }
        if !self.is_guilty(digest) {
            self.record.ordinary += 1;
        }
        match self.gateways[gateway].table.standing(digest) {
            Standing::Free => self.begin(gateway, digest, work, false),
            Standing::Refused => {
                if !self.is_guilty(digest) {
                    self.record.ordinary_refused += 1;
                }
            }
            Standing::Suspect if self.coordinators[self.leader].away => self.later(digest),
            Standing::Suspect => {
                let time = work + Duration::from_secs(1);
                self.send(Event::Ask(self.leader, gateway, digest, time, work));
            }
        }
    }

    fn later(&mut self, digest: Digest) {
        if !self.is_guilty(digest) {
            self.record.ordinary_later += 1;
        }
    }

    fn begin(&mut self, gateway: usize, digest: Digest, work: Duration, alone: bool) {
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|s| self.servers[*s].up)
            .collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let start = self.start_of(server);
        let run = Run {
            gateway,
            server,
            start,
            digest,
            alone,
        };
        self.numbered += 1;
        let number = self.numbered;
        self.runs.insert(number, run);
        if self.is_guilty(digest) {
            self.record.guilty_runs.push(self.now);
            self.after(Duration::from_millis(100), Event::EndServer(server));
        } else {
            self.after(work, Event::RunOver(number));
        }
    }

    fn start_of(&self, server: usize) -> Start {
        Start {
            id: format!("s{server}"),
            began: self.servers[server].began,
        }
    }

    fn on_run_over(&mut self, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let table = &self.gateways[run.gateway].table;
        if table.is_open(run.digest) {
            self.tell_done(run.digest, true);
        }
    }

    fn tell_done(&mut self, digest: Digest, whole: bool) {
        for to in 0..self.coordinators.len() {
            self.send(Event::Done(to, digest, whole));
        }
    }

    fn end_server(&mut self, server: usize) {
        if !self.servers[server].up {
            return;
        }
        self.servers[server].up = false;
        self.after(BACK, Event::Serve(server));
        let lost: Vec<u64> = {
            let there = self.runs.iter().filter(|(_, r)| r.server == server);
            let mut numbers: Vec<u64> = there.map(|(n, _)| *n).collect();
            numbers.sort_unstable();
            numbers
        };
        let lost: Vec<Run> = lost.iter().filter_map(|n| self.runs.remove(n)).collect();
        if lost.iter().any(|r| self.is_guilty(r.digest)) {
            self.record.ends.push(self.now);
        }
        for run in lost {
            self.on_lost(&run);
        }
    }

    fn on_lost(&mut self, run: &Run) {
        let lost = Lost {
            digest: run.digest,
            alone: run.alone,
            given_up: false,
        };
        let address = SocketAddr::from(([127, 0, 0, 1], run.server as u16 + 1));
        let watch = &mut self.gateways[run.gateway].watch;
        match watch.lost(self.now, &run.start, address, lost) {
            Next::Wait => {}
            Next::Look => {
                let way = Duration::from_millis(2) + self.draw(Duration::from_millis(10));
                self.after(way, Event::Looked(run.gateway, run.start.clone()));
            }
            Next::Tell(end) => self.tell_end(&end),
        }
        if run.alone {
            self.tell_done(run.digest, false);
        }
    }

    fn on_looked(&mut self, gateway: usize, start: &Start) {
        let end = self.gateways[gateway].watch.ended(self.now, start);
        if let Some(end) = end {
            self.tell_end(&end);
        }
    }

    fn tell_end(&mut self, end: &End) {
        for to in 0..self.coordinators.len() {
            self.send(Event::Ended(to, end.clone()));
        }
    }

    fn on_ended(&mut self, to: usize, end: &End) {
        let now = self.now;
        let coordinator = &mut self.coordinators[to];
        if coordinator.away {
            return;
        }
        for (digest, alone) in &end.runs {
            coordinator.table.ended(now, *digest, &end.start, *alone);
        }
        self.settle(to);
    }

    /// Writes what is refused, and pushes what gateways act on to those that are its own to tell.
    fn settle(&mut self, to: usize) {
        let coordinator = &mut self.coordinators[to];
        coordinator.disk = coordinator.table.refused();
        let acted_on = |c: &Case| c.standing() != Standing::Free || c.round > 0;
        let mut told = coordinator.table.since(coordinator.pushed);
        coordinator.pushed = coordinator.table.turn();
        told.retain(|t| acted_on(&t.case));
        let own = (0..self.gateways.len()).filter(|g| g % self.setup.coordinators == to);
        for gateway in own.collect::<Vec<_>>() {
            for told in &told {
                self.send(Event::Push(gateway, told.clone()));
            }
        }
    }

    fn on_ask(
        &mut self,
        to: usize,
        gateway: usize,
        digest: Digest,
        time: Duration,
        work: Duration,
    ) {
        let now = self.now;
        let coordinator = &mut self.coordinators[to];
        if coordinator.away || to != self.leader {
            return;
        }
        let refused = coordinator.table.standing(digest) == Standing::Refused;
        let granted = !refused && coordinator.trials.grant(now, digest, time);
        self.send(Event::Word(gateway, digest, work, granted));
    }

    fn on_done(&mut self, to: usize, digest: Digest, whole: bool) {
        let now = self.now;
        let coordinator = &mut self.coordinators[to];
        if coordinator.away {
            return;
        }
        coordinator.trials.done(now, digest, whole);
        if whole && coordinator.table.close(now, digest) {
            self.settle(to);
        }
    }

    fn on_poll(&mut self, gateway: usize) {
        self.after(ASK, Event::Poll(gateway));
        let to = self.rng.random_range(0..self.coordinators.len());
        if self.coordinators[to].away {
            return;
        }
        let known = self.gateways[gateway].known[to];
        let table = &self.coordinators[to].table;
        let (told, turn) = (table.since(known), table.turn());
        // Another start counts anew.
        let told = if turn < known { table.since(0) } else { told };
        self.gateways[gateway].known[to] = turn;
        self.gateways[gateway].settled = true;
        for told in told {
            self.gateways[gateway].table.merge(self.now, &told);
        }
    }

    fn on_sync(&mut self, to: usize) {
        self.after(Duration::from_millis(500), Event::Sync(to));
        let told: Vec<Told> = self
            .coordinators
            .iter()
            .flat_map(|c| c.table.since(0))
            .collect();
        let coordinator = &mut self.coordinators[to];
        if coordinator.away {
            return;
        }
        for told in &told {
            coordinator.table.merge(self.now, told);
        }
        self.settle(to);
    }

    /// All coordinators stop and come back with what is on their disks; another one leads.
    fn on_stop(&mut self) {
        for coordinator in &mut self.coordinators {
            let disk = std::mem::take(&mut coordinator.disk);
            *coordinator = Coordinator {
                away: true,
                ..Coordinator::default()
            };
            for told in &disk {
                coordinator.table.merge(self.now, told);
            }
            coordinator.disk = disk;
        }
        self.leader = (self.leader + 1) % self.coordinators.len();
        for coordinator in 0..self.coordinators.len() {
            self.after(AWAY, Event::Return(coordinator));
        }
    }
}

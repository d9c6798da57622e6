//! The simulated processes and their clock.

use crate::coordinator::{Coordinator, PeerPoll};
use crate::gateway::Gateway;
use crate::messages::{Packet, Process, contacts_size, poll_size, update_size};
use crate::server::{Server, record, server_id};
use crate::traffic::{Traffic, TrafficRate, peak_rate};
use bn_coordinator::{Departure, Health, Step};
use bn_gateway::{PollState, UpdateRange};
use bn_registry::{BackendId, StartTime};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
/// Incarnation of a coordinator's first start.
const FIRST_INCARNATION: u64 = 1;
/// Coordinators that the settings name as seeds.
const SEED_COUNT: usize = 3;
const PORT: u16 = 7340;

/// Size of a fleet and quality of its links.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSpec {
    /// Gateways.
    pub gateways: usize,
    /// Coordinators.
    pub coordinators: usize,
    /// Fraction of the messages that is lost.
    pub loss_rate: f64,
}

/// A simulated fleet.
pub struct Simulation {
    now: Duration,
    rng: SmallRng,
    spec: FleetSpec,
    inboxes: Vec<SocketAddr>,
    coordinators: Vec<Coordinator>,
    gateways: Vec<Gateway>,
    servers: IndexMap<usize, Server>,
    by_inbox: IndexMap<SocketAddr, usize>,
    in_transit: Vec<(Duration, Packet)>,
    announced: IndexMap<String, Duration>,
    calls: u64,
    /// Outcome of each departure, by call: whether it was acknowledged.
    outcomes: IndexMap<u64, bool>,
    counting_since: Duration,
}

impl Simulation {
    /// Creates a fleet whose processes all start now.
    pub fn new(seed: u64, spec: FleetSpec) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let inboxes: Vec<SocketAddr> = (0..spec.coordinators).map(coordinator_inbox).collect();
        let coordinators = (0..spec.coordinators)
            .map(|_| Coordinator::start(FIRST_INCARNATION))
            .collect();
        let seeds: Vec<SocketAddr> = inboxes.iter().copied().take(SEED_COUNT).collect();
        let gateway = |n: usize| {
            let next_poll = Duration::from_millis(rng.random_range(0..100));
            Gateway::new(n, seeds.clone(), rng.random_range(0..1 << 16), next_poll)
        };
        let gateways: Vec<Gateway> = (0..spec.gateways).map(gateway).collect();
        let by_inbox = gateways.iter().enumerate().map(|(n, g)| (g.inbox, n));
        Simulation {
            now: Duration::ZERO,
            spec,
            by_inbox: by_inbox.collect(),
            inboxes,
            coordinators,
            gateways,
            servers: IndexMap::new(),
            in_transit: Vec::new(),
            announced: IndexMap::new(),
            calls: 0,
            outcomes: IndexMap::new(),
            counting_since: Duration::ZERO,
            rng,
        }
    }

    /// Advances the clock by `time`.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.advance();
        }
    }

    /// Announces a backend server at a random running coordinator.
    pub fn announce(&mut self, number: usize) {
        let record = record(number, 1);
        self.announced.insert(record.id.clone(), self.now);
        let count = self.coordinators.len();
        let first = self.rng.random_range(0..count);
        let mut all = (first..first + count).map(|c| c % count);
        let running = |c: &usize| self.coordinators.get(*c).is_some_and(|c| !c.stopped);
        let to = all.find(running);
        if let Some(coordinator) = to.and_then(|c| self.coordinators.get_mut(c)) {
            coordinator.announce(self.now, record);
        }
    }

    /// Starts a backend server that announces itself to one coordinator again and again; a later
    /// start replaces it.
    pub fn start_server(&mut self, number: usize, start_time: StartTime, coordinator: usize) {
        let server = Server::new(number, start_time, coordinator);
        self.servers.insert(number, server);
    }

    /// A backend server crashes: it announces itself no more.
    pub fn crash_server(&mut self, number: usize) {
        if let Some(server) = self.servers.get_mut(&number) {
            server.announces = false;
        }
    }

    /// A backend server announces itself no more, and its health check says that it leaves. Its
    /// departure has still to be sent.
    pub fn retire_server(&mut self, number: usize) {
        self.crash_server(number);
        if let Some(server) = self.servers.get_mut(&number) {
            server.health = Health::Leaving;
        }
    }

    /// A departure, which names no start, reaches a coordinator now; returns its call.
    pub fn depart(&mut self, number: usize, coordinator: usize) -> u64 {
        self.calls += 1;
        let (call, id) = (self.calls, server_id(number));
        if let Some(at) = self.coordinators.get_mut(coordinator) {
            at.departures.insert(call, Departure::new(self.now, &id));
        }
        for to in (0..self.inboxes.len()).filter(|to| *to != coordinator) {
            self.ask(coordinator, Process::Coordinator(to), call, &id);
        }
        call
    }

    /// Whether a departure was acknowledged; `None` while it is not answered.
    pub fn outcome(&self, call: u64) -> Option<bool> {
        self.outcomes.get(&call).copied()
    }

    /// Cuts a coordinator off from the other coordinators and from gateways, or ends that.
    pub fn cut_off(&mut self, coordinator: usize, cut_off: bool) {
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.cut_off = cut_off;
        }
    }

    /// Starts one more gateway.
    pub fn start_gateway(&mut self) {
        let seeds: Vec<SocketAddr> = self.inboxes.iter().copied().take(SEED_COUNT).collect();
        let n = self.gateways.len();
        let gateway = Gateway::new(n, seeds, self.rng.random_range(0..1 << 16), self.now);
        self.by_inbox.insert(gateway.inbox, n);
        self.gateways.push(gateway);
    }

    /// Numbers of coordinators and of gateways that know a backend server as present.
    pub fn knowing(&self, number: usize) -> (usize, usize) {
        let id = server_id(number);
        let lists = |c: &&Coordinator| c.registry.present().any(|r| r.id == id);
        let coordinators = self.coordinators.iter().filter(lists).count();
        let gateways = self.gateways.iter().filter(|g| g.uses(&id)).count();
        (coordinators, gateways)
    }

    /// Stops one coordinator for good.
    pub fn stop(&mut self, coordinator: usize) {
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.stopped = true;
        }
    }

    /// Restarts one coordinator with an empty registry.
    pub fn restart(&mut self, coordinator: usize) {
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.restart();
        }
    }

    /// Resets the traffic counts.
    pub fn reset_counts(&mut self) {
        self.counting_since = self.now;
        self.coordinators
            .iter_mut()
            .for_each(|c| (c.traffic, c.contact_traffic) = Default::default());
        self.gateways
            .iter_mut()
            .for_each(|g| g.traffic = Traffic::default());
    }

    /// Peak rates of a coordinator and of a gateway since the last reset of the counts.
    pub fn peak_rates(&self) -> (TrafficRate, TrafficRate) {
        let time = self.now.saturating_sub(self.counting_since);
        let coordinators = self.coordinators.iter().map(|c| c.traffic);
        let gateways = self.gateways.iter().map(|g| g.traffic);
        (peak_rate(coordinators, time), peak_rate(gateways, time))
    }

    /// Peak rate of a coordinator's reports of contacts since the last reset of the counts.
    pub fn contact_rate(&self) -> TrafficRate {
        let time = self.now.saturating_sub(self.counting_since);
        peak_rate(self.coordinators.iter().map(|c| c.contact_traffic), time)
    }

    /// Mean number of copies of one change that one gateway received.
    pub fn mean_copies(&self) -> f64 {
        let all = self.gateways.iter().flat_map(|g| g.known.values());
        let (sum, count) = all.fold((0, 0), |(s, n), server| (s + server.copies, n + 1));
        f64::from(sum) / f64::from(count)
    }

    /// Longest time from an announcement until a gateway learned of it; `None` if one never did.
    pub fn max_delay(&self) -> Option<Duration> {
        let mut longest = Duration::ZERO;
        for gateway in &self.gateways {
            for (id, announced) in &self.announced {
                let known = gateway.known.get(id)?;
                longest = longest.max(known.first_received.saturating_sub(*announced));
            }
        }
        Some(longest)
    }

    fn advance(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.in_transit = later;
        for (_, packet) in due {
            self.deliver(packet);
        }
        self.announce_servers();
        for at in 0..self.coordinators.len() {
            self.poll_peers(at);
            self.advance_departures(at);
            self.push(at);
        }
        for at in 0..self.gateways.len() {
            self.poll(at);
        }
    }

    fn poll(&mut self, at: usize) {
        let now = self.now;
        let polled = self.gateways.get_mut(at).and_then(|g| g.poll(now));
        let Some((to, poll_state)) = polled else {
            return;
        };
        let coordinator = self.inboxes.iter().position(|i| *i == to);
        if let Some(coordinator) = coordinator {
            self.send(Packet::Poll {
                gateway: at,
                coordinator,
                poll_state,
            });
        }
    }

    fn push(&mut self, at: usize) {
        let now = self.now;
        let Some(coordinator) = self.coordinators.get_mut(at).filter(|c| !c.stopped) else {
            return;
        };
        let mut packets = Vec::new();
        for push in coordinator.push(now) {
            let gateways = push.inboxes.iter().filter_map(|i| self.by_inbox.get(i));
            packets.extend(gateways.map(|gateway| Packet::Update {
                coordinator: at,
                gateway: *gateway,
                range: push.range,
                changed: push.changed.clone(),
            }));
        }
        let leaving = coordinator.take_leaving(now);
        if !leaving.is_empty() {
            let others = self.gateways.iter().enumerate();
            let others = others.filter(|(_, g)| !coordinator.subscribers.contains(g.inbox));
            packets.extend(others.map(|(gateway, _)| Packet::Update {
                coordinator: at,
                gateway,
                range: UpdateRange::default(),
                changed: leaving.clone(),
            }));
        }
        if let Some(update) = coordinator.push_to_peers(now) {
            let others = (0..self.inboxes.len()).filter(|to| *to != at);
            packets.extend(others.map(|to| Packet::PeerUpdate {
                from: at,
                to,
                update: update.clone(),
            }));
        }
        packets.into_iter().for_each(|m| self.send(m));
    }

    fn announce_servers(&mut self) {
        let now = self.now;
        let count = self.coordinators.len().max(1);
        for server in self.servers.values_mut() {
            let Some(record) = server.announce(now) else {
                continue;
            };
            for _ in 0..count {
                let coordinator = self.coordinators.get_mut(server.coordinator);
                if let Some(coordinator) = coordinator.filter(|c| !c.stopped) {
                    coordinator.announce(now, record);
                    break;
                }
                server.coordinator = (server.coordinator + 1) % count;
            }
        }
    }

    fn poll_peers(&mut self, at: usize) {
        let now = self.now;
        let running = |c: &&Coordinator| !c.stopped && !c.cut_off;
        let majority =
            self.coordinators.iter().filter(running).count() > self.spec.coordinators / 2;
        let Some(coordinator) = self.coordinators.get_mut(at).filter(|c| !c.stopped) else {
            return;
        };
        let in_touch = majority && !coordinator.cut_off;
        let Some(doubted) = coordinator.poll_peers(now, in_touch) else {
            return;
        };
        for to in (0..self.inboxes.len()).filter(|to| *to != at) {
            let known = self.coordinators.get(at).map(|c| c.known_of(to));
            let poll = PeerPoll {
                known: known.unwrap_or_default(),
                doubted: doubted.clone(),
            };
            self.send(Packet::PeerPoll { from: at, to, poll });
        }
    }

    fn advance_departures(&mut self, at: usize) {
        let now = self.now;
        let voters: Vec<IpAddr> = self.inboxes.iter().map(SocketAddr::ip).collect();
        let Some(own) = voters.get(at).copied() else {
            return;
        };
        let Some(coordinator) = self.coordinators.get_mut(at).filter(|c| !c.stopped) else {
            return;
        };
        let mut asks = Vec::new();
        for id in coordinator.registry.take_doubtful_departures(now) {
            self.calls += 1;
            let departure = Departure::new(now, &id);
            coordinator.departures.insert(self.calls, departure);
        }
        let departures = std::mem::take(&mut coordinator.departures);
        for (call, mut departure) in departures {
            let outcome = loop {
                match departure.next_step(now, &coordinator.registry, own, &voters) {
                    Step::Wait => break None,
                    Step::AskGateways => asks.push((call, departure.id().to_string())),
                    Step::CheckHealth => {
                        let servers = self.servers.values();
                        let mut checked = servers.filter(|s| s.record.id == departure.id());
                        let health = checked.next().map_or(Health::Unknown, |s| s.health);
                        departure.record_health(health);
                    }
                    Step::Depart(start_time) => coordinator.depart(now, departure.id(), start_time),
                    Step::Acknowledge => break Some(true),
                    Step::Refuse => break Some(false),
                }
            };
            match outcome {
                Some(outcome) => {
                    self.outcomes.insert(call, outcome);
                }
                None => {
                    coordinator.departures.insert(call, departure);
                }
            }
        }
        for (call, id) in asks {
            for gateway in 0..self.gateways.len() {
                self.ask(at, Process::Gateway(gateway), call, &id);
            }
        }
    }

    fn ask(&mut self, from: usize, to: Process, call: u64, id: &str) {
        let id = id.into();
        self.send(Packet::Ask { from, to, call, id });
    }

    fn send(&mut self, packet: Packet) {
        self.count_traffic(&packet);
        if !self.is_cut(&packet) && !self.rng.random_bool(self.spec.loss_rate) {
            let latency = Duration::from_millis(self.rng.random_range(1..4));
            self.in_transit.push((self.now + latency, packet));
        }
    }

    /// Whether a cut is between the ends of a message.
    fn is_cut(&self, packet: &Packet) -> bool {
        let cut = |c: &usize| self.coordinators.get(*c).is_some_and(|c| c.cut_off);
        match packet {
            Packet::Poll { coordinator, .. } | Packet::Update { coordinator, .. } => {
                cut(coordinator)
            }
            Packet::PeerPoll { from, to, .. } | Packet::PeerUpdate { from, to, .. } => {
                cut(from) || cut(to)
            }
            Packet::Ask { from, to, .. }
            | Packet::Answer {
                to: from, from: to, ..
            } => cut(from) || matches!(to, Process::Coordinator(to) if cut(to)),
        }
    }

    /// Counts a message at both ends. Of what coordinators exchange, only reports of contacts are
    /// counted, apart from the rest.
    fn count_traffic(&mut self, packet: &Packet) {
        let (coordinator, gateway, bytes) = match packet {
            Packet::Poll {
                gateway,
                coordinator,
                poll_state,
            } => {
                let inbox = gateway_inbox(*gateway);
                (*coordinator, *gateway, poll_size(inbox, poll_state))
            }
            Packet::Update {
                coordinator,
                gateway,
                range,
                changed,
            } => {
                let inbox = coordinator_inbox(*coordinator);
                let bytes = update_size(inbox, &self.inboxes, range, changed);
                (*coordinator, *gateway, bytes)
            }
            Packet::PeerUpdate { from, to, update } => {
                let bytes = contacts_size(coordinator_inbox(*from), &self.inboxes, update);
                for end in [*from, *to] {
                    let end = self.coordinators.get_mut(end).filter(|_| bytes > 0);
                    end.into_iter().for_each(|c| c.contact_traffic.add(bytes));
                }
                return;
            }
            Packet::PeerPoll { .. } | Packet::Ask { .. } | Packet::Answer { .. } => return,
        };
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.traffic.add(bytes);
        }
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.traffic.add(bytes);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::PeerPoll { from, to, poll } => {
                let update = self.running(to).map(|c| c.answer_peer(now, &poll));
                if let Some(update) = update {
                    let (from, to) = (to, from);
                    self.send(Packet::PeerUpdate { from, to, update });
                }
            }
            Packet::PeerUpdate { from, to, update } => {
                let unknown = self.running(to).map(|c| c.receive(now, from, &update));
                for id in unknown.unwrap_or_default() {
                    self.ask(to, Process::Coordinator(from), 0, &id);
                }
            }
            Packet::Ask { from, to, call, id } => self.answer_ask(from, to, call, &id),
            Packet::Answer {
                from,
                to,
                call,
                registration,
            } => {
                let ip = match from {
                    Process::Coordinator(n) => coordinator_inbox(n).ip(),
                    Process::Gateway(n) => gateway_inbox(n).ip(),
                };
                if let Some(coordinator) = self.running(to) {
                    registration.iter().for_each(|r| coordinator.merge(now, r));
                    let departure = coordinator.departures.get_mut(&call);
                    departure.into_iter().for_each(|d| d.record_answer(ip));
                }
            }
            Packet::Poll {
                gateway,
                coordinator,
                poll_state,
            } => self.answer(gateway, coordinator, poll_state),
            Packet::Update {
                coordinator,
                gateway,
                range,
                changed,
            } => {
                let inbox = coordinator_inbox(coordinator);
                if let Some(gateway) = self.gateways.get_mut(gateway) {
                    gateway.receive(now, inbox, range, &changed);
                    gateway.sources.set_members(&self.inboxes);
                }
            }
        }
    }

    fn running(&mut self, at: usize) -> Option<&mut Coordinator> {
        self.coordinators.get_mut(at).filter(|c| !c.stopped)
    }

    fn answer_ask(&mut self, asker: usize, asked: Process, call: u64, id: &BackendId) {
        let now = self.now;
        let registration = match asked {
            Process::Coordinator(at) => match self.running(at) {
                Some(coordinator) => coordinator.registration(now, id),
                None => return,
            },
            Process::Gateway(at) => {
                let gateway = self.gateways.get(at);
                let held = gateway.and_then(|g| g.registrations.get(id));
                held.map(Into::into)
            }
        };
        self.send(Packet::Answer {
            from: asked,
            to: asker,
            call,
            registration,
        });
    }

    fn answer(&mut self, gateway: usize, at: usize, poll_state: PollState) {
        let now = self.now;
        let Some(coordinator) = self.coordinators.get_mut(at).filter(|c| !c.stopped) else {
            return;
        };
        let (range, changed) = coordinator.answer_poll(now, gateway_inbox(gateway), poll_state);
        self.send(Packet::Update {
            coordinator: at,
            gateway,
            range,
            changed,
        });
    }
}

pub(crate) fn coordinator_inbox(n: usize) -> SocketAddr {
    ([10, 0, 1, n as u8], PORT).into()
}

pub(crate) fn gateway_inbox(n: usize) -> SocketAddr {
    ([10, 1, (n >> 8) as u8, n as u8], PORT).into()
}

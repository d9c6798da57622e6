//! The simulated processes and their clock.

use crate::coordinator::{Coordinator, PeerPoll};
use crate::gateway::Gateway;
use crate::messages::{Packet, Process, contacts_size, poll_size, update_size};
use crate::server::{Server, record};
use crate::traffic::{Traffic, TrafficRate, peak_rate};
use bn_gateway::{PollState, UpdateRange};
use bn_registry::BackendId;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
/// Incarnation of a coordinator's first start.
const FIRST_INCARNATION: u64 = 1;
/// Coordinators that the settings name as seeds.
pub(crate) const SEED_COUNT: usize = 3;
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
    pub(crate) now: Duration,
    pub(crate) rng: SmallRng,
    spec: FleetSpec,
    pub(crate) inboxes: Vec<SocketAddr>,
    pub(crate) coordinators: Vec<Coordinator>,
    pub(crate) gateways: Vec<Gateway>,
    pub(crate) servers: IndexMap<usize, Server>,
    pub(crate) by_inbox: IndexMap<SocketAddr, usize>,
    in_transit: Vec<(Duration, Packet)>,
    announced: IndexMap<String, Duration>,
    pub(crate) calls: u64,
    /// Outcome of each departure, by call: whether it was acknowledged.
    pub(crate) outcomes: IndexMap<u64, bool>,
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

    pub(crate) fn ask(&mut self, from: usize, to: Process, call: u64, id: &str) {
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

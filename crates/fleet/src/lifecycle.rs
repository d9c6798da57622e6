//! Simulated backend servers over time: starts, announcements, crashes and departures; and processes
//! that start later or are cut off.

use crate::coordinator::Coordinator;
use crate::gateway::Gateway;
use crate::messages::Process;
use crate::server::{Server, server_id};
use crate::simulation::{SEED_COUNT, Simulation};
use bn_coordinator::{Departure, Health, Step};
use bn_registry::StartTime;
use rand::RngExt;
use std::net::{IpAddr, SocketAddr};

impl Simulation {
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
            at.departures
                .insert(call, Departure::new(self.now, &id, None));
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

    pub(crate) fn announce_servers(&mut self) {
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

    pub(crate) fn advance_departures(&mut self, at: usize) {
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
            let departure = Departure::new(now, &id, None);
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
                        departure.record_health(now, health);
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
}

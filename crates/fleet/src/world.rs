//! The processes of the model and their clock.

use crate::coordinator::Coordinator;
use crate::gateway::Gateway;
use crate::mail::{Mail, ask_size, news_size};
use crate::tally::{Load, Tally, busiest};
use bn_backpressure::Limit;
use bn_gateway::PollState;
use bn_registry::{Condition, Record};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);
/// Number of a coordinator's first start.
const FIRST: u64 = 1;
/// Coordinators that settings name.
const SEEDS: usize = 3;
const PORT: u16 = 7340;

/// How large a fleet is, and how its links fare.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Gateways.
    pub gateways: usize,
    /// Coordinators.
    pub coordinators: usize,
    /// Part of the messages that is lost.
    pub lost: f64,
}

/// A fleet under way.
pub struct World {
    now: Duration,
    rng: SmallRng,
    shape: Shape,
    inboxes: Vec<SocketAddr>,
    coordinators: Vec<Coordinator>,
    gateways: Vec<Gateway>,
    by_inbox: IndexMap<SocketAddr, usize>,
    mail: Vec<(Duration, Mail)>,
    announced: IndexMap<String, Duration>,
    counted: Duration,
}

impl World {
    /// A fleet that starts now, all of it at once.
    pub fn new(seed: u64, shape: Shape) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let inboxes: Vec<SocketAddr> = (0..shape.coordinators).map(coordinator_inbox).collect();
        let coordinators = (0..shape.coordinators)
            .map(|_| Coordinator::start(FIRST))
            .collect();
        let seeds: Vec<SocketAddr> = inboxes.iter().copied().take(SEEDS).collect();
        let gateway = |n: usize| {
            let due = Duration::from_millis(rng.random_range(0..100));
            Gateway::new(n, seeds.clone(), rng.random_range(0..1 << 16), due)
        };
        let gateways: Vec<Gateway> = (0..shape.gateways).map(gateway).collect();
        let by_inbox = gateways.iter().enumerate().map(|(n, g)| (g.inbox, n));
        World {
            now: Duration::ZERO,
            shape,
            by_inbox: by_inbox.collect(),
            inboxes,
            coordinators,
            gateways,
            mail: Vec::new(),
            announced: IndexMap::new(),
            counted: Duration::ZERO,
            rng,
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// A backend server announces itself at some coordinator that runs.
    pub fn announce(&mut self, number: usize) {
        let record = record(number);
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

    /// One coordinator does nothing any more.
    pub fn stop(&mut self, coordinator: usize) {
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.stopped = true;
        }
    }

    /// One coordinator starts again, and knows nothing.
    pub fn start_anew(&mut self, coordinator: usize) {
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.start_anew();
        }
    }

    /// Counts of messages begin anew.
    pub fn count_anew(&mut self) {
        self.counted = self.now;
        self.coordinators
            .iter_mut()
            .for_each(|c| c.tally = Tally::default());
        self.gateways
            .iter_mut()
            .for_each(|g| g.tally = Tally::default());
    }

    /// Load of the busiest coordinator and of the busiest gateway since the counts began.
    pub fn loads(&self) -> (Load, Load) {
        let time = self.now.saturating_sub(self.counted);
        let coordinators = self.coordinators.iter().map(|c| c.tally);
        let gateways = self.gateways.iter().map(|g| g.tally);
        (busiest(coordinators, time), busiest(gateways, time))
    }

    /// Copies of one change that came to one gateway, in the mean.
    pub fn copies(&self) -> f64 {
        let all = self.gateways.iter().flat_map(|g| g.held.values());
        let (sum, count) = all.fold((0, 0), |(s, n), h| (s + h.copies, n + 1));
        f64::from(sum) / f64::from(count)
    }

    /// Longest time from an announcement until a gateway knew of it; none where one never did.
    pub fn latest(&self) -> Option<Duration> {
        let mut latest = Duration::ZERO;
        for gateway in &self.gateways {
            for (id, announced) in &self.announced {
                let held = gateway.held.get(id)?;
                latest = latest.max(held.first.saturating_sub(*announced));
            }
        }
        Some(latest)
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.mail = later;
        for (_, mail) in due {
            self.deliver(mail);
        }
        for at in 0..self.coordinators.len() {
            self.push(at);
        }
        for at in 0..self.gateways.len() {
            self.ask(at);
        }
    }

    fn ask(&mut self, at: usize) {
        let now = self.now;
        let asked = self.gateways.get_mut(at).and_then(|g| g.ask(now));
        let Some((to, position)) = asked else {
            return;
        };
        let coordinator = self.inboxes.iter().position(|i| *i == to);
        if let Some(coordinator) = coordinator {
            self.post(Mail::Ask {
                gateway: at,
                coordinator,
                position,
            });
        }
    }

    fn push(&mut self, at: usize) {
        let now = self.now;
        let Some(coordinator) = self.coordinators.get_mut(at).filter(|c| !c.stopped) else {
            return;
        };
        let mut mail = Vec::new();
        for push in coordinator.push(now) {
            let gateways = push.inboxes.iter().filter_map(|i| self.by_inbox.get(i));
            mail.extend(gateways.map(|gateway| Mail::News {
                coordinator: at,
                gateway: *gateway,
                telling: push.telling,
                changed: push.changed.clone(),
            }));
        }
        if let Some(changed) = coordinator.tell_others(now) {
            let others = (0..self.inboxes.len()).filter(|to| *to != at);
            mail.extend(others.map(|to| Mail::Among {
                from: at,
                to,
                changed: changed.clone(),
            }));
        }
        mail.into_iter().for_each(|m| self.post(m));
    }

    fn post(&mut self, mail: Mail) {
        self.count(&mail);
        if !self.rng.random_bool(self.shape.lost) {
            let way = Duration::from_millis(self.rng.random_range(1..4));
            self.mail.push((self.now + way, mail));
        }
    }

    /// Both ends count a message. What coordinators tell each other is left out: their asks, which
    /// repair it, are not modelled.
    fn count(&mut self, mail: &Mail) {
        let (coordinator, gateway, bytes) = match mail {
            Mail::Ask {
                gateway,
                coordinator,
                position,
            } => {
                let inbox = gateway_inbox(*gateway);
                (*coordinator, *gateway, ask_size(inbox, position))
            }
            Mail::News {
                coordinator,
                gateway,
                telling,
                changed,
            } => {
                let inbox = coordinator_inbox(*coordinator);
                let bytes = news_size(inbox, &self.inboxes, telling, changed);
                (*coordinator, *gateway, bytes)
            }
            Mail::Among { .. } => return,
        };
        if let Some(coordinator) = self.coordinators.get_mut(coordinator) {
            coordinator.tally.add(bytes);
        }
        if let Some(gateway) = self.gateways.get_mut(gateway) {
            gateway.tally.add(bytes);
        }
    }

    fn deliver(&mut self, mail: Mail) {
        let now = self.now;
        match mail {
            Mail::Among { from, to, changed } => {
                let running = self.coordinators.get(from).is_some_and(|c| !c.stopped);
                if let Some(to) = self.coordinators.get_mut(to).filter(|_| running) {
                    to.take(now, &changed);
                }
            }
            Mail::Ask {
                gateway,
                coordinator,
                position,
            } => self.answer(gateway, coordinator, position),
            Mail::News {
                coordinator,
                gateway,
                telling,
                changed,
            } => {
                let inbox = coordinator_inbox(coordinator);
                if let Some(gateway) = self.gateways.get_mut(gateway) {
                    gateway.take(now, inbox, telling, &changed);
                    gateway.sources.set_members(&self.inboxes);
                }
            }
        }
    }

    fn answer(&mut self, gateway: usize, at: usize, position: PollState) {
        let Some(coordinator) = self.coordinators.get_mut(at).filter(|c| !c.stopped) else {
            return;
        };
        let (telling, changed) = coordinator.answer(gateway_inbox(gateway), position);
        self.post(Mail::News {
            coordinator: at,
            gateway,
            telling,
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

fn record(number: usize) -> Record {
    Record {
        id: format!("server-{number:08}"),
        start_time: 1,
        service: "service".into(),
        address: Some(([10, 2, (number >> 8) as u8, number as u8], 8_000).into()),
        domain: "domain-1".into(),
        slots: 6,
        condition: Condition::Ready,
        sequence: 1,
        group: "group-1".into(),
        slowdown: 0,
        rank_version: 1 << 32,
        limit: Limit::default(),
    }
}

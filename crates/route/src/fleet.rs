//! All backend servers of a gateway that sends requests to them itself, and which of them a
//! request goes to.

use crate::server::{Began, Server, ServerId, Told, Unit, quick_enough};
use bn_backpressure::GatewaySet;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Weight of the newest telling in the load that others usually cause. It speaks of the last seven
/// or so: half a second where a gateway starts 15 streams a second.
const HEARD: f64 = 0.15;
/// What was heard of the load that others cause fades over this time, and gives way to what is
/// assumed. A busy gateway hears several times a second, one of many once in several seconds.
const HEARD_FOR: Duration = Duration::from_secs(3);
/// Random part of the cost, so that gateways with the same news do not all turn to the
/// same backend server.
const JITTER: f64 = 0.02;

/// Between two probes of a group that stands still. It is back some seconds after the rank
/// that it lacks; all its ranks reject at once until then.
const STILL_PROBE: Duration = Duration::from_millis(300);
/// A group that has stood still for so long is not expected back within the time for which a caller
/// may be held: a rank that crashed is back, and its group formed anew, in half of it.
const DOWN_AFTER: Duration = Duration::from_secs(8);

/// What a request asks of the fleet.
#[derive(Clone, Copy)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// Backend servers it was sent to already.
    pub tried: &'a [ServerId],
    /// It may go to no other one where this one turns it away.
    pub last: bool,
    /// Load over slots up to which a backend server of a unit is taken.
    pub room: &'a dyn Fn(&str) -> f64,
}

/// Why there is no backend server for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// The service has none, or all were tried or are leaving.
    Servers,
    /// All are full.
    Room,
    /// The group stands still, and it is not yet time for a probe.
    Still,
    /// The same for so long that there is no use in waiting for it.
    Down,
    /// All take no request of this gateway before then, as they asked; none where other gateways send
    /// to them.
    Held(Option<Duration>),
}

/// A group that stands still.
#[derive(Debug, Clone, Copy)]
struct Still {
    since: Duration,
    /// When the next probe may go there.
    probe: Duration,
}

/// What one backend server of a unit bears, and what others cause there.
struct Bearing {
    room: f64,
    usual: f64,
}

/// All backend servers that a gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub(crate) servers: IndexMap<ServerId, Server>,
    domain: String,
    /// Load over slots that others cause, by unit: its mean of late, and when it was heard.
    heard: IndexMap<Unit, (f64, Duration)>,
    /// Units that stand still.
    still: IndexMap<Unit, Still>,
    /// Other gateways that send requests to the same backend servers.
    pub peers: u32,
    /// What decides of this gateway's part of limits.
    pub(crate) share: GatewaySet,
    /// Backend servers whose limit coordinators may not know, and when they were told it last.
    pub(crate) untold: IndexMap<ServerId, Option<Duration>>,
}

impl Fleet {
    /// An empty fleet for a gateway of that failure domain.
    pub fn new(domain: &str) -> Fleet {
        Fleet {
            servers: IndexMap::new(),
            domain: domain.into(),
            heard: IndexMap::new(),
            still: IndexMap::new(),
            peers: 0,
            share: GatewaySet::default(),
            untold: IndexMap::new(),
        }
    }

    /// Adds a backend server, or takes its new particulars.
    pub fn put(&mut self, server: Server) {
        match self.servers.get_mut(&server.id) {
            Some(known) => {
                // Its own answers are sooner than what announces it, which may never come.
                known.leaving = server.leaving || known.terms.is_leaving();
                known.pace = server.pace;
                known.unit = server.unit;
                known.slots = server.slots;
            }
            None => {
                self.servers.insert(server.id.clone(), server);
            }
        }
    }

    /// Removes a backend server.
    pub fn remove(&mut self, id: &str) {
        self.servers.shift_remove(id);
        self.untold.swap_remove(id);
    }

    /// The backend server of an id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Picks the backend server that costs least; `random` gives numbers in `0..1`. Load counts against
    /// what its unit bears: a slow group is full sooner than a quick one. Where all are out for failing,
    /// the one that has been longest is tried: being refused at once is worse than one more failure.
    pub fn pick(
        &self,
        now: Duration,
        want: &Want<'_>,
        mut random: impl FnMut() -> f64,
    ) -> Result<&Server, Lack> {
        let is_open = |s: &&Server| !s.leaving && !want.tried.contains(&s.id);
        let open: Vec<&Server> = self.of(want.service).filter(is_open).collect();
        if open.is_empty() {
            return Err(Lack::Servers);
        }
        let moves = |s: &&Server| self.still.get(&s.unit).is_none_or(|s| now >= s.probe);
        let open: Vec<&Server> = open.into_iter().filter(moves).collect();
        if open.is_empty() {
            let down = self.is_down(now, want.service);
            return Err(if down { Lack::Down } else { Lack::Still });
        }
        // One that takes few requests, or turns them away at once, has the least load of all, and would be
        // chosen for each: only its word keeps them away.
        let open_at = open.iter().filter_map(|s| s.terms.next_send_at()).min();
        let open: Vec<&Server> = open.into_iter().filter(|s| s.terms.may_send(now)).collect();
        if open.is_empty() {
            return Err(Lack::Held(open_at));
        }
        let open = match want.last {
            true => surer(open),
            false => open,
        };
        if open.iter().all(|s| s.standing.out(now)) {
            let first = open.into_iter().min_by_key(|s| s.standing.back_at());
            return first.ok_or(Lack::Servers);
        }
        let open = quick_enough(open);
        let units = self.units(now, want, &open);
        let widest = units.values().map(|u| u.room).fold(0.0, f64::max);
        let sound = open.into_iter().filter(|s| !s.standing.out(now));
        let priced = sound.filter_map(|s| {
            let unit = units.get(s.unit.as_str())?;
            let room = unit.room * s.slots() * s.standing.share(now);
            let part = unit.room / widest.max(f64::MIN_POSITIVE);
            let near = s.domain == self.domain;
            let cost = s.cost(now, unit.usual, part, near) + JITTER * random();
            (s.load(now, unit.usual) < room).then_some((cost, s))
        });
        let best = priced.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, s)| s).ok_or(Lack::Room)
    }

    /// Room and usual load of the units of these backend servers.
    fn units<'a>(
        &self,
        now: Duration,
        want: &Want<'_>,
        open: &[&'a Server],
    ) -> IndexMap<&'a str, Bearing> {
        let mut units: IndexMap<&str, Vec<&Server>> = IndexMap::new();
        for server in open {
            units.entry(&server.unit).or_default().push(server);
        }
        // What a unit bears shows in the streams that a gateway has there. One without any takes one,
        // whatever it believes: else it stays at the least room while others fill the unit, and
        // refuses callers until what it heard of their load has faded. One stream of a service, not of
        // each unit: with many gateways and units, one each would be a good part of all slots.
        let learns = open.iter().any(|s| s.mine > 0);
        let bearing = |(unit, servers): (&'a str, Vec<&Server>)| {
            let usual = self.usual(now, &servers);
            let room = (want.room)(unit);
            let room = if learns { room } else { room.max(1.0) };
            (unit, Bearing { room, usual })
        };
        units.into_iter().map(bearing).collect()
    }

    /// Units of a service.
    pub fn units_of(&self, service: &str) -> IndexSet<&str> {
        self.of(service).map(|s| s.unit.as_str()).collect()
    }

    fn of<'a, 'b>(&'a self, service: &'b str) -> impl Iterator<Item = &'a Server> + use<'a, 'b> {
        self.servers.values().filter(move |s| s.service == service)
    }

    /// Mean load over slots of a unit's backend servers that take work.
    pub fn mean_load(&self, now: Duration, unit: &str) -> f64 {
        let taking = |s: &&Server| s.unit == unit && !s.leaving;
        let open: Vec<&Server> = self.servers.values().filter(taking).collect();
        let usual = self.usual(now, &open);
        let loads = open.iter().map(|s| s.load(now, usual) / s.slots());
        loads.sum::<f64>() / open.len().max(1) as f64
    }

    /// Pace of a unit's slowest backend server that takes work, 1 where all are sound: each pass of a
    /// group takes as long as that one needs.
    pub fn slowest(&self, unit: &str) -> f64 {
        let taking = |s: &&Server| s.unit == unit && !s.leaving;
        let paces = self.servers.values().filter(taking).map(|s| s.pace);
        paces.fold(1.0, f64::max)
    }

    /// Load over slots that all other gateways together cause at one of these backend servers,
    /// as far as that one does not tell: what those tell that were asked of late, as it fades,
    /// and what is assumed for the rest.
    ///
    /// While three of seven gateways were cut off, the others took a group that was half full
    /// for full, since they assumed as much of each other gateway as they had themselves.
    fn usual(&self, now: Duration, servers: &[&Server]) -> f64 {
        let assumed = self.assumed(servers);
        let heard = servers.first().and_then(|s| self.heard.get(&s.unit));
        let Some((mean, at)) = heard else {
            return assumed;
        };
        let age = now.saturating_sub(*at).as_secs_f64();
        let fade = (-age / HEARD_FOR.as_secs_f64()).exp();
        mean * fade + assumed * (1.0 - fade)
    }

    /// Load over slots where each other gateway has as many requests as this one, less what may
    /// be chance: the few requests of one gateway are a small sample, whose deviation is the
    /// root of their number. With 147 gateways a single request of this one stood for 146 others,
    /// and half of the requests of a plain service that was a tenth full were refused or late.
    fn assumed(&self, servers: &[&Server]) -> f64 {
        let mine: f64 = servers.iter().map(|s| f64::from(s.mine)).sum();
        let slots: f64 = servers.iter().map(|s| s.slots()).sum();
        (mine - mine.sqrt()).max(0.0) / slots.max(1.0) * f64::from(self.peers)
    }

    /// A request goes to a backend server. To a group that stands still it is the probe.
    pub fn sent(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.mine += 1;
            server.terms.on_sent(now);
            if let Some(still) = self.still.get_mut(&server.unit) {
                still.probe = now + STILL_PROBE;
            }
        }
    }

    /// A rank says that its group stands still.
    pub fn stands_still(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get(id) {
            let still = self.still.entry(server.unit.clone()).or_insert(Still {
                since: now,
                probe: now,
            });
            still.probe = now + STILL_PROBE;
        }
    }

    /// A start of a backend server has ended: nobody listens there. Its group cannot make a pass
    /// without it; told only by the ranks, which wait for it first, a gateway learns that 1.5 s
    /// later, and sends its requests into the wait until then. `false` where this is no news: the
    /// group may run again by the time at which somebody else tells of it.
    pub fn fell(&mut self, now: Duration, id: &str, began: Began) -> bool {
        let server = self.servers.get_mut(id);
        let Some(server) = server.filter(|s| s.began == began && !s.leaving && !s.fallen) else {
            return false;
        };
        server.fallen = true;
        server.standing.fail(now, true);
        let rank = server.is_rank();
        if rank {
            self.stands_still(now, id);
        }
        true
    }

    /// Whether all of a service stands still, as far as is known.
    pub fn is_still(&self, service: &str) -> bool {
        let mut taking = self.of(service).filter(|s| !s.leaving).peekable();
        taking.peek().is_some() && taking.all(|s| self.still.contains_key(&s.unit))
    }

    /// Whether all of a service has stood still for so long that there is no use in waiting for it.
    pub fn is_down(&self, now: Duration, service: &str) -> bool {
        let long = |s: &Server| {
            let still = self.still.get(&s.unit);
            still.is_some_and(|still| now >= still.since + DOWN_AFTER)
        };
        let mut taking = self.of(service).filter(|s| !s.leaving).peekable();
        taking.peek().is_some() && taking.all(long)
    }

    /// A request ended there, or turned out never to have arrived. One that went to an earlier
    /// start is not there.
    pub fn ended(&mut self, id: &str, began: Began) {
        let server = self.servers.get_mut(id);
        if let Some(server) = server.filter(|s| s.began == began) {
            server.mine = server.mine.saturating_sub(1);
        }
    }

    /// A backend server told its load with an answer to this gateway; the request that
    /// is being answered counts in it.
    pub fn told(&mut self, now: Duration, id: &str, told: Told) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let all = f64::from(told.running + told.waiting);
        server.others = (all - f64::from(server.mine)).max(0.0);
        server.told = now;
        let (others, unit) = (server.others / server.slots(), server.unit.clone());
        let alike: Vec<&Server> = self.servers.values().filter(|s| s.unit == unit).collect();
        let before = self.usual(now, &alike);
        let mean = before + HEARD * (others - before);
        self.heard.insert(unit, (mean, now));
    }

    /// A request failed there on its account; `true` where this puts it out.
    pub fn failed(&mut self, now: Duration, id: &str, gravely: bool) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|s| s.standing.fail(now, gravely))
    }

    /// A request succeeded there.
    pub fn succeeded(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.standing.succeed(now);
            self.still.shift_remove(&server.unit);
        }
    }
}

/// Without those that may turn a request away, where there are others: whether one that had asked for
/// rest takes more is found out by requests that may still go elsewhere.
fn surer(open: Vec<&Server>) -> Vec<&Server> {
    let sure = |s: &&Server| !s.terms.is_backing_off();
    match open.iter().any(sure) {
        true => open.into_iter().filter(sure).collect(),
        false => open,
    }
}

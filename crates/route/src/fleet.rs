//! All backend servers of a gateway that sends requests to them directly, and the selection among
//! them.

use crate::cold::{ColdChange, ColdTerms};
use crate::server::{LoadReport, Server, ServerId, StartTime, Unit, without_slow};
use crate::silence::without_silent;
use bn_backpressure::GatewaySet;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Weight of the latest report in the moving average of the load caused by peers. It covers about
/// the last seven reports: half a second at a gateway that starts 15 streams a second.
const PEER_LOAD_WEIGHT: f64 = 0.15;
/// Time constant by which the observed peer load decays towards the assumed one. A busy gateway
/// gets several reports a second, one of many gateways one in several seconds.
const PEER_LOAD_DECAY: Duration = Duration::from_secs(3);
/// Random part of the cost, so that gateways with the same information do not all pick the same
/// backend server.
const JITTER: f64 = 0.02;

/// Interval between probes of a stalled group. It recovers some seconds after the rank that it
/// lacks; until then all its ranks reject at once.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// A group stalled for this long is not expected back within the time for which a caller may be
/// held: half of it suffices for a crashed rank to return and the group to re-form.
const DOWN_AFTER: Duration = Duration::from_secs(8);

/// Arguments of a selection.
#[derive(Clone, Copy)]
pub struct PickArgs<'a> {
    /// Service.
    pub service: &'a str,
    /// Backend servers to which the request was already sent.
    pub tried: &'a [ServerId],
    /// If rejected there, the request may not be sent to another one.
    pub final_attempt: bool,
    /// A backend server that has owed an answer for this long without sending anything is picked
    /// only if no other one has capacity.
    pub doubt_after: Duration,
    /// Load over slots up to which a backend server of a unit is filled.
    pub fill_limit: &'a dyn Fn(&str) -> f64,
}

/// Why no backend server is available for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// The service has none, or all were tried or are leaving.
    NoServers,
    /// All are in evacuated failure domains.
    Evacuated,
    /// All are full.
    Full,
    /// The group is stalled, and the next probe is not due yet.
    Stalled,
    /// The group has been stalled for so long that waiting is no use.
    Down,
    /// By their directives, all accept no request of this gateway before this time; `None` if only
    /// other gateways send to them.
    Throttled(Option<Duration>),
}

/// A stalled group.
#[derive(Debug, Clone, Copy)]
struct Stall {
    since: Duration,
    /// When the next probe may be sent.
    next_probe: Duration,
}

/// Fill limit of a unit's backend servers, and the load that peers cause there.
struct UnitLoad {
    fill_limit: f64,
    peer_load: f64,
}

/// All backend servers known to a gateway.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub(crate) servers: IndexMap<ServerId, Server>,
    domain: String,
    /// Load over slots caused by peers, by unit: moving average and time of the last report.
    peer_loads: IndexMap<Unit, (f64, Duration)>,
    /// Stalled units.
    stalled: IndexMap<Unit, Stall>,
    /// Other gateways that send requests to the same backend servers.
    pub peers: u32,
    /// Determines this gateway's share of limits.
    pub(crate) gateways: GatewaySet,
    /// Backend servers whose limit the coordinators may not know, and when it was last reported.
    pub(crate) pending_limits: IndexMap<ServerId, Option<Duration>>,
    /// By service; those without cold periods are left out.
    pub(crate) cold_terms: IndexMap<String, ColdTerms>,
    /// Changes of cold periods that were not taken yet.
    pub(crate) cold_changes: Vec<ColdChange>,
    /// Failure domains whose backend servers get no requests.
    pub(crate) evacuated: IndexSet<String>,
}

impl Fleet {
    /// Creates an empty fleet for a gateway in this failure domain.
    pub fn new(domain: &str) -> Fleet {
        Fleet {
            servers: IndexMap::new(),
            domain: domain.into(),
            peer_loads: IndexMap::new(),
            stalled: IndexMap::new(),
            peers: 0,
            gateways: GatewaySet::default(),
            pending_limits: IndexMap::new(),
            cold_terms: IndexMap::new(),
            cold_changes: Vec::new(),
            evacuated: IndexSet::new(),
        }
    }

    /// Adds a backend server, or updates its registration.
    pub fn upsert(&mut self, server: Server) {
        match self.servers.get_mut(&server.id) {
            Some(known) => {
                // Its own answers are more recent than its announcement, which may never arrive.
                known.leaving = server.leaving || known.backpressure.is_leaving();
                known.slowdown = server.slowdown;
                known.unit = server.unit;
                known.slots = server.slots;
                known.domain = server.domain;
            }
            None => {
                self.servers.insert(server.id.clone(), server);
            }
        }
    }

    /// Removes a backend server.
    pub fn remove(&mut self, id: &str) {
        self.servers.shift_remove(id);
        self.pending_limits.swap_remove(id);
    }

    /// Returns the backend server with this id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Picks the backend server with the lowest cost; `random` returns numbers in `0..1`. Load is
    /// compared to the unit's fill limit: a slow group is full sooner than a fast one. If all are
    /// ejected, the first to be readmitted is tried: an immediate refusal is worse than one more
    /// failure.
    pub fn pick(
        &self,
        now: Duration,
        args: &PickArgs<'_>,
        mut random: impl FnMut() -> f64,
    ) -> Result<&Server, Unavailable> {
        let untried = |s: &&Server| !args.tried.contains(&s.id);
        let candidates: Vec<&Server> = self.accepting(args.service).filter(untried).collect();
        if candidates.is_empty() {
            return Err(match self.is_evacuated(args.service) {
                true => Unavailable::Evacuated,
                false => Unavailable::NoServers,
            });
        }
        let not_stalled = |s: &&Server| {
            self.stalled
                .get(&s.unit)
                .is_none_or(|s| now >= s.next_probe)
        };
        let candidates: Vec<&Server> = candidates.into_iter().filter(not_stalled).collect();
        if candidates.is_empty() {
            let down = self.is_down(now, args.service);
            return Err(if down {
                Unavailable::Down
            } else {
                Unavailable::Stalled
            });
        }
        // A backend server that accepts few requests, or rejects them at once, has the lowest load
        // and would be picked every time: only its own directives prevent that.
        let next_send_at = candidates
            .iter()
            .filter_map(|s| s.backpressure.next_send_at())
            .min();
        let candidates: Vec<&Server> = candidates
            .into_iter()
            .filter(|s| s.backpressure.may_send(now))
            .collect();
        if candidates.is_empty() {
            return Err(Unavailable::Throttled(next_send_at));
        }
        let candidates = match args.final_attempt {
            true => without_backoff(candidates),
            false => candidates,
        };
        if candidates.iter().all(|s| s.health.is_ejected(now)) {
            let first = candidates
                .into_iter()
                .min_by_key(|s| s.health.readmitted_at());
            return first.ok_or(Unavailable::NoServers);
        }
        let candidates = without_slow(candidates);
        let heard = without_silent(now, &candidates, args.doubt_after);
        let best = match self.cheapest(now, args, &heard, &mut random) {
            // A silent backend server is better than none: it may be back.
            None => self.cheapest(now, args, &candidates, &mut random),
            best => best,
        };
        best.ok_or(Unavailable::Full)
    }

    /// The backend server with the lowest cost among those with capacity.
    fn cheapest<'a>(
        &self,
        now: Duration,
        args: &PickArgs<'_>,
        candidates: &[&'a Server],
        random: &mut impl FnMut() -> f64,
    ) -> Option<&'a Server> {
        let units = self.units(now, args, candidates);
        let max_limit = units.values().map(|u| u.fill_limit).fold(0.0, f64::max);
        let healthy = candidates.iter().filter(|s| !s.health.is_ejected(now));
        let costed = healthy.filter_map(|s| {
            let unit = units.get(s.unit.as_str())?;
            let limit = unit.fill_limit * s.slots() * s.capacity_share(now);
            let relative = unit.fill_limit / max_limit.max(f64::MIN_POSITIVE);
            let local = s.domain == self.domain;
            let cost = s.cost(now, unit.peer_load, relative, local) + JITTER * random();
            (s.load(now, unit.peer_load) < limit).then_some((cost, *s))
        });
        let best = costed.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, s)| s)
    }

    /// Fill limit and peer load of the units of these backend servers.
    fn units<'a>(
        &self,
        now: Duration,
        args: &PickArgs<'_>,
        candidates: &[&'a Server],
    ) -> IndexMap<&'a str, UnitLoad> {
        let mut units: IndexMap<&str, Vec<&Server>> = IndexMap::new();
        for server in candidates {
            units.entry(&server.unit).or_default().push(server);
        }
        // Only streams of its own show a gateway a unit's fill limit. Without any request in flight
        // it takes one regardless: otherwise it stays at the minimum while others fill the unit,
        // and refuses callers until its record of their load has decayed. One per service, not per
        // unit: with many gateways and units, one each would be a considerable part of all slots.
        let has_requests = candidates.iter().any(|s| s.in_flight > 0);
        let unit_load = |(unit, servers): (&'a str, Vec<&Server>)| {
            let peer_load = self.peer_load(now, &servers);
            let limit = (args.fill_limit)(unit);
            let fill_limit = if has_requests { limit } else { limit.max(1.0) };
            (
                unit,
                UnitLoad {
                    fill_limit,
                    peer_load,
                },
            )
        };
        units.into_iter().map(unit_load).collect()
    }

    /// Units of a service with backend servers that accept work.
    pub fn units_of(&self, service: &str) -> IndexSet<&str> {
        self.accepting(service).map(|s| s.unit.as_str()).collect()
    }

    /// Slots of a service's backend servers that accept work, without cold ones unless all are.
    pub fn slots_of(&self, now: Duration, service: &str) -> f64 {
        let accepting = without_cold(now, self.accepting(service).collect());
        accepting.into_iter().map(Server::slots).sum()
    }

    /// Number of this gateway's requests in flight at a service's backend servers.
    pub fn in_flight_of(&self, service: &str) -> u32 {
        self.in_service(service).map(Server::in_flight).sum()
    }

    pub(crate) fn in_service<'a, 'b>(
        &'a self,
        service: &'b str,
    ) -> impl Iterator<Item = &'a Server> + use<'a, 'b> {
        self.servers.values().filter(move |s| s.service == service)
    }

    /// Mean load over slots of a unit's backend servers that accept work.
    pub fn mean_load(&self, now: Duration, unit: &str) -> f64 {
        self.mean_load_of(now, &self.accepting_in_unit(unit))
    }

    /// [`Fleet::mean_load`] without cold backend servers, unless all are cold: hardly any of their
    /// free slots can be used yet.
    pub fn usable_load(&self, now: Duration, unit: &str) -> f64 {
        self.mean_load_of(now, &without_cold(now, self.accepting_in_unit(unit)))
    }

    fn accepting_in_unit(&self, unit: &str) -> Vec<&Server> {
        let accepting = |s: &&Server| s.unit == unit && self.accepts(s);
        self.servers.values().filter(accepting).collect()
    }

    fn mean_load_of(&self, now: Duration, members: &[&Server]) -> f64 {
        let peer_load = self.peer_load(now, members);
        let loads = members.iter().map(|s| s.load(now, peer_load) / s.slots());
        loads.sum::<f64>() / members.len().max(1) as f64
    }

    /// Slowdown of a unit's slowest backend server that is not leaving, 1 if all are sound: each pass
    /// of a group takes as long as the slowest rank needs. Evacuated ranks take part in passes.
    pub fn max_slowdown(&self, unit: &str) -> f64 {
        let accepting = |s: &&Server| s.unit == unit && !s.leaving;
        let slowdowns = self.servers.values().filter(accepting).map(|s| s.slowdown);
        slowdowns.fold(1.0, f64::max)
    }

    /// Load over slots that all other gateways together cause at one of these backend servers, as
    /// far as its own report does not show it: the decaying average of recent reports from the
    /// unit, and the assumed load for the rest.
    ///
    /// While three of seven gateways were cut off, the others took a half full group for full,
    /// since they assumed as much load of each other gateway as of themselves.
    fn peer_load(&self, now: Duration, servers: &[&Server]) -> f64 {
        let assumed = self.assumed_peer_load(servers);
        let observed = servers.first().and_then(|s| self.peer_loads.get(&s.unit));
        let Some((mean, at)) = observed else {
            return assumed;
        };
        let age = now.saturating_sub(*at).as_secs_f64();
        let fade = (-age / PEER_LOAD_DECAY.as_secs_f64()).exp();
        mean * fade + assumed * (1.0 - fade)
    }

    /// Load over slots if each other gateway has as many requests as this one, less the sampling
    /// error: the few requests of one gateway are a small sample, with the root of their number as
    /// deviation. Without that, each request of one of 147 gateways stood for 146 others, and half
    /// of the requests of a plain service a tenth full were refused or late.
    fn assumed_peer_load(&self, servers: &[&Server]) -> f64 {
        let in_flight: f64 = servers.iter().map(|s| f64::from(s.in_flight)).sum();
        let slots: f64 = servers.iter().map(|s| s.slots()).sum();
        (in_flight - in_flight.sqrt()).max(0.0) / slots.max(1.0) * f64::from(self.peers)
    }

    /// Records a request sent to a backend server. For a stalled group it is the probe.
    pub fn record_sent(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight += 1;
            server.signs.record_sent(now);
            server.backpressure.on_sent(now);
            if let Some(stall) = self.stalled.get_mut(&server.unit) {
                stall.next_probe = now + PROBE_INTERVAL;
            }
        }
    }

    /// Records that a rank reports its group as stalled.
    pub fn mark_stalled(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get(id) {
            let stall = self.stalled.entry(server.unit.clone()).or_insert(Stall {
                since: now,
                next_probe: now,
            });
            stall.next_probe = now + PROBE_INTERVAL;
        }
    }

    /// Records that a start of a backend server has terminated: nobody listens there. Its group
    /// cannot make a pass without it. The other ranks wait for it first, so by their reports alone
    /// a gateway would learn of it 1.5 s later, and would send its requests into that wait. Returns
    /// `false` if this adds nothing: the group may run again by the time of a second report.
    pub fn mark_terminated(&mut self, now: Duration, id: &str, start_time: StartTime) -> bool {
        let server = self.servers.get_mut(id);
        let Some(server) =
            server.filter(|s| s.start_time == start_time && !s.leaving && !s.terminated)
        else {
            return false;
        };
        server.terminated = true;
        server.health.record_failure(now, true);
        let rank = server.is_rank();
        if rank {
            self.mark_stalled(now, id);
        }
        true
    }

    /// Whether all of a service is known to be stalled.
    pub fn is_stalled(&self, service: &str) -> bool {
        let mut accepting = self.accepting(service).peekable();
        accepting.peek().is_some() && accepting.all(|s| self.stalled.contains_key(&s.unit))
    }

    /// Whether all of a service has been stalled for so long that waiting is no use.
    pub fn is_down(&self, now: Duration, service: &str) -> bool {
        let long = |s: &Server| {
            let stall = self.stalled.get(&s.unit);
            stall.is_some_and(|stall| now >= stall.since + DOWN_AFTER)
        };
        let mut accepting = self.accepting(service).peekable();
        accepting.peek().is_some() && accepting.all(long)
    }

    /// Records that a request ended there, or never arrived. Requests to an earlier start do not
    /// count.
    pub fn record_end(&mut self, id: &str, start_time: StartTime) {
        let server = self.servers.get_mut(id);
        if let Some(server) = server.filter(|s| s.start_time == start_time) {
            server.in_flight = server.in_flight.saturating_sub(1);
            if server.in_flight == 0 {
                server.signs.record_idle();
            }
        }
    }

    /// Records the load sent with an answer to this gateway; it includes the request being
    /// answered.
    pub fn record_load(&mut self, now: Duration, id: &str, report: LoadReport) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let total = f64::from(report.running + report.waiting);
        server.peer_requests = (total - f64::from(server.in_flight)).max(0.0);
        server.reported_at = now;
        // Its load only falls while it is evacuated, which says nothing of the others in its unit.
        if self.evacuated.contains(&server.domain) {
            return;
        }
        let (peers, unit) = (server.peer_requests / server.slots(), server.unit.clone());
        let counted = |s: &&Server| s.unit == unit && !self.evacuated.contains(&s.domain);
        let members: Vec<&Server> = self.servers.values().filter(counted).collect();
        let before = self.peer_load(now, &members);
        let mean = before + PEER_LOAD_WEIGHT * (peers - before);
        self.peer_loads.insert(unit, (mean, now));
    }

    /// Records a failure caused by the backend server; `true` if this ejects it.
    pub fn record_failure(&mut self, now: Duration, id: &str, severe: bool) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|s| s.health.record_failure(now, severe))
    }

    /// Records a successful request.
    pub fn record_success(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.health.record_success(now);
            self.stalled.shift_remove(&server.unit);
        }
    }
}

/// Leaves out cold backend servers, if there are others.
fn without_cold(now: Duration, servers: Vec<&Server>) -> Vec<&Server> {
    let is_warm = |s: &&Server| s.backpressure.cold(now).is_none();
    match servers.iter().any(is_warm) {
        true => servers.into_iter().filter(is_warm).collect(),
        false => servers,
    }
}

/// Leaves out those that may reject a request, if there are others: requests that may still be sent
/// elsewhere find out whether a backend server accepts more after a backoff.
fn without_backoff(candidates: Vec<&Server>) -> Vec<&Server> {
    let not_backing_off = |s: &&Server| !s.backpressure.is_backing_off();
    match candidates.iter().any(not_backing_off) {
        true => candidates.into_iter().filter(not_backing_off).collect(),
        false => candidates,
    }
}

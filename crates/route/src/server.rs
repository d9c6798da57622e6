//! A gateway's view of one backend server: its address, health and load.

use crate::cold::ColdRecord;
use crate::health_record::HealthRecord;
use crate::silence::Signs;
use bn_backpressure::Backpressure;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of a backend server.
pub type ServerId = String;
/// What fails and slows down together: a lock-step group, or a service without groups.
pub type Unit = String;
/// Start time of a backend server's process, in Unix milliseconds; 0 if it reports none.
pub type StartTime = u64;

/// Time constant by which the load caused by peers decays. It is reported only with answers, and
/// the requests that it counts end: a typical answer takes one to two seconds.
const REPORT_DECAY: Duration = Duration::from_millis(1_500);
/// Cost of another failure domain, as a fraction of a full backend server: traffic between failure
/// domains is billed and adds 2 ms. Low, so that load takes precedence.
const REMOTE_COST: f64 = 0.04;
/// Cost of a failure rate of 1, in multiples of a full backend server.
const FAILURE_COST: f64 = 3.0;
/// Slowdown from which a backend server counts as slow: lower ones are reported in steps of 0.25,
/// and the search for expert maps compensates for them.
const SLOW_THRESHOLD: f64 = 1.5;

/// Load of a backend server at the time of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Id.
    pub id: ServerId,
    /// Start time of its process.
    pub start_time: StartTime,
    /// Service.
    pub service: String,
    /// Unit that it belongs to.
    pub unit: Unit,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests, as registered.
    pub slots: u32,
    /// Accepts no new work.
    pub leaving: bool,
    /// Time it takes for the same work, relative to a sound one.
    pub slowdown: f64,
    /// Backpressure that it applies to this gateway.
    pub backpressure: Backpressure,
    /// Health from the outcomes of requests.
    pub health: HealthRecord,
    pub(crate) cold: ColdRecord,
    pub(crate) signs: Signs,
    /// This gateway's requests in flight there.
    pub(crate) in_flight: u32,
    /// Requests of other gateways at its last load report.
    pub(crate) peer_requests: f64,
    pub(crate) reported_at: Duration,
    /// This start of it is known to have terminated.
    pub(crate) terminated: bool,
}

impl Server {
    /// Creates a backend server that has just registered.
    pub fn new(id: &str, service: &str, address: SocketAddr, domain: &str, slots: u32) -> Server {
        Server {
            id: id.into(),
            start_time: 0,
            service: service.into(),
            unit: service.into(),
            address,
            domain: domain.into(),
            slots,
            leaving: false,
            slowdown: 1.0,
            backpressure: Backpressure::default(),
            health: HealthRecord::default(),
            cold: ColdRecord::default(),
            signs: Signs::default(),
            in_flight: 0,
            peer_requests: 0.0,
            reported_at: Duration::ZERO,
            terminated: false,
        }
    }

    /// Makes it a rank of this lock-step group of its service; none if empty.
    pub fn join_group(&mut self, group: &str) {
        if !group.is_empty() {
            self.unit = format!("{}/{group}", self.service);
        }
    }

    /// Whether it is a rank of a lock-step group.
    pub(crate) fn is_rank(&self) -> bool {
        self.unit != self.service
    }

    /// Predicted number of requests there: those of this gateway, plus those of peers as last
    /// reported, decaying towards `peer_load` per slot.
    pub fn load(&self, now: Duration, peer_load: f64) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let fade = (-age / REPORT_DECAY.as_secs_f64()).exp();
        f64::from(self.in_flight)
            + self.peer_requests * fade
            + peer_load * self.slots() * (1.0 - fade)
    }

    /// Share of its fill limit that it is given now, after an ejection or a start.
    pub(crate) fn capacity_share(&self, now: Duration) -> f64 {
        self.health
            .capacity_share(now)
            .min(self.cold.capacity_share(now))
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Number of this gateway's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// `relative_limit` is its unit's fill limit relative to the highest.
    pub(crate) fn cost(
        &self,
        now: Duration,
        peer_load: f64,
        relative_limit: f64,
        local: bool,
    ) -> f64 {
        let slots = self.slots() * relative_limit;
        let remote = if local { 0.0 } else { REMOTE_COST };
        (self.load(now, peer_load) + 1.0) / slots
            + remote
            + FAILURE_COST * self.health.failure_rate()
    }
}

/// Leaves out slow backend servers where at least half of their unit is not slow. All ranks of a
/// group execute each pass together, and it lasts as long as the slowest needs for its own work; so
/// one request at a rank with a slowdown of 2.5 makes the streams of all ranks late. Even without a
/// group a slow one is the worse choice while others have capacity.
pub(crate) fn without_slow(servers: Vec<&Server>) -> Vec<&Server> {
    let mut units: IndexMap<&str, (usize, usize)> = IndexMap::new();
    for server in &servers {
        let (all, slow) = units.entry(&server.unit).or_default();
        *all += 1;
        *slow += usize::from(server.slowdown >= SLOW_THRESHOLD);
    }
    let mostly_fast = |unit: &str| units.get(unit).is_some_and(|(all, slow)| 2 * slow <= *all);
    let kept = |s: &&Server| s.slowdown < SLOW_THRESHOLD || !mostly_fast(&s.unit);
    servers.iter().copied().filter(kept).collect()
}

//! One backend server as a gateway sees it: where it is, how it fares, what load it has.

use crate::standing::Standing;
use bn_backpressure::Backpressure;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of a backend server.
pub type ServerId = String;
/// What shares fate and pace: a lock-step group, or a service without groups.
pub type Unit = String;
/// Which start of a backend server, in Unix milliseconds; 0 where it does not tell.
pub type Began = u64;

/// Load that others cause is told with answers only. It fades at this pace, since the
/// requests it speaks of end: a usual answer takes one to two seconds.
const TOLD_FADES: Duration = Duration::from_millis(1_500);
/// Cost of another failure domain, in parts of a full backend server: bytes between
/// failure domains are paid for and add 2 ms. Kept small, so that load goes first.
const FAR: f64 = 0.04;
/// Cost of failing every request, in parts of a full backend server.
const FAILING: f64 = 3.0;
/// Pace from which a backend server counts as slow: what lies below is told in steps of 0.25, and
/// searching for maps makes up for it.
const SLOW: f64 = 1.5;

/// Load of a backend server when it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Told {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited there.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// Which start of it this is.
    pub began: Began,
    /// Its service.
    pub service: String,
    /// What it shares fate and pace with.
    pub unit: Unit,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at once, as registered.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Time that it takes for the same work, against a sound one.
    pub pace: f64,
    /// What it asks of those that send it requests.
    pub terms: Backpressure,
    /// How requests fared there.
    pub standing: Standing,
    /// Requests of this gateway that are there now.
    pub(crate) mine: u32,
    /// Load caused by others when it was told last.
    pub(crate) others: f64,
    pub(crate) told: Duration,
    /// This start of it has ended, as far as is known.
    pub(crate) fallen: bool,
}

impl Server {
    /// A backend server that registered just now.
    pub fn new(id: &str, service: &str, address: SocketAddr, domain: &str, slots: u32) -> Server {
        Server {
            id: id.into(),
            began: 0,
            service: service.into(),
            unit: service.into(),
            address,
            domain: domain.into(),
            slots,
            leaving: false,
            pace: 1.0,
            terms: Backpressure::default(),
            standing: Standing::default(),
            mine: 0,
            others: 0.0,
            told: Duration::ZERO,
            fallen: false,
        }
    }

    /// It is a rank of this lock-step group of its service; empty: of none.
    pub fn join(&mut self, group: &str) {
        if !group.is_empty() {
            self.unit = format!("{}/{group}", self.service);
        }
    }

    /// It is a rank of a lock-step group.
    pub(crate) fn is_rank(&self) -> bool {
        self.unit != self.service
    }

    /// Requests there now, predicted: those of this gateway, and of others what was told
    /// as far as it still holds, else `usual` of each slot.
    pub fn load(&self, now: Duration, usual: f64) -> f64 {
        let age = now.saturating_sub(self.told).as_secs_f64();
        let fade = (-age / TOLD_FADES.as_secs_f64()).exp();
        f64::from(self.mine) + self.others * fade + usual * self.slots() * (1.0 - fade)
    }

    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Requests of this gateway that are there now.
    pub fn mine(&self) -> u32 {
        self.mine
    }

    /// `part` is what its unit bears against the one that bears most.
    pub(crate) fn cost(&self, now: Duration, usual: f64, part: f64, near: bool) -> f64 {
        let slots = self.slots() * part;
        let far = if near { 0.0 } else { FAR };
        (self.load(now, usual) + 1.0) / slots + far + FAILING * self.standing.failing()
    }
}

/// Without those that are slow, where at least half of their unit is not. All ranks of a group
/// execute each pass together, and it lasts as long as the slowest takes for what it has itself; so
/// one request at a rank of 2.5 times the usual time makes the streams of all ranks late. Even
/// without a group a slow one is the worse choice while others have room.
pub(crate) fn quick_enough(open: Vec<&Server>) -> Vec<&Server> {
    let mut units: IndexMap<&str, (usize, usize)> = IndexMap::new();
    for server in &open {
        let (all, slow) = units.entry(&server.unit).or_default();
        *all += 1;
        *slow += usize::from(server.pace >= SLOW);
    }
    let mostly_sound = |unit: &str| units.get(unit).is_some_and(|(all, slow)| 2 * slow <= *all);
    let kept = |s: &&Server| s.pace < SLOW || !mostly_sound(&s.unit);
    open.iter().copied().filter(kept).collect()
}

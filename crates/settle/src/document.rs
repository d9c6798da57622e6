//! The document's types and look-ups.

use crate::{Result, check};
use indexmap::IndexMap;
use std::time::Duration;

/// Version of a document; the highest settled one is in force.
pub type Version = u64;
/// Name of a service.
pub type ServiceId = String;
/// Name of a client account.
pub type AccountId = String;

/// What may be done with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: it may run again.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// Answered by a series of events; runs at most once unless it may be resumed.
    Stream,
}

/// A service of a route and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The service.
    pub service: ServiceId,
    /// Part of the sum of the route's weights.
    pub weight: u64,
}

/// Requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that callers name, without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// An interrupted stream may go on after its last whole event elsewhere.
    pub resumes: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is worth most.
    pub target: Duration,
    /// Longest pause between two events of a stream that is in time; 0: not a stream.
    pub pause: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Backend servers that one request may be sent to at most.
    pub attempts: u32,
    /// No key is asked for.
    pub open: bool,
    /// Services behind it.
    pub parts: Vec<Part>,
}

impl Route {
    /// A request of this route may run more than once.
    pub fn idempotent(&self) -> bool {
        self.kind == Kind::Safe || (self.kind == Kind::Stream && self.resumes)
    }

    /// The service for a draw in `0..weight_sum()`.
    pub fn part(&self, draw: u64) -> Option<&ServiceId> {
        let mut left = draw;
        for part in &self.parts {
            if left < part.weight {
                return Some(&part.service);
            }
            left -= part.weight;
        }
        None
    }

    /// Sum of the weights of its services.
    pub fn weight_sum(&self) -> u64 {
        self.parts.iter().map(|p| p.weight).sum()
    }
}

/// Longest idle pass that is believed; a second is far beyond any pause in time.
const LONGEST_PASS_MS: f64 = 1_000.0;

/// Figures that an engine's operator publishes, for predictions.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Milliseconds of a step, before what each request adds.
    pub step_ms: f64,
    /// Steps that are made in one pass, between two events of a stream.
    pub stride: u32,
    /// Milliseconds that each writing request adds to a step.
    pub seq_ms: f64,
    /// Tokens of prompt read a second.
    pub read_rate: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Present where its ranks share experts in lock-step.
    pub experts: Option<Experts>,
}

impl Engine {
    /// Time between two events of a stream that is alone.
    pub fn idle_pass(&self) -> Duration {
        let ms = f64::from(self.stride.max(1)) * self.step_ms;
        Duration::from_secs_f64(ms.clamp(0.0, LONGEST_PASS_MS) / 1000.0)
    }
}

/// How experts lie on the ranks of a lock-step group.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Experts {
    /// Sets of layers that are mapped together.
    pub sets: usize,
    /// Experts of one set.
    pub experts: usize,
    /// Experts of one set that a rank holds at most.
    pub places: usize,
    /// Experts of one set that one change of the map may bring new to a rank.
    pub spare: usize,
    /// Seconds that one rank takes to copy one expert.
    pub copy_s: f64,
}

/// A service that backend servers register for.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that one of its backend servers accepts from all callers together.
    pub connections: u32,
    /// Present where its backend servers are engines.
    pub engine: Option<Engine>,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest header section in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time for a whole header section.
    pub header_time: Duration,
    /// Time that a connection may stay idle.
    pub idle_time: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name; told to backend servers.
    pub name: AccountId,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 goes first.
    pub priority: Option<u32>,
}

/// A checked document.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    version: Version,
    routes: Vec<Route>,
    services: IndexMap<ServiceId, Service>,
    limits: Limits,
    accounts: Vec<Account>,
    /// Route positions by host, then prefix.
    places: IndexMap<String, IndexMap<String, usize>>,
    /// Account positions by key.
    keys: IndexMap<String, usize>,
}

impl Plan {
    /// Checks a document as a whole.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        accounts: Vec<Account>,
    ) -> Result<Plan> {
        let services: IndexMap<_, _> = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        check::routes(&routes, &services)?;
        let places = check::places(&routes)?;
        let keys = check::keys(&accounts)?;
        Ok(Plan {
            version,
            routes,
            services,
            limits,
            accounts,
            places,
            keys,
        })
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services by name.
    pub fn services(&self) -> &IndexMap<ServiceId, Service> {
        &self.services
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Requests need a key, except on open routes.
    pub fn keyed(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The route of `host` (a port is passed over) with the longest prefix that begins
    /// `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.places.get(name) {
            Some(found) => found,
            None => self.places.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path.get(..end)?.rfind('/') {
            let found = path.get(..=slash).and_then(|p| prefixes.get(p));
            if let Some(route) = found.and_then(|at| self.routes.get(*at)) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// The account that holds a key.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.keys.get(key).and_then(|at| self.accounts.get(*at))
    }
}

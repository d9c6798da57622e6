//! Types and look-ups of a document.

use crate::{Result, check};
use indexmap::IndexMap;
use std::time::Duration;

/// Version of a document; the highest committed one is in force.
pub type Version = u64;
/// Name of a service.
pub type ServiceId = String;
/// Name of a client account.
pub type AccountId = String;

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: it may run again.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Stream,
}

/// A service of a route and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Share of the route's total weight.
    pub weight: u64,
}

/// Routing rule for requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host that callers request, without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// An interrupted stream may resume elsewhere after its last complete event.
    pub resumes: bool,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, has the highest value.
    pub target: Duration,
    /// Maximum pause between two events of a stream that is on time; 0: not a stream.
    pub pause: Duration,
    /// Time without an event after which callers abandon a stream; `None`: not a stream.
    pub patience: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of backend servers that one request is sent to.
    pub attempts: u32,
    /// Requests need no key.
    pub open: bool,
    /// Services that its requests are split among.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn idempotent(&self) -> bool {
        self.kind == Kind::Safe || (self.kind == Kind::Stream && self.resumes)
    }

    /// The service for a random number in `0..total_weight()`.
    pub fn pick_service(&self, random: u64) -> Option<&ServiceId> {
        let mut left = random;
        for weighted in &self.services {
            if left < weighted.weight {
                return Some(&weighted.service);
            }
            left -= weighted.weight;
        }
        None
    }

    /// Sum of the weights of its services.
    pub fn total_weight(&self) -> u64 {
        self.services.iter().map(|s| s.weight).sum()
    }
}

/// Upper bound of an unloaded pass; a second is far beyond any pause of a stream that is on time.
const MAX_PASS_MS: f64 = 1_000.0;
/// Upper bound of a stream's mean number of events; callers wait for no longer streams.
const MAX_EVENTS: f64 = 500.0;

/// Performance figures that an engine's operator publishes, for predictions.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Engine {
    /// Requests per batch.
    pub slots: u32,
    /// Milliseconds of a step, without those added per request.
    pub step_ms: f64,
    /// Steps per pass, between two events of a stream.
    pub stride: u32,
    /// Milliseconds that each decoding request adds to a step.
    pub seq_ms: f64,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Mean number of tokens of a prompt.
    pub mean_prompt: f64,
    /// Mean number of tokens of an answer.
    pub mean_answer: f64,
    /// Present if its ranks share experts in lock-step.
    pub experts: Option<Experts>,
}

impl Engine {
    /// Time between two events of a stream that is the only one.
    pub fn unloaded_pass(&self) -> Duration {
        let ms = f64::from(self.stride.max(1)) * self.step_ms;
        Duration::from_secs_f64(ms.clamp(0.0, MAX_PASS_MS) / 1000.0)
    }

    /// Mean number of events of a stream; `None` if the operator publishes no mean answer.
    pub fn mean_events(&self) -> Option<f64> {
        let events = self.mean_answer / f64::from(self.stride.max(1));
        (events > 0.0).then(|| events.clamp(1.0, MAX_EVENTS))
    }
}

/// Placement of experts on the ranks of a lock-step group.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Experts {
    /// Number of layer sets; the layers of a set share a mapping.
    pub sets: usize,
    /// Experts of one set.
    pub experts: usize,
    /// Maximum number of experts of one set that a rank holds.
    pub placements: usize,
    /// Maximum number of experts of one set that one change of the map adds to a rank.
    pub spare: usize,
    /// Seconds that one rank takes to copy one expert.
    pub copy_s: f64,
}

/// A service that backend servers register for.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Path of its backend servers' health check.
    pub health_path: String,
    /// Connections that each of its backend servers accepts from all callers together.
    pub connections: u32,
    /// Present if its backend servers are engines.
    pub engine: Option<Engine>,
    /// Present if its backend servers are cold after a start.
    pub cold: Option<ColdStart>,
}

/// Longest cold period after a start that a document can set.
const MAX_COLD_S: f64 = 3_600.0;

/// What backend servers can handle after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which they are cold.
    pub time: Duration,
    /// Requests a second that a cold one can handle.
    pub rate: f64,
}

impl ColdStart {
    /// `None` unless both values are positive.
    pub fn new(seconds: f64, rate: f64) -> Option<ColdStart> {
        let valid = seconds > 0.0 && rate > 0.0;
        valid.then(|| ColdStart {
            time: Duration::from_secs_f64(seconds.min(MAX_COLD_S)),
            rate,
        })
    }
}

/// Size and time limits of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest header section in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time for a complete header section.
    pub header_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name; sent to backend servers.
    pub name: AccountId,
    /// Its keys.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u32>,
}

/// Last level: queues and backend servers distinguish ten.
const LAST_LEVEL: u32 = 9;

/// Order of requests of one service: the account's priority takes precedence, and requests of
/// accounts with the same priority go by their routes'.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    account: u32,
    route: u32,
}

impl Urgency {
    /// `account` is the account's priority, if there is an account and it names one.
    fn new(account: Option<u32>, route: &Route) -> Urgency {
        Urgency {
            account: account.unwrap_or(route.priority),
            route: route.priority,
        }
    }
}

/// A validated document.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    version: Version,
    routes: Vec<Route>,
    services: IndexMap<ServiceId, Service>,
    limits: Limits,
    accounts: Vec<Account>,
    /// Route positions by host, then prefix.
    route_index: IndexMap<String, IndexMap<String, usize>>,
    /// Account positions by key.
    key_index: IndexMap<String, usize>,
    /// Levels of each ranked service, most urgent first.
    levels: IndexMap<ServiceId, Vec<Urgency>>,
}

impl Document {
    /// Validates a document as a whole.
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        accounts: Vec<Account>,
    ) -> Result<Document> {
        let services: IndexMap<_, _> = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        check::routes(&routes, &services)?;
        let route_index = check::route_index(&routes)?;
        let key_index = check::key_index(&accounts)?;
        let levels = urgency_levels(&routes, &accounts);
        Ok(Document {
            version,
            routes,
            services,
            limits,
            accounts,
            route_index,
            key_index,
            levels,
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

    /// Ranked services: those whose routes differ in priority.
    pub fn ranked_services(&self) -> impl Iterator<Item = &ServiceId> {
        self.levels.keys()
    }

    /// Level of a request, 0 the most urgent; `None` if its service is not ranked. Levels beyond the
    /// tenth count as the tenth.
    pub fn urgency_level(
        &self,
        service: &str,
        account: Option<&Account>,
        route: &Route,
    ) -> Option<u32> {
        let levels = self.levels.get(service)?;
        let urgency = Urgency::new(account.and_then(|a| a.priority), route);
        let level = levels.binary_search(&urgency).ok()?;
        u32::try_from(level).ok().map(|level| level.min(LAST_LEVEL))
    }

    /// Size and time limits of requests.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Whether requests need a key, except on open routes.
    pub fn requires_key(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The route of `host` (a port is ignored) with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.route_index.get(name) {
            Some(found) => found,
            None => self.route_index.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path.get(..end)?.rfind('/') {
            let found = path.get(..=slash).and_then(|p| prefixes.get(p));
            if let Some(route) = found.and_then(|position| self.routes.get(*position)) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// The account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.key_index
            .get(key)
            .and_then(|position| self.accounts.get(*position))
    }
}

/// The levels of each ranked service, most urgent first.
fn urgency_levels(routes: &[Route], accounts: &[Account]) -> IndexMap<ServiceId, Vec<Urgency>> {
    let mut by_service: IndexMap<&ServiceId, Vec<&Route>> = IndexMap::new();
    for route in routes {
        for weighted in route.services.iter().filter(|s| s.weight > 0) {
            by_service.entry(&weighted.service).or_default().push(route);
        }
    }
    by_service.retain(|_, routes| {
        let mut priorities = routes.iter().map(|r| r.priority);
        let first = priorities.next();
        priorities.any(|p| Some(p) != first)
    });
    // Some thousand accounts have few different priorities. `None` is a caller without an account.
    let mut priorities: Vec<Option<u32>> = accounts.iter().map(|a| a.priority).collect();
    priorities.push(None);
    priorities.sort_unstable();
    priorities.dedup();
    let levels = |routes: Vec<&Route>| {
        let of_route = |r| priorities.iter().map(move |p| Urgency::new(*p, r));
        let mut levels: Vec<Urgency> = routes.into_iter().flat_map(of_route).collect();
        levels.sort_unstable();
        levels.dedup();
        levels
    };
    let services = by_service.into_iter();
    services
        .map(|(s, routes)| (s.clone(), levels(routes)))
        .collect()
}

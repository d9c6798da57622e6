//! State that all requests of a gateway share. It is locked for moments only, never
//! across a wait.

use bn_limit::Queue;
use bn_route::{Allowance, Bounds, Fleet, Pace, Retries};
use bn_serve::client::Pool;
use bn_settle::Plan;
use bn_trace::Lines;
use indexmap::IndexMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// One gateway. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Shared(Arc<Inner>);

pub(crate) struct Inner {
    start: Instant,
    state: Mutex<State>,
    pub(crate) pool: Pool,
    pub(crate) lines: Lines,
    /// Rings when room may have come up.
    pub(crate) room: Notify,
    pub(crate) allowance: Allowance,
    /// Turns true when a graceful stop begins.
    pub(crate) closing: watch::Sender<bool>,
    /// The stop has come so far that nothing more is taken in.
    shut: AtomicBool,
    /// Requests in flight.
    open: AtomicU32,
}

/// What is believed and counted.
pub(crate) struct State {
    /// The document in force; none until a coordinator told it.
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) fleet: Fleet,
    pub(crate) retries: IndexMap<String, Retries>,
    /// Requests that wait for a place, by service.
    pub(crate) lines: IndexMap<String, Queue>,
    /// Room of services that stream.
    pub(crate) paces: IndexMap<String, Pace>,
    /// Gateways that share the retry budget.
    pub(crate) gateways: u32,
}

impl std::ops::Deref for Shared {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

impl Shared {
    pub(crate) fn new(domain: &str, allowance: Allowance, lines: Lines) -> Shared {
        let state = State {
            plan: None,
            fleet: Fleet::new(domain),
            retries: IndexMap::new(),
            lines: IndexMap::new(),
            paces: IndexMap::new(),
            gateways: 1,
        };
        Shared(Arc::new(Inner {
            start: Instant::now(),
            state: Mutex::new(state),
            pool: Pool::default(),
            lines,
            room: Notify::new(),
            allowance,
            closing: watch::channel(false).0,
            shut: AtomicBool::new(false),
            open: AtomicU32::new(0),
        }))
    }
}

impl Inner {
    /// Time since this process started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn plan(&self) -> Option<Arc<Plan>> {
        self.state().plan.clone()
    }

    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Takes nothing more in.
    pub(crate) fn shut(&self) {
        self.shut.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_shut(&self) -> bool {
        self.shut.load(Ordering::Relaxed)
    }

    /// Callers may be sent here: it knows what is settled and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_closing() && self.state().plan.is_some()
    }

    /// A stream of `service` brought an event `pause` after the one before.
    pub(crate) fn saw_pause(&self, service: &str, pause: Duration, limit: Duration) {
        let now = self.now();
        let mut state = self.state();
        let State {
            paces, fleet, plan, ..
        } = &mut *state;
        let Some(pace) = paces.get_mut(service) else {
            // Made when the stream was placed.
            return;
        };
        let engine = plan
            .as_ref()
            .and_then(|p| p.services().get(service)?.engine);
        let bounds = Bounds {
            limit,
            idle: engine.map_or(Duration::ZERO, |e| e.idle_pass()),
        };
        if let Some(room) = pace.saw(now, pause, bounds, || fleet.mean_load(now, service)) {
            metrics::gauge!("service_room", "service" => service.to_string()).set(room);
        }
    }

    /// Room of a service, where it streams, and requests that wait for a place.
    pub(crate) fn room_of(&self, service: &str) -> (Option<f64>, usize) {
        let state = self.state();
        let room = state.paces.get(service).map(Pace::room);
        (room, state.lines.get(service).map_or(0, Queue::len))
    }

    /// A request for `service` came in; the retry budget grows with it.
    pub(crate) fn count_request(&self, service: &str) {
        let now = self.now();
        let mut state = self.state();
        let retries = state.retries.entry(service.into()).or_default();
        retries.request(now, &self.allowance);
    }

    /// Requests in flight.
    pub(crate) fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// A second try for `service`, if the budget has one.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let gateways = state.gateways;
        let retries = state.retries.entry(service.into()).or_default();
        retries.spend(now, &self.allowance, gateways)
    }
}

/// Counts a request as in flight while it lives.
pub(crate) struct Flight(Shared);

impl Flight {
    pub(crate) fn begin(shared: &Shared) -> Flight {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Flight(shared.clone())
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

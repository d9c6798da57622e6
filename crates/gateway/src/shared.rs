//! State that all requests of a gateway share. It is locked for moments only, never
//! across a wait.

use crate::suspects::Report;
use bn_directory::GatewaySelection;
use bn_limit::Queue;
use bn_quarantine::{LossTracker, Table};
use bn_route::{
    FillController, Fleet, PauseBounds, RetryAllowance, RetryBudget, RetryDetector, Server, Unit,
};
use bn_serve::client::Pool;
use bn_settle::Document;
use bn_trace::Lines;
use indexmap::IndexMap;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, watch};

/// Between two looks whether a configuration has come.
const PLAN_LOOK: Duration = Duration::from_millis(25);
/// Between two lines on the room of services: it changes several times a second.
const ROOM_LINE_GAP: Duration = Duration::from_secs(1);

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
    pub(crate) allowance: RetryAllowance,
    /// Turns true when a graceful stop begins.
    pub(crate) closing: watch::Sender<bool>,
    /// The stop has come so far that nothing more is taken in.
    shut: AtomicBool,
    /// Requests in flight.
    open: AtomicU32,
    /// Requests taken in since the start.
    taken: AtomicU64,
    /// What the link tells the coordinators.
    pub(crate) reports: mpsc::Sender<Report>,
}

/// What is believed and counted.
pub(crate) struct State {
    /// The document in force; none until a coordinator told it.
    pub(crate) plan: Option<Arc<Document>>,
    pub(crate) fleet: Fleet,
    pub(crate) retries: IndexMap<String, RetryBudget>,
    /// Requests that wait for a place, by service.
    pub(crate) lines: IndexMap<String, Queue>,
    /// Room of what streams, by unit.
    pub(crate) paces: IndexMap<Unit, FillController>,
    /// When the next line on room is due.
    room_line_due: Duration,
    /// How long callers wait, by route.
    pub(crate) patience: RetryDetector,
    /// Gateways that share the retry budget.
    pub(crate) gateways: u32,
    /// Gateways that callers are sent to.
    pub(crate) named: GatewaySelection,
    /// Requests under which backend servers ended, as coordinators tell them.
    pub(crate) cases: Table,
    /// Runs that were lost here.
    pub(crate) watch: LossTracker,
}

impl State {
    /// What a backend server is a part of stands still: what was learnt of it is void.
    pub(crate) fn forget_pace_of(&mut self, id: &str) {
        let unit = self.fleet.get(id).map(|s| &s.unit);
        if let Some(pace) = unit.and_then(|u| self.paces.get_mut(u)) {
            pace.reset();
        }
    }
}

impl std::ops::Deref for Shared {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}

impl Shared {
    pub(crate) fn new(
        domain: &str,
        allowance: RetryAllowance,
        lines: Lines,
        reports: mpsc::Sender<Report>,
    ) -> Shared {
        let state = State {
            plan: None,
            fleet: Fleet::new(domain),
            retries: IndexMap::new(),
            lines: IndexMap::new(),
            paces: IndexMap::new(),
            room_line_due: Duration::ZERO,
            patience: RetryDetector::default(),
            gateways: 1,
            named: GatewaySelection::default(),
            cases: Table::default(),
            watch: LossTracker::default(),
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
            taken: AtomicU64::new(0),
            reports,
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

    pub(crate) fn plan(&self) -> Option<Arc<Document>> {
        self.state().plan.clone()
    }

    /// The document in force; waits for the first one until then.
    pub(crate) async fn plan_by(&self, until: Duration) -> Option<Arc<Document>> {
        loop {
            let plan = self.plan();
            if plan.is_some() || self.now() >= until {
                return plan;
            }
            tokio::time::sleep(PLAN_LOOK).await;
        }
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

    /// A stream from `server` brought an event `pause` after the one before.
    pub(crate) fn saw_pause(&self, server: &Server, pause: Duration, limit: Duration) {
        let Server { service, unit, .. } = server;
        let now = self.now();
        let mut state = self.state();
        let State {
            paces,
            fleet,
            plan,
            lines: queues,
            room_line_due,
            ..
        } = &mut *state;
        let Some(pace) = paces.get_mut(unit) else {
            // Made when the stream was placed.
            return;
        };
        let engine = plan
            .as_ref()
            .and_then(|p| p.services().get(service)?.engine);
        let bounds = PauseBounds {
            max_pause: limit,
            idle_pass: engine.map_or(Duration::ZERO, |e| {
                e.unloaded_pass().mul_f64(fleet.max_slowdown(unit))
            }),
        };
        let judged = pace.observe_pause(now, pause, bounds, || fleet.mean_load(now, unit));
        let Some(judged) = judged else {
            return;
        };
        metrics::gauge!("service_room", "unit" => unit.clone()).set(judged.fill_limit);
        if now < *room_line_due {
            return;
        }
        *room_line_due = now + ROOM_LINE_GAP;
        let fields = json!({
            "service": service, "unit": unit, "room": judged.fill_limit, "load": judged.load,
            "pause": judged.pause, "waiting": queues.get(service).map_or(0, Queue::len),
        });
        self.lines.put("room", fields);
    }

    /// Most room of the units of a service, where it streams, and requests that wait for a place.
    pub(crate) fn room_of(&self, service: &str) -> (Option<f64>, usize) {
        let state = self.state();
        let units = state.fleet.units_of(service).into_iter();
        let rooms = units.filter_map(|u| state.paces.get(u).map(FillController::fill_limit));
        let room = rooms.reduce(f64::max);
        (room, state.lines.get(service).map_or(0, Queue::len))
    }

    /// Whether a caller of a route that waits for `deadline` more has asked before.
    pub(crate) fn came_back(&self, route: &str, deadline: Duration) -> bool {
        let now = self.now();
        self.state().patience.is_retry(now, route, deadline)
    }

    /// A request for `service` came in; the retry budget grows with it.
    pub(crate) fn count_request(&self, service: &str) {
        self.taken.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let mut state = self.state();
        let retries = state.retries.entry(service.into()).or_default();
        retries.record_request(now, &self.allowance);
    }

    /// Requests taken in since the start.
    pub(crate) fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
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
        retries.try_withdraw(now, &self.allowance, gateways)
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

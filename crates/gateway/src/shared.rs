//! State shared by all requests of a gateway. It is locked only briefly, never across an await.

use crate::buffer_guard::Buffers;
use crate::suspects::Report;
use crate::urgency::ServiceAdmission;
use bn_directory::GatewaySelection;
use bn_limit::Queue;
use bn_quarantine::{Asks, LossTracker, Table};
use bn_route::{
    FillRule, Fleet, PauseBounds, ResponseTimer, RetryAllowance, RetryBudget, RetryDetector,
    Server, Unit, UnitController,
};
use bn_serve::OpenConnections;
use bn_serve::client::Pool;
use bn_settle::Document;
use bn_trace::Lines;
use indexmap::IndexMap;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, watch};

/// Interval between checks for a first configuration.
const DOCUMENT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum interval between events on the fill limit: it changes several times a second.
const FILL_EVENT_INTERVAL: Duration = Duration::from_secs(1);
/// Events of a stream whose engine publishes no usual answer.
const DEFAULT_EVENTS: f64 = 25.0;

/// The state of one gateway. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Shared(Arc<Inner>);

pub(crate) struct Inner {
    start: Instant,
    state: Mutex<State>,
    pub(crate) pool: Pool,
    pub(crate) lines: Lines,
    /// Notified when capacity may have become free.
    pub(crate) capacity_freed: Notify,
    /// Notified when something is received about a case.
    pub(crate) cases_changed: Notify,
    pub(crate) allowance: RetryAllowance,
    pub(crate) buffers: Buffers,
    /// What admission to lock-step groups aims at.
    pub(crate) fill_rule: FillRule,
    /// Becomes true when a graceful stop starts.
    pub(crate) closing: watch::Sender<bool>,
    /// The stop has proceeded so far that no more requests are accepted.
    stopped_accepting: AtomicBool,
    /// Requests in flight.
    in_flight: AtomicU32,
    /// Connections of callers.
    pub(crate) callers: OpenConnections,
    /// Requests accepted since the start.
    accepted: AtomicU64,
    /// Reports that the link sends to the coordinators.
    pub(crate) reports: mpsc::Sender<Report>,
}

/// Known state and counters.
pub(crate) struct State {
    /// The document in force; none until a coordinator has sent one.
    pub(crate) document: Option<Arc<Document>>,
    pub(crate) fleet: Fleet,
    pub(crate) retry_budgets: IndexMap<String, RetryBudget>,
    /// Requests that wait for a slot, by service.
    pub(crate) queues: IndexMap<String, Queue>,
    /// Admission to ranked services.
    pub(crate) admissions: IndexMap<String, ServiceAdmission>,
    /// Fill controllers of streaming services, by unit.
    pub(crate) controllers: IndexMap<Unit, UnitController>,
    /// Times until the answers of backend servers, by unit.
    pub(crate) answer_timers: IndexMap<Unit, ResponseTimer>,
    /// Pauses between the events of streams, by unit.
    pub(crate) event_timers: IndexMap<Unit, ResponseTimer>,
    /// When the next event on the fill limit is due.
    fill_event_due: Duration,
    /// How long callers wait, by route.
    pub(crate) retry_detector: RetryDetector,
    /// Number of gateways that share the retry budget.
    pub(crate) gateway_count: u32,
    /// Gateways that callers are sent to.
    pub(crate) selection: GatewaySelection,
    /// Requests under which backend servers terminated, as reported by coordinators.
    pub(crate) cases: Table,
    /// This gateway's questions for trials of suspects.
    pub(crate) asks: Asks,
    /// Runs that were lost at this gateway.
    pub(crate) losses: LossTracker,
}

impl State {
    /// The unit of a backend server is stalled: what its fill controller has learnt is void.
    pub(crate) fn reset_controller(&mut self, id: &str) {
        let unit = self.fleet.get(id).map(|s| &s.unit);
        if let Some(controller) = unit.and_then(|u| self.controllers.get_mut(u)) {
            controller.reset();
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
        memory_bytes: Option<u64>,
        fill_rule: FillRule,
        lines: Lines,
        reports: mpsc::Sender<Report>,
    ) -> Shared {
        let state = State {
            document: None,
            fleet: Fleet::new(domain),
            retry_budgets: IndexMap::new(),
            queues: IndexMap::new(),
            admissions: IndexMap::new(),
            controllers: IndexMap::new(),
            answer_timers: IndexMap::new(),
            event_timers: IndexMap::new(),
            fill_event_due: Duration::ZERO,
            retry_detector: RetryDetector::default(),
            gateway_count: 1,
            selection: GatewaySelection::default(),
            cases: Table::default(),
            asks: Asks::default(),
            losses: LossTracker::default(),
        };
        Shared(Arc::new(Inner {
            start: Instant::now(),
            state: Mutex::new(state),
            pool: Pool::default(),
            lines,
            capacity_freed: Notify::new(),
            cases_changed: Notify::new(),
            allowance,
            buffers: Buffers::new(memory_bytes),
            fill_rule,
            closing: watch::channel(false).0,
            stopped_accepting: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            callers: OpenConnections::default(),
            accepted: AtomicU64::new(0),
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

    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.state().document.clone()
    }

    /// Returns the document in force; waits for the first one up to the time `until`.
    pub(crate) async fn wait_for_document(&self, until: Duration) -> Option<Arc<Document>> {
        loop {
            let document = self.document();
            if document.is_some() || self.now() >= until {
                return document;
            }
            tokio::time::sleep(DOCUMENT_POLL_INTERVAL).await;
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Stops accepting requests.
    pub(crate) fn stop_accepting(&self) {
        self.stopped_accepting.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_stopped_accepting(&self) -> bool {
        self.stopped_accepting.load(Ordering::Relaxed)
    }

    /// Whether callers may be sent here: the settled configuration is known, and no stop has begun.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_closing() && self.state().document.is_some()
    }

    /// Records that a stream from `server` delivered an event `pause` after the previous one.
    pub(crate) fn record_pause(&self, server: &Server, pause: Duration, max_pause: Duration) {
        let Server { service, unit, .. } = server;
        let now = self.now();
        let mut state = self.state();
        let State {
            controllers,
            fleet,
            document,
            queues,
            fill_event_due,
            ..
        } = &mut *state;
        let Some(controller) = controllers.get_mut(unit) else {
            // Created when the stream was placed.
            return;
        };
        let engine = document
            .as_ref()
            .and_then(|d| d.services().get(service)?.engine);
        let bounds = PauseBounds {
            max_pause,
            idle_pass: engine.map_or(Duration::ZERO, |e| {
                e.unloaded_pass().mul_f64(fleet.max_slowdown(unit))
            }),
        };
        let events = engine
            .and_then(|e| e.mean_events())
            .unwrap_or(DEFAULT_EVENTS);
        let load = || fleet.mean_load(now, unit);
        let update = controller.observe_pause(now, pause, bounds, events, load);
        let Some(update) = update else {
            return;
        };
        metrics::gauge!("service_room", "unit" => unit.clone()).set(update.fill_limit);
        if let Some(in_time) = update.in_time {
            metrics::gauge!("predicted_in_time", "unit" => unit.clone()).set(in_time);
        }
        if now < *fill_event_due {
            return;
        }
        *fill_event_due = now + FILL_EVENT_INTERVAL;
        let fields = json!({
            "service": service, "unit": unit, "room": update.fill_limit, "load": update.load,
            "pause": update.pause, "rule": controller.rule().name(), "in_time": update.in_time,
            "waiting": queues.get(service).map_or(0, Queue::len),
        });
        self.lines.put("room", fields);
    }

    /// Maximum fill limit of the units of a service, if it streams, and the number of queued
    /// requests.
    pub(crate) fn fill_and_queue(&self, service: &str) -> (Option<f64>, usize) {
        let state = self.state();
        let units = state.fleet.units_of(service).into_iter();
        let limits = units.filter_map(|u| state.controllers.get(u).map(UnitController::fill_limit));
        let limit = limits.reduce(f64::max);
        (limit, state.queues.get(service).map_or(0, Queue::len))
    }

    /// Whether a caller of a route that waits for `deadline` more is retrying.
    pub(crate) fn is_retry(&self, route: &str, deadline: Duration) -> bool {
        let now = self.now();
        self.state().retry_detector.is_retry(now, route, deadline)
    }

    /// Counts an incoming request for `service`; the retry budget grows with it.
    pub(crate) fn count_request(&self, service: &str) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let mut state = self.state();
        let budget = state.retry_budgets.entry(service.into()).or_default();
        budget.record_request(now, &self.allowance);
    }

    /// Requests accepted since the start.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Withdraws a retry for `service`, if the budget has one.
    pub(crate) fn try_withdraw_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let gateway_count = state.gateway_count;
        let budget = state.retry_budgets.entry(service.into()).or_default();
        budget.try_withdraw(now, &self.allowance, gateway_count)
    }
}

/// Counts a request as in flight until dropped.
pub(crate) struct InFlightGuard(Shared);

impl InFlightGuard {
    pub(crate) fn start(shared: &Shared) -> InFlightGuard {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

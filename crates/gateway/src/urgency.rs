//! Applies [`bn_admission`] to ranked services: those whose routes differ in priority. For all other
//! services, the functions here change nothing.

use crate::context::RequestContext;
use crate::placement;
use crate::shared::{Inner, Shared, State};
use bn_admission::{
    Admission, Demand, LevelDemand, LoadLimits, Priority, Rank, ReceivedDemand, RetryInput,
    ServiceCapacity, WaitInput,
};
use bn_limit::{Queue, QueuedRequest};
use bn_route::{FillController, Fleet, UnitController, fill_limit_for};
use bn_settle::Document;
use bn_wire::messages as wire;
use indexmap::IndexSet;
use serde_json::{Value, json};
use std::time::Duration;

/// Minimum interval between two log lines on one service.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Admission to one service.
#[derive(Default)]
pub(crate) struct ServiceAdmission {
    decisions: Admission,
    event_due: Duration,
}

impl State {
    /// Keeps the admission state of services that are still ranked, and creates that of new ones.
    pub(crate) fn update_ranked_services(&mut self, document: &Document) {
        let ranked: IndexSet<_> = document.ranked_services().collect();
        self.admissions
            .retain(|service, _| ranked.contains(service));
        for service in ranked {
            self.admissions.entry(service.clone()).or_default();
        }
    }

    fn service_capacity(&self, now: Duration, service: &str) -> ServiceCapacity {
        let named = u32::try_from(self.selection.gateways().len()).unwrap_or(u32::MAX);
        ServiceCapacity {
            slots: self.fleet.slots_of(now, service),
            gateways: named.max(1),
        }
    }
}

impl Inner {
    /// Records the time from placing a stream to its first event.
    pub(crate) fn record_first_event(&self, service: &str, time: Duration) {
        let mut state = self.state();
        if let Some(admission) = state.admissions.get_mut(service) {
            admission.decisions.first_events.record(time);
        }
    }
}

/// Urgency of a request.
pub(crate) fn rank(ctx: &RequestContext, now: Duration) -> Rank {
    Rank {
        priority: ctx.priority,
        late: placement::accepts_late(ctx, now),
    }
}

/// Limits of the load at which one request of a ranked service is placed.
pub(crate) struct Limits<'a> {
    fleet: &'a Fleet,
    admission: &'a Admission,
    now: Duration,
    rank: Rank,
    capacity: ServiceCapacity,
    /// Fraction of the slots that its account may not use now.
    margin: f64,
    /// This gateway has no request in flight: its fill limit is out of date.
    idle: bool,
    ignore_reserve: bool,
}

impl Limits<'_> {
    /// Mean load over slots up to which requests of this rank are placed in a unit.
    fn max_load(&self, fill_limit: f64) -> f64 {
        let limits = load_limits(self.fill_or_idle(fill_limit));
        match self.ignore_reserve {
            true => limits.in_time,
            false => {
                let Limits {
                    now,
                    rank,
                    capacity,
                    margin,
                    ..
                } = *self;
                self.admission.max_load(now, rank, limits, capacity, margin)
            }
        }
    }

    fn fill_or_idle(&self, fill_limit: f64) -> f64 {
        if self.idle {
            fill_limit.max(1.0)
        } else {
            fill_limit
        }
    }

    /// Load over slots up to which each backend server of the unit is filled by this request.
    pub(crate) fn fill_limit(&self, unit: &str, fill_limit: f64) -> f64 {
        let limits = load_limits(fill_limit);
        let reserve = self.admission.reserve(self.now, self.rank, self.capacity);
        let reserves = reserve + self.margin > 0.0;
        // The limit of late requests always applies to the mean load. They may use as much as less
        // urgent requests in time, which wait behind them.
        if !self.ignore_reserve && !self.rank.late && !reserves {
            return limits.in_time;
        }
        let free = self.fleet.usable_load(self.now, unit) < self.max_load(fill_limit);
        match (free, self.rank.late) {
            (true, _) => limits.in_time,
            // Late requests may use this load whatever is reserved.
            (false, true) => limits.late,
            (false, false) => 0.0,
        }
    }
}

fn load_limits(fill_limit: f64) -> LoadLimits {
    LoadLimits {
        in_time: fill_limit_for(false, fill_limit),
        late: fill_limit_for(true, fill_limit),
    }
}

/// The load limits of a request, if its service is ranked. `ignore_reserve` is set for a request that
/// has its turn by the floor of its priority.
pub(crate) fn limits<'a>(
    state: &'a State,
    now: Duration,
    ctx: &RequestContext,
    ignore_reserve: bool,
) -> Option<Limits<'a>> {
    let admission = state.admissions.get(&ctx.service)?;
    let queue = state.queues.get(&ctx.service);
    let waiting = queue.is_some_and(|q| q.waiting_with(has_priority(ctx.priority)) > 0);
    let decisions = &admission.decisions;
    Some(Limits {
        margin: decisions.account_margin(now, ctx.priority, account(ctx), waiting),
        fleet: &state.fleet,
        admission: decisions,
        now,
        rank: rank(ctx, now),
        capacity: state.service_capacity(now, &ctx.service),
        idle: state.fleet.in_flight_of(&ctx.service) == 0,
        ignore_reserve,
    })
}

/// Mean load over slots of a unit, and the load up to which a request may be placed there.
struct UnitLoad {
    load: f64,
    max_load: f64,
}

impl UnitLoad {
    fn excess(&self) -> f64 {
        self.load - self.max_load
    }
}

/// The unit of a request's service with the lowest excess over what the request may use.
fn least_loaded(state: &State, now: Duration, ctx: &RequestContext) -> Option<UnitLoad> {
    let limits = limits(state, now, ctx, false)?;
    let fill_limit = |unit: &str| match ctx.streams() {
        true => placement::find_controller(&state.controllers, unit, &ctx.service)
            .map_or(FillController::INITIAL, UnitController::fill_limit),
        false => placement::PLAIN_FILL_LIMIT,
    };
    let units = state.fleet.units_of(&ctx.service).into_iter();
    let loads = units.map(|unit| UnitLoad {
        load: state.fleet.usable_load(now, unit),
        max_load: limits.max_load(fill_limit(unit)),
    });
    loads.min_by(|a, b| a.excess().total_cmp(&b.excess()))
}

/// Mean load of the service's least loaded unit, and the load that a request's rank may use.
pub(crate) fn load_and_limit(shared: &Shared, ctx: &RequestContext) -> Option<(f64, f64)> {
    let now = shared.now();
    let state = shared.state();
    least_loaded(&state, now, ctx).map(|unit| (unit.load, unit.max_load))
}

/// Counts an incoming request, and logs at intervals what the decisions are based on.
pub(crate) fn record_arrival(shared: &Shared, ctx: &RequestContext) {
    let now = shared.now();
    let mut state = shared.state();
    let Some(admission) = state.admissions.get_mut(&ctx.service) else {
        return;
    };
    if !ctx.is_retry {
        let decisions = &mut admission.decisions;
        decisions.record_arrival(now, ctx.priority);
        decisions
            .usage
            .record_arrival(now, ctx.priority, account(ctx));
    }
    if now < admission.event_due {
        return;
    }
    admission.event_due = now + EVENT_INTERVAL;
    let fields = report_admission(&state, now, &ctx.service);
    drop(state);
    if let Some(fields) = fields {
        shared.lines.put("admission", fields);
    }
}

/// Sets the gauges of a ranked service, and returns the fields of its log line.
fn report_admission(state: &State, now: Duration, service: &str) -> Option<Value> {
    let decisions = &state.admissions.get(service)?.decisions;
    let capacity = state.service_capacity(now, service);
    let mut levels = Vec::new();
    let mut rates_up_to = Vec::new();
    for (priority, rate) in decisions.local_rates(now) {
        let in_time = Rank {
            priority,
            late: false,
        };
        let reserve = decisions.reserve(now, in_time, capacity);
        let labels = [
            ("service", service.to_string()),
            ("priority", priority.to_string()),
        ];
        metrics::gauge!("admission_rate", &labels).set(rate);
        metrics::gauge!("admission_reserve", &labels).set(reserve);
        levels.push(json!({ "priority": priority, "rate": rate, "reserve": reserve }));
        rates_up_to.push(decisions.rate(now, priority.saturating_add(1), capacity));
    }
    let source = match decisions.view.is_fresh(now) {
        true => "view",
        false => "local",
    };
    let units = state.fleet.units_of(service).into_iter();
    let loads: Vec<f64> = units.map(|u| state.fleet.usable_load(now, u)).collect();
    let tail = decisions.first_events.tail().map(|t| t.as_millis() as u64);
    Some(json!({
        "service": service, "levels": levels, "rates_up_to": rates_up_to, "loads": loads,
        "gateways": capacity.gateways, "slots": capacity.slots, "first_event_tail_ms": tail,
        "source": source, "waiting": state.queues.get(service).map_or(0, Queue::len),
    }))
}

/// Counts a start and its work. Called before the request leaves the queue.
pub(crate) fn record_start(state: &mut State, now: Duration, ctx: &RequestContext) {
    let State {
        admissions, queues, ..
    } = state;
    let Some(admission) = admissions.get_mut(&ctx.service) else {
        return;
    };
    let decisions = &mut admission.decisions;
    decisions.record_start(ctx.priority);
    let queue = queues.get(&ctx.service);
    let waiting = queue.map_or_else(Vec::new, |q| q.waiting_accounts(has_priority(ctx.priority)));
    decisions.record_work(now, ctx.priority, account(ctx), ctx.work, &waiting);
}

fn account(ctx: &RequestContext) -> &str {
    ctx.account.as_deref().unwrap_or_default()
}

/// Returns whether a queue position belongs to a priority.
fn has_priority(priority: Priority) -> impl Fn(u32) -> bool {
    move |position| Rank::from_queue_priority(position).priority == priority
}

/// The queued request whose turn it is, if the service is ranked, and whether it has its turn by the
/// floor of its priority, regardless of the reserve.
pub(crate) fn first_queued(state: &State, now: Duration, service: &str) -> Option<(u64, bool)> {
    let decisions = &state.admissions.get(service)?.decisions;
    let queue = state.queues.get(service)?;
    let order = |position: u32, account: &str| {
        let priority = Rank::from_queue_priority(position).priority;
        decisions.account_order(now, priority, account)
    };
    let waiting: IndexSet<Priority> = queue
        .waiting_priorities()
        .into_iter()
        .map(|p| Rank::from_queue_priority(p).priority)
        .collect();
    let waiting: Vec<Priority> = waiting.into_iter().collect();
    let due = decisions.due(now, &waiting);
    let first = match due {
        Some(priority) => queue.first_by(has_priority(priority), order),
        None => queue.first_by(|_| true, order),
    };
    Some((first?, due.is_some()))
}

/// What this gateway reports of the demand on ranked services; `None` if there is none.
pub(crate) fn local_demand(shared: &Shared, with_accounts: bool) -> Option<wire::Demand> {
    let now = shared.now();
    let mut state = shared.state();
    let State {
        admissions, queues, ..
    } = &mut *state;
    if admissions.is_empty() {
        return None;
    }
    let mut demand = Demand {
        gateways: 1,
        ..Demand::default()
    };
    for (service, admission) in admissions {
        let decisions = &mut admission.decisions;
        decisions.usage.evict_idle(now);
        let queue = queues.get(service);
        for (priority, rate) in decisions.local_rates(now) {
            let waiting = queue.map_or(0, |q| q.waiting_with(has_priority(priority)));
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            if rate > 0.0 || waiting > 0 {
                let level = LevelDemand { rate, waiting };
                demand.levels.insert((service.clone(), priority), level);
            }
        }
        if !with_accounts {
            continue;
        }
        decisions.usage.record_report(now);
        for ((priority, account), rate) in decisions.usage.rates(now) {
            let key = (service.clone(), *priority, account.clone());
            demand.accounts.insert(key, rate);
        }
    }
    demand.truncate_accounts();
    Some((&demand).into())
}

/// Takes the sum of the demand at all gateways from a coordinator.
pub(crate) fn merge_demand(shared: &Shared, raw: wire::Demand) {
    let now = shared.now();
    let ReceivedDemand { demand, invalid } = raw.into();
    metrics::counter!("demand_invalid_total").increment(invalid);
    for (service, admission) in &mut shared.state().admissions {
        let Admission { view, usage, .. } = &mut admission.decisions;
        view.update(now, service, &demand, |p, a| usage.reported(now, p, a));
    }
}

/// Longest wait of a request that can still be in time; `min` is that of other services.
pub(crate) fn max_wait(
    shared: &Shared,
    ctx: &RequestContext,
    now: Duration,
    min: Duration,
) -> Duration {
    let state = shared.state();
    let Some(admission) = state.admissions.get(&ctx.service) else {
        return min;
    };
    let waited = now.saturating_sub(ctx.arrived);
    admission
        .decisions
        .max_wait(ctx.route.target.saturating_sub(waited), min)
}

/// Expected wait of a request that would be queued now.
pub(crate) fn expected_wait(
    state: &State,
    now: Duration,
    ctx: &RequestContext,
    request: &QueuedRequest,
) -> Option<Duration> {
    let admission = state.admissions.get(&ctx.service)?;
    let queue = state.queues.get(&ctx.service)?;
    let input = WaitInput {
        rank: rank(ctx, now),
        ahead: queue.ahead_of(request),
        start_rate: queue.start_rate(),
        excess: least_loaded(state, now, ctx).map_or(0.0, |unit| unit.excess()),
    };
    let capacity = state.service_capacity(now, &ctx.service);
    Some(admission.decisions.expected_wait(now, &input, capacity))
}

/// Delay after which a refused caller should retry, if its service is ranked. A caller retries only
/// once: its later refusals reserve no time.
pub(crate) fn retry_delay(
    shared: &Shared,
    ctx: &RequestContext,
    latest: Duration,
) -> Option<Duration> {
    let now = shared.now();
    let mut state = shared.state();
    let State {
        admissions, queues, ..
    } = &mut *state;
    let admission = admissions.get_mut(&ctx.service).filter(|_| !ctx.is_retry)?;
    let queue = queues.get(&ctx.service)?;
    if queue.start_rate() <= 0.0 {
        return None;
    }
    let late = Rank {
        priority: ctx.priority,
        late: true,
    };
    let input = RetryInput {
        priority: ctx.priority,
        waiting: queue.waiting_at_least(late.queue_priority()),
        start_rate: queue.start_rate(),
        urgent_rate: admission
            .decisions
            .local_rate(now, ctx.priority.saturating_add(1)),
        latest,
    };
    Some(
        admission
            .decisions
            .retries
            .delay(now, &input, rand::random()),
    )
}

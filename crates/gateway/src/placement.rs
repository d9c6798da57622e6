//! Finds a backend server for a request: at once if one has capacity, otherwise after a short wait
//! in a queue. A request that cannot be placed in time is refused at once, with a time to retry.
//!
//! This handles bursts of up to twice the load that a group can serve, and groups whose forward
//! passes turned slow. Serving everybody late is worth less to callers than serving as many as
//! possible in time.

use crate::answer::Refusal;
use crate::attempt::Reservation;
use crate::context::RequestContext;
use crate::shared::{Shared, State};
use crate::{silence, urgency};
use bn_limit::QueuedRequest;
use bn_route::{
    FillController, PickArgs, ServerId, Unavailable, Unit, UnitController, fill_limit_for,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Ratio of load to slots up to which a backend server of a plain service is picked. Above 1, a
/// request waits in the backend server's own queue, which is closer to the next free slot.
pub(crate) const PLAIN_FILL_LIMIT: f64 = 1.0;
/// Fraction of the target time that a request waits in the queue for a stream's slot: a first event
/// takes half of the target by itself, so a stream that starts later is late.
const STREAM_WAIT_FRACTION: f64 = 0.4;
/// Wait of a request that can no longer be in time: it is a retry after a refusal. It is served
/// late rather than never, in slots that no other request wants.
const LATE_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum time that a request is held here before it is sent, whatever it waits for. Callers
/// abandon a stream after two seconds without an event, and a first event takes a part of them.
pub(crate) const MAX_HOLD: Duration = Duration::from_millis(1_700);
/// Maximum number of queued requests of one service. A gateway starts some 15 a second, so requests
/// further back would wait longer than any may.
const MAX_QUEUED: usize = 64;
/// Interval between checks while waiting if no slot was released here: slots released by other
/// gateways are not noticed otherwise.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Wait for a backend server of a service that has none: it may be registering, or its successor
/// may be.
const NO_SERVERS_WAIT: Duration = Duration::from_millis(300);
/// Retry delay after a refusal: bursts last some seconds, so a slot is likelier after one or two.
/// The jitter spreads the retries of requests refused together.
const RETRY_BASE: Duration = Duration::from_millis(900);
const RETRY_JITTER: Duration = Duration::from_millis(1_300);
/// Fraction of the remaining time within which callers retry; after a third of it they do not.
const RETRY_FRACTION: f64 = 0.32;
/// Jitter of the retry delay for a stalled group, as a fraction.
const STALLED_JITTER: f64 = 0.1;
/// Why requests are refused while their group is stalled.
pub(crate) const STALLED: &str = "the group of backend servers stands still";
/// Why they are refused at once if it has been stalled for long.
const DOWN: &str = "the group of backend servers is down";
/// Why they are refused if the service has no backend server.
const NO_SERVERS: &str = "no backend server";
/// Why they are refused if all backend servers of the service are in evacuated failure domains.
const EVACUATED: &str = "all backend servers are in evacuated failure domains";
/// Why they are refused if no other problem is known.
pub(crate) const FULL: &str = "all backend servers are full";
/// Why they are refused if no backend server accepts a request in time, as all have directed.
const THROTTLED: &str = "the backend servers take no more requests now";

/// Finds a slot and reserves it.
pub(crate) async fn reserve(
    shared: &Shared,
    ctx: &RequestContext,
    tried: &[ServerId],
) -> Result<Reservation, Refusal> {
    let start = shared.now();
    match reserve_now(shared, ctx, tried) {
        Ok(reservation) => Ok(reservation),
        Err(Unavailable::NoServers) => wait_for_servers(shared, ctx, tried, start).await,
        Err(cause) => wait_or_refuse(shared, ctx, tried, start, cause).await,
    }
}

/// Waits for one of the existing backend servers, unless waiting is known to be futile.
async fn wait_or_refuse(
    shared: &Shared,
    ctx: &RequestContext,
    tried: &[ServerId],
    start: Duration,
    cause: Unavailable,
) -> Result<Reservation, Refusal> {
    let until = start + max_queue_time(shared, ctx, start);
    let reason = match cause {
        Unavailable::Full => return wait_in_queue(shared, ctx, tried, start).await,
        Unavailable::Throttled(Some(open_at)) if open_at <= until => {
            return wait_in_queue(shared, ctx, tried, start).await;
        }
        Unavailable::Stalled if accepts_late(ctx, start) => {
            return wait_in_queue(shared, ctx, tried, start).await;
        }
        // It will be stalled for longer than any request may wait.
        Unavailable::Stalled => STALLED,
        Unavailable::Down => DOWN,
        Unavailable::Evacuated => EVACUATED,
        Unavailable::Throttled(_) => THROTTLED,
        Unavailable::NoServers => NO_SERVERS,
    };
    Err(refusal(shared, ctx, reason))
}

/// Reserves a slot at once, unless queued requests have precedence over this one.
fn reserve_now(
    shared: &Shared,
    ctx: &RequestContext,
    tried: &[ServerId],
) -> Result<Reservation, Unavailable> {
    let now = shared.now();
    let mut state = shared.state();
    let queue = state.queues.entry(ctx.service.clone()).or_default();
    if queue.has_at_least(queue_priority(ctx, now)) {
        return Err(Unavailable::Full);
    }
    let reservation = try_reserve(shared, &mut state, ctx, tried, false)?;
    urgency::record_start(&mut state, now, ctx);
    if let Some(queue) = state.queues.get_mut(&ctx.service) {
        queue.record_start(now);
    }
    Ok(reservation)
}

fn try_reserve(
    shared: &Shared,
    state: &mut State,
    ctx: &RequestContext,
    tried: &[ServerId],
    ignore_reserve: bool,
) -> Result<Reservation, Unavailable> {
    let now = shared.now();
    let late = accepts_late(ctx, now);
    let limits = urgency::limits(state, now, ctx, ignore_reserve);
    let (controllers, service) = (&state.controllers, ctx.service.as_str());
    let fill_limit = |unit: &str| {
        let streams = || {
            find_controller(controllers, unit, service)
                .map_or(FillController::INITIAL, UnitController::fill_limit)
        };
        let fill_limit = if ctx.streams() {
            streams()
        } else {
            PLAIN_FILL_LIMIT
        };
        match &limits {
            None => fill_limit_for(late, fill_limit),
            Some(limits) => limits.fill_limit(unit, fill_limit),
        }
    };
    let args = PickArgs {
        service: &ctx.service,
        tried,
        final_attempt: tried.len() + 1 >= ctx.route.attempts as usize,
        doubt_after: silence::doubt_after(ctx),
        fill_limit: &fill_limit,
    };
    let picked = state.fleet.pick(now, &args, rand::random::<f64>);
    let server = picked.cloned()?;
    if limits.is_some_and(|l| l.fill_limit(&server.unit, 1.0) <= 0.0) {
        // An idle gateway's limit is raised after the reserve has been deducted.
        return Err(Unavailable::Full);
    }
    if ctx.streams() && !state.controllers.contains_key(&server.unit) {
        let controller =
            find_controller(&state.controllers, &server.unit, &server.service).cloned();
        let unit = server.unit.clone();
        state.controllers.insert(
            unit,
            controller.unwrap_or_else(|| UnitController::new(shared.fill_rule)),
        );
    }
    state.fleet.record_sent(now, &server.id);
    Ok(Reservation::new(shared, server))
}

/// Fill controller of a unit. What was learnt before a service's backend servers reported their
/// groups applies to each group.
pub(crate) fn find_controller<'a>(
    controllers: &'a IndexMap<Unit, UnitController>,
    unit: &str,
    service: &str,
) -> Option<&'a UnitController> {
    controllers.get(unit).or_else(|| controllers.get(service))
}

/// Whether a request waits for a stalled group to run again. A first attempt is told when to retry;
/// a retry will not be repeated, so serving it late is better than not at all. The same holds for a
/// request that has already waited past its target, for example for the configuration.
pub(crate) fn accepts_late(ctx: &RequestContext, now: Duration) -> bool {
    ctx.is_retry || now > ctx.arrived + ctx.route.target
}

/// Position in the queue: by priority, and within one, requests that can still be in time go first.
pub(crate) fn queue_priority(ctx: &RequestContext, now: Duration) -> u32 {
    urgency::rank(ctx, now).queue_priority()
}

async fn wait_for_servers(
    shared: &Shared,
    ctx: &RequestContext,
    tried: &[ServerId],
    start: Duration,
) -> Result<Reservation, Refusal> {
    let until = match accepts_late(ctx, start) {
        true => start + max_queue_time(shared, ctx, start),
        false => start + NO_SERVERS_WAIT.min(ctx.remaining(start) / 3),
    };
    loop {
        wait_for_capacity(shared).await;
        match reserve_now(shared, ctx, tried) {
            Ok(reservation) => return Ok(reservation),
            Err(Unavailable::NoServers) if shared.now() < until => {}
            Err(cause) => {
                return wait_or_refuse(shared, ctx, tried, start, cause).await;
            }
        }
    }
}

/// How long a request may wait in the queue. One that is already late goes behind those that can
/// still be in time, but may wait for longer.
fn max_queue_time(shared: &Shared, ctx: &RequestContext, now: Duration) -> Duration {
    let limit = match (accepts_late(ctx, now), ctx.streams()) {
        (true, _) => LATE_WAIT,
        (false, true) => {
            let limit = ctx.route.target.mul_f64(STREAM_WAIT_FRACTION);
            urgency::max_wait(shared, ctx, now, limit)
        }
        (false, false) => ctx.route.target,
    };
    let waited = now.saturating_sub(ctx.arrived);
    limit
        .min(ctx.remaining(now) / 3)
        .min(MAX_HOLD.saturating_sub(waited))
}

async fn wait_in_queue(
    shared: &Shared,
    ctx: &RequestContext,
    tried: &[ServerId],
    start: Duration,
) -> Result<Reservation, Refusal> {
    let until = start + max_queue_time(shared, ctx, start);
    let request = QueuedRequest {
        id: rand::random(),
        account: ctx.account.clone().unwrap_or_default(),
        priority: queue_priority(ctx, start),
        share: 1,
        deadline: until,
    };
    let entry = match QueueEntry::enqueue(shared, ctx, request) {
        Some(entry) => entry,
        // It is known now that its turn would come too late.
        None => return Err(refusal(shared, ctx, "the line is too long")),
    };
    loop {
        wait_for_capacity(shared).await;
        if let Some(reservation) = entry.reserve_if_first(tried) {
            return Ok(reservation);
        }
        if shared.state().fleet.is_evacuated(&ctx.service) {
            return Err(refusal(shared, ctx, EVACUATED));
        }
        if !accepts_late(ctx, start) && shared.state().fleet.is_stalled(&ctx.service) {
            return Err(refusal(shared, ctx, STALLED));
        }
        // Callers must not be held for a group that was never complete or does not recover.
        if shared.state().fleet.is_down(shared.now(), &ctx.service) {
            return Err(refusal(shared, ctx, DOWN));
        }
        if shared.now() >= until {
            let throttled = shared
                .state()
                .fleet
                .is_throttled(shared.now(), &ctx.service);
            let reason = if throttled { THROTTLED } else { FULL };
            return Err(refusal(shared, ctx, reason));
        }
    }
}

/// Waits for a slot released here, or for the next check.
async fn wait_for_capacity(shared: &Shared) {
    // Either wakes the request: only the check of the fleet decides.
    let _ = tokio::time::timeout(POLL_INTERVAL, shared.capacity_freed.notified()).await;
}

/// A request's position in the queue, released on drop: callers may disconnect.
struct QueueEntry<'a> {
    shared: &'a Shared,
    ctx: &'a RequestContext,
    id: u64,
}

impl<'a> QueueEntry<'a> {
    fn enqueue(
        shared: &'a Shared,
        ctx: &'a RequestContext,
        request: QueuedRequest,
    ) -> Option<QueueEntry<'a>> {
        let id = request.id;
        let now = shared.now();
        let enqueued = {
            let mut state = shared.state();
            let expected = urgency::expected_wait(&state, now, ctx, &request);
            let in_time = expected.is_none_or(|wait| now + wait <= request.deadline);
            let queue = state.queues.entry(ctx.service.clone()).or_default();
            in_time && queue.push(now, request, MAX_QUEUED).is_ok()
        };
        // Created only after the state is unlocked: dropping a queue entry locks it again.
        match enqueued {
            true => Some(QueueEntry { shared, ctx, id }),
            false => None,
        }
    }

    /// Reserves a slot if this request is first in the queue and a slot is free.
    fn reserve_if_first(&self, tried: &[ServerId]) -> Option<Reservation> {
        let now = self.shared.now();
        let service = &self.ctx.service;
        let mut state = self.shared.state();
        let (first, ignore_reserve) = match urgency::first_queued(&state, now, service) {
            Some((first, due)) => (first, due),
            None => (*state.queues.get(service)?.start_order().first()?, false),
        };
        if first != self.id {
            return None;
        }
        let reservation =
            try_reserve(self.shared, &mut state, self.ctx, tried, ignore_reserve).ok()?;
        urgency::record_start(&mut state, now, self.ctx);
        if let Some(queue) = state.queues.get_mut(service) {
            queue.start(now, self.id);
        }
        Some(reservation)
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(queue) = state.queues.get_mut(&self.ctx.service) {
            queue.remove_if(|r| r.id == self.id);
        }
    }
}

fn refusal(shared: &Shared, ctx: &RequestContext, reason: &'static str) -> Refusal {
    Refusal::retryable(reason, retry_delay(shared, ctx))
}

/// Delay after which a refused caller should retry. A group stalls for some seconds, so its callers
/// are given about the longest delay after which they still retry; so are those of an evacuated
/// service.
pub(crate) fn retry_delay(shared: &Shared, ctx: &RequestContext) -> Duration {
    let now = shared.now();
    let remaining = ctx.remaining(now);
    let (unavailable, open_at) = {
        let fleet = &shared.state().fleet;
        let throttled = fleet.is_throttled(now, &ctx.service);
        let open_at = fleet.next_send_at(&ctx.service).filter(|_| throttled);
        let unavailable = fleet.is_stalled(&ctx.service) || fleet.is_evacuated(&ctx.service);
        (unavailable, open_at)
    };
    if unavailable {
        return latest_retry(remaining);
    }
    let latest = remaining.mul_f64(RETRY_FRACTION);
    if open_at.is_none()
        && let Some(delay) = urgency::retry_delay(shared, ctx, latest)
    {
        return delay;
    }
    // Other gateways may serve it at once if only they send.
    let opens_in = open_at.unwrap_or_default().saturating_sub(now);
    let after = opens_in.max(RETRY_BASE) + RETRY_JITTER.mul_f64(rand::random());
    // A caller that retries at the latest time waits for the rest in the queue. If the throttling
    // ends even later, nobody should retry before its end.
    let max_wait = LATE_WAIT.min(remaining.saturating_sub(latest) / 3);
    match opens_in <= latest + max_wait {
        true => after.min(latest),
        false => after,
    }
}

/// About the latest time at which a caller that waits for `remaining` more still retries.
pub(crate) fn latest_retry(remaining: Duration) -> Duration {
    remaining.mul_f64(RETRY_FRACTION * (1.0 - STALLED_JITTER * rand::random::<f64>()))
}

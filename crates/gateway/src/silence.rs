//! Detects backend servers that keep a request waiting and send nothing at all, so that it can go to
//! another one while its caller still waits. The decisions are `bn_route`'s; here are their timers
//! and log lines.

use crate::context::RequestContext;
use crate::liveness;
use crate::shared::Shared;
use bn_route::Server;
use serde_json::json;
use std::time::Duration;

/// Bounds of the time after which an answer is overdue, as multiples of the route's target. A stream
/// that another backend server begins within the other half of the target is still in time; of a
/// plain answer, nothing is seen before it is complete.
const STREAM_TARGETS: (f64, f64) = (0.5, 1.0);
const PLAIN_TARGETS: (f64, f64) = (1.0, 2.0);
/// Bounds of the time after which a stream's next event is overdue, as multiples of the maximum
/// pause of a stream that is on time.
const EVENT_PAUSES: (f64, f64) = (2.0, 4.0);
/// Least time after which anything is overdue, for routes that set no target.
const MIN_TIMEOUT: Duration = Duration::from_millis(20);
/// A timer that fires later than this shows that this process stood still: what was received in
/// the meantime is still unread.
const MAX_LATENESS: Duration = Duration::from_millis(60);
/// Interval between checks while most backend servers are silent.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The head of the answer.
    Answer,
    /// The next event of its stream.
    Event,
}

/// Returns once `server` has sent nothing for longer than usual, counted from this call, while most
/// others that owe answers have sent something.
pub(crate) async fn wait(shared: &Shared, ctx: &RequestContext, server: &Server, awaited: Awaited) {
    let mut since = shared.now();
    loop {
        let timeout = timeout(shared, ctx, server, awaited);
        let heard_at = shared.state().fleet.heard_at(&server.id);
        let due = heard_at.map_or(since, |h| h.max(since)) + timeout;
        let now = shared.now();
        if now < due {
            tokio::time::sleep(due - now).await;
            if shared.now() > due + MAX_LATENESS {
                since = shared.now();
            }
            continue;
        }
        if !shared
            .state()
            .fleet
            .is_silence_common(now, &server.id, timeout)
        {
            return mark(shared, ctx, server, awaited, timeout);
        }
        tokio::time::sleep(RECHECK_INTERVAL).await;
    }
}

/// Time for which a backend server may owe an answer before others are preferred.
pub(crate) fn doubt_after(ctx: &RequestContext) -> Duration {
    let (min, _) = answer_bounds(ctx);
    ctx.route.target.mul_f64(min).max(MIN_TIMEOUT)
}

fn answer_bounds(ctx: &RequestContext) -> (f64, f64) {
    match ctx.streams() {
        true => STREAM_TARGETS,
        false => PLAIN_TARGETS,
    }
}

/// Marks `server` as silent, and has it watched until it is heard again.
fn mark(
    shared: &Shared,
    ctx: &RequestContext,
    server: &Server,
    awaited: Awaited,
    timeout: Duration,
) {
    let newly_silent = shared.state().fleet.mark_silent(&server.id);
    if newly_silent {
        log_silent(shared, ctx, server, awaited, timeout);
        liveness::watch(shared, server);
    }
}

/// Time after which what is awaited is overdue.
fn timeout(shared: &Shared, ctx: &RequestContext, server: &Server, awaited: Awaited) -> Duration {
    let state = shared.state();
    let (timers, unit_time, bounds) = match awaited {
        Awaited::Answer => (&state.answer_timers, ctx.route.target, answer_bounds(ctx)),
        Awaited::Event => (&state.event_timers, ctx.route.pause, EVENT_PAUSES),
    };
    let (min, max) = (unit_time.mul_f64(bounds.0), unit_time.mul_f64(bounds.1));
    let timer = timers.get(&server.unit).copied().unwrap_or_default();
    timer.timeout(min, max).max(MIN_TIMEOUT)
}

/// Records that something was received from a backend server.
pub(crate) fn record_heard(shared: &Shared, server: &Server) {
    let now = shared.now();
    let mut state = shared.state();
    let returned = state.fleet.record_heard(now, &server.id, server.start_time);
    drop(state);
    if returned {
        let fields = json!({ "id": server.id, "service": server.service });
        shared.lines.put("backend_server_heard", fields);
        shared.capacity_freed.notify_waiters();
    }
}

/// Records the time until the head of an answer.
pub(crate) fn record_answer(shared: &Shared, server: &Server, time: Duration) {
    let mut state = shared.state();
    let timers = &mut state.answer_timers;
    timers.entry(server.unit.clone()).or_default().record(time);
}

/// Records the pause between two events of a stream.
pub(crate) fn record_event(shared: &Shared, server: &Server, pause: Duration) {
    let mut state = shared.state();
    let timers = &mut state.event_timers;
    timers.entry(server.unit.clone()).or_default().record(pause);
}

fn log_silent(
    shared: &Shared,
    ctx: &RequestContext,
    server: &Server,
    awaited: Awaited,
    timeout: Duration,
) {
    let now = shared.now();
    metrics::counter!("backend_servers_silent_total").increment(1);
    shared.lines.put(
        "backend_server_silent",
        json!({
            "request": ctx.id, "id": server.id, "service": server.service,
            "awaited": match awaited { Awaited::Answer => "answer", Awaited::Event => "event" },
            "overdue_after_ms": timeout.as_millis() as u64,
            "after_ms": (now - ctx.arrived).as_millis() as u64,
        }),
    );
}

/// Logs that a request stays at a silent backend server for now.
pub(crate) fn log_kept(shared: &Shared, ctx: &RequestContext, server: &str, why: &str) {
    let now = shared.now();
    shared.lines.put(
        "failover_refused",
        json!({
            "request": ctx.id, "route": ctx.route.name, "server": server, "why": why,
            "after_ms": (now - ctx.arrived).as_millis() as u64,
        }),
    );
}

/// Logs that a request is answered by another backend server than a silent one.
pub(crate) fn log_failover(
    shared: &Shared,
    ctx: &RequestContext,
    from: &str,
    to: &str,
    last_event: Option<&str>,
) {
    let now = shared.now();
    metrics::counter!("requests_failed_over_total").increment(1);
    shared.lines.put(
        "failed_over",
        json!({
            "request": ctx.id, "route": ctx.route.name, "from": from, "server": to,
            "last_event": last_event, "after_ms": (now - ctx.arrived).as_millis() as u64,
        }),
    );
}

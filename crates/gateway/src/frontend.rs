//! Handles callers' requests: accepts them, has them served and responds.

use crate::answer::Refusal;
use crate::buffer_guard::{BufferGuard, ReceiveError};
use crate::buffers::Phase;
use crate::context::{Denial, RequestContext};
use crate::departure::DepartureGuard;
use crate::dispatch::{self, Attempts};
use crate::shared::{InFlightGuard, Shared};
use crate::{buffer_guard, context, placement, plain, stream, urgency};
use bn_directory::ANSWER_TTL;
use bn_platform::call::{self, Call};
use bn_serve::{Body, BodyError, text};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// One in this many ordinary successes is logged; everything else always is.
const SUCCESS_LOG_SAMPLING: u32 = 32;

/// Fraction of the caller's wait for which it is held until a configuration is known.
const DOCUMENT_WAIT_FRACTION: f64 = 0.33;

/// Why a request is refused while callers that do not read use up the buffers.
const NO_MEMORY: &str = "no memory for more requests";

/// Whether this success is logged.
pub(crate) fn is_sampled() -> bool {
    rand::random::<u32>().is_multiple_of(SUCCESS_LOG_SAMPLING)
}

/// Responds to a caller.
pub(crate) async fn answer(shared: Shared, request: Request<Incoming>) -> Response<Body> {
    let in_flight = InFlightGuard::start(&shared);
    let (parts, body) = request.into_parts();
    let now = shared.now();
    // A process that has just started learns the configuration in a second or two. A caller refused
    // meanwhile retries once at most, mostly too early, and gets no response at all.
    let caller_wait = context::deadline(&parts.headers);
    let document_wait = caller_wait.mul_f64(DOCUMENT_WAIT_FRACTION);
    let document = shared
        .wait_for_document(now + document_wait.min(placement::MAX_HOLD))
        .await;
    let created = RequestContext::new(now, document.as_deref(), parts, |sum| {
        rand::random_range(0..sum.max(1))
    });
    let mut ctx = match created {
        Ok(ctx) => ctx,
        Err(denial) => return deny(&shared, denial, caller_wait),
    };
    if shared.has_stopped_accepting() {
        let stopping = Refusal::retryable("this process is stopping", Duration::ZERO);
        return refuse(&shared, &ctx, &stopping);
    }
    let max_bytes = document.map_or(0, |d| d.limits().body_bytes);
    if let Some(after) = shared.buffers.refuse_until(now) {
        return refuse(&shared, &ctx, &Refusal::retryable(NO_MEMORY, after));
    }
    let body_guard = BufferGuard::new(&shared, Phase::Receiving, &ctx);
    let received = buffer_guard::receive(&body_guard, body, max_bytes);
    match tokio::time::timeout(ctx.remaining(now), received).await {
        Ok(Ok(body)) => ctx.body = body,
        Ok(Err(ReceiveError::Body(error))) => {
            return refuse(&shared, &ctx, &body_refusal(error));
        }
        Ok(Err(ReceiveError::NoMemory)) => {
            let after = shared.buffers.retry_after(shared.now());
            return refuse(&shared, &ctx, &Refusal::retryable(NO_MEMORY, after));
        }
        Err(_) => return refuse(&shared, &ctx, &body_refusal(BodyError::TimedOut)),
    }
    body_guard.set_phase(Phase::Waiting);
    ctx.body_guard = Some(Arc::new(body_guard));
    ctx.is_retry = shared.is_retry(&ctx.route.name, ctx.deadline);
    shared.count_request(&ctx.service);
    urgency::record_arrival(&shared, &ctx);
    let departure = DepartureGuard::new(&shared, &ctx);
    let result = match ctx.streams() {
        true => stream::serve(&shared, &ctx, Attempts::default(), in_flight).await,
        false => serve_plain(&shared, &ctx).await,
    };
    departure.disarm();
    match result {
        Ok(response) => {
            record_answered(&shared, &ctx, &response);
            response
        }
        Err(refusal) => refuse(&shared, &ctx, &refusal),
    }
}

async fn serve_plain(shared: &Shared, ctx: &RequestContext) -> Result<Response<Body>, Refusal> {
    let mut attempts = Attempts::default();
    let result = plain::serve(shared, ctx, &mut attempts);
    match tokio::time::timeout(ctx.plain_answer_time(shared.now()), result).await {
        Ok(result) => result,
        Err(_) => Err(attempts.timed_out()),
    }
}

/// Answers the platform's readiness check: whether callers may be sent here.
pub(crate) fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let parsed = call::parse(request.method().as_str(), uri.path(), "");
    match parsed {
        Some(Call::Ready) if shared.is_ready() => text(200, "text/plain", "ready\n"),
        Some(Call::Ready) => text(503, "text/plain", "not ready\n"),
        _ => text(404, "text/plain", "there is no such call\n"),
    }
}

/// Tells callers which gateways to connect to.
pub(crate) fn directory(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let query = uri.query().unwrap_or_default();
    let Some(Call::Resolve { domain }) = call::parse(request.method().as_str(), uri.path(), query)
    else {
        return text(404, "text/plain", "there is no such call\n");
    };
    let addresses = shared.state().selection.addresses(&domain);
    if addresses.is_empty() {
        return text(503, "text/plain", "no gateway is known yet\n");
    }
    let body = bn_platform::encode_addresses(&addresses, ANSWER_TTL);
    text(200, "application/json", body)
}

fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TimedOut => Refusal::not_retryable(408, "the body came too slowly"),
        BodyError::TooLarge => Refusal::not_retryable(413, "the body is too large"),
        BodyError::Broken => Refusal::not_retryable(400, "the body broke off"),
    }
}

/// `caller_wait` is how long the caller says that it waits.
fn deny(shared: &Shared, denial: Denial, caller_wait: Duration) -> Response<Body> {
    let refusal = match denial {
        Denial::NoDocument => {
            let retry_after =
                placement::latest_retry(caller_wait.mul_f64(1.0 - DOCUMENT_WAIT_FRACTION));
            Refusal::retryable("no configuration is known yet", retry_after)
        }
        Denial::NoRoute => Refusal::not_retryable(404, "no route matches"),
        Denial::InvalidKey => Refusal::not_retryable(401, "the key is missing or unknown"),
    };
    let version = shared.document().map(|d| d.version());
    let fields = json!({ "status": refusal.status, "why": refusal.reason, "version": version });
    shared.lines.put("denied", fields);
    metrics::counter!("requests_total", "outcome" => "denied").increment(1);
    refusal.response()
}

fn refuse(shared: &Shared, ctx: &RequestContext, refusal: &Refusal) -> Response<Body> {
    let verdict = dispatch::verdict_name(refusal);
    let (fill_limit, queued) = shared.fill_and_queue(&ctx.service);
    let (load, allowed) = urgency::load_and_limit(shared, ctx).unzip();
    shared.lines.put(
        "refused",
        json!({
            "request": ctx.id, "route": ctx.route.name, "service": ctx.service,
            "account": ctx.account, "version": ctx.version, "status": refusal.status,
            "verdict": verdict, "why": refusal.reason,
            "held_ms": (shared.now() - ctx.arrived).as_millis() as u64,
            "room": fill_limit, "waiting": queued, "priority": ctx.priority,
            "came_back": ctx.is_retry, "load": load, "allowed_load": allowed,
            "retry_ms": refusal.retry_after.map(|d| d.as_millis() as u64),
        }),
    );
    metrics::counter!("requests_total", "outcome" => verdict).increment(1);
    refusal.response()
}

fn record_answered(shared: &Shared, ctx: &RequestContext, response: &Response<Body>) {
    let elapsed = shared.now() - ctx.arrived;
    metrics::counter!("requests_total", "outcome" => "answered").increment(1);
    metrics::histogram!("answer_head_seconds").record(elapsed);
    if !response.status().is_success() || is_sampled() {
        shared.lines.put(
            "answered",
            json!({
                "request": ctx.id, "route": ctx.route.name,
                "status": response.status().as_u16(), "version": ctx.version,
                "after_ms": elapsed.as_millis() as u64,
            }),
        );
    }
}

//! The callers' side: takes a request in, has it served, answers.

use crate::answer::Refusal;
use crate::offer::{self, Tries};
use crate::shared::{Flight, Shared};
use crate::ticket::{Denial, Ticket};
use crate::{place, plain, stream, ticket};
use bn_directory::ANSWER_TTL;
use bn_platform::call::{self, Call};
use bn_serve::{Body, BodyError, read_body, text};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use std::time::Duration;

/// One in so many ordinary successes gets a line of its own; all else always does.
const SAMPLE: u32 = 32;

/// Part of the time that a caller waits for which it is held until a configuration is known.
const PLAN_PART: f64 = 0.33;

/// Whether this success gets a line.
pub(crate) fn sampled() -> bool {
    rand::random::<u32>().is_multiple_of(SAMPLE)
}

/// Answers a caller.
pub(crate) async fn answer(shared: Shared, request: Request<Incoming>) -> Response<Body> {
    let flight = Flight::begin(&shared);
    let (parts, body) = request.into_parts();
    let now = shared.now();
    // A process that has just started learns the configuration in a second or two. Who is refused
    // meanwhile comes back once at most, mostly too early, and gets no answer at all.
    let wait = ticket::deadline(&parts.headers);
    let hold = wait.mul_f64(PLAN_PART);
    let plan = shared.plan_by(now + hold.min(place::LONGEST_HOLD)).await;
    let taken = Ticket::new(now, plan.as_deref(), parts, |sum| {
        rand::random_range(0..sum.max(1))
    });
    let mut ticket = match taken {
        Ok(ticket) => ticket,
        Err(denial) => return denied(&shared, denial, wait),
    };
    if shared.is_shut() {
        let stopping = Refusal::later("this process is stopping", Duration::ZERO);
        return refused(&shared, &ticket, &stopping);
    }
    let most = plan.map_or(0, |p| p.limits().body_bytes);
    match read_body(body, most, ticket.left(now)).await {
        Ok(body) => ticket.body = body,
        Err(fault) => return refused(&shared, &ticket, &body_refusal(fault)),
    }
    ticket.came_back = shared.came_back(&ticket.route.name, ticket.deadline);
    shared.count_request(&ticket.service);
    let served = match ticket.streams() {
        true => stream::serve(&shared, &ticket, Tries::default(), flight).await,
        false => plain_in_time(&shared, &ticket).await,
    };
    match served {
        Ok(response) => {
            note_answered(&shared, &ticket, &response);
            response
        }
        Err(refusal) => refused(&shared, &ticket, &refusal),
    }
}

async fn plain_in_time(shared: &Shared, ticket: &Ticket) -> Result<Response<Body>, Refusal> {
    let mut tries = Tries::default();
    let served = plain::serve(shared, ticket, &mut tries);
    match tokio::time::timeout(ticket.left(shared.now()), served).await {
        Ok(served) => served,
        Err(_) => Err(tries.timed_out()),
    }
}

/// Answers the platform's question whether callers may be sent here.
pub(crate) fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let parsed = call::parse(request.method().as_str(), uri.path(), "");
    match parsed {
        Some(Call::Ready) if shared.is_ready() => text(200, "text/plain", "ready\n"),
        Some(Call::Ready) => text(503, "text/plain", "not ready\n"),
        _ => text(404, "text/plain", "there is no such call\n"),
    }
}

/// Answers callers that ask where to connect.
pub(crate) fn directory(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let query = uri.query().unwrap_or_default();
    let Some(Call::Resolve { domain }) = call::parse(request.method().as_str(), uri.path(), query)
    else {
        return text(404, "text/plain", "there is no such call\n");
    };
    let addresses = shared.state().named.addresses(&domain);
    if addresses.is_empty() {
        return text(503, "text/plain", "no gateway is known yet\n");
    }
    let body = bn_platform::encode_addresses(&addresses, ANSWER_TTL);
    text(200, "application/json", body)
}

fn body_refusal(fault: BodyError) -> Refusal {
    match fault {
        BodyError::TimedOut => Refusal::wrong(408, "the body came too slowly"),
        BodyError::TooLarge => Refusal::wrong(413, "the body is too large"),
        BodyError::Broken => Refusal::wrong(400, "the body broke off"),
    }
}

/// `wait` is what the caller said that it waits.
fn denied(shared: &Shared, denial: Denial, wait: Duration) -> Response<Body> {
    let refusal = match denial {
        Denial::Unsettled => {
            let latest = place::latest_back(wait.mul_f64(1.0 - PLAN_PART));
            Refusal::later("no configuration is known yet", latest)
        }
        Denial::Route => Refusal::wrong(404, "no route matches"),
        Denial::Key => Refusal::wrong(401, "the key is missing or unknown"),
    };
    let version = shared.plan().map(|p| p.version());
    let fields = json!({ "status": refusal.status, "why": refusal.reason, "version": version });
    shared.lines.put("denied", fields);
    metrics::counter!("requests_total", "outcome" => "denied").increment(1);
    refusal.response()
}

fn refused(shared: &Shared, ticket: &Ticket, refusal: &Refusal) -> Response<Body> {
    let verdict = offer::verdict(refusal);
    let (room, waiting) = shared.room_of(&ticket.service);
    shared.lines.put(
        "refused",
        json!({
            "request": ticket.id, "route": ticket.route.name, "service": ticket.service,
            "account": ticket.account, "version": ticket.version, "status": refusal.status,
            "verdict": verdict, "why": refusal.reason,
            "held_ms": (shared.now() - ticket.arrived).as_millis() as u64,
            "room": room, "waiting": waiting,
        }),
    );
    metrics::counter!("requests_total", "outcome" => verdict).increment(1);
    refusal.response()
}

fn note_answered(shared: &Shared, ticket: &Ticket, response: &Response<Body>) {
    let took = shared.now() - ticket.arrived;
    metrics::counter!("requests_total", "outcome" => "answered").increment(1);
    metrics::histogram!("answer_head_seconds").record(took);
    if !response.status().is_success() || sampled() {
        shared.lines.put(
            "answered",
            json!({
                "request": ticket.id, "route": ticket.route.name,
                "status": response.status().as_u16(), "version": ticket.version,
                "after_ms": took.as_millis() as u64,
            }),
        );
    }
}

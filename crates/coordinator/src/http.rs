//! HTTP server of the coordinator: parses calls, passes them to the core and waits for its answer.

use crate::evacuations::EvacuationCall;
use crate::events::{Event, EventSender};
use bn_directory::ANSWER_TTL;
use bn_platform::call::{self, Call};
use bn_serve::{Body, BodyError, ConnectionLimits, read_body, text};
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::{Request, Response};
use serde_json::json;
use std::io;
use std::net::TcpListener;
use std::time::Instant;
use tokio::sync::oneshot;

/// Largest accepted body: an operator's document has some hundred KB.
const MAX_BODY_BYTES: usize = 8 << 20;
const JSON: &str = "application/json";

/// Serves until the process ends.
pub(crate) fn serve(listener: TcpListener, events: EventSender) -> io::Result<()> {
    bn_serve::serve(listener, "http", None, move |request| {
        let events = events.clone();
        async move { answer(&events, request).await }
    })
}

async fn answer(events: &EventSender, request: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let uri = request.uri();
    let parsed = call::parse(
        request.method().as_str(),
        uri.path(),
        uri.query().unwrap_or_default(),
    );
    let Some(parsed) = parsed else {
        return error_response(404, "there is no such call");
    };
    if parsed == Call::UnsupportedMethod {
        let mut refused = error_response(405, "use POST or DELETE");
        let methods = HeaderValue::from_static("POST, DELETE");
        refused.headers_mut().insert(ALLOW, methods);
        return refused;
    }
    let is_order = matches!(parsed, Call::Evacuate { .. } | Call::EndEvacuation { .. });
    let limit = if is_order { 0 } else { MAX_BODY_BYTES };
    let timeout = ConnectionLimits::default().body_timeout;
    let body = match read_body(request.into_body(), limit, timeout).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) if is_order => {
            return error_response(400, "an order has no body");
        }
        Err(BodyError::TooLarge) => return error_response(413, "the body is too large"),
        Err(BodyError::TimedOut) => return error_response(408, "the body came too slowly"),
        Err(BodyError::Broken) => return error_response(400, "the body broke off"),
    };
    match parsed {
        Call::Ready => text(200, JSON, "{}"),
        Call::Resolve { domain } => resolve(events, domain).await,
        Call::Announce { id } => announce(events, &id, &body).await,
        Call::Leave { id } => {
            let start_time = bn_platform::parse_departure(&body);
            let left = query(events, |reply| Event::Leave(id, start_time, reply)).await;
            ok_or_busy(left == Some(true))
        }
        Call::Evacuate { domain } => evacuate(events, domain, true, received).await,
        Call::EndEvacuation { domain } => evacuate(events, domain, false, received).await,
        // Unsupported methods are answered above, before the body is read.
        Call::UnsupportedMethod => error_response(405, "use POST or DELETE"),
        Call::PutDocument => propose(events, body.to_vec()).await,
        Call::GetDocument => match query(events, Event::ReadDocument).await.flatten() {
            Some(compressed) => match bn_wire::decompress(&compressed) {
                Ok(document) => text(200, JSON, document),
                Err(e) => error_response(500, &format!("the document cannot be unpacked: {e}")),
            },
            None => error_response(503, "the newest document is not known for sure"),
        },
    }
}

async fn resolve(events: &EventSender, domain: String) -> Response<Body> {
    let addresses = query(events, |reply| Event::Resolve(domain, reply)).await;
    let addresses = addresses.unwrap_or_default();
    if addresses.is_empty() {
        return error_response(503, "no gateway is known");
    }
    text(
        200,
        JSON,
        bn_platform::encode_addresses(&addresses, ANSWER_TTL),
    )
}

async fn announce(events: &EventSender, id: &str, body: &[u8]) -> Response<Body> {
    match bn_platform::parse_announcement(id, body) {
        Ok(record) => {
            let accepted = query(events, |reply| Event::Announce(record, reply)).await;
            match accepted {
                Some(false) => error_response(400, "there is no such service"),
                accepted => ok_or_busy(accepted.is_some()),
            }
        }
        Err(e) => {
            log::info!("announcement of backend server {id} rejected: {e}");
            error_response(400, &e.to_string())
        }
    }
}

/// An invalid document is refused whatever its version; versions are compared only afterwards.
async fn propose(events: &EventSender, document: Vec<u8>) -> Response<Body> {
    let parsed = match bn_platform::parse_document(&document) {
        Ok(parsed) => Box::new(parsed),
        Err(e) => {
            log::info!("document rejected: {e}");
            return error_response(400, &e.to_string());
        }
    };
    let compressed = match bn_wire::compress(&document) {
        Ok(compressed) => compressed,
        Err(e) => return error_response(500, &format!("the document cannot be packed: {e}")),
    };
    let committed = query(events, |reply| Event::Propose(parsed, compressed, reply)).await;
    match committed {
        Some(true) => text(200, JSON, "{}"),
        _ => error_response(503, "not settled yet: send it again"),
    }
}

/// An order is never refused once it may have been accepted: without an answer from the log, its
/// outcome is open.
async fn evacuate(
    events: &EventSender,
    domain: String,
    evacuated: bool,
    received: Instant,
) -> Response<Body> {
    if !bn_evacuation::is_valid_name(&domain) {
        return error_response(400, "that is no name of a failure domain");
    }
    let order = |reply| {
        Event::Evacuate(EvacuationCall {
            domain,
            evacuated,
            received,
            reply,
        })
    };
    match query(events, order).await {
        Some(true) => text(200, JSON, "{}"),
        _ => error_response(503, "not known to be in force: send it again"),
    }
}

/// Sends an event to the core and waits for the answer; `None` if the core is overloaded or gone.
async fn query<T>(
    events: &EventSender,
    event: impl FnOnce(oneshot::Sender<T>) -> Event,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    if !events.send(event(reply)) {
        return None;
    }
    answer.await.ok()
}

fn ok_or_busy(accepted: bool) -> Response<Body> {
    match accepted {
        true => text(200, JSON, "{}"),
        false => error_response(503, "too busy"),
    }
}

fn error_response(status: u16, reason: &str) -> Response<Body> {
    text(status, JSON, json!({ "error": reason }).to_string())
}

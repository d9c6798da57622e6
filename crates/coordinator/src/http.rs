//! The coordinator's HTTP side: translates calls, hands them to the core, waits.

use crate::ring::{Event, Ring};
use bn_directory::ANSWER_TTL;
use bn_platform::call::{self, Call};
use bn_serve::{Body, BodyFault, Bounds, text, whole_body};
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use std::io;
use std::net::TcpListener;
use tokio::sync::oneshot;

/// Largest body taken: an operator's document has some hundred KB.
const LARGEST_BODY: usize = 8 << 20;
const JSON: &str = "application/json";

/// Serves until the process ends.
pub(crate) fn serve(listener: TcpListener, ring: Ring) -> io::Result<()> {
    bn_serve::serve(listener, "http", None, move |request| {
        let ring = ring.clone();
        async move { answer(&ring, request).await }
    })
}

async fn answer(ring: &Ring, request: Request<Incoming>) -> Response<Body> {
    let uri = request.uri();
    let parsed = call::parse(
        request.method().as_str(),
        uri.path(),
        uri.query().unwrap_or_default(),
    );
    let Some(parsed) = parsed else {
        return fault(404, "there is no such call");
    };
    let time = Bounds::default().body_time;
    let body = match whole_body(request.into_body(), LARGEST_BODY, time).await {
        Ok(body) => body,
        Err(BodyFault::TooLarge) => return fault(413, "the body is too large"),
        Err(BodyFault::Slow) => return fault(408, "the body came too slowly"),
        Err(BodyFault::Broken) => return fault(400, "the body broke off"),
    };
    match parsed {
        Call::Ready => text(200, JSON, "{}"),
        Call::Resolve { domain } => resolve(ring, domain).await,
        Call::Announce { id } => announce(ring, &id, &body).await,
        Call::Leave { id } => {
            let left = ask(ring, |done| Event::Leave(id, done)).await;
            done_or_busy(left.is_some())
        }
        Call::PutDocument => settle(ring, body.to_vec()).await,
        Call::GetDocument => match ask(ring, Event::Read).await.flatten() {
            Some(packed) => match bn_wire::unpack(&packed) {
                Ok(document) => text(200, JSON, document),
                Err(e) => fault(500, &format!("the document cannot be unpacked: {e}")),
            },
            None => fault(503, "the newest document is not known for sure"),
        },
    }
}

async fn resolve(ring: &Ring, domain: String) -> Response<Body> {
    let addresses = ask(ring, |done| Event::Resolve(domain, done)).await;
    let addresses = addresses.unwrap_or_default();
    if addresses.is_empty() {
        return fault(503, "no gateway is known");
    }
    text(
        200,
        JSON,
        bn_platform::encode_addresses(&addresses, ANSWER_TTL),
    )
}

async fn announce(ring: &Ring, id: &str, body: &[u8]) -> Response<Body> {
    match bn_platform::parse_announcement(id, body) {
        Ok(record) => {
            let taken = ask(ring, |done| Event::Announce(record, done)).await;
            match taken {
                Some(false) => fault(400, "there is no such service"),
                taken => done_or_busy(taken.is_some()),
            }
        }
        Err(e) => {
            log::info!("an announcement of {id} was passed over: {e}");
            fault(400, &e.to_string())
        }
    }
}

/// What is invalid is refused whatever its version; only then versions are compared.
async fn settle(ring: &Ring, document: Vec<u8>) -> Response<Body> {
    let plan = match bn_platform::parse_document(&document) {
        Ok(plan) => Box::new(plan),
        Err(e) => {
            log::info!("a document was refused: {e}");
            return fault(400, &e.to_string());
        }
    };
    let packed = match bn_wire::pack(&document) {
        Ok(packed) => packed,
        Err(e) => return fault(500, &format!("the document cannot be packed: {e}")),
    };
    let settled = ask(ring, |done| Event::Settle(plan, packed, done)).await;
    match settled {
        Some(true) => text(200, JSON, "{}"),
        _ => fault(503, "not settled yet: send it again"),
    }
}

/// Asks the core; `None` where it is overloaded or gone.
async fn ask<T>(ring: &Ring, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
    let (done, answer) = oneshot::channel();
    if !ring.put(event(done)) {
        return None;
    }
    answer.await.ok()
}

fn done_or_busy(done: bool) -> Response<Body> {
    match done {
        true => text(200, JSON, "{}"),
        false => fault(503, "too busy"),
    }
}

fn fault(status: u16, reason: &str) -> Response<Body> {
    text(status, JSON, json!({ "error": reason }).to_string())
}

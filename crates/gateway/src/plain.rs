//! Plain answers: taken whole before a byte goes on, so that what a caller gets is whole
//! or is no success.

use crate::answer::Refusal;
use crate::attempt::{self, Head};
use crate::offer::{self, Tries};
use crate::shared::Shared;
use crate::suspects::{self, Run};
use crate::ticket::{Ticket, strip_hop};
use bn_platform::header;
use bn_serve::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::response::Parts;
use std::convert::Infallible;

/// Largest plain answer that is taken whole.
const LARGEST: usize = 16 << 20;

/// A whole answer.
pub(crate) struct Whole {
    parts: Parts,
    body: Bytes,
}

/// Serves a request whose answer is taken whole.
pub(crate) async fn serve(
    shared: &Shared,
    ticket: &Ticket,
    tries: &mut Tries,
) -> Result<Response<Body>, Refusal> {
    let mut spare: Option<Whole> = None;
    loop {
        let head = match offer::offer(shared, ticket, tries, None).await {
            Ok(head) => head,
            // A backend server's own failure says more than ours.
            Err(refusal) => return spare.map(response).ok_or(refusal),
        };
        let id = head.seat.server.id.clone();
        let run = Run::at(&head.seat.server);
        let whole = match collect(shared, head).await {
            Ok(whole) => whole,
            Err(flaw) => {
                if flaw == Flaw::Broke {
                    suspects::lost(shared, ticket, tries, &run, false);
                }
                offer::note(shared, ticket, &id, "cut", "the answer broke off");
                offer::fail(shared, &id, false);
                if offer::again(shared, ticket, tries) {
                    continue;
                }
                let lost = Refusal::unknown(502, "the answer broke off");
                return spare.map(response).ok_or(lost);
            }
        };
        let failed = whole.parts.status.is_server_error();
        if !failed {
            let now = shared.now();
            shared.state().fleet.record_success(now, &id);
            suspects::whole(shared, ticket);
            return Ok(response(whole));
        }
        let status = whole.parts.status.as_str().to_string();
        offer::note(shared, ticket, &id, "failed", &status);
        offer::fail(shared, &id, false);
        if !offer::again(shared, ticket, tries) {
            return Ok(response(whole));
        }
        spare = Some(whole);
    }
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// It broke off.
    Broke,
    /// It is no backend server's own: it claims success without the mark of one.
    Unmarked,
}

/// The whole answer of a backend server.
pub(crate) async fn collect(shared: &Shared, head: Box<Head>) -> Result<Whole, Flaw> {
    let Head {
        response,
        connection,
        seat,
    } = *head;
    let (parts, body) = response.into_parts();
    let marked = parts.headers.contains_key(header::SIGNATURE);
    let limit = attempt::idle_limit(&parts.headers);
    let body = Limited::new(body, LARGEST).collect().await;
    let body = body.map_err(|_| Flaw::Broke)?.to_bytes();
    shared.pool.put_back(shared.now(), connection, limit);
    drop(seat);
    match marked || !parts.status.is_success() {
        true => Ok(Whole { parts, body }),
        false => Err(Flaw::Unmarked),
    }
}

/// What the caller gets of a whole answer.
pub(crate) fn response(whole: Whole) -> Response<Body> {
    let Whole { mut parts, body } = whole;
    strip_hop(&mut parts.headers);
    parts.headers.remove("content-length");
    parts.headers.remove(header::LOAD);
    let body = Full::new(body).map_err(|e: Infallible| match e {});
    Response::from_parts(parts, body.boxed())
}

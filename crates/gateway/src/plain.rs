//! Plain responses: read completely before a byte is forwarded, so that what a caller gets is
//! complete or is not a success.

use crate::answer::Refusal;
use crate::attempt::{self, Head};
use crate::context::{RequestContext, strip_hop_by_hop};
use crate::dispatch::{self, Attempts};
use crate::shared::Shared;
use crate::suspects::{self, Run};
use bn_platform::header;
use bn_serve::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Response;
use hyper::body::Bytes;
use hyper::http::response::Parts;
use std::convert::Infallible;

/// Maximum size of a plain response body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A complete response.
pub(crate) struct CompleteAnswer {
    parts: Parts,
    body: Bytes,
}

/// Serves a request whose response is read completely.
pub(crate) async fn serve(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
) -> Result<Response<Body>, Refusal> {
    let mut failed_answer: Option<CompleteAnswer> = None;
    loop {
        let head = match dispatch::dispatch(shared, ctx, attempts, None).await {
            Ok(head) => head,
            // A backend server's own error says more than the gateway's.
            Err(refusal) => return failed_answer.map(response).ok_or(refusal),
        };
        let id = head.reservation.server.id.clone();
        let run = Run::at(&head.reservation.server);
        let answer = match collect(shared, head).await {
            Ok(answer) => answer,
            Err(error) => {
                if error == CollectError::Incomplete {
                    suspects::on_run_lost(shared, ctx, attempts, &run, false);
                }
                dispatch::log_failure(shared, ctx, &id, "cut", "the answer broke off");
                dispatch::record_failure(shared, &id, false);
                if dispatch::take_retry(shared, ctx, attempts) {
                    continue;
                }
                let lost = Refusal::unknown(502, "the answer broke off");
                return failed_answer.map(response).ok_or(lost);
            }
        };
        let failed = answer.parts.status.is_server_error();
        if !failed {
            let now = shared.now();
            shared.state().fleet.record_success(now, &id);
            suspects::on_complete(shared, ctx);
            return Ok(response(answer));
        }
        let status = answer.parts.status.as_str().to_string();
        dispatch::log_failure(shared, ctx, &id, "failed", &status);
        dispatch::record_failure(shared, &id, false);
        if !dispatch::take_retry(shared, ctx, attempts) {
            return Ok(response(answer));
        }
        failed_answer = Some(answer);
    }
}

/// Why there is no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CollectError {
    /// It broke off or is larger than `MAX_BODY_BYTES`.
    Incomplete,
    /// It is not a backend server's own: it claims success without a backend server's signature.
    Unsigned,
}

/// Reads the complete response of a backend server.
pub(crate) async fn collect(
    shared: &Shared,
    head: Box<Head>,
) -> Result<CompleteAnswer, CollectError> {
    let Head {
        response,
        connection,
        reservation,
    } = *head;
    let (parts, body) = response.into_parts();
    let signed = parts.headers.contains_key(header::SIGNATURE);
    let idle_timeout = attempt::keep_alive_timeout(&parts.headers);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|_| CollectError::Incomplete)?.to_bytes();
    shared.pool.put_back(shared.now(), connection, idle_timeout);
    drop(reservation);
    match signed || !parts.status.is_success() {
        true => Ok(CompleteAnswer { parts, body }),
        false => Err(CollectError::Unsigned),
    }
}

/// The response sent to the caller.
pub(crate) fn response(answer: CompleteAnswer) -> Response<Body> {
    let CompleteAnswer { mut parts, body } = answer;
    strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove("content-length");
    parts.headers.remove(header::LOAD);
    let body = Full::new(body).map_err(|e: Infallible| match e {});
    Response::from_parts(parts, body.boxed())
}

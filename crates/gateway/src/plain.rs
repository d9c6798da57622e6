//! Plain responses: read completely before a byte is forwarded, so that what a caller gets is
//! complete or is not a success.

use crate::answer::Refusal;
use crate::attempt::{self, Head};
use crate::buffer_guard::{BufferGuard, GuardedBody};
use crate::buffers::{Phase, Stalled};
use crate::context::{RequestContext, strip_hop_by_hop};
use crate::dispatch::{self, Attempts};
use crate::lost_runs::{self, Loss, Run};
use crate::shared::Shared;
use crate::suspects;
use bn_platform::header;
use bn_route::ServerId;
use bn_serve::Body;
use bn_serve::client::AnswerBody;
use bn_trace::Lines;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as _, Bytes};
use hyper::http::response::Parts;
use serde_json::json;

/// Reason in the log for the end of a caller that made no progress.
pub(crate) const SLOW_READER: &str = "slow reader";
/// Maximum size of a plain response body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// What a piece of a body without length counts beside its bytes: endless tiny pieces would keep the
/// processor busy until the deadline.
const PIECE_OVERHEAD_BYTES: usize = 512;

/// A complete response.
pub(crate) struct CompleteAnswer {
    parts: Parts,
    body: Bytes,
    guard: BufferGuard,
    server: ServerId,
}

/// Serves a request whose response is read completely.
pub(crate) async fn serve(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
) -> Result<Response<Body>, Refusal> {
    let respond = |answer| response(shared, ctx, answer);
    let mut failed_answer: Option<CompleteAnswer> = None;
    loop {
        let head = match dispatch::dispatch(shared, ctx, attempts, None).await {
            Ok(head) => head,
            // A backend server's own error says more than the gateway's.
            Err(refusal) => return failed_answer.map(respond).ok_or(refusal),
        };
        let id = head.reservation.server.id.clone();
        let run = Run::at(&head.reservation.server);
        let answer = match collect(shared, ctx, head).await {
            Ok(answer) => answer,
            Err(error) => {
                if let CollectError::Incomplete(loss) = error {
                    lost_runs::on_run_lost(shared, ctx, attempts, &run, loss);
                }
                dispatch::log_failure(shared, ctx, &id, "cut", "the answer broke off");
                dispatch::record_failure(shared, &id, false);
                if dispatch::take_retry(shared, ctx, attempts) {
                    continue;
                }
                let lost = Refusal::unknown(502, "the answer broke off");
                return failed_answer.map(respond).ok_or(lost);
            }
        };
        let failed = answer.parts.status.is_server_error();
        if !failed {
            let now = shared.now();
            shared.state().fleet.record_success(now, &id);
            suspects::on_begun(shared, ctx, attempts);
            suspects::on_complete(shared, ctx);
            return Ok(respond(answer));
        }
        let status = answer.parts.status.as_str().to_string();
        dispatch::log_failure(shared, ctx, &id, "failed", &status);
        dispatch::record_failure(shared, &id, false);
        if !dispatch::take_retry(shared, ctx, attempts) {
            return Ok(respond(answer));
        }
        failed_answer = Some(answer);
    }
}

/// Why there is no complete response.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CollectError {
    /// It broke off or is larger than `MAX_BODY_BYTES`.
    Incomplete(Loss),
    /// It is not a backend server's own: it claims success without a backend server's signature.
    Unsigned,
}

/// Reads the complete response of a backend server.
pub(crate) async fn collect(
    shared: &Shared,
    ctx: &RequestContext,
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
    let guard = BufferGuard::new(shared, Phase::Waiting, ctx);
    let unframed = attempt::ends_with_connection(&parts.headers, &body);
    let body = read(&guard, body).await?;
    if unframed && body.is_empty() && parts.status.is_success() {
        return Err(CollectError::Incomplete(Loss::BROKEN));
    }
    let server = reservation.server.id.clone();
    shared.pool.put_back(shared.now(), connection, idle_timeout);
    drop(reservation);
    match signed || !parts.status.is_success() {
        true => Ok(CompleteAnswer {
            parts,
            body,
            guard,
            server,
        }),
        false => Err(CollectError::Unsigned),
    }
}

/// Reads a body. The known length is counted before it is read: of several large answers, those
/// that fit are read to their end, and the others wait.
async fn read(guard: &BufferGuard, mut body: AnswerBody) -> Result<Bytes, CollectError> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > MAX_BODY_BYTES {
        return Err(CollectError::Incomplete(Loss::BROKEN));
    }
    guard.add(announced, MAX_BODY_BYTES).await;
    let mut counted = announced;
    let mut overhead = 0;
    let mut bytes = Vec::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let lost = CollectError::Incomplete(Loss {
            abandoned: false,
            begun: !bytes.is_empty(),
        });
        let Ok(data) = frame.map_err(|_| lost)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > announced {
            overhead += PIECE_OVERHEAD_BYTES;
        }
        if length + overhead > MAX_BODY_BYTES {
            return Err(lost);
        }
        let more = length.saturating_sub(counted);
        guard.add(more, MAX_BODY_BYTES).await;
        counted += more;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.into())
}

/// The response sent to the caller.
pub(crate) fn response(
    shared: &Shared,
    ctx: &RequestContext,
    answer: CompleteAnswer,
) -> Response<Body> {
    let CompleteAnswer {
        mut parts,
        body,
        guard,
        server,
    } = answer;
    strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove("content-length");
    parts.headers.remove(header::LOAD);
    guard.set_phase(Phase::Sending);
    let (lines, request) = (shared.lines.clone(), ctx.id.clone());
    let on_ended = move |stalled: Stalled| log_slow_reader(&lines, &request, &server, stalled);
    let body = GuardedBody {
        rest: body,
        guard,
        on_ended: Box::new(on_ended),
    };
    Response::from_parts(parts, body.boxed())
}

/// Logs that a caller was ended although its answer was complete here.
pub(crate) fn log_slow_reader(lines: &Lines, request: &str, server: &str, stalled: Stalled) {
    let fields = json!({
        "request": request, "server": server, "why": SLOW_READER,
        "bytes": stalled.bytes, "stalled_ms": stalled.stalled.as_millis() as u64,
    });
    lines.put("stream_cut", fields);
}

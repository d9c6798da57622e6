//! The HTTP server of an entry for callers, with streamed answers. One thread with a
//! current-thread runtime; requests go to the entry's thread over a bounded channel.

use crate::entry::Event;
use crate::verdict::{Refusal, Verdict};
use bn_serve::{Body, BodyError, ConnectionLimits, read_body, text};
use bn_state::Priority;
use crossbeam::channel::Sender;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::io;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_rustls::TlsAcceptor;

/// Maximum number of answer parts buffered for a slow caller; beyond it the answer is cut.
pub(crate) const ANSWER_CHANNEL_CAPACITY: usize = 1024;
const JSON: &str = "application/json";
/// Deadline of requests that specify none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Length of the body prefix that represents the start of the prompt.
const PREFIX_BYTES: usize = 256;

/// Part of an answer.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// Status and headers of the backend server's answer.
    Head(u16, Vec<(String, String)>),
    /// The next bytes of the body.
    Data(Vec<u8>),
    /// The answer is complete.
    End,
    /// The answer ends incomplete.
    Cut(String),
    /// There is no answer.
    Refused(Refusal),
}

/// A request that passed the stateless checks.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) service: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// SHA-256 of the bearer key.
    pub(crate) key_hash: String,
    pub(crate) idempotency: Option<String>,
    pub(crate) priority: Priority,
    pub(crate) time_left: Duration,
    pub(crate) prefix: Option<u64>,
    pub(crate) answer: mpsc::Sender<AnswerPart>,
}

/// State shared by all connections.
struct Shared {
    channel: Sender<Event>,
    max_body: usize,
}

/// Serves callers on a separate thread until the process terminates.
pub(crate) fn serve(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    channel: Sender<Event>,
    max_body: usize,
) -> io::Result<()> {
    let shared = Arc::new(Shared { channel, max_body });
    bn_serve::serve(listener, "callers", tls, move |request| {
        handle(request, shared.clone())
    })
}

async fn handle(request: Request<Incoming>, shared: Arc<Shared>) -> Response<Body> {
    let path = request.uri().path().to_string();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/addresses") => addresses(&shared).await,
        (&Method::GET, "/healthz") => text(200, "text/plain", "ok\n"),
        _ if path.starts_with("/svc/") => match read_arrival(request, shared.max_body).await {
            Ok((arrival, answers)) => forward(arrival, answers, &shared).await,
            Err(refusal) => refusal_response(&refusal),
        },
        _ => refusal_response(&Refusal::not_run(
            404,
            "ask /v1/addresses or /svc/<service>/<path>",
        )),
    }
}

async fn addresses(shared: &Shared) -> Response<Body> {
    let (tx, rx) = oneshot::channel();
    if shared.channel.try_send(Event::Addresses(tx)).is_err() {
        return refusal_response(&overloaded());
    }
    match rx.await {
        Ok(json) => text(200, JSON, json),
        Err(_) => refusal_response(&overloaded()),
    }
}

fn overloaded() -> Refusal {
    Refusal::not_run(503, "this entry is overloaded").retry_after(Duration::from_secs(1))
}

async fn forward(
    arrival: Arrival,
    mut answers: mpsc::Receiver<AnswerPart>,
    shared: &Shared,
) -> Response<Body> {
    if shared
        .channel
        .try_send(Event::Arrival(Box::new(arrival)))
        .is_err()
    {
        metrics::counter!("entry_ring_full").increment(1);
        return refusal_response(&overloaded());
    }
    match answers.recv().await {
        Some(AnswerPart::Head(status, headers)) => stream(status, headers, answers),
        Some(AnswerPart::Refused(refusal)) => refusal_response(&refusal),
        // The entry's thread dropped the request without an answer: an internal error.
        _ => refusal_response(&Refusal::may_have_run(500, "the entry lost the request")),
    }
}

/// Streams the answer as it arrives. Only `End` closes it as complete: an error from the body
/// aborts the connection, so that the caller can detect a truncated answer.
fn stream(
    status: u16,
    headers: Vec<(String, String)>,
    answers: mpsc::Receiver<AnswerPart>,
) -> Response<Body> {
    let body = StreamBody::new(AnswerStream {
        answers,
        finished: false,
    });
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    for (name, value) in headers {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::try_from(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

struct AnswerStream {
    answers: mpsc::Receiver<AnswerPart>,
    finished: bool,
}

impl futures_core::Stream for AnswerStream {
    type Item = io::Result<Frame<Bytes>>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.finished {
            return Poll::Ready(None);
        }
        self.answers.poll_recv(cx).map(|answer| match answer {
            Some(AnswerPart::Data(bytes)) => Some(Ok(Frame::data(Bytes::from(bytes)))),
            Some(AnswerPart::End) => {
                self.finished = true;
                None
            }
            other => {
                self.finished = true;
                let reason = match other {
                    Some(AnswerPart::Cut(reason)) => reason,
                    _ => "the entry lost the request".into(),
                };
                Some(Err(io::Error::other(reason)))
            }
        })
    }
}

async fn read_arrival(
    request: Request<Incoming>,
    max_body: usize,
) -> Result<(Arrival, mpsc::Receiver<AnswerPart>), Refusal> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().trim_start_matches("/svc/");
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let query = parts
        .uri
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let key_hash = bearer_key_hash(&parts.headers)?;
    let idempotency = idempotency(&parts.headers)?;
    let priority = priority(&parts.headers)?;
    let time_left = deadline(&parts.headers)?;
    let body = checked_body(body, max_body).await?;
    let (answer, answers) = mpsc::channel(ANSWER_CHANNEL_CAPACITY);
    let arrival = Arrival {
        service: service.to_string(),
        method: parts.method.to_string(),
        path: format!("/{rest}{query}"),
        headers: forwarded_headers(&parts.headers),
        prefix: prefix_hash(&body),
        body,
        key_hash,
        idempotency,
        priority,
        time_left,
        answer,
    };
    Ok((arrival, answers))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| Refusal::not_run(400, format!("{name}: not plain text")))
}

fn bearer_key_hash(headers: &HeaderMap) -> Result<String, Refusal> {
    let value = header(headers, AUTHORIZATION.as_str())?;
    let key = value
        .and_then(|v| v.strip_prefix("Bearer "))
        .filter(|k| !k.is_empty());
    let missing = || Refusal::not_run(401, "give the account's key: Authorization: Bearer <key>");
    key.map(bn_state::digest).ok_or_else(missing)
}

fn idempotency(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(key) = header(headers, "idempotency-key")? else {
        return Ok(None);
    };
    let invalid = || Refusal::not_run(400, "Idempotency-Key: give a UUID of version 7");
    bn_claim::mint_time(key).ok_or_else(invalid)?;
    Ok(Some(key.to_ascii_lowercase()))
}

fn priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    let Some(name) = header(headers, "x-priority")? else {
        return Ok(Priority::Normal);
    };
    let invalid = || Refusal::not_run(400, "X-Priority: give urgent, normal or batch");
    Priority::parse(name).ok_or_else(invalid)
}

fn deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(text) = header(headers, "x-deadline-ms")? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let ms = text
        .parse()
        .ok()
        .filter(|ms| *ms > 0)
        .map(Duration::from_millis);
    let invalid = || Refusal::not_run(400, "X-Deadline-Ms: give the milliseconds you will wait");
    ms.map(|d| d.min(MAX_DEADLINE)).ok_or_else(invalid)
}

async fn checked_body(body: Incoming, max_bytes: usize) -> Result<Vec<u8>, Refusal> {
    let result = read_body(body, max_bytes, ConnectionLimits::default().body_timeout).await;
    result.map(|b| b.to_vec()).map_err(|error| match error {
        BodyError::TimedOut => Refusal::not_run(408, "the body came too slowly"),
        BodyError::TooLarge => {
            Refusal::not_run(413, format!("the body is larger than {max_bytes} bytes"))
        }
        BodyError::Broken => Refusal::not_run(400, "the body broke off"),
    })
}

/// Headers forwarded to the backend server, without the key and connection-specific headers.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let allowed = [
        "content-type",
        "accept",
        "accept-language",
        "user-agent",
        "traceparent",
    ];
    let pair = |(n, v): (&HeaderName, &HeaderValue)| {
        let value = v.to_str().ok()?;
        allowed
            .contains(&n.as_str())
            .then(|| (n.to_string(), value.to_string()))
    };
    headers.iter().filter_map(pair).collect()
}

fn prefix_hash(body: &[u8]) -> Option<u64> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let start = body.get(..PREFIX_BYTES)?;
    let mut hasher = DefaultHasher::new();
    start.hash(&mut hasher);
    Some(hasher.finish())
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let verdict = refusal.verdict.name();
    metrics::counter!("refused", "verdict" => verdict, "status" => refusal.status.to_string())
        .increment(1);
    let retry_ms = refusal.retry_after.map(|d| d.as_millis() as u64);
    let json = serde_json::json!({
        "verdict": verdict, "reason": refusal.reason, "retry_after_ms": retry_ms,
    });
    let mut response = text(refusal.status, JSON, format!("{json}\n"));
    let headers = response.headers_mut();
    headers.insert("x-verdict", HeaderValue::from_static(verdict));
    if let Some(retry) = refusal.retry_after {
        let seconds = retry.as_secs_f64().ceil() as u64;
        headers.insert("retry-after", HeaderValue::from(seconds));
    }
    if refusal.verdict == Verdict::MayHaveRun {
        headers.insert("cache-control", HeaderValue::from_static("no-store"));
    }
    response
}

//! Answers of a fake and commands to it.

use crate::engine::{Job, TOKEN_BYTES};
use crate::record::Line;
use crate::serve::{Body, Kind, Shared};
use bn_platform::header::{COLD, NOT_RUN};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response};
use serde::Deserialize;
use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

#[derive(Deserialize)]
#[serde(default)]
struct Prompt {
    prompt: String,
    tokens: usize,
}

impl Default for Prompt {
    fn default() -> Prompt {
        Prompt {
            prompt: String::new(),
            tokens: 8,
        }
    }
}

/// Answers a request or executes a command.
pub(crate) async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let headers = request.headers().clone();
    let mut response = answer(request, shared).await;
    shared
        .directives
        .add_headers(&headers, &shared.name, response.headers_mut());
    if let Some(left) = shared.cold.left() {
        let value = HeaderValue::from(left.as_millis() as u64);
        let headers = response.headers_mut();
        headers.insert(HeaderName::from_static(COLD), value);
    }
    response
}

async fn answer(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let path = request.uri().path().to_string();
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let (key, attempt) = (header("idempotency-key"), header("x-attempt"));
    let (priority, resume) = (header("x-priority"), header("x-resume-at"));
    let body = request.into_body().collect().await;
    let body = body.map(|b| b.to_bytes()).unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    if let Some(order) = path.strip_prefix("/orders/") {
        return shared.order(order, &body);
    }
    if let Some(name) = path.strip_prefix("/fake/") {
        return ok_response(&command(name, &body, shared));
    }
    shared.cold.on_request();
    if let Some(seconds) = shared.directives.remaining_backoff() {
        return reject_request(shared, key, attempt, body, seconds);
    }
    if shared
        .fatal_text
        .as_deref()
        .is_some_and(|text| body.contains(text))
    {
        return exit_during_request(shared, key, attempt, body).await;
    }
    match shared.kind {
        Kind::Plain => {
            let line = Line::of_request("start", key, attempt, body.clone());
            shared.record.add(line);
            ok_response(&serde_json::json!({ "done": true, "echo": body }).to_string())
        }
        Kind::Engine => {
            let prompt: Prompt = serde_json::from_str(&body).unwrap_or_default();
            let (out, tokens) = unbounded_channel();
            let job = Job {
                key,
                attempt,
                prompt: prompt.prompt,
                tokens: prompt.tokens.max(1),
                priority: priority.parse().unwrap_or(1),
                next: resume.parse::<usize>().unwrap_or(0) / TOKEN_BYTES,
                prefill: 0,
                out,
            };
            shared.engine().add(job);
            let mut response = Response::new(BodyExt::boxed(StreamBody::new(Tokens(tokens))));
            if let Ok(name) = shared.name.parse() {
                response.headers_mut().insert("x-fake", name);
            }
            response
        }
    }
}

/// Answers that the request was not run, with the backoff in seconds.
fn reject_request(
    shared: &Shared,
    key: String,
    attempt: String,
    prompt: String,
    seconds: u64,
) -> Response<Body> {
    let line = Line::of_request("turned_away", key, attempt, prompt);
    shared.record.add(line);
    let mut response = error_response(503, "no more for now");
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(HeaderName::from_static(NOT_RUN), HeaderValue::from(1));
    response
}

/// Exit code of a fake that terminates during a fatal request.
const FATAL_EXIT_CODE: i32 = 134;

async fn exit_during_request(
    shared: &Shared,
    key: String,
    attempt: String,
    prompt: String,
) -> Response<Body> {
    let line = Line::of_request("fatal", key, attempt, prompt);
    shared.record.add(line);
    tokio::time::sleep(shared.step_time).await;
    std::process::exit(FATAL_EXIT_CODE);
}

/// Executes a command to the fake itself: returns the record or statistics, or injects a fault.
fn command(name: &str, body: &str, shared: &Shared) -> String {
    match name {
        "record" => return shared.record.json(),
        "stall" => shared
            .stalled_ms
            .store(body.parse().unwrap_or(1000), Ordering::Relaxed),
        "rest" => {
            let seconds = body.parse().unwrap_or(3);
            shared.directives.back_off(Duration::from_secs(seconds));
        }
        // An empty body removes the limit.
        "limit" => shared.directives.set_limit(body.parse().ok()),
        "cold" => {
            let ms = body.parse().unwrap_or(3_000);
            shared.cold.begin(Duration::from_millis(ms));
        }
        "cold-arrivals" => return shared.cold.json(),
        "say-leaving" => shared.directives.set_leaving(),
        "leave" => shared.leaving.store(true, Ordering::Relaxed),
        "return" => shared.leaving.store(false, Ordering::Relaxed),
        "stats" => {
            let engine = shared.engine();
            return serde_json::json!({
                "steps": engine.step, "hits": engine.hits, "tokens": engine.tokens(),
            })
            .to_string();
        }
        "die" => std::process::exit(9),
        _ => return "unknown order".into(),
    }
    "ok".into()
}

pub(crate) fn error_response(code: u16, text: &str) -> Response<Body> {
    let mut response = ok_response(text);
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

pub(crate) fn ok_response(text: &str) -> Response<Body> {
    Response::new(BodyExt::boxed(Full::new(Bytes::from(text.to_string()))))
}

struct Tokens(UnboundedReceiver<String>);

impl futures_core::Stream for Tokens {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.0
            .poll_recv(cx)
            .map(|t| t.map(|t| Ok(Frame::data(Bytes::from(t)))))
    }
}

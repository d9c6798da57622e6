//! A caller's request as the gateway handles it: what was sent, what may be done with it and until
//! when.

use crate::buffer_guard::BufferGuard;
use crate::departure::SendLog;
use bn_platform::{PartId, header};
use bn_quarantine::{Digest, part_digest};
use bn_serve::Abort;
use bn_settle::{AccountId, Document, Engine, Kind, Route};
use hyper::body::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use indexmap::IndexSet;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// A caller that names no deadline waits at most for the route's timeout; this is the maximum
/// deadline that a caller may name.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Part of a caller's patience that is left for the way of an answer: two links, and the delays of a
/// busy process.
const PATIENCE_MARGIN: Duration = Duration::from_millis(100);

/// The same of a deadline, as a fraction of it: most of a short one has to be left for the answer.
const DEADLINE_MARGIN: f64 = 0.05;

/// Maximum number of prompt parts of a request that are looked at.
const MAX_PARTS: usize = 32;

/// Why a request is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denial {
    /// No document is known yet.
    NoDocument,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    InvalidKey,
}

/// An accepted request.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers for backend servers, without those that the gateway sets itself.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Counts the body as buffered.
    pub(crate) body_guard: Option<Arc<BufferGuard>>,
    /// Aborts the caller's connection.
    pub(crate) abort: Abort,
    /// Backend servers that it was sent to.
    pub(crate) sends: SendLog,
    pub(crate) account: Option<AccountId>,
    pub(crate) route: Route,
    pub(crate) service: String,
    /// Version of the document that determined the fields above.
    pub(crate) version: u64,
    pub(crate) arrived: Duration,
    /// How long the caller says that it still waits.
    pub(crate) deadline: Duration,
    /// The caller has tried before: the request can no longer be in time.
    pub(crate) is_retry: bool,
    /// When the final response must be sent: the caller's deadline or the route's timeout.
    pub(crate) answer_by: Duration,
    /// Its level on a ranked service, otherwise the priority of its account or route; 0 goes first.
    pub(crate) priority: u32,
    /// Expected work in tokens: prompt and answer.
    pub(crate) work: f64,
    /// Computed on first use: few requests ever need it.
    digest: OnceLock<Digest>,
    /// Parsed on first use.
    parts: OnceLock<Vec<PartId>>,
}

impl RequestContext {
    /// Routes and authenticates a request by the document in force. `draw` returns a number below
    /// its argument, for routes that are split.
    pub(crate) fn new(
        now: Duration,
        document: Option<&Document>,
        parts: Parts,
        draw: impl FnOnce(u64) -> u64,
    ) -> Result<RequestContext, Denial> {
        let document = document.ok_or(Denial::NoDocument)?;
        let host = host(&parts).unwrap_or_default();
        let route = document
            .route(host, parts.uri.path())
            .ok_or(Denial::NoRoute)?;
        let account = key(&parts.headers).and_then(|k| document.account(k));
        if document.requires_key() && !route.open && account.is_none() {
            return Err(Denial::InvalidKey);
        }
        let service = route.pick_service(draw(route.total_weight()));
        let deadline = deadline(&parts.headers);
        let engine = service.and_then(|s| document.services().get(s)?.engine);
        let work = work(&parts.headers, engine);
        Ok(RequestContext {
            id: text(&parts.headers, header::ATTEMPT)
                .unwrap_or_default()
                .into(),
            service: service.cloned().unwrap_or_default(),
            account: account.map(|a| a.name.clone()),
            work,
            priority: service
                .and_then(|s| document.urgency_level(s, account, route))
                .or(account.and_then(|a| a.priority))
                .unwrap_or(route.priority),
            route: route.clone(),
            version: document.version(),
            arrived: now,
            deadline,
            is_retry: false,
            answer_by: now + deadline.min(route.timeout),
            headers: forwarded_headers(parts.headers),
            method: parts.method,
            uri: parts.uri,
            body: Bytes::new(),
            body_guard: None,
            abort: parts.extensions.get::<Abort>().cloned().unwrap_or_default(),
            sends: SendLog::default(),
            digest: OnceLock::new(),
            parts: OnceLock::new(),
        })
    }

    /// Identifies the request across retries: account, method, host, path with query, and body.
    /// Headers differ between attempts of the same request.
    pub(crate) fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let account = self.account.as_deref().unwrap_or_default();
            let host = self
                .uri
                .host()
                .or_else(|| text(&self.headers, HOST.as_str()));
            let path = self.uri.path_and_query().map_or("", |p| p.as_str());
            bn_quarantine::digest(&[
                account.as_bytes(),
                self.method.as_str().as_bytes(),
                host.unwrap_or_default().as_bytes(),
                path.as_bytes(),
                &self.body,
            ])
        })
    }

    /// The parts of its prompt that other requests may share, each once.
    pub(crate) fn parts(&self) -> &[PartId] {
        self.parts.get_or_init(|| {
            let lines = self.headers.get_all(header::PARTS).iter();
            let lines: Vec<&str> = lines.filter_map(|v| v.to_str().ok()).collect();
            let parts = bn_platform::parse_shared_parts(&lines.join(",")).into_iter();
            let distinct: IndexSet<PartId> = parts.take(MAX_PARTS).collect();
            distinct.into_iter().collect()
        })
    }

    /// Digests of what it shares with other requests.
    pub(crate) fn shared_attributes(&self) -> impl Iterator<Item = Digest> {
        let parts = self.parts().iter();
        parts.map(|p| part_digest(&self.service, *p))
    }

    /// Digests of everything of it that may be to blame where backend servers terminate.
    pub(crate) fn attributes(&self) -> impl Iterator<Item = Digest> {
        std::iter::once(self.digest()).chain(self.shared_attributes())
    }

    /// Whether it may run more than once.
    pub(crate) fn idempotent(&self) -> bool {
        self.route.idempotent()
    }

    /// Whether its response is a stream of events.
    pub(crate) fn streams(&self) -> bool {
        self.route.kind == Kind::Stream
    }

    /// Time left for the next event, or the answer, if the caller received the last one at `last`:
    /// after it, the caller would leave without having been told anything.
    pub(crate) fn patience_left(&self, now: Duration, last: Duration) -> Duration {
        let patience = self.route.patience.unwrap_or(Duration::MAX);
        let until = last.saturating_add(patience.saturating_sub(PATIENCE_MARGIN));
        until.saturating_sub(now).min(self.remaining(now))
    }

    /// Time left until a plain answer, or the refusal in its place, must be sent so that it reaches
    /// the caller before its deadline.
    pub(crate) fn plain_answer_time(&self, now: Duration) -> Duration {
        let margin = self.deadline.mul_f64(DEADLINE_MARGIN).min(PATIENCE_MARGIN);
        let sent_by = (self.arrived + self.deadline).saturating_sub(margin);
        sent_by.saturating_sub(now).min(self.remaining(now))
    }

    /// Time left until the final response must be sent.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.answer_by.saturating_sub(now)
    }
}

/// How long the caller says that it still waits.
pub(crate) fn deadline(headers: &HeaderMap) -> Duration {
    millis(headers, header::DEADLINE).unwrap_or(MAX_DEADLINE)
}

/// Expected tokens of a request: those of the prompt, and the caller's estimate of the answer. A
/// request that reports none counts as one of the usual length.
fn work(headers: &HeaderMap, engine: Option<Engine>) -> f64 {
    let usual = engine.unwrap_or_default();
    let usage = text(headers, header::TOKENS).and_then(bn_platform::parse_token_usage);
    let hint = text(headers, header::LENGTH_HINT).and_then(|t| t.trim().parse::<u32>().ok());
    let (prompt, max_output) = match usage {
        Some(usage) => (f64::from(usage.prompt), f64::from(usage.max_output)),
        None => (usual.mean_prompt, f64::INFINITY),
    };
    let output = hint.map_or(usual.mean_answer, f64::from).min(max_output);
    (prompt + output).max(1.0)
}

fn host(parts: &Parts) -> Option<&str> {
    parts
        .uri
        .host()
        .or_else(|| text(&parts.headers, HOST.as_str()))
}

fn key(headers: &HeaderMap) -> Option<&str> {
    text(headers, "authorization")?.strip_prefix(header::SCHEME)
}

/// A header's value, if it is present and is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let ms: f64 = text(headers, name)?.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then(|| Duration::from_secs_f64(ms / 1000.0).min(MAX_DEADLINE))
}

/// All headers except hop-by-hop ones, including those that `Connection` names, and those that the
/// gateway sets itself.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    for name in header::MANAGED {
        headers.remove(name);
    }
    headers.remove("content-length");
    headers.remove("expect");
    headers
}

/// Removes hop-by-hop headers.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v: &HeaderValue| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in header::HOP_BY_HOP {
        headers.remove(name);
    }
}

//! A caller's request as the gateway handles it: what was sent, what may be done with it
//! and until when.

use bn_platform::header;
use bn_quarantine::Digest;
use bn_settle::{AccountId, Document, Kind, Route};
use hyper::body::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use std::sync::OnceLock;
use std::time::Duration;

/// Longest wait for a caller that names no deadline is the route's timeout; this is the
/// longest that a named one may be.
const LONGEST: Duration = Duration::from_secs(3600);

/// Why a request is not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denial {
    /// No document is known yet.
    Unsettled,
    /// No route matches.
    Route,
    /// The key is missing or unknown.
    Key,
}

/// A request that was taken in.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) id: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// What backend servers get, without what the gateway sets itself.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) account: Option<AccountId>,
    pub(crate) route: Route,
    pub(crate) service: String,
    /// Version of the document that decided all this.
    pub(crate) version: u64,
    pub(crate) arrived: Duration,
    /// What the caller says that it still waits.
    pub(crate) deadline: Duration,
    /// The caller has tried before: it cannot be in time any more.
    pub(crate) came_back: bool,
    /// When the final answer must be out: the caller's deadline or the route's timeout.
    pub(crate) until: Duration,
    /// Rank of its account or route; 0 goes first.
    pub(crate) rank: u32,
    /// Worked out where it is asked for: few requests ever need it.
    digest: OnceLock<Digest>,
}

impl Ticket {
    /// Judges a request by the document in force. `draw` gives a number below its
    /// argument, for routes that are split.
    pub(crate) fn new(
        now: Duration,
        plan: Option<&Document>,
        parts: Parts,
        draw: impl FnOnce(u64) -> u64,
    ) -> Result<Ticket, Denial> {
        let plan = plan.ok_or(Denial::Unsettled)?;
        let host = host(&parts).unwrap_or_default();
        let route = plan.route(host, parts.uri.path()).ok_or(Denial::Route)?;
        let account = key(&parts.headers).and_then(|k| plan.account(k));
        if plan.requires_key() && !route.open && account.is_none() {
            return Err(Denial::Key);
        }
        let service = route.pick_service(draw(route.total_weight()));
        let deadline = deadline(&parts.headers);
        Ok(Ticket {
            id: text(&parts.headers, header::ATTEMPT)
                .unwrap_or_default()
                .into(),
            service: service.cloned().unwrap_or_default(),
            account: account.map(|a| a.name.clone()),
            rank: account.and_then(|a| a.priority).unwrap_or(route.priority),
            route: route.clone(),
            version: plan.version(),
            arrived: now,
            deadline,
            came_back: false,
            until: now + deadline.min(route.timeout),
            headers: passed_on(parts.headers),
            method: parts.method,
            uri: parts.uri,
            body: Bytes::new(),
            digest: OnceLock::new(),
        })
    }

    /// What it is, whoever sends it and however often: caller, method, path and body. Headers
    /// differ between tries of the same request.
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

    /// It may run more than once.
    pub(crate) fn idempotent(&self) -> bool {
        self.route.idempotent()
    }

    /// Its answer is a series of events.
    pub(crate) fn streams(&self) -> bool {
        self.route.kind == Kind::Stream
    }

    /// Time left.
    pub(crate) fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }
}

/// What the caller says that it still waits.
pub(crate) fn deadline(headers: &HeaderMap) -> Duration {
    millis(headers, header::DEADLINE).unwrap_or(LONGEST)
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

/// A header as text, where it is there and is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let ms: f64 = text(headers, name)?.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then(|| Duration::from_secs_f64(ms / 1000.0).min(LONGEST))
}

/// All headers but those of one connection, also the ones that `Connection` names, and
/// those that the gateway sets itself.
fn passed_on(mut headers: HeaderMap) -> HeaderMap {
    strip_hop(&mut headers);
    for name in header::MANAGED {
        headers.remove(name);
    }
    headers.remove("content-length");
    headers.remove("expect");
    headers
}

/// Removes what concerns one connection only.
pub(crate) fn strip_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v: &HeaderValue| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in header::HOP_BY_HOP {
        headers.remove(name);
    }
}

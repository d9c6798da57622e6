//! Small HTTP pages for operators and backend servers: metrics, events, commands,
//! announcements. Nothing here streams.

use crate::{ListenSnafu, Result};
use bn_serve::{Body, ConnectionLimits, read_body, text};
use bn_trace::{Events, Metrics};
use hyper::body::Incoming;
use hyper::{Request, Response};
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio_rustls::TlsAcceptor;

/// Largest body taken, in bytes.
const LARGEST_BODY: usize = 1 << 20;
const JSON: &str = "application/json";
const PLAIN: &str = "text/plain";

/// Answers to the paths that a role adds: status and JSON text. May block.
pub type Extra = Box<dyn Fn(&str, &str, &[u8]) -> Option<(u16, String)> + Send + Sync>;

/// What the pages show.
pub(crate) struct Pages {
    pub(crate) events: Arc<Events>,
    pub(crate) metrics: Metrics,
    pub(crate) extra: Arc<Vec<Extra>>,
}

/// Serves the pages on their own thread, until the process ends.
pub(crate) fn serve(address: SocketAddr, tls: Option<TlsAcceptor>, pages: Pages) -> Result<()> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    let pages = Arc::new(pages);
    let handle = move |request| page(pages.clone(), request);
    bn_serve::serve(listener, "pages", tls, handle).context(ListenSnafu { address })
}

/// Serves metrics, for roles that have few other pages.
pub fn serve_metrics(address: SocketAddr, metrics: Metrics, extra: Vec<Extra>) -> Result<()> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    let extra = Arc::new(extra);
    let handle = move |request: Request<Incoming>| {
        let rendered = (request.uri().path() == "/metrics").then(|| rendered(&metrics));
        let added = extra.clone();
        async move {
            match rendered {
                Some(response) => response,
                None => answer_extra(added, request).await,
            }
        }
    };
    bn_serve::serve(listener, "pages", None, handle).context(ListenSnafu { address })
}

fn rendered(metrics: &Metrics) -> Response<Body> {
    let used = bn_trace::process_usage();
    metrics::gauge!("process_cpu_seconds").set(used.cpu_seconds);
    metrics::gauge!("process_resident_bytes").set(used.resident_bytes as f64);
    text(200, PLAIN, metrics.render())
}

async fn page(pages: Arc<Pages>, request: Request<Incoming>) -> Response<Body> {
    let (method, path) = (
        request.method().to_string(),
        request.uri().path().to_string(),
    );
    match (method.as_str(), path.as_str()) {
        ("GET", "/metrics") => rendered(&pages.metrics),
        ("GET", "/healthz") => text(200, PLAIN, "ok\n"),
        ("GET", "/v1/events") => {
            let events = serde_json::to_string(&pages.events.recent()).unwrap_or_default();
            text(200, JSON, events)
        }
        _ => answer_extra(pages.extra.clone(), request).await,
    }
}

async fn answer_extra(extra: Arc<Vec<Extra>>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().to_string();
    let path = request.uri().path().to_string();
    let time = ConnectionLimits::default().body_timeout;
    let Ok(body) = read_body(request.into_body(), LARGEST_BODY, time).await else {
        return text(
            413,
            JSON,
            fault("the body broke off, came too slowly or is too large"),
        );
    };
    // A command's page waits for its outcome: off the runtime's thread, so that
    // metrics and announcements go on meanwhile.
    let work = move || extra.iter().find_map(|f| f(&method, &path, &body));
    match tokio::task::spawn_blocking(work).await {
        Ok(Some((status, answer))) => text(status, JSON, answer),
        Ok(None) => text(404, JSON, fault("there is no such page")),
        Err(_) => text(500, JSON, fault("the page failed")),
    }
}

/// A fault as JSON text.
pub(crate) fn fault(reason: &str) -> String {
    serde_json::json!({ "error": reason }).to_string()
}

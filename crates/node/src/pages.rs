//! HTTP endpoints for operators and backend servers: metrics, events, commands, announcements.
//! None of them streams.

use crate::{ListenSnafu, Result};
use bn_serve::{Body, ConnectionLimits, read_body, text};
use bn_trace::{Events, Metrics};
use hyper::body::Incoming;
use hyper::{Request, Response};
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio_rustls::TlsAcceptor;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
const JSON: &str = "application/json";
const PLAIN: &str = "text/plain";

/// Handles the paths that a role adds, returning the status and JSON text. May block.
pub type Handler = Box<dyn Fn(&str, &str, &[u8]) -> Option<(u16, String)> + Send + Sync>;

/// Data sources and handlers of the endpoints.
pub(crate) struct Pages {
    pub(crate) events: Arc<Events>,
    pub(crate) metrics: Metrics,
    pub(crate) handlers: Arc<Vec<Handler>>,
}

/// Serves the endpoints on a separate thread until the process terminates.
pub(crate) fn serve(address: SocketAddr, tls: Option<TlsAcceptor>, pages: Pages) -> Result<()> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    let pages = Arc::new(pages);
    let handle = move |request| page(pages.clone(), request);
    bn_serve::serve(listener, "pages", tls, handle).context(ListenSnafu { address })
}

/// Serves metrics and `handlers`, for roles with few other endpoints.
pub fn serve_metrics(address: SocketAddr, metrics: Metrics, handlers: Vec<Handler>) -> Result<()> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    let handlers = Arc::new(handlers);
    let handle = move |request: Request<Incoming>| {
        let rendered = (request.uri().path() == "/metrics").then(|| metrics_page(&metrics));
        let handlers = handlers.clone();
        async move {
            match rendered {
                Some(response) => response,
                None => answer_with(handlers, request).await,
            }
        }
    };
    bn_serve::serve(listener, "pages", None, handle).context(ListenSnafu { address })
}

fn metrics_page(metrics: &Metrics) -> Response<Body> {
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
        ("GET", "/metrics") => metrics_page(&pages.metrics),
        ("GET", "/healthz") => text(200, PLAIN, "ok\n"),
        ("GET", "/v1/events") => {
            let events = serde_json::to_string(&pages.events.recent()).unwrap_or_default();
            text(200, JSON, events)
        }
        _ => answer_with(pages.handlers.clone(), request).await,
    }
}

async fn answer_with(handlers: Arc<Vec<Handler>>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().to_string();
    let path = request.uri().path().to_string();
    let time = ConnectionLimits::default().body_timeout;
    let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES, time).await else {
        return text(
            413,
            JSON,
            error("the body broke off, came too slowly or is too large"),
        );
    };
    // A command handler blocks until its outcome is known: it runs outside the runtime's thread, so
    // that metrics and announcements are served meanwhile.
    let work = move || handlers.iter().find_map(|f| f(&method, &path, &body));
    match tokio::task::spawn_blocking(work).await {
        Ok(Some((status, answer))) => text(status, JSON, answer),
        Ok(None) => text(404, JSON, error("there is no such page")),
        Err(_) => text(500, JSON, error("the page failed")),
    }
}

/// Formats an error as JSON text.
pub(crate) fn error(reason: &str) -> String {
    serde_json::json!({ "error": reason }).to_string()
}

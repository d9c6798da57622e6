//! Directives of backend servers in the headers of their responses.

use crate::context::{RequestContext, text};
use crate::shared::Shared;
use bn_backpressure::{ColdSource, Directives, Feedback};
use bn_platform::{directives as format, header};
use bn_registry::Record;
use bn_route::{ColdTerms, Server};
use bn_settle::{Document, Service};
use hyper::Response;
use hyper::header::HeaderMap;
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests per second that a cold backend server may get: `ratio` times the rate of its service,
/// plus `slack`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdAllowance {
    pub(crate) ratio: f64,
    pub(crate) slack: f64,
}

/// Records the directives in a response's headers, whatever else the response says; `sent` is when
/// its request was sent.
pub(crate) fn record<B>(
    shared: &Shared,
    ctx: &RequestContext,
    server: &Server,
    sent: Duration,
    response: &Response<B>,
) {
    let (status, headers) = (response.status().as_u16(), response.headers());
    // Another backend server has this address now.
    if status == 421 && text(headers, header::SERVER) != Some(&server.id) {
        return;
    }
    let markers = [header::SIGNATURE, header::NOT_RUN].map(|h| headers.contains_key(h));
    let feedback = Feedback {
        directives: parse_directives(status, headers),
        sent_at: sent,
        authentic: markers.contains(&true) && text(headers, header::ATTEMPT) == Some(&ctx.id),
    };
    let now = shared.now();
    let (held_for, limit, interval) = {
        let mut state = shared.state();
        let draw = rand::random();
        let held_for =
            state
                .fleet
                .record_answer(now, &server.id, server.start_time, &feedback, draw);
        let backpressure = state.fleet.get(&server.id).map(|s| &s.backpressure);
        let limit = backpressure.map(|b| b.limit()).unwrap_or_default();
        (held_for, limit, backpressure.and_then(|b| b.interval()))
    };
    log_cold_changes(shared);
    let Some(held_for) = held_for else {
        return;
    };
    let directives = feedback.directives;
    metrics::counter!("backend_servers_asked_total").increment(1);
    shared.lines.put(
        "backend_server_asked",
        json!({
            "id": server.id, "began": server.start_time, "request": ctx.id, "status": status,
            "limit": directives.limit, "rest_ms": directives.backoff.map(millis),
            "leaving": directives.leaving, "unread": directives.malformed,
            "own": feedback.authentic, "held_limit": limit.rate, "turn": limit.version,
            "gap_ms": interval.map(millis), "before_ms": millis(held_for),
        }),
    );
}

/// Merges a limit known to coordinators, as reported by gateways that received it.
pub(crate) fn merge_limit(shared: &Shared, record: &Record, source: SocketAddr) {
    let now = shared.now();
    let (changed, interval) = {
        let fleet = &mut shared.state().fleet;
        let changed = fleet.merge_limit(now, &record.id, record.limit, rand::random());
        (
            changed,
            fleet
                .get(&record.id)
                .and_then(|s| s.backpressure.interval()),
        )
    };
    if changed {
        shared.lines.put(
            "backend_server_limit",
            json!({
                "id": record.id, "began": record.start_time, "limit": record.limit.rate,
                "turn": record.limit.version, "gap_ms": interval.map(millis), "source": source,
            }),
        );
    }
}

/// Records that a backend server refused a connection.
pub(crate) fn record_refused(shared: &Shared, server: &Server) {
    let now = shared.now();
    let draw = rand::random();
    shared.state().fleet.record_refused(now, &server.id, draw);
    log_cold_changes(shared);
}

/// Logs the changes of what is known of cold periods.
pub(crate) fn log_cold_changes(shared: &Shared) {
    let changes = shared.state().fleet.take_cold_changes();
    for change in changes {
        let source = match change.source {
            ColdSource::Assumed => "assumed",
            ColdSource::Announced => "announced",
            ColdSource::Answered => "answered",
        };
        let fields = json!({
            "id": change.id, "began": change.start_time, "until_ms": millis(change.left),
            "source": source,
        });
        shared.lines.put("backend_server_cold", fields);
    }
}

/// The terms of the document's services for cold backend servers.
pub(crate) fn cold_terms(
    document: &Document,
    allowance: ColdAllowance,
) -> IndexMap<String, ColdTerms> {
    let terms = |service: &Service| {
        let cold = service.cold?;
        let terms = ColdTerms {
            time: cold.time,
            bound: cold.rate * allowance.ratio + allowance.slack,
        };
        Some((service.name.clone(), terms))
    };
    document.services().values().filter_map(terms).collect()
}

/// If a header is repeated, the more restrictive value counts.
fn parse_directives(status: u16, headers: &HeaderMap) -> Directives {
    let limits = values(headers, header::LIMIT, format::limit);
    let backoffs = match status {
        503 => values(headers, header::RETRY_AFTER, format::backoff),
        _ => Vec::new(),
    };
    let leaving = values(headers, header::LEAVING, format::leaving);
    let cold = values(headers, header::COLD, format::cold);
    Directives {
        malformed: limits.contains(&None)
            || backoffs.contains(&None)
            || leaving.contains(&None)
            || cold.contains(&None),
        cold: cold.into_iter().flatten().max(),
        limit: limits.into_iter().flatten().reduce(f64::min),
        backoff: backoffs.into_iter().flatten().max(),
        leaving: leaving.contains(&Some(true)),
    }
}

fn values<T>(
    headers: &HeaderMap,
    name: &'static str,
    format: fn(&str) -> Option<T>,
) -> Vec<Option<T>> {
    let all = headers.get_all(name).iter();
    all.map(|v| v.to_str().ok().and_then(format)).collect()
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

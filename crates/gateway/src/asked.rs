//! What backend servers ask for with the heads of their answers.

use crate::shared::Shared;
use crate::ticket::{Ticket, text};
use bn_backpressure::{Directives, Feedback};
use bn_platform::{directives, header};
use bn_registry::Record;
use bn_route::Server;
use hyper::Response;
use hyper::header::HeaderMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Takes in what the head of an answer asks for, whatever else it says; `sent` is when its request was.
pub(crate) fn note<B>(
    shared: &Shared,
    ticket: &Ticket,
    server: &Server,
    sent: Duration,
    response: &Response<B>,
) {
    let (status, headers) = (response.status().as_u16(), response.headers());
    // Another one has its address now.
    if status == 421 && text(headers, header::SERVER) != Some(&server.id) {
        return;
    }
    let marked = [header::SIGNATURE, header::NOT_RUN].map(|h| headers.contains_key(h));
    let feedback = Feedback {
        directives: read(status, headers),
        sent_at: sent,
        authentic: marked.contains(&true) && text(headers, header::ATTEMPT) == Some(&ticket.id),
    };
    let now = shared.now();
    let (news, limit, gap) = {
        let mut state = shared.state();
        let draw = rand::random();
        let news = state
            .fleet
            .record_answer(now, &server.id, server.start_time, &feedback, draw);
        let terms = state.fleet.get(&server.id).map(|s| &s.terms);
        let limit = terms.map(|t| t.limit()).unwrap_or_default();
        (news, limit, terms.and_then(|t| t.interval()))
    };
    let Some(before) = news else {
        return;
    };
    let asked = feedback.directives;
    metrics::counter!("backend_servers_asked_total").increment(1);
    shared.lines.put(
        "backend_server_asked",
        json!({
            "id": server.id, "began": server.start_time, "request": ticket.id, "status": status,
            "limit": asked.limit, "rest_ms": asked.backoff.map(millis), "leaving": asked.leaving,
            "unread": asked.malformed, "own": feedback.authentic, "held_limit": limit.rate,
            "turn": limit.version, "gap_ms": gap.map(millis), "before_ms": millis(before),
        }),
    );
}

/// Takes in what coordinators know of a limit, from gateways that heard of it.
pub(crate) fn learn(shared: &Shared, record: &Record, source: SocketAddr) {
    let now = shared.now();
    let (news, gap) = {
        let fleet = &mut shared.state().fleet;
        let news = fleet.merge_limit(now, &record.id, record.limit, rand::random());
        (news, fleet.get(&record.id).and_then(|s| s.terms.interval()))
    };
    if news {
        shared.lines.put(
            "backend_server_limit",
            json!({
                "id": record.id, "began": record.start_time, "limit": record.limit.rate,
                "turn": record.limit.version, "gap_ms": gap.map(millis), "source": source,
            }),
        );
    }
}

/// A header that comes twice counts as what asks for more.
fn read(status: u16, headers: &HeaderMap) -> Directives {
    let limits = values(headers, header::LIMIT, directives::limit);
    let rests = match status {
        503 => values(headers, header::RETRY_AFTER, directives::backoff),
        _ => Vec::new(),
    };
    let leaving = values(headers, header::LEAVING, directives::leaving);
    Directives {
        malformed: limits.contains(&None) || rests.contains(&None) || leaving.contains(&None),
        limit: limits.into_iter().flatten().reduce(f64::min),
        backoff: rests.into_iter().flatten().max(),
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

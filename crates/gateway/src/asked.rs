//! What backend servers ask for with the heads of their answers.

use crate::shared::Shared;
use crate::ticket::Ticket;
use bn_backpressure::Asked;
use bn_platform::{asked as format, header};
use bn_route::Server;
use hyper::header::HeaderMap;
use serde_json::json;
use std::time::Duration;

/// Takes in what the head of an answer asks for, whatever else it says.
pub(crate) fn note(
    shared: &Shared,
    ticket: &Ticket,
    server: &Server,
    status: u16,
    headers: &HeaderMap,
) {
    let asked = read(status, headers);
    let news = shared.state().fleet.asked(&server.id, server.began, asked);
    if news {
        shared.lines.put(
            "backend_server_asked",
            json!({
                "id": server.id, "began": server.began, "request": ticket.id, "status": status,
                "limit": asked.limit, "rest_ms": asked.rest.map(millis), "leaving": asked.leaving,
                "unread": asked.unread,
            }),
        );
    }
}

/// A header that comes twice counts as what asks for more.
fn read(status: u16, headers: &HeaderMap) -> Asked {
    let limits = values(headers, header::LIMIT, format::limit);
    let rests = match status {
        503 => values(headers, header::RETRY_AFTER, format::rest),
        _ => Vec::new(),
    };
    let leaving = values(headers, header::LEAVING, format::leaving);
    Asked {
        unread: limits.contains(&None) || rests.contains(&None) || leaving.contains(&None),
        limit: limits.into_iter().flatten().reduce(f64::min),
        rest: rests.into_iter().flatten().max(),
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

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

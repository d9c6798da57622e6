//! Logs callers that disconnect before their answer begins.

use crate::context::RequestContext;
use crate::shared::Shared;
use bn_route::ServerId;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// One backend server that a request was sent to.
#[derive(Debug, Clone)]
struct Send {
    server: ServerId,
    at: Duration,
}

/// Where and when a request was sent. Clones share the record.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendLog(Arc<Mutex<Vec<Send>>>);

impl SendLog {
    /// Records that the request is sent to a backend server now.
    pub(crate) fn record(&self, now: Duration, server: &str) {
        let server = server.to_string();
        let send = Send { server, at: now };
        let mut sends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        sends.push(send);
    }

    /// Backend servers in the order of sending, each with the milliseconds since.
    pub(crate) fn to_json(&self, now: Duration) -> Value {
        let sends = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let age = |s: &Send| now.saturating_sub(s.at).as_millis() as u64;
        let sends = sends.iter();
        sends
            .map(|s| json!({ "server": s.server, "ago_ms": age(s) }))
            .collect()
    }
}

/// Logs the departure of a caller if it is dropped before it is disarmed: the task that serves a
/// request is dropped when the caller's connection is closed.
pub(crate) struct DepartureGuard {
    shared: Shared,
    ctx: RequestContext,
    armed: bool,
}

impl DepartureGuard {
    pub(crate) fn new(shared: &Shared, ctx: &RequestContext) -> DepartureGuard {
        DepartureGuard {
            shared: shared.clone(),
            ctx: ctx.clone(),
            armed: true,
        }
    }

    /// The request has an answer, or its first event.
    pub(crate) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DepartureGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let now = self.shared.now();
        let ctx = &self.ctx;
        metrics::counter!("callers_left_unanswered_total").increment(1);
        self.shared.lines.put(
            "caller_left",
            json!({
                "request": ctx.id, "route": ctx.route.name, "service": ctx.service,
                "why": "before an answer", "sends": ctx.sends.to_json(now),
                "after_ms": (now - ctx.arrived).as_millis() as u64,
                "deadline_ms": ctx.deadline.as_millis() as u64, "came_back": ctx.is_retry,
            }),
        );
    }
}

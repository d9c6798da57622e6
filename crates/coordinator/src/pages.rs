//! Operator pages of a coordinator, next to its metrics.

use crate::evacuations::EvacuationCall;
use crate::events::{Event, EventSender};
use bn_quarantine::from_text;
use std::time::Instant;
use tokio::sync::oneshot;

/// Page of the requests under which backend servers terminated; `DELETE` of one closes its case.
pub const QUARANTINE: &str = "/v1/quarantine";
/// Page of the members of the log.
pub const MEMBERS: &str = "/v1/members";

/// Page of the backend servers that set a limit.
pub const LIMITS: &str = "/v1/limits";

/// Page of the evacuated failure domains; `POST` and `DELETE` of one start and end its evacuation.
pub const EVACUATIONS: &str = "/v1/evacuations";

/// Answers the coordinator's own pages: status and JSON text. Waits for the coordinator's thread.
pub fn pages(events: EventSender) -> impl Fn(&str, &str, &[u8]) -> Option<(u16, String)> {
    move |method, path, body| {
        if (method, path) == ("GET", MEMBERS) {
            return Some(show(&events, Event::Members));
        }
        if (method, path) == ("GET", LIMITS) {
            return Some(show(&events, Event::Limits));
        }
        if let Some(rest) = path.strip_prefix(EVACUATIONS) {
            return match (method, rest.strip_prefix('/')) {
                ("GET", None) if rest.is_empty() => Some(show(&events, Event::Evacuations)),
                ("POST", Some(name)) => Some(evacuate(&events, name, true, body)),
                ("DELETE", Some(name)) => Some(evacuate(&events, name, false, body)),
                _ => None,
            };
        }
        let rest = path.strip_prefix(QUARANTINE)?;
        match (method, rest.strip_prefix('/')) {
            ("GET", None) => Some(show(&events, Event::Cases)),
            ("DELETE", Some(text)) => Some(pardon(&events, text)),
            _ => None,
        }
    }
}

fn show(
    events: &EventSender,
    event: impl FnOnce(oneshot::Sender<String>) -> Event,
) -> (u16, String) {
    match query(events, event) {
        Some(text) => (200, text),
        None => busy(),
    }
}

fn pardon(events: &EventSender, text: &str) -> (u16, String) {
    let Some(digest) = from_text(text) else {
        return (400, r#"{"error":"that is no digest"}"#.into());
    };
    match query(events, |reply| Event::Pardon(digest, reply)) {
        Some(true) => (200, r#"{"closed":true}"#.into()),
        Some(false) => (404, r#"{"closed":false}"#.into()),
        None => busy(),
    }
}

fn evacuate(events: &EventSender, name: &str, evacuated: bool, body: &[u8]) -> (u16, String) {
    if !bn_evacuation::is_valid_name(name) || !body.is_empty() {
        return (400, r#"{"error":"wrong name, or a body"}"#.into());
    }
    let order = |reply| {
        Event::Evacuate(EvacuationCall {
            domain: name.into(),
            evacuated,
            received: Instant::now(),
            reply,
        })
    };
    match query(events, order) {
        Some(true) => (200, r#"{"in_force":true}"#.into()),
        _ => (503, r#"{"in_force":null}"#.into()),
    }
}

fn busy() -> (u16, String) {
    (503, r#"{"error":"too busy"}"#.into())
}

fn query<T>(events: &EventSender, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    if !events.send(event(reply)) {
        return None;
    }
    answer.blocking_recv().ok()
}

//! The announcement endpoint, `POST /v1/announce`: backend servers report their identity and load
//! to their agent about once a second.

use super::Event;
use crate::pages::{Handler, error};
use crossbeam::channel::Sender;
use serde::Deserialize;
use std::net::SocketAddr;

/// Announcement of a backend server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    /// Id of the backend server, unique in the system.
    pub(crate) name: String,
    /// Service that it provides.
    pub(crate) service: String,
    /// Lock-step group that it belongs to; empty without one.
    #[serde(default)]
    pub(crate) group: String,
    /// Rank in the group.
    #[serde(default)]
    pub(crate) rank: u32,
    /// HTTP address.
    pub(crate) address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub(crate) capacity: u32,
    /// Whether it rejects orders with an outdated fencing token itself.
    #[serde(default)]
    pub(crate) fences: bool,
    /// Whether it can resume an answer at an offset.
    #[serde(default)]
    pub(crate) resumes: bool,
    /// Whether it accepts no new requests.
    #[serde(default)]
    pub(crate) leaving: bool,
    /// Progress in the steps of its group.
    #[serde(default)]
    pub(crate) steps: Option<Steps>,
    /// Most recently measured load.
    #[serde(default)]
    pub(crate) load: Load,
}

/// Progress of an engine in the steps of its group.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Steps {
    /// Next step to run.
    pub(crate) next: u64,
    /// First step that it has no permission to run.
    pub(crate) granted: u64,
    /// Latest version of the expert map whose first step is known to it.
    pub(crate) version: u64,
    /// Latest version of the expert map that it has loaded.
    pub(crate) prepared: u64,
}

/// Load as measured by the backend server.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Load {
    /// Number of batched and queued tokens.
    pub(crate) tokens: u64,
}

/// Handler of the announcement endpoint.
pub(crate) fn announce_page(channel: Sender<Event>) -> Handler {
    Box::new(move |method, path, body| {
        if (method, path) != ("POST", "/v1/announce") {
            return None;
        }
        let announcement: Announcement = match serde_json::from_slice(body) {
            Ok(a) => a,
            Err(e) => return Some((400, error(&e.to_string()))),
        };
        if let Some(reason) = invalid_field(&announcement) {
            return Some((400, error(reason)));
        }
        match channel.try_send(Event::Announced(Box::new(announcement))) {
            Ok(()) => Some((200, "{}".into())),
            Err(_) => Some((503, error("the agent is overloaded"))),
        }
    })
}

fn invalid_field(a: &Announcement) -> Option<&'static str> {
    match () {
        () if a.name.is_empty() => Some("name: give the id of the backend server"),
        () if a.service.is_empty() => Some("service: give the service it serves"),
        () if a.capacity == 0 => Some("capacity: give the requests it runs at once, 1 or more"),
        () => None,
    }
}

//! The announcement interface: backend servers tell their agent who they are and
//! how loaded, about once a second: `POST /v1/announce`.

use super::Event;
use crate::pages::{Handler, error};
use crossbeam::channel::Sender;
use serde::Deserialize;
use std::net::SocketAddr;

/// What a backend server says of itself.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    /// Its id, unique in the system.
    pub(crate) name: String,
    /// The service it serves.
    pub(crate) service: String,
    /// Its lock-step group, where it is in one.
    #[serde(default)]
    pub(crate) group: String,
    /// Its rank there.
    #[serde(default)]
    pub(crate) rank: u32,
    /// Where it serves HTTP.
    pub(crate) address: SocketAddr,
    /// Requests it runs at once.
    pub(crate) capacity: u32,
    /// It refuses orders with an old fencing number itself.
    #[serde(default)]
    pub(crate) fences: bool,
    /// It can start an answer at an offset.
    #[serde(default)]
    pub(crate) resumes: bool,
    /// It wants no new work.
    #[serde(default)]
    pub(crate) leaving: bool,
    /// Where it stands in its group's steps.
    #[serde(default)]
    pub(crate) steps: Option<Steps>,
    /// How loaded it is, as it last measured.
    #[serde(default)]
    pub(crate) load: Load,
}

/// An engine's place in the steps of its group.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Steps {
    /// Next step to run.
    pub(crate) next: u64,
    /// First step that it may not run.
    pub(crate) granted: u64,
    /// Latest version of the expert map whose first step it knows.
    pub(crate) version: u64,
    /// Latest version that it has loaded.
    pub(crate) prepared: u64,
}

/// Load as the backend server measures it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Load {
    /// Tokens batched and queued.
    pub(crate) tokens: u64,
}

/// The page that takes announcements.
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

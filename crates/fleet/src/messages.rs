//! Messages between the simulated processes, and their encoded sizes.

use crate::coordinator::{PeerPoll, PeerUpdate};
use bn_gateway::{PollState, UpdateRange};
use bn_registry::BackendId;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Envelope, News, NewsAsk, Registration, Role};
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;

/// A message in transit, with its sender and receiver.
#[derive(Debug, Clone)]
pub(crate) enum Packet {
    /// A gateway polls a coordinator.
    Poll {
        gateway: usize,
        coordinator: usize,
        poll_state: PollState,
    },
    /// A coordinator answers a gateway's poll, or pushes an update to it.
    Update {
        coordinator: usize,
        gateway: usize,
        range: UpdateRange,
        changed: Rc<[Registration]>,
    },
    /// One coordinator polls another.
    PeerPoll {
        from: usize,
        to: usize,
        poll: PeerPoll,
    },
    /// One coordinator pushes to another, or answers its poll.
    PeerUpdate {
        from: usize,
        to: usize,
        update: PeerUpdate,
    },
    /// A coordinator asks what is known of a backend server.
    Ask {
        from: usize,
        to: Process,
        call: u64,
        id: BackendId,
    },
    /// The answer to it.
    Answer {
        from: Process,
        to: usize,
        call: u64,
        registration: Option<Registration>,
    },
}

/// A process that coordinators ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Process {
    Coordinator(usize),
    Gateway(usize),
}

/// Encoded size of a poll in bytes.
pub(crate) fn poll_size(gateway: SocketAddr, poll_state: &PollState) -> u64 {
    let poll = NewsAsk {
        callers: gateway.to_string(),
        domain: "domain-1".into(),
        ready: true,
        version: 1,
        source: poll_state.incarnation,
        mark: poll_state.cursor,
        brief: poll_state.omit_registrations,
        named: 1 << 31,
        ..NewsAsk::default()
    };
    envelope_size(gateway, Role::Gateway, Body::NewsAsk(poll))
}

/// Encoded size of an update in bytes.
pub(crate) fn update_size(
    from: SocketAddr,
    coordinators: &[SocketAddr],
    range: &UpdateRange,
    changed: &[Registration],
) -> u64 {
    let news = News {
        mark: range.cursor,
        after: range.after,
        changed: changed.to_vec(),
        ..common_news(coordinators)
    };
    envelope_size(from, Role::Coordinator, Body::News(news))
}

/// Encoded size of a report of contacts in bytes; 0 if an update contains none.
pub(crate) fn contacts_size(
    from: SocketAddr,
    coordinators: &[SocketAddr],
    update: &PeerUpdate,
) -> u64 {
    if update.contacts.is_empty() {
        return 0;
    }
    let news = News {
        contacts: update.contacts.iter().map(Into::into).collect(),
        ..common_news(coordinators)
    };
    envelope_size(from, Role::Coordinator, Body::News(news))
}

fn common_news(coordinators: &[SocketAddr]) -> News {
    News {
        version: 1,
        coordinators: coordinators.iter().map(ToString::to_string).collect(),
        gateways: 24,
        current: true,
        ..News::default()
    }
}

fn envelope_size(from: SocketAddr, role: Role, body: Body) -> u64 {
    let envelope = Envelope {
        from: from.ip().to_string(),
        incarnation: u64::MAX,
        inbox: from.to_string(),
        role: role.into(),
        body: Some(body),
    };
    envelope.encoded_len() as u64
}

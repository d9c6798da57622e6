//! Messages between the simulated processes, and their encoded sizes.

use bn_gateway::{PollState, UpdateRange};
use bn_registry::Record;
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
        changed: Rc<[Record]>,
    },
    /// One coordinator pushes records to another.
    PeerUpdate {
        from: usize,
        to: usize,
        changed: Rc<[Record]>,
    },
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
    changed: &[Record],
) -> u64 {
    let news = News {
        version: 1,
        mark: range.cursor,
        after: range.after,
        coordinators: coordinators.iter().map(ToString::to_string).collect(),
        gateways: 24,
        current: true,
        changed: changed.iter().map(Registration::from).collect(),
        ..News::default()
    };
    envelope_size(from, Role::Coordinator, Body::News(news))
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

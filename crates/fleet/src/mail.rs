//! Messages between the processes of the model, and their size on a link.

use bn_gateway::{PollState, UpdateRange};
use bn_registry::Record;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Envelope, News, NewsAsk, Registration, Role};
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;

/// What is on its way, and between whom.
#[derive(Debug, Clone)]
pub(crate) enum Mail {
    /// A gateway asks a coordinator.
    Ask {
        gateway: usize,
        coordinator: usize,
        position: PollState,
    },
    /// A coordinator answers a gateway, or pushes.
    News {
        coordinator: usize,
        gateway: usize,
        telling: UpdateRange,
        changed: Rc<[Record]>,
    },
    /// One coordinator tells another.
    Among {
        from: usize,
        to: usize,
        changed: Rc<[Record]>,
    },
}

/// Bytes of an ask.
pub(crate) fn ask_size(gateway: SocketAddr, position: &PollState) -> u64 {
    let ask = NewsAsk {
        callers: gateway.to_string(),
        domain: "domain-1".into(),
        ready: true,
        version: 1,
        source: position.incarnation,
        mark: position.cursor,
        brief: position.omit_registrations,
        named: 1 << 31,
        ..NewsAsk::default()
    };
    framed(gateway, Role::Gateway, Body::NewsAsk(ask))
}

/// Bytes of news.
pub(crate) fn news_size(
    from: SocketAddr,
    coordinators: &[SocketAddr],
    telling: &UpdateRange,
    changed: &[Record],
) -> u64 {
    let news = News {
        version: 1,
        mark: telling.cursor,
        after: telling.after,
        coordinators: coordinators.iter().map(ToString::to_string).collect(),
        gateways: 24,
        current: true,
        changed: changed.iter().map(Registration::from).collect(),
        ..News::default()
    };
    framed(from, Role::Coordinator, Body::News(news))
}

fn framed(from: SocketAddr, role: Role, body: Body) -> u64 {
    let envelope = Envelope {
        from: from.ip().to_string(),
        incarnation: u64::MAX,
        inbox: from.to_string(),
        role: role.into(),
        body: Some(body),
    };
    envelope.encoded_len() as u64
}

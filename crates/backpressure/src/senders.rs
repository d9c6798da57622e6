//! Which gateways may send to a limited backend server, and how often.
//!
//! An equal share for each of some hundred gateways would be one request in minutes, and their
//! first requests alone would exceed the limit. So only a few may send. All gateways choose the
//! same ones from the list of gateways that callers are sent to, so no share is requested or
//! returned. The choice differs for each backend server.

use crate::ServerId;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Fewest gateways that may send to a limited backend server, if there are as many: the loss of one
/// costs a third of its throughput until the list has changed.
const MIN_SENDERS: usize = 3;
/// Requests per second that all gateways together send in any case: without a response nobody
/// learns that a limit was lifted.
const MIN_RATE: f64 = 0.05;

/// Determines a gateway's share of limits.
#[derive(Debug, Clone, Default)]
pub struct GatewaySet {
    /// Address at which callers connect to this gateway.
    pub own: Option<SocketAddr>,
    /// The same address of all gateways that callers are sent to.
    pub gateways: Vec<SocketAddr>,
}

/// Interval between two requests of this gateway to a backend server that accepts `rate` per second
/// from all gateways together; `None` if only others may send there.
pub fn send_interval(rate: f64, id: &ServerId, set: &GatewaySet) -> Option<Duration> {
    let rate = rate.max(MIN_RATE);
    let senders = (rate.ceil() as usize).max(MIN_SENDERS);
    let senders = senders.min(set.gateways.len());
    let own = set.own.filter(|own| set.gateways.contains(own))?;
    let own_rank = rank(id, own);
    let before = set.gateways.iter().filter(|g| rank(id, **g) < own_rank);
    let sends = before.count() < senders;
    sends.then(|| Duration::from_secs_f64(senders as f64 / rate))
}

/// Rank of a gateway in an order that all gateways agree on and that differs for each backend
/// server.
fn rank(id: &ServerId, gateway: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_bytes());
    match gateway.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write(&gateway.port().to_be_bytes());
    (hasher.finish(), gateway)
}

//! Which gateways may send to a limited backend server, and how often.
//!
//! An equal part for each of some hundred gateways is one request in minutes, and their first requests
//! alone are more than the limit allows. So a few may send, chosen alike by all from the list of
//! gateways that callers are sent to: nothing has to be asked for or given back. Each backend server has others.

use crate::ServerId;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Fewest gateways that may send to a limited backend server, where there are so many: the loss of one
/// takes a third of what it serves until the list has changed.
const FEWEST: usize = 3;
/// Requests a second that are sent in any case, by all together: without an answer nobody
/// learns that a limit has ended.
const LEAST_RATE: f64 = 0.05;

/// What decides of a gateway's part of limits.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// Where callers connect to this gateway.
    pub own: Option<SocketAddr>,
    /// The same of all gateways that callers are sent to.
    pub gateways: Vec<SocketAddr>,
}

/// Time between two requests of this gateway to a backend server that takes `rate` a second of all
/// together; none where others may send there.
pub fn gap(rate: f64, id: &ServerId, share: &Share) -> Option<Duration> {
    let rate = rate.max(LEAST_RATE);
    let senders = (rate.ceil() as usize).max(FEWEST);
    let senders = senders.min(share.gateways.len());
    let own = share.own.filter(|own| share.gateways.contains(own))?;
    let place = turn(id, own);
    let before = share.gateways.iter().filter(|g| turn(id, **g) < place);
    let sends = before.count() < senders;
    sends.then(|| Duration::from_secs_f64(senders as f64 / rate))
}

/// Place of a gateway in an order that is the same everywhere, and another one for each backend server.
fn turn(id: &ServerId, gateway: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_bytes());
    match gateway.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write(&gateway.port().to_be_bytes());
    (hasher.finish(), gateway)
}

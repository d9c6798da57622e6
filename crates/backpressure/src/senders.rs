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

/// Span over which gateways bound their requests to a cold backend server. Requests that arrive there
/// within a second were sent within this span: the delays from gateways differ by less than 0.1 s.
pub(crate) const WINDOW: Duration = Duration::from_millis(1_100);
/// Added to intervals, so that the requests of a span and the first one after it are more than the
/// span apart.
const INTERVAL_MARGIN: Duration = Duration::from_millis(1);
/// Share of the bound that is allotted to the senders of one list of gateways. The senders of two
/// lists may all differ, since a gateway that is cut off holds an earlier list.
const ALLOTTED_SHARE: f64 = 0.4;
/// Share of the bound for all gateways that are no senders, among them those that have just started:
/// after a common loss of power no gateway is a sender yet, and all backend servers are cold.
const NON_SENDER_SHARE: f64 = 0.2;
/// Fewest gateways that are assumed to divide that share: right after a common start, coordinators
/// have heard from few.
const MIN_RUNNING: u32 = 64;

/// Determines a gateway's share of limits.
#[derive(Debug, Clone, Default)]
pub struct GatewaySet {
    /// Address at which callers connect to this gateway.
    pub own: Option<SocketAddr>,
    /// The same address of all gateways that callers are sent to.
    pub gateways: Vec<SocketAddr>,
    /// When this gateway's own address first appeared on the list.
    pub listed_at: Duration,
    /// Number of gateways that coordinators know, named or not; 0 if it is not known.
    pub running: u32,
}

/// Interval between two requests of this gateway to a backend server that accepts `rate` per second
/// from all gateways together; `None` if only others may send there.
pub fn send_interval(rate: f64, id: &ServerId, set: &GatewaySet) -> Option<Duration> {
    let rate = rate.max(MIN_RATE);
    let senders = (rate.ceil() as usize).max(MIN_SENDERS);
    let senders = senders.min(set.gateways.len());
    let sends = is_sender(senders, id, set);
    sends.then(|| Duration::from_secs_f64(senders as f64 / rate))
}

/// Interval between two requests of this gateway to a cold backend server that may get `bound`
/// requests in any second from all gateways together; `None` if only others may send there.
pub(crate) fn window_interval(bound: f64, id: &ServerId, set: &GatewaySet) -> Option<Duration> {
    let shares = (bound * ALLOTTED_SHARE) as usize;
    let gateways = set.gateways.len();
    let share = (shares / gateways.max(1)).max(1);
    let senders = gateways.min(shares / share);
    let sends = is_sender(senders, id, set);
    let share = u32::try_from(share).unwrap_or(u32::MAX);
    sends.then(|| WINDOW / share + INTERVAL_MARGIN)
}

/// Interval between two requests to a cold backend server of a gateway that is no sender; `None` if
/// the number of gateways is not known.
pub(crate) fn non_sender_interval(bound: f64, set: &GatewaySet) -> Option<Duration> {
    let running = f64::from(set.running.max(MIN_RUNNING));
    let window = WINDOW.mul_f64(running / (bound * NON_SENDER_SHARE).max(f64::MIN_POSITIVE));
    (set.running > 0 && bound > 0.0).then(|| window + INTERVAL_MARGIN)
}

/// Whether this gateway is one of the first `senders` in the order of a backend server.
fn is_sender(senders: usize, id: &ServerId, set: &GatewaySet) -> bool {
    let Some(own) = set.own.filter(|own| set.gateways.contains(own)) else {
        return false;
    };
    let own_rank = rank(id, own);
    let before = set.gateways.iter().filter(|g| rank(id, **g) < own_rank);
    before.count() < senders
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

//! Requests to engines through the relays next to them, where reports are fresh and counts and
//! orders cost nothing; directly over HTTP if a relay does not answer.
//!
//! Few messages for many ranks: simultaneous requests to a group are sent to some of its relays,
//! which forward them to the others and collect the responses. A leader with 5 % of a core that
//! queried each rank itself would take a second for each switch of a large group.
//!
//! A relay has its engine's IP address and the port that all inboxes have. A relay that is dead or
//! cut off is detected by a request without a response: its engine is then called directly for a
//! while.

use crate::engine_requests::decode_status;
use bn_group::switch_controller::{EngineReport, Reply};
use bn_wire::messages::{EngineAnswer, EngineView};
use indexmap::IndexMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Timeout of polls and of orders that are not around a hold; these keep no group waiting. A relay
/// that forwards requests gives up on the others after 150 ms; the rest is for a busy leader: one
/// that considers relays dead too early calls their engines itself, and gets busier still.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of orders around a hold: the group may be stalled until the next attempt, and a relay
/// that forwards them has given up on the others by then.
const HOLD_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of polls that wait for copies: 400 ms more than [`REQUEST_TIMEOUT`].
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Up to this many simultaneous requests are not forwarded.
const MAX_UNFORWARDED: usize = 3;
/// Bytes that a relay forwards at once: 20 ms on the slowest links (6 Mbit/s).
const FORWARD_BYTES: usize = 16 << 10;
/// Approximate number of ranks of a group that report counts: at 500 requests a second about 10,000
/// tokens per poll.
const COUNT_SAMPLE: usize = 48;
/// Time for which a relay is skipped after its first failure to answer; doubles with each further
/// failure in a row. One that is dead or cut off is still detected soon enough. If many are silent
/// at once, the leader itself was probably delayed or its links are new: a new leader that skipped
/// all of them would call every engine itself, and a group that is still held would be stalled
/// meanwhile.
const MIN_SKIP_TIME: Duration = Duration::from_millis(600);
/// Longest time for which a relay is skipped: a restart takes a second or two, a cut somewhat more.
const MAX_SKIP_TIME: Duration = Duration::from_secs(4);

/// A relay that responded over its own link within this time is connected, as far as can be known:
/// groups are polled every 0.15 s, and through the same relays each time.
const CONNECTED_TIME: Duration = Duration::from_secs(2);

/// Kind of a request to a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A poll of the engine.
    Look,
    /// A poll that is answered once copies are complete.
    Copies,
    /// An order.
    Order,
    /// An order around a hold.
    Held,
}

/// A lock-step group of a service; with an empty name, group discovery of the service's engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupId {
    /// Its service.
    pub service: String,
    /// Its name within the service.
    pub name: String,
}

/// A request without a response so far.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Group that the call belongs to.
    pub group: GroupId,
    /// Id of the call.
    pub call: u64,
    /// Inbox of the relay next to the engine.
    pub relay: SocketAddr,
    /// Inbox of the relay that was asked to forward it, or the same.
    pub forwarder: SocketAddr,
    /// Its kind.
    pub kind: RequestKind,
    deadline: Duration,
}

/// Pending requests to relays, and the relays that are skipped.
#[derive(Debug, Default)]
pub struct Relays {
    requests: IndexMap<u64, PendingRequest>,
    skipped: IndexMap<IpAddr, Skip>,
    /// Last response of relays that were asked directly.
    responses: IndexMap<SocketAddr, Duration>,
}

/// How long a relay is skipped, and until when.
#[derive(Debug, Clone, Copy)]
struct Skip {
    time: Duration,
    until: Duration,
}

impl Relays {
    /// The relay next to an engine, unless it is being skipped.
    pub fn relay_of(&self, now: Duration, engine: SocketAddr, port: u16) -> Option<SocketAddr> {
        let skip = self.skipped.get(&engine.ip());
        let is_skipped = skip.is_some_and(|s| now < s.until);
        (!is_skipped).then(|| SocketAddr::new(engine.ip(), port))
    }

    /// Records a request with this id that was sent to a relay by way of `forwarder`; `call` is the
    /// id within the group's switch controller.
    pub fn record_request(
        &mut self,
        now: Duration,
        id: u64,
        call: (&GroupId, u64),
        (relay, forwarder): (SocketAddr, SocketAddr),
        kind: RequestKind,
    ) {
        let timeout = match kind {
            RequestKind::Copies => COPY_TIMEOUT,
            RequestKind::Look | RequestKind::Order => REQUEST_TIMEOUT,
            RequestKind::Held => HOLD_TIMEOUT,
        };
        let request = PendingRequest {
            group: call.0.clone(),
            call: call.1,
            relay,
            forwarder,
            kind,
            deadline: now + timeout,
        };
        self.requests.insert(id, request);
    }

    /// The pending request that a response belongs to.
    pub fn take_request(&mut self, now: Duration, id: u64) -> Option<PendingRequest> {
        let request = self.requests.swap_remove(&id)?;
        self.responses.insert(request.forwarder, now);
        Some(request)
    }

    /// A connected relay other than `relay`, which can forward a request to it.
    pub fn connected_relay(&self, now: Duration, relay: SocketAddr) -> Option<SocketAddr> {
        let skipped = |a: &SocketAddr| self.skipped.get(&a.ip()).is_some_and(|s| now < s.until);
        let connected = self.responses.iter();
        let connected =
            connected.filter(|(a, at)| **a != relay && now < **at + CONNECTED_TIME && !skipped(a));
        connected.max_by_key(|(_, at)| **at).map(|(a, _)| *a)
    }

    /// Records that a relay did not answer. Simultaneous requests count once.
    pub fn record_silence(&mut self, now: Duration, relay: SocketAddr) {
        let before = self.skipped.get(&relay.ip());
        if before.is_some_and(|s| now < s.until) {
            return;
        }
        let time = before.map_or(MIN_SKIP_TIME, |s| (s.time * 2).min(MAX_SKIP_TIME));
        let until = now + time;
        self.skipped.insert(relay.ip(), Skip { time, until });
    }

    /// Records that a relay answered.
    pub fn record_response(&mut self, relay: SocketAddr) {
        self.skipped.swap_remove(&relay.ip());
    }

    /// Removes overdue requests; their relays are skipped from now on.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<PendingRequest> {
        let due: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| r.deadline <= now)
            .map(|(n, _)| *n)
            .collect();
        let requests: Vec<PendingRequest> = due
            .iter()
            .filter_map(|n| self.requests.swap_remove(n))
            .collect();
        for request in &requests {
            self.record_silence(now, request.forwarder);
        }
        // Kept for some time after the next attempt, to tell a repeated failure from a first one.
        self.skipped.retain(|_, s| now < s.until + MAX_SKIP_TIME);
        self.responses.retain(|_, at| now < *at + CONNECTED_TIME);
        requests
    }
}

/// How many of `count` requests are sent to one relay, if it forwards `bytes` with each: about as
/// many relays get a batch as each forwards to, which gives the fewest messages at the busiest
/// process; but no more than its link carries in a moment.
pub fn batch_size(count: usize, bytes: usize) -> usize {
    let size = match count {
        0..=MAX_UNFORWARDED => 1,
        count => count.isqrt() + 1,
    };
    let max_forwarded = FORWARD_BYTES.checked_div(bytes).unwrap_or(size);
    size.min(1 + max_forwarded)
}

/// Splits requests into batches of at most `size`, each within one failure domain and of about
/// equal size within it: what relays forward and collect then stays within their domain, where
/// links are short and are cut off together.
pub fn batches<T>(requests: Vec<T>, size: usize, domain: impl Fn(&T) -> &str) -> Vec<Vec<T>> {
    let mut by_domain: IndexMap<String, Vec<T>> = IndexMap::new();
    for request in requests {
        let domain = domain(&request).to_string();
        by_domain.entry(domain).or_default().push(request);
    }
    by_domain
        .into_values()
        .flat_map(|requests| split(requests, size))
        .collect()
}

/// Splits into batches of about equal size, of at most `max_size`.
fn split<T>(requests: Vec<T>, max_size: usize) -> Vec<Vec<T>> {
    let count = requests.len().div_ceil(max_size.max(1)).max(1);
    let size = requests.len().div_ceil(count);
    let mut remaining = requests.into_iter();
    let batches = (0..count).map(|_| remaining.by_ref().take(size).collect::<Vec<T>>());
    batches.filter(|p| !p.is_empty()).collect()
}

/// Whether the poll of one of `count` engines includes counts. Requests are spread over the ranks
/// regardless of content, so that a sample represents all; counts of 3,840 experts have 4 KB, and
/// sending those of 13 others to the relay that collects them takes its link 70 ms per poll.
pub fn reports_counts(index: usize, count: usize) -> bool {
    index.is_multiple_of(count.div_ceil(COUNT_SAMPLE).max(1))
}

/// Reply to the switch controller for a response; `recent_counts` came with it.
pub(crate) fn decode(
    kind: RequestKind,
    answer: EngineAnswer,
    recent_counts: Option<Vec<u64>>,
) -> Reply {
    let silent = answer.status == 0;
    match (kind, answer.view) {
        _ if silent => Reply::Silent,
        (RequestKind::Order | RequestKind::Held, _) => decode_status(answer.status),
        (_, Some(view)) => Reply::Report(EngineReport {
            recent_counts,
            ..to_report(view)
        }),
        (_, None) => Reply::Odd,
    }
}

fn to_report(view: EngineView) -> EngineReport {
    EngineReport {
        group: view.group,
        epoch: view.epoch,
        rank: view.rank,
        open: view.open,
        size: view.size,
        pass: view.pass,
        map: view.map,
        prepared: view.prepared,
        armed: view.armed,
        held: view.held,
        slowdown: view.pace,
        fresh: true,
        recent_counts: None,
    }
}

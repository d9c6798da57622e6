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

use bn_group::switch_controller::{EngineReport, Reply};
use bn_wire::messages::{EngineAnswer, EngineView};
use indexmap::IndexMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A relay that forwards requests gives up on the others after 150 ms; the rest is for a busy
/// leader: one that considers relays dead too early calls their engines itself, and gets busier
/// still. Requests to relays keep no group waiting.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of orders around a hold: the group may be stalled until the next attempt, and a relay
/// that forwards them has given up on the others by then.
const HELD_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of polls that wait for copies: 400 ms more.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Up to this many simultaneous requests are not forwarded.
const FEW: usize = 3;
/// Bytes that a relay forwards at once: 20 ms on the slowest links (6 Mbit/s).
const PASSED_ON: usize = 16 << 10;
/// Approximate number of ranks of a group that report counts: at 500 requests a second some 10,000
/// tokens per poll.
const COUNTED: usize = 48;
/// First time for which a relay that did not answer is skipped; it doubles with each further
/// failure in a row. One that is dead or cut off is still detected soon enough. If many are silent
/// at once, the leader itself was probably delayed or its links are new: a new leader that skipped
/// all of them would call every engine itself, and a group that is still held would be stalled
/// meanwhile.
const FIRST_PASS: Duration = Duration::from_millis(600);
/// Longest time for which a relay is skipped: a restart takes a second or two, a cut somewhat more.
const LONGEST_PASS: Duration = Duration::from_secs(4);

/// A relay that responded over its own link within this time is connected, as far as can be known:
/// groups are polled every 0.15 s, and through the same relays each time.
const STANDING: Duration = Duration::from_secs(2);

/// Kind of a request to a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum About {
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
pub struct Ask {
    /// Group that the call belongs to.
    pub group: GroupId,
    /// Id of the call.
    pub call: u64,
    /// Inbox of the relay next to the engine.
    pub relay: SocketAddr,
    /// Inbox of the relay that was asked to forward it, or the same.
    pub head: SocketAddr,
    /// Its kind.
    pub about: About,
    due: Duration,
}

/// Pending requests to relays, and the relays that are skipped.
#[derive(Debug, Default)]
pub struct Relays {
    asks: IndexMap<u64, Ask>,
    silent: IndexMap<IpAddr, Silence>,
    /// Last response of relays that were asked directly.
    heads: IndexMap<SocketAddr, Duration>,
}

/// How long a relay is skipped, and until when.
#[derive(Debug, Clone, Copy)]
struct Silence {
    time: Duration,
    until: Duration,
}

impl Relays {
    /// The relay next to an engine, unless it is being skipped.
    pub fn beside(&self, now: Duration, engine: SocketAddr, port: u16) -> Option<SocketAddr> {
        let silence = self.silent.get(&engine.ip());
        let passed_over = silence.is_some_and(|s| now < s.until);
        (!passed_over).then(|| SocketAddr::new(engine.ip(), port))
    }

    /// Records a request with this id that was sent to a relay by way of `forwarder`; `call` is the
    /// id within the group's switch controller.
    pub fn asked(
        &mut self,
        now: Duration,
        number: u64,
        call: (&GroupId, u64),
        (relay, head): (SocketAddr, SocketAddr),
        about: About,
    ) {
        let time = match about {
            About::Copies => COPY_TIMEOUT,
            About::Look | About::Order => TIMEOUT,
            About::Held => HELD_TIMEOUT,
        };
        let ask = Ask {
            group: call.0.clone(),
            call: call.1,
            relay,
            head,
            about,
            due: now + time,
        };
        self.asks.insert(number, ask);
    }

    /// The pending request that a response belongs to.
    pub fn answered(&mut self, now: Duration, number: u64) -> Option<Ask> {
        let ask = self.asks.swap_remove(&number)?;
        self.heads.insert(ask.head, now);
        Some(ask)
    }

    /// A connected relay other than `relay`, which can forward a request to it.
    pub fn standing(&self, now: Duration, relay: SocketAddr) -> Option<SocketAddr> {
        let silent = |a: &SocketAddr| self.silent.get(&a.ip()).is_some_and(|s| now < s.until);
        let heard = self.heads.iter();
        let heard = heard.filter(|(a, at)| **a != relay && now < **at + STANDING && !silent(a));
        heard.max_by_key(|(_, at)| **at).map(|(a, _)| *a)
    }

    /// Records that a relay did not answer. Simultaneous requests count once.
    pub fn pass_over(&mut self, now: Duration, relay: SocketAddr) {
        let before = self.silent.get(&relay.ip());
        if before.is_some_and(|s| now < s.until) {
            return;
        }
        let time = before.map_or(FIRST_PASS, |s| (s.time * 2).min(LONGEST_PASS));
        let until = now + time;
        self.silent.insert(relay.ip(), Silence { time, until });
    }

    /// Records that a relay answered.
    pub fn heard(&mut self, relay: SocketAddr) {
        self.silent.swap_remove(&relay.ip());
    }

    /// Removes overdue requests; their relays are skipped from now on.
    pub fn overdue(&mut self, now: Duration) -> Vec<Ask> {
        let due: Vec<u64> = self
            .asks
            .iter()
            .filter(|(_, a)| a.due <= now)
            .map(|(n, _)| *n)
            .collect();
        let asks: Vec<Ask> = due
            .iter()
            .filter_map(|n| self.asks.swap_remove(n))
            .collect();
        for ask in &asks {
            self.pass_over(now, ask.head);
        }
        // Kept for some time after the next attempt, to tell a repeated failure from a first one.
        self.silent.retain(|_, s| now < s.until + LONGEST_PASS);
        self.heads.retain(|_, at| now < *at + STANDING);
        asks
    }
}

/// How many of `count` requests are sent to one relay, if it forwards `bytes` with each: about as
/// many relays get a batch as each forwards to, which gives the fewest messages at the busiest
/// process; but no more than its link carries in a moment.
pub fn part(count: usize, bytes: usize) -> usize {
    let fewest = match count {
        0..=FEW => 1,
        many => many.isqrt() + 1,
    };
    let others = PASSED_ON.checked_div(bytes).unwrap_or(fewest);
    fewest.min(1 + others)
}

/// Splits requests into batches of at most `size`, each within one failure domain and of about
/// equal size within it: what relays forward and collect then stays within their domain, where
/// links are short and are cut off together.
pub fn parts<T>(asks: Vec<T>, part: usize, domain: impl Fn(&T) -> &str) -> Vec<Vec<T>> {
    let mut near: IndexMap<String, Vec<T>> = IndexMap::new();
    for ask in asks {
        let domain = domain(&ask).to_string();
        near.entry(domain).or_default().push(ask);
    }
    near.into_values()
        .flat_map(|asks| split(asks, part))
        .collect()
}

/// Splits into batches of about equal size, of at most `most`.
fn split<T>(asks: Vec<T>, part: usize) -> Vec<Vec<T>> {
    let count = asks.len().div_ceil(part.max(1)).max(1);
    let size = asks.len().div_ceil(count);
    let mut rest = asks.into_iter();
    let parts = (0..count).map(|_| rest.by_ref().take(size).collect::<Vec<T>>());
    parts.filter(|p| !p.is_empty()).collect()
}

/// Whether the poll of one of `count` engines includes counts. Requests are spread over the ranks
/// regardless of content, so that a sample represents all; counts of 3,840 experts have 4 KB, and
/// sending those of 13 others to the relay that collects them takes its link 70 ms per poll.
pub fn is_counted(at: usize, count: usize) -> bool {
    at.is_multiple_of(count.div_ceil(COUNTED).max(1))
}

/// Reply to the switch controller for a response; `counts` came with it.
pub(crate) fn read(about: About, answer: EngineAnswer, lately: Option<Vec<u64>>) -> Reply {
    let silent = answer.status == 0;
    match (about, answer.view) {
        _ if silent => Reply::Silent,
        (About::Order | About::Held, _) => crate::asks::read_status(answer.status),
        (_, Some(seen)) => Reply::Report(EngineReport {
            recent_counts: lately,
            ..view(seen)
        }),
        (_, None) => Reply::Odd,
    }
}

fn view(seen: EngineView) -> EngineReport {
    EngineReport {
        group: seen.group,
        epoch: seen.epoch,
        rank: seen.rank,
        open: seen.open,
        size: seen.size,
        pass: seen.pass,
        map: seen.map,
        prepared: seen.prepared,
        armed: seen.armed,
        held: seen.held,
        slowdown: seen.pace,
        fresh: true,
        recent_counts: None,
    }
}

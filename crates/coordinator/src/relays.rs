//! Asking engines through the relays beside them, where reports are fresh and counts and
//! orders are free; straight over HTTP where a relay does not answer.
//!
//! Few messages for many ranks: what is asked of a group at once goes to some relays, which
//! pass it on to the others and collect the answers. A leader with a twentieth of a core that asked
//! each rank itself would take a second for each switch of a large group.
//!
//! A relay has its engine's IP number and the port that all inboxes have. That one is
//! dead, or cut off, shows by an ask without an answer: then its engine is called straight
//! for a while.

use bn_group::switch_controller::{EngineReport, Reply};
use bn_wire::messages::{EngineAnswer, EngineView};
use indexmap::IndexMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A relay that passes asks on gives up on the others after 150 ms; the rest is for a leader
/// that is busy: one that takes relays for dead too soon calls their engines itself, and is busier
/// still. What is asked of relays keeps no group waiting.
const TIMEOUT: Duration = Duration::from_millis(600);
/// The same for orders around a hold: a group may stand still until the next try, and the relay
/// that passes them on has given up on the others by then.
const HELD_TIMEOUT: Duration = Duration::from_millis(250);
/// The same where they wait for copies: 400 ms more.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Up to so many asks at once need nobody to pass them on.
const FEW: usize = 3;
/// Bytes that a relay passes on at once: 20 ms on the slowest links (6 Mbit/s).
const PASSED_ON: usize = 16 << 10;
/// Ranks of a group that are counted, about: at 500 requests a second some 10,000 tokens a look.
const COUNTED: usize = 48;
/// A relay that did not answer once is passed over for so long, and for twice as long each further
/// time in a row. One that is dead or cut off is found out soon enough. Where many are silent at once
/// it is rather the asker that was held up or whose links are new: a new leader that passed all of them
/// over would call every engine itself, and a group that was left held would stand meanwhile.
const FIRST_PASS: Duration = Duration::from_millis(600);
/// A relay is passed over for so long at most: a restart takes a second or two, a cut some more.
const LONGEST_PASS: Duration = Duration::from_secs(4);

/// A relay that answered by its own link within this time has one that stands, as far as can be
/// known: groups are looked at every 0.15 s, and heads are the same ones.
const STANDING: Duration = Duration::from_secs(2);

/// What an ask is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum About {
    /// A look at the engine.
    Look,
    /// A look once copies are complete.
    Copies,
    /// An order.
    Order,
    /// An order around a hold.
    Held,
}

/// A lock-step group of a service; without a name, what asks all engines of the service for
/// their groups.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupId {
    /// Its service.
    pub service: String,
    /// Its name there.
    pub name: String,
}

/// An ask under way.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Whose call it is.
    pub group: GroupId,
    /// Number of the call.
    pub call: u64,
    /// Inbox of the relay beside the engine.
    pub relay: SocketAddr,
    /// Inbox of the relay that was asked to pass it on, or the same.
    pub head: SocketAddr,
    /// What it is about.
    pub about: About,
    due: Duration,
}

/// Asks to relays, and which of them are passed over.
#[derive(Debug, Default)]
pub struct Relays {
    asks: IndexMap<u64, Ask>,
    silent: IndexMap<IpAddr, Silence>,
    /// When relays that were asked themselves answered last.
    heads: IndexMap<SocketAddr, Duration>,
}

/// How long a relay is passed over, and until when.
#[derive(Debug, Clone, Copy)]
struct Silence {
    time: Duration,
    until: Duration,
}

impl Relays {
    /// The relay beside an engine, unless it was silent of late.
    pub fn beside(&self, now: Duration, engine: SocketAddr, port: u16) -> Option<SocketAddr> {
        let silence = self.silent.get(&engine.ip());
        let passed_over = silence.is_some_and(|s| now < s.until);
        (!passed_over).then(|| SocketAddr::new(engine.ip(), port))
    }

    /// An ask with this number is on its way to a relay, by way of
    /// `head`; `call` is that of a group's pilot.
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

    /// Whose ask an answer is to.
    pub fn answered(&mut self, now: Duration, number: u64) -> Option<Ask> {
        let ask = self.asks.swap_remove(&number)?;
        self.heads.insert(ask.head, now);
        Some(ask)
    }

    /// A relay whose link stands, other than that one: it can pass an ask on to that one.
    pub fn standing(&self, now: Duration, relay: SocketAddr) -> Option<SocketAddr> {
        let silent = |a: &SocketAddr| self.silent.get(&a.ip()).is_some_and(|s| now < s.until);
        let heard = self.heads.iter();
        let heard = heard.filter(|(a, at)| **a != relay && now < **at + STANDING && !silent(a));
        heard.max_by_key(|(_, at)| **at).map(|(a, _)| *a)
    }

    /// A relay did not answer. Asks that were out together count once.
    pub fn pass_over(&mut self, now: Duration, relay: SocketAddr) {
        let before = self.silent.get(&relay.ip());
        if before.is_some_and(|s| now < s.until) {
            return;
        }
        let time = before.map_or(FIRST_PASS, |s| (s.time * 2).min(LONGEST_PASS));
        let until = now + time;
        self.silent.insert(relay.ip(), Silence { time, until });
    }

    /// A relay answered.
    pub fn heard(&mut self, relay: SocketAddr) {
        self.silent.swap_remove(&relay.ip());
    }

    /// Takes out what is overdue; its relays are passed over from now on.
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
        // Remembered for some time after it is asked again, to tell the next silence from a first one.
        self.silent.retain(|_, s| now < s.until + LONGEST_PASS);
        self.heads.retain(|_, at| now < *at + STANDING);
        asks
    }
}

/// How many of `count` asks one relay gets, where each is passed on with `bytes`: about as many
/// relays are asked as each asks others, which makes for the fewest messages at the busiest; but
/// no more than its link takes in a moment.
pub fn part(count: usize, bytes: usize) -> usize {
    let fewest = match count {
        0..=FEW => 1,
        many => many.isqrt() + 1,
    };
    let others = PASSED_ON.checked_div(bytes).unwrap_or(fewest);
    fewest.min(1 + others)
}

/// Asks in parts of at most `part`, each part of one failure domain, and those of a domain about equal: what
/// relays pass on and collect then stays within their domain, where links are short and are cut off
/// together.
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

/// Parts of about equal size, of at most `part`.
fn split<T>(asks: Vec<T>, part: usize) -> Vec<Vec<T>> {
    let count = asks.len().div_ceil(part.max(1)).max(1);
    let size = asks.len().div_ceil(count);
    let mut rest = asks.into_iter();
    let parts = (0..count).map(|_| rest.by_ref().take(size).collect::<Vec<T>>());
    parts.filter(|p| !p.is_empty()).collect()
}

/// Whether the look at one of `count` engines takes counts, too. Requests are spread over ranks
/// whatever they are about, so that some tell what all choose; counts of 3,840 experts are 4 KB, and
/// take the links of those that collect them from 13 others 70 ms a look, by their size.
pub fn is_counted(at: usize, count: usize) -> bool {
    at.is_multiple_of(count.div_ceil(COUNTED).max(1))
}

/// What an answer says to the pilot; `lately` are counts that came beside it.
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

//! The coordinators that a gateway asks for news, one after the other.
//!
//! If a large fleet's gateways asked each of them several times a second, answering would be a good
//! part of what a coordinator does. Asked in turn, what any of them learns is known a fraction of a
//! second later.

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Between two asks of the same coordinator: also how often it hears that this gateway lives.
const ROUND: Duration = Duration::from_millis(800);
/// Least time between two asks, however many coordinators there are.
const LEAST_GAP: Duration = Duration::from_millis(100);
/// Asks without an answer after which a link is taken for dead: 1.6 s.
const SILENT_ASKS: u32 = 2;
/// Coordinators that tell a gateway of backend servers. What one of them does not hear, the other
/// does; with all of them, each change would come as often as there are coordinators.
const SUBSCRIPTIONS: usize = 2;
/// Silent asks after which one that is no longer named is forgotten.
const FORGOTTEN: u32 = 4 * SILENT_ASKS;

/// What a coordinator told last.
#[derive(Debug, Clone, Default)]
struct Source {
    incarnation: u64,
    mark: u64,
    cases: u64,
    unanswered: u32,
    /// It was asked to tell of backend servers.
    subscribed: bool,
}

/// What is said in an ask to a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Start of the coordinator's process that the mark is of.
    pub incarnation: u64,
    /// Registrations are known up to there.
    pub mark: u64,
    /// Cases are known up to there.
    pub cases: u64,
    /// The last asks were not answered: the link back may be dead.
    pub unheard: bool,
    /// The link to it should be opened anew.
    pub reopen: bool,
    /// It is taken for lost from now on.
    pub lost: bool,
    /// Others tell of backend servers.
    pub brief: bool,
}

/// What a coordinator told of registrations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Telling {
    /// Start of its process.
    pub incarnation: u64,
    /// They are known up to there; 0 where it says nothing of that.
    pub mark: u64,
    /// Where it went on from.
    pub after: u64,
}

/// What a telling was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Heard {
    /// The coordinator had been taken for lost.
    pub regained: bool,
    /// Something before it is not known yet, and has to be asked for.
    pub gap: bool,
}

/// All coordinators that this gateway knows of.
#[derive(Debug, Clone)]
pub struct Sources {
    seeds: Vec<SocketAddr>,
    rows: IndexMap<SocketAddr, Source>,
    next: usize,
    /// Makes each gateway choose others to be told by.
    salt: u64,
}

impl Sources {
    /// Begins with those that the settings name, at the `first` of them, a random number: gateways that
    /// start together should not all ask the same one, nor be told by the same ones.
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Sources {
        let rows = seeds.iter().map(|s| (*s, Source::default())).collect();
        Sources {
            seeds,
            rows,
            next: first,
            salt: first as u64,
        }
    }

    /// Time until the next ask.
    pub fn gap(&self) -> Duration {
        let count = u32::try_from(self.rows.len().max(1)).unwrap_or(u32::MAX);
        (ROUND / count).max(LEAST_GAP)
    }

    /// The one whose turn it is. One that is to tell of backend servers from now on goes first: until it is
    /// asked, what it knows is not told.
    pub fn turn(&mut self) -> Option<SocketAddr> {
        let subscribed = |a: &SocketAddr| self.rows.get(a).is_some_and(|s| s.subscribed);
        if let Some(new) = self.subscriptions().into_iter().find(|a| !subscribed(a)) {
            return Some(new);
        }
        let count = self.rows.len().max(1);
        let at = self.next % count;
        self.next = (at + 1) % count;
        self.rows.get_index(at).map(|(inbox, _)| *inbox)
    }

    /// All of them, for what cannot wait for their turn.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.rows.keys().copied().collect()
    }

    /// Those that tell of backend servers: of those that answer, the same ones as long as these do.
    pub fn subscriptions(&self) -> Vec<SocketAddr> {
        let answer = |(_, s): &(&SocketAddr, &Source)| s.unanswered < SILENT_ASKS;
        let heard = self.rows.iter().filter(answer);
        let mut heard: Vec<SocketAddr> = heard.map(|(a, _)| *a).collect();
        heard.sort_by_cached_key(|a| (place(self.salt, a), *a));
        heard.truncate(SUBSCRIPTIONS);
        heard
    }

    /// One is asked now; what the ask says.
    pub fn asked(&mut self, inbox: SocketAddr) -> Position {
        let subscriptions = self.subscriptions();
        let brief = subscriptions.len() == SUBSCRIPTIONS && !subscriptions.contains(&inbox);
        let source = self.rows.entry(inbox).or_default();
        source.subscribed = !brief;
        let before = source.unanswered;
        source.unanswered += 1;
        let unheard = before >= SILENT_ASKS;
        Position {
            incarnation: source.incarnation,
            mark: source.mark,
            cases: source.cases,
            unheard,
            reopen: unheard && before.is_multiple_of(SILENT_ASKS),
            lost: before == SILENT_ASKS,
            brief,
        }
    }

    /// One told something. Marks are of one start, and of what follows without a gap.
    pub fn heard(&mut self, inbox: SocketAddr, telling: Telling) -> Heard {
        let source = self.rows.entry(inbox).or_default();
        let regained = source.unanswered > SILENT_ASKS;
        source.unanswered = 0;
        if telling.mark == 0 {
            return Heard {
                regained,
                gap: false,
            };
        }
        if source.incarnation != telling.incarnation {
            // Another start counts its changes anew.
            source.incarnation = telling.incarnation;
            source.mark = 0;
            source.cases = 0;
        }
        let gap = telling.after > source.mark;
        if !gap {
            source.mark = source.mark.max(telling.mark);
        }
        Heard { regained, gap }
    }

    /// One told its cases up to a change; 0 where it pushed a few.
    pub fn told_cases(&mut self, inbox: SocketAddr, cases: u64) {
        if let Some(source) = self.rows.get_mut(&inbox).filter(|_| cases > 0) {
            source.cases = cases;
        }
    }

    /// Coordinators that are no longer named and silent are asked no more, seeds excepted.
    pub fn follow(&mut self, named: &[SocketAddr]) {
        let seeds = &self.seeds;
        let silent = |s: &Source| s.unanswered > FORGOTTEN;
        self.rows
            .retain(|a, s| named.contains(a) || seeds.contains(a) || !silent(s));
        for inbox in named {
            self.rows.entry(*inbox).or_default();
        }
    }
}

/// Place of a coordinator in an order that each salt makes another one.
fn place(salt: u64, coordinator: &SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0);
    coordinator.hash(&mut hasher);
    hasher.finish()
}

//! The coordinators that a gateway asks for news, one after the other.
//!
//! If a large fleet's gateways asked each of them several times a second, answering would be a good
//! part of what a coordinator does. Asked in turn, what any of them learns is known a fraction of a
//! second later.

use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two asks of the same coordinator: also how often it hears that this gateway lives.
const ROUND: Duration = Duration::from_millis(800);
/// Least time between two asks, however many coordinators there are.
const LEAST_GAP: Duration = Duration::from_millis(100);
/// Asks without an answer after which a link is taken for dead: 1.6 s.
const SILENT_ASKS: u32 = 2;
/// Silent asks after which one that is no longer named is forgotten.
const FORGOTTEN: u32 = 4 * SILENT_ASKS;

/// What a coordinator told last.
#[derive(Debug, Clone, Default)]
struct Source {
    incarnation: u64,
    mark: u64,
    cases: u64,
    unanswered: u32,
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
}

/// All coordinators that this gateway knows of.
#[derive(Debug, Clone)]
pub struct Sources {
    seeds: Vec<SocketAddr>,
    rows: IndexMap<SocketAddr, Source>,
    next: usize,
}

impl Sources {
    /// Begins with those that the settings name, at the `first` of them: gateways that start
    /// together should not all ask the same one.
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Sources {
        let rows = seeds.iter().map(|s| (*s, Source::default())).collect();
        Sources {
            seeds,
            rows,
            next: first,
        }
    }

    /// Time until the next ask.
    pub fn gap(&self) -> Duration {
        let count = u32::try_from(self.rows.len().max(1)).unwrap_or(u32::MAX);
        (ROUND / count).max(LEAST_GAP)
    }

    /// The one whose turn it is.
    pub fn turn(&mut self) -> Option<SocketAddr> {
        let count = self.rows.len().max(1);
        let at = self.next % count;
        self.next = (at + 1) % count;
        self.rows.get_index(at).map(|(inbox, _)| *inbox)
    }

    /// All of them, for what cannot wait for their turn.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.rows.keys().copied().collect()
    }

    /// One is asked now; what the ask says.
    pub fn asked(&mut self, inbox: SocketAddr) -> Position {
        let source = self.rows.entry(inbox).or_default();
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
        }
    }

    /// One told something; `mark` is 0 where that was a push, which says nothing of how far its
    /// registrations are known. Returns whether it had been taken for lost.
    pub fn heard(&mut self, inbox: SocketAddr, incarnation: u64, mark: u64) -> bool {
        let source = self.rows.entry(inbox).or_default();
        let regained = source.unanswered > SILENT_ASKS;
        source.unanswered = 0;
        if mark > 0 {
            if source.incarnation != incarnation {
                // Another start counts its changes anew.
                source.cases = 0;
            }
            source.incarnation = incarnation;
            source.mark = mark;
        }
        regained
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

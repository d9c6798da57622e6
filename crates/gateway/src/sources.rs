//! The coordinators that a gateway polls for updates, one after the other.
//!
//! If the gateways of a large fleet polled each coordinator several times a second, responding
//! would be a good part of a coordinator's work. With polling in turn, what any of them learns is
//! known here a fraction of a second later.

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two polls of the same coordinator: also this gateway's heartbeat interval.
const POLL_PERIOD: Duration = Duration::from_millis(800);
/// Minimum interval between two polls, however many coordinators there are.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Unanswered polls after which a link is considered dead: 1.6 s.
const MAX_UNANSWERED: u32 = 2;
/// Coordinators that send a gateway registrations. What one of them misses, the other receives; if
/// all sent them, each change would arrive as often as there are coordinators.
const SUBSCRIPTIONS: usize = 2;
/// Unanswered polls after which a coordinator that is no longer a member is evicted.
const EVICT_UNANSWERED: u32 = 4 * MAX_UNANSWERED;

/// Last state received from a coordinator.
#[derive(Debug, Clone, Default)]
struct Source {
    incarnation: u64,
    cursor: u64,
    case_cursor: u64,
    unanswered: u32,
    /// It was asked to send registrations of backend servers.
    subscribed: bool,
}

/// What a poll of a coordinator says, and how its link is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollState {
    /// Incarnation of the coordinator's process that the cursor belongs to.
    pub incarnation: u64,
    /// Registrations are known up to this change.
    pub cursor: u64,
    /// Cases are known up to this change.
    pub case_cursor: u64,
    /// The last polls were not answered: the link back may be dead.
    pub unanswered: bool,
    /// The link to it should be reopened.
    pub reopen: bool,
    /// It is considered lost from now on.
    pub lost: bool,
    /// Other coordinators send the registrations of backend servers.
    pub omit_registrations: bool,
}

/// Range of registration changes in a coordinator's update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UpdateRange {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// They are known up to this change; 0 if the update says nothing of registrations.
    pub cursor: u64,
    /// The change after which the update starts.
    pub after: u64,
}

/// Effect of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Receipt {
    /// The coordinator had been considered lost.
    pub regained: bool,
    /// Changes before the update are missing and have to be requested.
    pub gap: bool,
}

/// All coordinators that this gateway knows of.
#[derive(Debug, Clone)]
pub struct Sources {
    seeds: Vec<SocketAddr>,
    sources: IndexMap<SocketAddr, Source>,
    next: usize,
    /// Makes each gateway choose different coordinators to subscribe to.
    salt: u64,
}

impl Sources {
    /// Starts with those that the settings name, at index `first`, a random number: gateways that
    /// start together should not all poll the same coordinator, nor all subscribe to the same ones.
    pub fn new(seeds: Vec<SocketAddr>, first: usize) -> Sources {
        let sources = seeds.iter().map(|s| (*s, Source::default())).collect();
        Sources {
            seeds,
            sources,
            next: first,
            salt: first as u64,
        }
    }

    /// Time until the next poll.
    pub fn poll_interval(&self) -> Duration {
        let count = u32::try_from(self.sources.len().max(1)).unwrap_or(u32::MAX);
        (POLL_PERIOD / count).max(MIN_INTERVAL)
    }

    /// The next to poll. A new subscription goes first: until polled, it sends no registrations.
    pub fn next_poll(&mut self) -> Option<SocketAddr> {
        let subscribed = |a: &SocketAddr| self.sources.get(a).is_some_and(|s| s.subscribed);
        if let Some(new) = self.subscriptions().into_iter().find(|a| !subscribed(a)) {
            return Some(new);
        }
        let count = self.sources.len().max(1);
        let at = self.next % count;
        self.next = (at + 1) % count;
        self.sources.get_index(at).map(|(inbox, _)| *inbox)
    }

    /// All coordinators, for messages that cannot wait for the next poll.
    pub fn all(&self) -> Vec<SocketAddr> {
        self.sources.keys().copied().collect()
    }

    /// Coordinators that send registrations of backend servers: of those that answer, the same ones
    /// as long as they do.
    pub fn subscriptions(&self) -> Vec<SocketAddr> {
        let answers = |(_, s): &(&SocketAddr, &Source)| s.unanswered < MAX_UNANSWERED;
        let answering = self.sources.iter().filter(answers);
        let mut answering: Vec<SocketAddr> = answering.map(|(a, _)| *a).collect();
        answering.sort_by_cached_key(|a| (rendezvous_rank(self.salt, a), *a));
        answering.truncate(SUBSCRIPTIONS);
        answering
    }

    /// Records a poll of a coordinator; returns what the poll says.
    pub fn on_poll(&mut self, inbox: SocketAddr) -> PollState {
        let subscriptions = self.subscriptions();
        let omit_registrations =
            subscriptions.len() == SUBSCRIPTIONS && !subscriptions.contains(&inbox);
        let source = self.sources.entry(inbox).or_default();
        source.subscribed = !omit_registrations;
        let before = source.unanswered;
        source.unanswered += 1;
        let unanswered = before >= MAX_UNANSWERED;
        PollState {
            incarnation: source.incarnation,
            cursor: source.cursor,
            case_cursor: source.case_cursor,
            unanswered,
            reopen: unanswered && before.is_multiple_of(MAX_UNANSWERED),
            lost: before == MAX_UNANSWERED,
            omit_registrations,
        }
    }

    /// Records an update. Cursors belong to one incarnation, and to changes without a gap.
    pub fn on_update(&mut self, inbox: SocketAddr, range: UpdateRange) -> Receipt {
        let source = self.sources.entry(inbox).or_default();
        let regained = source.unanswered > MAX_UNANSWERED;
        source.unanswered = 0;
        if range.cursor == 0 {
            return Receipt {
                regained,
                gap: false,
            };
        }
        if source.incarnation != range.incarnation {
            // Another incarnation counts its changes from the start.
            source.incarnation = range.incarnation;
            source.cursor = 0;
            source.case_cursor = 0;
        }
        let gap = range.after > source.cursor;
        if !gap {
            source.cursor = source.cursor.max(range.cursor);
        }
        Receipt { regained, gap }
    }

    /// Records that a coordinator sent its cases up to a change; 0 if it pushed only a few.
    pub fn set_case_cursor(&mut self, inbox: SocketAddr, case_cursor: u64) {
        if let Some(source) = self.sources.get_mut(&inbox).filter(|_| case_cursor > 0) {
            source.case_cursor = case_cursor;
        }
    }

    /// Sets the members. Silent coordinators that are no longer members are evicted, except seeds.
    pub fn set_members(&mut self, members: &[SocketAddr]) {
        let seeds = &self.seeds;
        let silent = |s: &Source| s.unanswered > EVICT_UNANSWERED;
        self.sources
            .retain(|a, s| members.contains(a) || seeds.contains(a) || !silent(s));
        for inbox in members {
            self.sources.entry(*inbox).or_default();
        }
    }
}

/// Position of a coordinator in an order that differs by salt.
fn rendezvous_rank(salt: u64, coordinator: &SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 0);
    coordinator.hash(&mut hasher);
    hasher.finish()
}

//! Requests that wait for room: urgent first, fair shares of the accounts within a
//! priority, bounded, and refused early when they cannot start in time.

use crate::AccountId;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Its number.
    pub id: u64,
    /// Its account.
    pub account: AccountId,
    /// Larger goes first.
    pub priority: u32,
    /// The account's weight among others of the priority.
    pub share: u32,
    /// It is of no use later.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    /// Service received, over the share; the account with the least goes next.
    served: f64,
}

/// Waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    lines: IndexMap<(u32, AccountId), Line>,
    /// Service that the account served last had had: where a new account starts.
    floor: IndexMap<u32, f64>,
    length: usize,
    /// Seconds between starts, smoothed, and when the last one was.
    gap: f64,
    last: Option<Duration>,
}

/// A quiet time says nothing of how fast requests can start: it counts as this, in
/// seconds.
const LONGEST_GAP: f64 = 0.5;
/// Weight of the newest gap between starts.
const ALPHA: f64 = 0.05;

impl Queue {
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Something waits that goes before, or beside, what has this priority.
    pub fn holds(&self, priority: u32) -> bool {
        let rivals = self.lines.iter().filter(|((p, _), _)| *p >= priority);
        rivals.map(|(_, l)| l).any(|l| !l.waiting.is_empty())
    }

    /// Takes a request in, or says how long it would wait if that is past its
    /// deadline or the queue is full.
    pub fn push(&mut self, now: Duration, entry: Waiting, most: usize) -> Result<(), Duration> {
        let wait = self.expected_wait(&entry);
        if self.length >= most || now + wait > entry.deadline {
            return Err(wait);
        }
        let floor = self.floor.get(&entry.priority).copied().unwrap_or(0.0);
        let line = self
            .lines
            .entry((entry.priority, entry.account.clone()))
            .or_default();
        if line.waiting.is_empty() {
            // Time without requests earns nothing.
            line.served = line.served.max(floor);
        }
        line.waiting.push_back(entry);
        self.length += 1;
        Ok(())
    }

    /// How long a request would wait: those before it, at the pace of late.
    pub fn expected_wait(&self, entry: &Waiting) -> Duration {
        let ahead = |((priority, account), line): (&(u32, AccountId), &Line)| {
            let waiting = line.waiting.len() as f64;
            match priority.cmp(&entry.priority) {
                std::cmp::Ordering::Greater => waiting,
                std::cmp::Ordering::Less => 0.0,
                std::cmp::Ordering::Equal if *account == entry.account => waiting,
                // Of another account only its share of the starts meanwhile.
                std::cmp::Ordering::Equal => {
                    let own = self.lines.get(&(entry.priority, entry.account.clone()));
                    let mine = own.map_or(0, |l| l.waiting.len()) as f64 + 1.0;
                    let shares = line.waiting.front().map_or(1, |e| e.share.max(1));
                    waiting.min(mine * f64::from(shares) / f64::from(entry.share.max(1)))
                }
            }
        };
        let before: f64 = self.lines.iter().map(ahead).sum();
        Duration::from_secs_f64((before * self.gap).min(3600.0))
    }

    /// The next request to try, and the one after it if the first finds no room, and
    /// so on: by priority, then the account that had least for its share.
    pub fn order(&self) -> Vec<u64> {
        let mut lines: Vec<_> = self
            .lines
            .iter()
            .filter(|(_, l)| !l.waiting.is_empty())
            .collect();
        lines.sort_by(|((pa, _), a), ((pb, _), b)| pb.cmp(pa).then(a.served.total_cmp(&b.served)));
        lines
            .into_iter()
            .filter_map(|(_, l)| l.waiting.front().map(|e| e.id))
            .collect()
    }

    /// A request started: counts as service to its account.
    pub fn started(&mut self, now: Duration, id: u64) {
        let found = self
            .lines
            .iter_mut()
            .find(|(_, l)| l.waiting.front().is_some_and(|e| e.id == id));
        let Some(((priority, _), line)) = found else {
            return;
        };
        let Some(entry) = line.waiting.pop_front() else {
            return;
        };
        let floor = line.served;
        line.served += 1.0 / f64::from(entry.share.max(1));
        self.floor.insert(*priority, floor);
        self.length -= 1;
        self.note_start(now);
    }

    /// A start that did not wait here counts towards the pace too.
    pub fn note_start(&mut self, now: Duration) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64().min(LONGEST_GAP);
            self.gap += ALPHA * (gap - self.gap);
        }
        self.last = Some(now);
    }

    /// Takes out requests for which `over` says so, such as past deadlines.
    pub fn remove(&mut self, mut over: impl FnMut(&Waiting) -> bool) -> Vec<u64> {
        let mut gone = Vec::new();
        for line in self.lines.values_mut() {
            line.waiting.retain(|e| {
                let out = over(e);
                if out {
                    gone.push(e.id);
                }
                !out
            });
        }
        self.length -= gone.len();
        self.lines
            .retain(|_, l| !l.waiting.is_empty() || l.served > 0.0);
        gone
    }
}

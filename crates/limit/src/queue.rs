//! Requests waiting for capacity: ordered by priority, with fair shares of the accounts within a
//! priority, bounded, and refused early if they cannot start in time.

use crate::AccountId;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::time::Duration;

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Request number.
    pub id: u64,
    /// Client account.
    pub account: AccountId,
    /// Higher values go first.
    pub priority: u32,
    /// Weight of the account among others of the same priority.
    pub share: u32,
    /// Latest useful start.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Default)]
struct AccountQueue {
    waiting: VecDeque<QueuedRequest>,
    /// Service received over the share; the account with the lowest value goes next.
    served: f64,
}

/// Waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    queues: IndexMap<(u32, AccountId), AccountQueue>,
    /// `served` of the last served account before that service: where a new account starts.
    virtual_time: IndexMap<u32, f64>,
    len: usize,
    /// Smoothed interval between starts in seconds, and the time of the last start.
    start_gap: f64,
    last_start: Option<Duration>,
}

/// Longer intervals count as this, in seconds: idle time does not show how fast requests can start.
const MAX_START_GAP: f64 = 0.5;
/// Weight of the latest interval between starts.
const GAP_WEIGHT: f64 = 0.05;

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether a request of this or a higher priority is waiting.
    pub fn has_at_least(&self, priority: u32) -> bool {
        let queues = self.queues.iter().filter(|((p, _), _)| *p >= priority);
        queues.map(|(_, q)| q).any(|q| !q.waiting.is_empty())
    }

    /// Enqueues a request, or returns its expected wait if that exceeds its deadline or the queue
    /// is full.
    pub fn push(
        &mut self,
        now: Duration,
        request: QueuedRequest,
        max_len: usize,
    ) -> Result<(), Duration> {
        let wait = self.expected_wait(&request);
        if self.len >= max_len || now + wait > request.deadline {
            return Err(wait);
        }
        let virtual_time = self
            .virtual_time
            .get(&request.priority)
            .copied()
            .unwrap_or(0.0);
        let queue = self
            .queues
            .entry((request.priority, request.account.clone()))
            .or_default();
        if queue.waiting.is_empty() {
            // Idle accounts accumulate no credit.
            queue.served = queue.served.max(virtual_time);
        }
        queue.waiting.push_back(request);
        self.len += 1;
        Ok(())
    }

    /// Expected wait of a request: the requests ahead of it, at the recent rate of starts.
    pub fn expected_wait(&self, request: &QueuedRequest) -> Duration {
        Duration::from_secs_f64((self.ahead_of(request) * self.start_gap).min(3600.0))
    }

    /// Number of waiting requests that start before this one.
    pub fn ahead_of(&self, request: &QueuedRequest) -> f64 {
        let ahead = |((priority, account), queue): (&(u32, AccountId), &AccountQueue)| {
            let waiting = queue.waiting.len() as f64;
            match priority.cmp(&request.priority) {
                std::cmp::Ordering::Greater => waiting,
                std::cmp::Ordering::Less => 0.0,
                std::cmp::Ordering::Equal if *account == request.account => waiting,
                // Another account only gets its share of the starts in the meantime.
                std::cmp::Ordering::Equal => {
                    let own = self
                        .queues
                        .get(&(request.priority, request.account.clone()));
                    let own_len = own.map_or(0, |q| q.waiting.len()) as f64 + 1.0;
                    let shares = queue.waiting.front().map_or(1, |r| r.share.max(1));
                    waiting.min(own_len * f64::from(shares) / f64::from(request.share.max(1)))
                }
            }
        };
        self.queues.iter().map(ahead).sum()
    }

    /// Recent number of starts per second; 0 if none is known.
    pub fn start_rate(&self) -> f64 {
        match self.start_gap > 0.0 {
            true => 1.0 / self.start_gap,
            false => 0.0,
        }
    }

    /// Number of waiting requests of this or a higher priority.
    pub fn waiting_at_least(&self, priority: u32) -> usize {
        let queues = self.queues.iter().filter(|((p, _), _)| *p >= priority);
        queues.map(|(_, q)| q.waiting.len()).sum()
    }

    /// Number of waiting requests with these priorities.
    pub fn waiting_with(&self, matches: impl Fn(u32) -> bool) -> usize {
        let queues = self.queues.iter().filter(|((p, _), _)| matches(*p));
        queues.map(|(_, q)| q.waiting.len()).sum()
    }

    /// Priorities of which requests are waiting.
    pub fn waiting_priorities(&self) -> IndexSet<u32> {
        let waiting = self.queues.iter().filter(|(_, q)| !q.waiting.is_empty());
        waiting.map(|((p, _), _)| *p).collect()
    }

    /// Ids in the order in which to try them while the earlier ones find no capacity: by priority,
    /// then by least service relative to share.
    pub fn start_order(&self) -> Vec<u64> {
        let mut queues: Vec<_> = self
            .queues
            .iter()
            .filter(|(_, q)| !q.waiting.is_empty())
            .collect();
        queues.sort_by(|((pa, _), a), ((pb, _), b)| pb.cmp(pa).then(a.served.total_cmp(&b.served)));
        queues
            .into_iter()
            .filter_map(|(_, q)| q.waiting.front().map(|r| r.id))
            .collect()
    }

    /// Id of the first request of the highest of these priorities, of the account for which `order`
    /// is lowest.
    pub fn first_by(
        &self,
        matches: impl Fn(u32) -> bool,
        order: impl Fn(u32, &str) -> f64,
    ) -> Option<u64> {
        let waiting = self.queues.iter().filter(|(_, q)| !q.waiting.is_empty());
        let waiting = waiting.filter(|((p, _), _)| matches(*p));
        let highest = waiting.clone().map(|((p, _), _)| *p).max()?;
        let of_highest = waiting.filter(|((p, _), _)| *p == highest);
        let ordered = of_highest.map(|((_, account), q)| (order(highest, account), q));
        let first = ordered.min_by(|(a, _), (b, _)| a.total_cmp(b));
        first.and_then(|(_, q)| q.waiting.front().map(|r| r.id))
    }

    /// Accounts that have requests waiting with these priorities.
    pub fn waiting_accounts(&self, matches: impl Fn(u32) -> bool) -> Vec<AccountId> {
        let waiting = self.queues.iter().filter(|(_, q)| !q.waiting.is_empty());
        let waiting = waiting.filter(|((p, _), _)| matches(*p));
        waiting.map(|((_, account), _)| account.clone()).collect()
    }

    /// Dequeues a request that has started, and counts it as service to its account.
    pub fn start(&mut self, now: Duration, id: u64) {
        let found = self
            .queues
            .iter_mut()
            .find(|(_, q)| q.waiting.front().is_some_and(|r| r.id == id));
        let Some(((priority, _), queue)) = found else {
            return;
        };
        let Some(request) = queue.waiting.pop_front() else {
            return;
        };
        let virtual_time = queue.served;
        queue.served += 1.0 / f64::from(request.share.max(1));
        self.virtual_time.insert(*priority, virtual_time);
        self.len -= 1;
        self.record_start(now);
    }

    /// Counts a start towards the rate of starts, also of a request that was not queued.
    pub fn record_start(&mut self, now: Duration) {
        if let Some(last) = self.last_start {
            let gap = now.saturating_sub(last).as_secs_f64().min(MAX_START_GAP);
            self.start_gap += GAP_WEIGHT * (gap - self.start_gap);
        }
        self.last_start = Some(now);
    }

    /// Removes the requests for which `drop_if` returns `true`, such as those past their deadline.
    pub fn remove_if(&mut self, mut drop_if: impl FnMut(&QueuedRequest) -> bool) -> Vec<u64> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|r| {
                let drop = drop_if(r);
                if drop {
                    removed.push(r.id);
                }
                !drop
            });
        }
        self.len -= removed.len();
        self.queues
            .retain(|_, q| !q.waiting.is_empty() || q.served > 0.0);
        removed
    }
}

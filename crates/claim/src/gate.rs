//! Admission of requests to a backend server, decided by its agent alone.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Reason of a refusal: the capacity is used up.
pub const FULL: &str = "full";
/// Number of attempts remembered, to detect a second arrival or a cancel that arrives first.
const MAX_KNOWN: usize = 8192;
/// Requests admitted, as a multiple of the capacity; the engine queues the excess.
const OVERCOMMIT: f64 = 1.5;

/// Key of a request at an agent: incarnation of the entry, and its attempt.
pub type RunKey = (u64, u64);

/// State by which the agent admits requests.
#[derive(Debug, Default)]
pub struct Gate {
    /// This agent is stopping.
    pub leaving: bool,
    /// The backend server accepts no new work.
    pub backend_leaving: bool,
    /// An operator's drain is in force.
    pub drained: bool,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Number of requests that the backend server runs at once.
    pub capacity: u32,
    lease_end: Duration,
    revision: u64,
    known: HashSet<RunKey>,
    insertion_order: VecDeque<RunKey>,
}

impl Gate {
    /// Renews the lease. One of an older leader changes nothing. One of an older revision extends
    /// the lease and sets the fence, but its drain state is ignored: several entries answer, and
    /// one that lags must not undo a drain.
    pub fn renew_lease(&mut self, until: Duration, fence: u64, revision: u64, drained: bool) {
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        self.lease_end = self.lease_end.max(until);
        if revision >= self.revision {
            (self.revision, self.drained) = (revision, drained);
        }
    }

    /// Whether this agent holds a lease, and so may act on the settled configuration.
    pub fn has_lease(&self, now: Duration) -> bool {
        now < self.lease_end
    }

    /// Whether new work is refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.backend_leaving || self.drained
    }

    /// Records that an attempt must no longer start.
    pub fn cancel(&mut self, key: RunKey) {
        self.remember(key);
    }

    /// Admits an attempt and records it as started, or returns why it must not start.
    pub fn refusal(
        &mut self,
        now: Duration,
        key: RunKey,
        not_after: Duration,
        running: usize,
    ) -> Option<&'static str> {
        let max_running = f64::from(self.capacity) * OVERCOMMIT;
        let reason = match () {
            () if self.is_leaving() => Some("leaving"),
            () if !self.has_lease(now) => Some("no lease"),
            // It may have been refused or abandoned in the meantime: running it now would
            // contradict a not-run verdict.
            () if now > not_after => Some("too late to start"),
            () if running as f64 >= max_running => Some(FULL),
            () if self.known.contains(&key) => Some("known already"),
            () => None,
        };
        if reason.is_none() {
            self.remember(key);
        }
        reason
    }

    fn remember(&mut self, key: RunKey) {
        if self.known.insert(key) {
            self.insertion_order.push_back(key);
        }
        if self.insertion_order.len() > MAX_KNOWN
            && let Some(old) = self.insertion_order.pop_front()
        {
            self.known.remove(&old);
        }
    }
}

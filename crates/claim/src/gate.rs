//! The gate before a backend server: what may start, decided by this agent alone.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Refusal for want of room.
pub const FULL: &str = "full";
/// Attempts remembered, so that a second arrival or an early cancel is known.
const REMEMBERED: usize = 8192;
/// Requests taken over the capacity; the engine queues them.
const ROOM: f64 = 1.5;

/// A request at an agent: incarnation of the entry, and its attempt.
pub type RunKey = (u64, u64);

/// What the agent knows about starting work.
#[derive(Debug, Default)]
pub struct Gate {
    /// This agent stops.
    pub leaving: bool,
    /// The backend server wants no new work.
    pub backend_leaving: bool,
    /// An operator's drain holds.
    pub drained: bool,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Requests that the backend server runs at once.
    pub capacity: u32,
    until: Duration,
    revision: u64,
    known: HashSet<RunKey>,
    order: VecDeque<RunKey>,
}

impl Gate {
    /// Takes a lease. One of an older leader or revision changes nothing: several
    /// entries answer, and the one that lags must not undo a drain.
    pub fn lease(&mut self, until: Duration, fence: u64, revision: u64, drained: bool) {
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        self.until = self.until.max(until);
        if revision >= self.revision {
            (self.revision, self.drained) = (revision, drained);
        }
    }

    /// It may act on the settled configuration.
    pub fn leased(&self, now: Duration) -> bool {
        now < self.until
    }

    /// No new work is taken.
    pub fn leaves(&self) -> bool {
        self.leaving || self.backend_leaving || self.drained
    }

    /// Notes that an attempt must not start any more.
    pub fn cancel(&mut self, key: RunKey) {
        self.remember(key);
    }

    /// Why an attempt must not start, if so; otherwise it is noted as started.
    pub fn refusal(
        &mut self,
        now: Duration,
        key: RunKey,
        not_after: Duration,
        running: usize,
    ) -> Option<&'static str> {
        let room = f64::from(self.capacity) * ROOM;
        let reason = match () {
            () if self.leaves() => Some("leaving"),
            () if !self.leased(now) => Some("no lease"),
            // It was told off or given up meanwhile: running it now would make a
            // not-run untrue.
            () if now > not_after => Some("too late to start"),
            () if running as f64 >= room => Some(FULL),
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
            self.order.push_back(key);
        }
        if self.order.len() > REMEMBERED
            && let Some(old) = self.order.pop_front()
        {
            self.known.remove(&old);
        }
    }
}

//! Trials of suspects: the leader lets one at a time run in the whole fleet.
//!
//! Copies of a request arrive at several gateways at once. If each of them tried it, a request that
//! terminates backend servers would terminate as many more as there are gateways before the first
//! one is known.

use crate::Digest;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time for which a trial blocks others, whatever its gateway asks: the gateway may be
/// gone.
const MAX_TRIAL: Duration = Duration::from_secs(30);
/// Grace period after a trial without a complete response, for the report that its backend server
/// terminated. A probe takes at most 0.6 s (two connections of 0.25 s, and 0.1 s for the first to
/// prove stable), the report some milliseconds.
const GRACE: Duration = Duration::from_millis(800);

/// The running trials, and when each stops blocking others.
#[derive(Debug, Clone, Default)]
pub struct Trials(IndexMap<Digest, Duration>);

impl Trials {
    /// Whether a trial of a request may run now; it takes at most `time`.
    pub fn grant(&mut self, now: Duration, digest: Digest, time: Duration) -> bool {
        self.0.retain(|_, until| *until > now);
        if self.0.contains_key(&digest) {
            return false;
        }
        self.0.insert(digest, now + time.min(MAX_TRIAL) + GRACE);
        true
    }

    /// A trial is over. Without a complete response, the next one waits for the report of a
    /// termination.
    pub fn finish(&mut self, now: Duration, digest: Digest, complete: bool) {
        if complete {
            self.0.swap_remove(&digest);
        } else if let Some(until) = self.0.get_mut(&digest) {
            *until = (*until).min(now + GRACE);
        }
    }
}

//! Tries of suspects: the leader lets one at a time run in the whole fleet.
//!
//! Copies of a request come to several gateways at once. If each of them tried it, a request that ends
//! backend servers would end as many more as there are gateways before the first end is known.

use crate::Digest;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time for which a try is waited for, whatever its gateway asks: the gateway may be gone.
const LONGEST: Duration = Duration::from_secs(30);
/// After a try without a whole answer, time for the news that its backend server ended. A look takes
/// 0.6 s at the most (two connections of 0.25 s, and 0.1 s for the first to stand), the news some
/// milliseconds.
const NEWS: Duration = Duration::from_millis(800);

/// The tries that run now.
#[derive(Debug, Clone, Default)]
pub struct Trials(IndexMap<Digest, Duration>);

impl Trials {
    /// Whether a request may be tried now; it takes `time` at the most.
    pub fn grant(&mut self, now: Duration, digest: Digest, time: Duration) -> bool {
        self.0.retain(|_, until| *until > now);
        if self.0.contains_key(&digest) {
            return false;
        }
        self.0.insert(digest, now + time.min(LONGEST) + NEWS);
        true
    }

    /// A try has ended. Where it got no whole answer, the next waits for the news of an end.
    pub fn done(&mut self, now: Duration, digest: Digest, whole: bool) {
        if whole {
            self.0.swap_remove(&digest);
        } else if let Some(until) = self.0.get_mut(&digest) {
            *until = (*until).min(now + NEWS);
        }
    }
}

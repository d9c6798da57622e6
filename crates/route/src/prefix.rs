//! Last known locations of prompt prefixes. An entry is a hint that ages, not a fact: cache events
//! arrive late and with gaps, and engines evict without notice.

use crate::BackendId;
use indexmap::IndexMap;
use std::time::Duration;

/// Maximum number of prefixes remembered.
const MAX_PREFIXES: usize = 20_000;
/// Hints older than this are ignored.
const MAX_AGE: Duration = Duration::from_secs(120);

/// Prefix hash to the backend server that served it last.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex(IndexMap<u64, (BackendId, Duration)>);

impl PrefixIndex {
    /// Records that a request with this prefix was sent there, or that a cache event reports it.
    pub fn record(&mut self, now: Duration, prefix: u64, backend: &str) {
        self.0.insert(prefix, (backend.into(), now));
        if self.0.len() > MAX_PREFIXES {
            self.0.swap_remove_index(0);
        }
    }

    /// Removes the hint after the backend server evicted the prefix.
    pub fn evict(&mut self, prefix: u64, backend: &str) {
        if self.0.get(&prefix).is_some_and(|(b, _)| b == backend) {
            self.0.swap_remove(&prefix);
        }
    }

    /// Backend server that may still hold the prefix.
    pub fn holder(&self, now: Duration, prefix: u64) -> Option<&BackendId> {
        let (backend, at) = self.0.get(&prefix)?;
        (now.saturating_sub(*at) < MAX_AGE).then_some(backend)
    }
}

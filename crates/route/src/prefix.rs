//! Where prompt prefixes were seen last. A hint with an age, never a fact: cache
//! events come late and with gaps, and engines evict without telling.

use crate::BackendId;
use indexmap::IndexMap;
use std::time::Duration;

/// Prefixes remembered at most.
const MOST: usize = 20_000;
/// A hint older than this is worth nothing.
const AGE: Duration = Duration::from_secs(120);

/// Prefix hash to the backend server that served it last.
#[derive(Debug, Clone, Default)]
pub struct Prefixes(IndexMap<u64, (BackendId, Duration)>);

impl Prefixes {
    /// A request with this prefix went there, or a cache event says so.
    pub fn saw(&mut self, now: Duration, prefix: u64, backend: &str) {
        self.0.insert(prefix, (backend.into(), now));
        if self.0.len() > MOST {
            self.0.swap_remove_index(0);
        }
    }

    /// The backend server evicted it.
    pub fn gone(&mut self, prefix: u64, backend: &str) {
        if self.0.get(&prefix).is_some_and(|(b, _)| b == backend) {
            self.0.swap_remove(&prefix);
        }
    }

    /// Who may still have it.
    pub fn holder(&self, now: Duration, prefix: u64) -> Option<&BackendId> {
        let (backend, at) = self.0.get(&prefix)?;
        (now.saturating_sub(*at) < AGE).then_some(backend)
    }
}

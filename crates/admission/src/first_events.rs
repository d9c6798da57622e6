//! Time from sending a request to its first event.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent values: some seconds at a gateway that starts ten streams a second.
const KEPT: usize = 64;
/// Minimum number of values for an estimate.
const MIN_KEPT: usize = 8;
/// Quantile that counts as the upper tail.
const TAIL: f64 = 0.95;

/// Recent times to the first event of a service.
#[derive(Debug, Clone, Default)]
pub struct FirstEvents {
    recent: VecDeque<Duration>,
}

impl FirstEvents {
    /// Records a time from sending to the first event.
    pub fn record(&mut self, time: Duration) {
        if self.recent.len() == KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
    }

    /// Upper tail of the recent times; `None` if too few were seen.
    pub fn tail(&self) -> Option<Duration> {
        if self.recent.len() < MIN_KEPT {
            return None;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let index = ((sorted.len() - 1) as f64 * TAIL) as usize;
        sorted.get(index).copied()
    }
}

//! Cold periods of a fake, and the requests that arrive in them.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    /// `None` until the fake is cold for the first time.
    until: Option<Instant>,
    /// Arrivals of the last second of a cold period.
    recent: VecDeque<Instant>,
    total: usize,
    max_in_second: usize,
}

/// Cold period, and counts of arrivals.
#[derive(Debug, Default)]
pub(crate) struct Cold(Mutex<State>);

impl Cold {
    pub(crate) fn starting(time: Duration) -> Cold {
        let cold = Cold::default();
        if !time.is_zero() {
            cold.begin(time);
        }
        cold
    }

    /// The fake is cold for this long from now on. Counts start at zero.
    pub(crate) fn begin(&self, time: Duration) {
        *self.lock() = State {
            until: Some(Instant::now() + time),
            ..State::default()
        };
    }

    /// Time left; `None` if the fake never was cold.
    pub(crate) fn left(&self) -> Option<Duration> {
        let until = self.lock().until?;
        Some(until.saturating_duration_since(Instant::now()))
    }

    pub(crate) fn on_request(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.until.is_none_or(|until| now >= until) {
            return;
        }
        let old = |at: &Instant| *at + SECOND <= now;
        while state.recent.front().is_some_and(old) {
            state.recent.pop_front();
        }
        state.recent.push_back(now);
        state.total += 1;
        state.max_in_second = state.max_in_second.max(state.recent.len());
    }

    /// Requests of the latest cold period, and the most within one second of it.
    pub(crate) fn json(&self) -> String {
        let state = self.lock();
        serde_json::json!({ "total": state.total, "max_in_second": state.max_in_second })
            .to_string()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

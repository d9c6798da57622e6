//! What a fake asks of those that send it requests, as it is told to.

use bn_platform::header;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy, Default)]
struct Wants {
    /// Requests a second.
    limit: Option<f64>,
    /// It turns requests away until then.
    rest: Option<Instant>,
    leaving: bool,
}

/// What is asked now.
#[derive(Debug, Default)]
pub(crate) struct Requests(Mutex<Wants>);

impl Requests {
    fn change(&self, change: impl FnOnce(&mut Wants)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn wants(&self) -> Wants {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names a limit in each answer; none: no longer.
    pub(crate) fn limit(&self, rate: Option<f64>) {
        self.change(|w| w.limit = rate);
    }

    /// Turns all away for so long.
    pub(crate) fn rest(&self, time: Duration) {
        self.change(|w| w.rest = Some(Instant::now() + time));
    }

    /// Says in each answer that it leaves.
    pub(crate) fn leave(&self) {
        self.change(|w| w.leaving = true);
    }

    /// Whole seconds for which it wants no request; none where it takes them.
    pub(crate) fn rests(&self) -> Option<u64> {
        let left = self.wants().rest?.checked_duration_since(Instant::now())?;
        Some(left.as_secs_f64().ceil() as u64)
    }

    /// Marks an answer as its own, to the request with these headers, and says what is asked.
    pub(crate) fn say(&self, request: &HeaderMap, name: &str, answer: &mut HeaderMap) {
        let wants = self.wants();
        let mut put = |header: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                answer.insert(HeaderName::from_static(header), value);
            }
        };
        put(header::SIGNATURE, name.into());
        if let Some(rate) = wants.limit {
            put(header::LIMIT, rate.to_string());
        }
        if wants.leaving {
            put(header::LEAVING, "1".into());
        }
        if let Some(attempt) = request.get(header::ATTEMPT) {
            answer.insert(HeaderName::from_static(header::ATTEMPT), attempt.clone());
        }
    }
}

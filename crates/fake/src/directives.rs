//! Directives of a fake to the senders of requests, set by commands.

use bn_platform::header;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy, Default)]
struct Values {
    /// Requests a second.
    limit: Option<f64>,
    /// Rejects requests until then.
    backoff_until: Option<Instant>,
    leaving: bool,
}

/// Current directives.
#[derive(Debug, Default)]
pub(crate) struct Directives(Mutex<Values>);

impl Directives {
    fn change(&self, change: impl FnOnce(&mut Values)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn current(&self) -> Values {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the limit announced in each answer; `None` removes it.
    pub(crate) fn set_limit(&self, rate: Option<f64>) {
        self.change(|v| v.limit = rate);
    }

    /// Rejects all requests for the given time.
    pub(crate) fn back_off(&self, time: Duration) {
        self.change(|v| v.backoff_until = Some(Instant::now() + time));
    }

    /// Announces in each answer that the fake is leaving.
    pub(crate) fn set_leaving(&self) {
        self.change(|v| v.leaving = true);
    }

    /// Remaining backoff in seconds, rounded up; `None` if requests are accepted.
    pub(crate) fn remaining_backoff(&self) -> Option<u64> {
        let remaining = self
            .current()
            .backoff_until?
            .checked_duration_since(Instant::now())?;
        Some(remaining.as_secs_f64().ceil() as u64)
    }

    /// Adds the signature, the request's attempt id and the directives to an answer's headers.
    pub(crate) fn add_headers(&self, request: &HeaderMap, name: &str, answer: &mut HeaderMap) {
        let current = self.current();
        let mut put = |header: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                answer.insert(HeaderName::from_static(header), value);
            }
        };
        put(header::SIGNATURE, name.into());
        if let Some(rate) = current.limit {
            put(header::LIMIT, rate.to_string());
        }
        if current.leaving {
            put(header::LEAVING, "1".into());
        }
        if let Some(attempt) = request.get(header::ATTEMPT) {
            answer.insert(HeaderName::from_static(header::ATTEMPT), attempt.clone());
        }
    }
}

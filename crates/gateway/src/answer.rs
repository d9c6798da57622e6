//! Responses that the gateway generates itself. None carries a backend server's signature.

use bn_platform::header;
use bn_serve::{Body, text};
use hyper::Response;
use hyper::header::HeaderValue;
use std::time::Duration;

const JSON: &str = "application/json";

/// Whether a request may have run at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It has not run and never will.
    NotRun,
    /// It was sent, and no backend server reported that it did not run.
    MayHaveRun,
}

/// Why a request gets no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) verdict: Verdict,
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
    /// When to retry; only for requests that have not run.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Not run; a retry may succeed.
    pub(crate) fn retryable(reason: &'static str, after: Duration) -> Refusal {
        Refusal {
            verdict: Verdict::NotRun,
            status: 503,
            reason,
            retry_after: Some(after),
        }
    }

    /// Not run; no time for a retry is given.
    pub(crate) fn not_retryable(status: u16, reason: &'static str) -> Refusal {
        Refusal {
            verdict: Verdict::NotRun,
            status,
            reason,
            retry_after: None,
        }
    }

    /// Sent, with an unknown outcome. Statuses that promise that it has not run must not be used.
    pub(crate) fn unknown(status: u16, reason: &'static str) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            status,
            reason,
            retry_after: None,
        }
    }

    pub(crate) fn response(&self) -> Response<Body> {
        let verdict = match self.verdict {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        };
        let body = serde_json::json!({ "error": self.reason, "verdict": verdict });
        let mut response = text(self.status, JSON, body.to_string());
        let after = self.retry_after.map(|d| format!("{:.3}", d.as_secs_f64()));
        if let Some(Ok(value)) = after.map(|a| HeaderValue::from_str(&a)) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

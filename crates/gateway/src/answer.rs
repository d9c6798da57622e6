//! The gateway's own answers. None bears a backend server's signature.

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
    /// It was sent, and nobody said that it did not run.
    MayHaveRun,
}

/// Why a request gets no answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) verdict: Verdict,
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
    /// When to come back; only for what has not run.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// Not run, and coming back makes sense.
    pub(crate) fn later(reason: &'static str, after: Duration) -> Refusal {
        Refusal {
            verdict: Verdict::NotRun,
            status: 503,
            reason,
            retry_after: Some(after),
        }
    }

    /// Not run, and wrong in itself.
    pub(crate) fn wrong(status: u16, reason: &'static str) -> Refusal {
        Refusal {
            verdict: Verdict::NotRun,
            status,
            reason,
            retry_after: None,
        }
    }

    /// Sent, with an unknown end. The statuses that promise not-run are out of question.
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

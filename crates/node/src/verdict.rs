//! What a caller receives when there is no complete answer.

use std::time::Duration;

/// Whether a refused request may have run; every retry depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request was not run and will not be.
    NotRun,
    /// The request may have run, or may still run.
    MayHaveRun,
}

impl Verdict {
    /// Value of the `x-verdict` header.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }
}

/// Final response to a request without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Reason for the refusal.
    pub reason: String,
    /// Delay before a retry; `None`: this request must not be retried.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn not_run(status: u16, reason: impl Into<String>) -> Refusal {
        Refusal {
            status,
            verdict: Verdict::NotRun,
            reason: reason.into(),
            retry_after: None,
        }
    }

    pub(crate) fn may_have_run(status: u16, reason: impl Into<String>) -> Refusal {
        Refusal {
            verdict: Verdict::MayHaveRun,
            ..Refusal::not_run(status, reason)
        }
    }

    pub(crate) fn retry_after(self, after: Duration) -> Refusal {
        Refusal {
            retry_after: Some(after),
            ..self
        }
    }
}

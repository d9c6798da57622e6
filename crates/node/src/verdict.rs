//! What a caller is told when there is no whole answer.

use std::time::Duration;

/// Whether a refused request may have run. Decides every retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was not run, and will not be.
    NotRun,
    /// It may have run, or may still.
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

/// The final answer to a request that has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: String,
    /// When to come back; `None`: not with this request.
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

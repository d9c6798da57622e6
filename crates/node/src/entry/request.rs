//! Requests and their attempts, as stored by the entry.

use super::RequestId;
use crate::caller::{AnswerPart, Arrival};
use bn_claim::PendingClaim;
use std::time::Duration;

/// Phase of a request.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Its idempotency key is being claimed.
    Claiming(PendingClaim, Duration),
    /// It waits for a backend server with capacity.
    Queued,
    /// An attempt is in progress.
    Running,
}

/// A caller's request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) account: String,
    pub(crate) phase: Phase,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    /// Backend servers already tried.
    pub(crate) tried: Vec<String>,
    /// Whether it may be run again after an attempt that may have run.
    pub(crate) repeatable: bool,
    /// Whether an attempt may have run, or may still run.
    pub(crate) may_have_run: bool,
    /// Whether the head of the answer was sent to the caller.
    pub(crate) head_sent: bool,
    /// Status in that head.
    pub(crate) status: u32,
    /// Number of answer bytes sent to the caller.
    pub(crate) sent: u64,
}

impl Request {
    /// Passes a part of the answer to the caller's thread. Returns `false` if the caller has
    /// disconnected, or is so slow that its channel is full.
    pub(crate) fn send(&self, answer: AnswerPart) -> bool {
        self.arrival.answer.try_send(answer).is_ok()
    }

    /// Whether the caller has closed its connection.
    pub(crate) fn abandoned(&self) -> bool {
        self.arrival.answer.is_closed()
    }
}

/// An attempt to run a request at a backend server.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) backend: String,
    /// Incarnation of the agent that it was sent to; messages from others are ignored.
    pub(crate) incarnation: u64,
    /// Latest possible start.
    pub(crate) start_by: Duration,
    pub(crate) started: bool,
}

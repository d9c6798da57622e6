//! A request and its attempts, as the entry holds them.

use super::RequestId;
use crate::caller::{AnswerPart, Arrival};
use bn_claim::PendingClaim;
use std::time::Duration;

/// Where a request stands.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Its key is being claimed.
    Claiming(PendingClaim, Duration),
    /// Waits for a backend server with room.
    Queued,
    /// An attempt is under way.
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
    /// Backend servers tried.
    pub(crate) tried: Vec<String>,
    /// It may be run again after an attempt that may have run.
    pub(crate) repeatable: bool,
    /// An attempt may have run, or still may.
    pub(crate) may_have_run: bool,
    /// The head of the answer went to the caller.
    pub(crate) head_sent: bool,
    /// Status in that head.
    pub(crate) status: u32,
    /// Bytes of the answer that went to the caller.
    pub(crate) sent: u64,
}

impl Request {
    /// Hands a part of the answer to the caller's thread; `false`: the caller is
    /// gone, or so slow that its ring is full.
    pub(crate) fn send(&self, answer: AnswerPart) -> bool {
        self.arrival.answer.try_send(answer).is_ok()
    }

    /// The caller closed its connection.
    pub(crate) fn abandoned(&self) -> bool {
        self.arrival.answer.is_closed()
    }
}

/// One try at one backend server.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) backend: String,
    /// Incarnation of the agent it was sent to; only its messages count.
    pub(crate) incarnation: u64,
    /// No later start is possible.
    pub(crate) start_by: Duration,
    pub(crate) started: bool,
}

//! What is known of one attribute of the requests that were running where backend servers terminated.

use crate::{Digest, Kind};
use indexmap::IndexSet;

/// One start of a backend server: its id, and its start time in Unix milliseconds (0 if it does not
/// report one).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Start {
    /// Id of the backend server.
    pub id: String,
    /// Start time, which orders its starts.
    pub start_time: u64,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CaseStatus {
    /// It is sent like any other.
    Free,
    /// It was running where several backend servers terminated: one trial at a time in the whole
    /// fleet, and no automatic retry.
    Suspect,
    /// It is no longer sent.
    Refused,
}

/// Terminations under a request from which on it is a suspect. One is coincidence: all requests
/// that a backend server runs are there when it terminates. Two are coincidence now and then (a
/// dozen requests of some thousand, where backend servers terminate every few seconds), so a
/// suspect still gets a trial.
const SUSPECT_AFTER: usize = 2;
/// Terminations from which on a shared attribute can be refused. Its trial runs beside other
/// requests, so one of them may be the cause of a single termination.
const REFUSE_SHARED_AFTER: usize = 3;
/// Terminations that are kept of a case: more add no information.
const MAX_TERMINATIONS: usize = 8;

/// The case of one attribute. Any two processes' views of it merge to the same, in whatever order and
/// however often they are received: the later round wins, and within a round the views are united.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Case {
    /// How often the case was closed, by a response or by an operator, or its refusal ended.
    pub round: u64,
    /// Starts of backend servers that terminated while they ran a request with the attribute.
    pub terminations: IndexSet<Start>,
    /// One of them terminated during a trial of the attribute.
    pub refused: bool,
    /// Those that terminated during a trial of this attribute alone.
    pub tried: IndexSet<Start>,
    /// If there are none, other attributes that were in all its trials: any of them may be the cause
    /// instead, so only requests that have all of them are refused.
    pub partners: IndexSet<Digest>,
}

impl Case {
    /// What may be done with a request, if this is its own case.
    pub fn status(&self) -> CaseStatus {
        self.status_as(Kind::Request)
    }

    /// What may be done with requests that have an attribute of this kind.
    pub fn status_as(&self, kind: Kind) -> CaseStatus {
        let terminations = self.terminations.len();
        let refusable = !kind.is_shared() || terminations >= REFUSE_SHARED_AFTER;
        match (self.refused && refusable, terminations >= SUSPECT_AFTER) {
            (true, _) => CaseStatus::Refused,
            (false, true) => CaseStatus::Suspect,
            (false, false) => CaseStatus::Free,
        }
    }

    /// Whether there is evidence against the attribute.
    pub fn is_open(&self) -> bool {
        self.refused || !self.terminations.is_empty()
    }

    /// Adds a termination under the attribute; `sole_trial` if that was its only trial in the fleet.
    pub(crate) fn add(&mut self, start: Start, sole_trial: bool) {
        if self.terminations.len() < MAX_TERMINATIONS {
            self.terminations.insert(start.clone());
        }
        if sole_trial {
            self.add_tried(start);
        }
    }

    fn add_tried(&mut self, start: Start) {
        if self.tried.len() < MAX_TERMINATIONS {
            self.tried.insert(start);
        }
        self.refuse(&IndexSet::new());
    }

    /// Refuses requests with the attribute and all of `partners`, which were in its trial.
    pub(crate) fn refuse(&mut self, partners: &IndexSet<Digest>) {
        if self.refused {
            self.partners.retain(|d| partners.contains(d));
        } else {
            self.refused = true;
            self.partners.clone_from(partners);
        }
    }

    /// Closes the case: the evidence so far is void, also if it is received again later.
    pub(crate) fn close(&mut self) {
        *self = Case {
            round: self.round + 1,
            ..Case::default()
        };
    }

    /// Ends a refusal: the attribute is a suspect again, and its next trial decides.
    pub(crate) fn parole(&mut self) {
        self.round += 1;
        self.refused = false;
        self.tried.clear();
        self.partners.clear();
    }

    /// Merges another process's view of the same attribute.
    pub(crate) fn merge(&mut self, other: &Case) {
        if other.round > self.round {
            self.clone_from(other);
        } else if other.round == self.round {
            for start in &other.terminations {
                self.add(start.clone(), false);
            }
            for start in &other.tried {
                self.add_tried(start.clone());
            }
            if other.refused {
                self.refuse(&other.partners);
            }
        }
    }
}

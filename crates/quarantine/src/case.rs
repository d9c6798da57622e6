//! What is known of one request that was running where backend servers terminated.

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
/// Terminations that are kept of a case: more add no information.
const MAX_TERMINATIONS: usize = 8;

/// The case of one request. Any two processes' views of it merge to the same, in whatever order and
/// however often they are received: the later round wins, and within a round the views are united.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Case {
    /// How often the case was closed, by a complete response or by an operator.
    pub round: u64,
    /// Starts of backend servers that terminated while they ran the request.
    pub terminations: IndexSet<Start>,
    /// One of them terminated during a trial of the request.
    pub refused: bool,
}

impl Case {
    /// What may be done with the request.
    pub fn status(&self) -> CaseStatus {
        match (self.refused, self.terminations.len() >= SUSPECT_AFTER) {
            (true, _) => CaseStatus::Refused,
            (false, true) => CaseStatus::Suspect,
            (false, false) => CaseStatus::Free,
        }
    }

    /// Whether there is evidence against the request.
    pub fn is_open(&self) -> bool {
        self.refused || !self.terminations.is_empty()
    }

    /// Adds a termination under the request; `sole_trial` if that was its only trial in the fleet.
    pub(crate) fn add(&mut self, start: Start, sole_trial: bool) {
        if self.terminations.len() < MAX_TERMINATIONS {
            self.terminations.insert(start);
        }
        self.refused |= sole_trial;
    }

    /// Closes the case: the evidence so far is void, also if it is received again later.
    pub(crate) fn close(&mut self) {
        *self = Case {
            round: self.round + 1,
            ..Case::default()
        };
    }

    /// Merges another process's view of the same request.
    pub(crate) fn merge(&mut self, other: &Case) {
        if other.round > self.round {
            self.clone_from(other);
        } else if other.round == self.round {
            for start in &other.terminations {
                self.add(start.clone(), false);
            }
            self.refused |= other.refused;
        }
    }
}

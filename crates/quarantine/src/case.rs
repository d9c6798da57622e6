//! What is known of one request that was running where backend servers ended.

use indexmap::IndexSet;

/// One start of a backend server: its id, and the Unix milliseconds at which it began (0 where it
/// does not tell).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Start {
    /// Id of the backend server.
    pub id: String,
    /// Orders its starts.
    pub began: u64,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is sent like any other.
    Free,
    /// It ran where several backend servers ended: one try at a time in the whole fleet, and no
    /// second one by itself.
    Suspect,
    /// It is sent no more.
    Refused,
}

/// Ends under a request from which on it is suspected. One is chance: all requests that a backend
/// server ran are there when it ends. Two are chance now and then (a dozen requests of some
/// thousand, where backend servers end every few seconds), so a suspect still gets its try.
const SUSPECT_ENDS: usize = 2;
/// Ends that are kept of a case: more say nothing more.
const MOST_ENDS: usize = 8;

/// One request's case. Any two processes' views of it merge into the same, in whatever order and
/// however often they are told: the later round goes first, and within one everything adds up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Case {
    /// Counts how often the case was closed: by a whole answer, or by an operator.
    pub round: u64,
    /// Starts of backend servers that ended while the request ran there.
    pub ends: IndexSet<Start>,
    /// One of them ended under a try that the request had by itself.
    pub refused: bool,
}

impl Case {
    /// What may be done with the request.
    pub fn standing(&self) -> Standing {
        match (self.refused, self.ends.len() >= SUSPECT_ENDS) {
            (true, _) => Standing::Refused,
            (false, true) => Standing::Suspect,
            (false, false) => Standing::Free,
        }
    }

    /// Something is held against the request.
    pub fn is_open(&self) -> bool {
        self.refused || !self.ends.is_empty()
    }

    /// A backend server ended under it; `alone` says that it was the request's only try in the fleet.
    pub(crate) fn add(&mut self, start: Start, alone: bool) {
        if self.ends.len() < MOST_ENDS {
            self.ends.insert(start);
        }
        self.refused |= alone;
    }

    /// It is innocent: what was held against it is void, also where that is told again later.
    pub(crate) fn close(&mut self) {
        *self = Case {
            round: self.round + 1,
            ..Case::default()
        };
    }

    /// Takes in what another process knows of the same request.
    pub(crate) fn merge(&mut self, other: &Case) {
        if other.round > self.round {
            self.clone_from(other);
        } else if other.round == self.round {
            for end in &other.ends {
                self.add(end.clone(), false);
            }
            self.refused |= other.refused;
        }
    }
}

//! All cases that a process knows: coordinators own them, and gateways follow.

use crate::{Case, CaseStatus, Digest, Start};
use indexmap::IndexMap;
use std::time::Duration;

/// Maximum number of cases. A rack of 24 backend servers with 12 requests each is 288 at once.
const MAX_CASES: usize = 4096;
/// Maximum number of refused requests; beyond it the least recently updated one is dropped.
const MAX_REFUSED: usize = 256;
/// A case without an update for this long is closed: the callers of its runs are long gone, and a
/// request that arrives again after that starts a new case.
const OPEN_RETENTION: Duration = Duration::from_secs(600);
/// How long a refusal lasts. A build of the backend servers that survives the request may be
/// deployed by then; one that does not costs one more run.
const REFUSED_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Position in a table's sequence of changes.
pub type Cursor = u64;

/// A case as one process sends it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseUpdate {
    /// The request.
    pub digest: Digest,
    /// What is known of it.
    pub case: Case,
}

#[derive(Debug, Clone, Default)]
struct Row {
    case: Case,
    /// Its last update, on this process's clock.
    updated_at: Duration,
    /// Position of its last change.
    cursor: Cursor,
}

/// The cases of a process.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: IndexMap<Digest, Row>,
    cursor: Cursor,
}

impl Table {
    /// Whether no case is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Position of the latest change.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// What may be done with a request.
    pub fn status(&self, digest: Digest) -> CaseStatus {
        let row = self.rows.get(&digest);
        row.map_or(CaseStatus::Free, |r| r.case.status())
    }

    /// Whether there is evidence against a request.
    pub fn is_open(&self, digest: Digest) -> bool {
        self.rows.get(&digest).is_some_and(|r| r.case.is_open())
    }

    /// The case of a request.
    pub fn get(&self, digest: Digest) -> Option<&Case> {
        self.rows.get(&digest).map(|r| &r.case)
    }

    /// Cases that changed after `cursor`.
    pub fn since(&self, cursor: Cursor) -> Vec<CaseUpdate> {
        self.select(|r| r.cursor > cursor)
    }

    /// Cases of requests that are refused.
    pub fn refused(&self) -> Vec<CaseUpdate> {
        self.select(|r| r.case.refused)
    }

    fn select(&self, matches: impl Fn(&Row) -> bool) -> Vec<CaseUpdate> {
        let rows = self.rows.iter().filter(|(_, r)| matches(r));
        let updates = rows.map(|(digest, r)| CaseUpdate {
            digest: *digest,
            case: r.case.clone(),
        });
        updates.collect()
    }

    /// Adds a termination under `digest`; returns whether that changed the case.
    pub fn add_termination(
        &mut self,
        now: Duration,
        digest: Digest,
        start: &Start,
        sole_trial: bool,
    ) -> bool {
        self.change(now, digest, |case| case.add(start.clone(), sole_trial))
    }

    /// Closes the case of a request that got a complete response, or that an operator declares
    /// harmless. A request without an open case is left as it is.
    pub fn close(&mut self, now: Duration, digest: Digest) -> bool {
        self.is_open(digest) && self.change(now, digest, Case::close)
    }

    /// Merges another process's view of a case; returns whether that changed it.
    pub fn merge(&mut self, now: Duration, update: &CaseUpdate) -> bool {
        self.change(now, update.digest, |case| case.merge(&update.case))
    }

    fn change(&mut self, now: Duration, digest: Digest, apply: impl FnOnce(&mut Case)) -> bool {
        let row = self.rows.entry(digest).or_default();
        let before = row.case.clone();
        apply(&mut row.case);
        let changed = row.case != before;
        if changed {
            self.cursor += 1;
            row.updated_at = now;
            row.cursor = self.cursor;
        }
        self.evict();
        changed
    }

    /// Drops the oldest case if there are too many. Refused requests go last: learning them again
    /// would cost backend servers.
    fn evict(&mut self) {
        let refused = self.rows.values().filter(|r| r.case.refused).count();
        if refused > MAX_REFUSED {
            self.drop_oldest(|r| r.case.refused);
        } else if self.rows.len() > MAX_CASES {
            self.drop_oldest(|r| !r.case.refused);
        }
    }

    fn drop_oldest(&mut self, among: impl Fn(&Row) -> bool) {
        let rows = self.rows.iter().filter(|(_, r)| among(r));
        let oldest = rows.min_by_key(|(_, r)| r.updated_at).map(|(d, _)| *d);
        if let Some(digest) = oldest {
            self.rows.swap_remove(&digest);
        }
    }

    /// Drops cases past their retention; returns how many.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.rows.len();
        self.rows.retain(|_, r| {
            let retention = if r.case.refused {
                REFUSED_RETENTION
            } else {
                OPEN_RETENTION
            };
            now.saturating_sub(r.updated_at) < retention
        });
        before - self.rows.len()
    }
}

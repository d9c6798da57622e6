//! All cases that a process knows: what coordinators keep, and gateways follow.

use crate::{Case, Digest, Standing, Start};
use indexmap::IndexMap;
use std::time::Duration;

/// Cases kept at the most. A rack of 24 backend servers with 12 requests each is 288 at once.
const MOST: usize = 4096;
/// Requests that are refused at the most; then the one whose last news is oldest is let go.
const MOST_REFUSED: usize = 256;
/// A case without news for this long is closed: the callers of its tries are long gone, and a request
/// that comes again after that begins anew.
const OPEN: Duration = Duration::from_secs(600);
/// A refusal lasts for so long. A build of the backend servers that bears the request may be there
/// by then; one that does not costs one more try.
const REFUSED: Duration = Duration::from_secs(24 * 3600);

/// Number of a change of a table.
pub type Turn = u64;

/// A case as one process tells it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The request.
    pub digest: Digest,
    /// What is known of it.
    pub case: Case,
}

#[derive(Debug, Clone, Default)]
struct Row {
    case: Case,
    /// Last news of it, on this process's clock.
    touched: Duration,
    /// Change at which it last became news.
    turn: Turn,
}

/// A process's cases.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: IndexMap<Digest, Row>,
    turn: Turn,
}

impl Table {
    /// No case is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Latest change.
    pub fn turn(&self) -> Turn {
        self.turn
    }

    /// What may be done with a request.
    pub fn standing(&self, digest: Digest) -> Standing {
        let row = self.rows.get(&digest);
        row.map_or(Standing::Free, |r| r.case.standing())
    }

    /// Something is held against a request.
    pub fn is_open(&self, digest: Digest) -> bool {
        self.rows.get(&digest).is_some_and(|r| r.case.is_open())
    }

    /// The case of a request.
    pub fn get(&self, digest: Digest) -> Option<&Case> {
        self.rows.get(&digest).map(|r| &r.case)
    }

    /// Cases that changed after `turn`.
    pub fn since(&self, turn: Turn) -> Vec<Told> {
        self.told(|r| r.turn > turn)
    }

    /// Cases of requests that are refused.
    pub fn refused(&self) -> Vec<Told> {
        self.told(|r| r.case.refused)
    }

    fn told(&self, which: impl Fn(&Row) -> bool) -> Vec<Told> {
        let rows = self.rows.iter().filter(|(_, r)| which(r));
        let told = rows.map(|(digest, r)| Told {
            digest: *digest,
            case: r.case.clone(),
        });
        told.collect()
    }

    /// A backend server ended under `digest`; whether the case is another now.
    pub fn ended(&mut self, now: Duration, digest: Digest, start: &Start, alone: bool) -> bool {
        self.change(now, digest, |case| case.add(start.clone(), alone))
    }

    /// The request got a whole answer, or an operator vouches for it. A case that nobody opened
    /// needs no closing.
    pub fn close(&mut self, now: Duration, digest: Digest) -> bool {
        self.is_open(digest) && self.change(now, digest, Case::close)
    }

    /// Another process's view of a case; whether it brought anything.
    pub fn merge(&mut self, now: Duration, told: &Told) -> bool {
        self.change(now, told.digest, |case| case.merge(&told.case))
    }

    fn change(&mut self, now: Duration, digest: Digest, apply: impl FnOnce(&mut Case)) -> bool {
        let row = self.rows.entry(digest).or_default();
        let before = row.case.clone();
        apply(&mut row.case);
        let changed = row.case != before;
        if changed {
            self.turn += 1;
            row.touched = now;
            row.turn = self.turn;
        }
        self.bound();
        changed
    }

    /// Lets the oldest go where there are too many. What is refused goes last: it would cost backend
    /// servers to learn it again.
    fn bound(&mut self) {
        let refused = self.rows.values().filter(|r| r.case.refused).count();
        if refused > MOST_REFUSED {
            self.drop_oldest(|r| r.case.refused);
        } else if self.rows.len() > MOST {
            self.drop_oldest(|r| !r.case.refused);
        }
    }

    fn drop_oldest(&mut self, among: impl Fn(&Row) -> bool) {
        let rows = self.rows.iter().filter(|(_, r)| among(r));
        let oldest = rows.min_by_key(|(_, r)| r.touched).map(|(d, _)| *d);
        if let Some(digest) = oldest {
            self.rows.swap_remove(&digest);
        }
    }

    /// Drops what is too old to matter; returns how many.
    pub fn forget(&mut self, now: Duration) -> usize {
        let before = self.rows.len();
        self.rows.retain(|_, r| {
            let kept = if r.case.refused { REFUSED } else { OPEN };
            now.saturating_sub(r.touched) < kept
        });
        before - self.rows.len()
    }
}

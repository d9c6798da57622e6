//! All cases that a process knows: coordinators own them, and gateways follow.

use crate::{Case, CaseStatus, Digest, Kind, Start};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Maximum number of cases. A rack of 24 backend servers with 12 requests each is 288 at once.
const MAX_CASES: usize = 4096;
/// Maximum number of refused attributes; beyond it the least recently updated one is dropped.
const MAX_REFUSED: usize = 256;
/// A case without an update for this long is closed: the callers of its runs are long gone, and a
/// request that arrives again after that starts a new case.
const OPEN_RETENTION: Duration = Duration::from_secs(600);
/// How long a refusal lasts. A build of the backend servers that survives the request may be
/// deployed by then; one that does not costs one more run.
const REFUSED_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How long the refusal of a shared attribute lasts after three terminations: sound requests may
/// share it. Each further one multiplies it, up to `REFUSED_RETENTION`.
const SHARED_RETENTION: Duration = Duration::from_secs(600);
const SHARED_FACTOR: u32 = 4;
const SHARED_TERMINATIONS: usize = 3;
/// Time after a termination under a shared attribute within which no trial of it begins: runs that
/// were sent before it was a suspect may still terminate the backend server of the trial.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Position in a table's sequence of changes.
pub type Cursor = u64;

/// A case as one process sends it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CaseUpdate {
    /// The attribute.
    pub digest: Digest,
    /// What is known of it.
    pub case: Case,
}

#[derive(Debug, Clone, Default)]
struct Row {
    case: Case,
    /// Its last update, on this process's clock.
    updated_at: Duration,
    /// When its last termination became known.
    terminated_at: Duration,
    /// Position of its last change.
    cursor: Cursor,
}

/// What may be done with a request, by all its attributes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The attribute because of which it is refused.
    pub refused: Option<Digest>,
    /// Its attributes that are suspects.
    pub suspects: Vec<Digest>,
}

/// The cases of a process.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: IndexMap<Digest, Row>,
    cursor: Cursor,
    open: OpenKinds,
}

/// Whether there are open cases of requests, and of shared attributes.
#[derive(Debug, Clone, Copy, Default)]
struct OpenKinds {
    requests: bool,
    shared: bool,
}

impl Table {
    /// Position of the latest change.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Whether a case of some request is open.
    pub fn has_requests(&self) -> bool {
        self.open.requests
    }

    /// Whether a case of some shared attribute is open.
    pub fn has_shared(&self) -> bool {
        self.open.shared
    }

    /// What may be done with requests of whose attributes only this one is known.
    pub fn status(&self, digest: Digest) -> CaseStatus {
        self.status_with(digest, &[])
    }

    /// What may be done because of one attribute with requests that have `attributes`.
    fn status_with(&self, digest: Digest, attributes: &[Digest]) -> CaseStatus {
        let Some(row) = self.rows.get(&digest) else {
            return CaseStatus::Free;
        };
        let status = row.case.status_as(Kind::of(digest));
        if status != CaseStatus::Refused {
            return status;
        }
        let partners = self.partners(digest, &row.case);
        match partners.iter().all(|d| attributes.contains(d)) {
            true => CaseStatus::Refused,
            false => CaseStatus::Suspect,
        }
    }

    /// Attributes any of which may be the cause instead of this refused one: those that were tried
    /// together with it, and those that were on trial wherever it was.
    pub fn partners(&self, digest: Digest, case: &Case) -> IndexSet<Digest> {
        let may_be_cause = |d: &Digest| self.rows.get(d).is_some_and(|r| r.case.refused);
        if case.tried.is_empty() {
            return case.partners.iter().copied().filter(may_be_cause).collect();
        }
        let is_other = |d: &Digest| *d != digest && Kind::of(*d).is_shared();
        let others = self.rows.iter().filter(|(d, _)| is_other(d));
        let everywhere = others.filter(|(_, r)| case.tried.is_subset(&r.case.tried));
        everywhere.map(|(d, _)| *d).collect()
    }

    /// Whether a trial of these may begin: those that are shared have had no termination just now.
    pub fn is_settled(&self, now: Duration, digests: &[Digest]) -> bool {
        let shared = digests.iter().filter(|d| Kind::of(**d).is_shared());
        let mut rows = shared.filter_map(|d| self.rows.get(d));
        rows.all(|r| now >= r.terminated_at + SETTLE_TIME)
    }

    /// Whether each of these attributes was on trial where a backend server terminated.
    pub fn all_tried(&self, digests: &[Digest]) -> bool {
        let is_tried = |d: &Digest| self.rows.get(d).is_some_and(|r| r.case.refused);
        digests.iter().all(is_tried)
    }

    /// What may be done with a request that has these attributes.
    pub fn verdict(&self, attributes: impl IntoIterator<Item = Digest>) -> Verdict {
        let attributes: Vec<Digest> = attributes.into_iter().collect();
        let mut verdict = Verdict::default();
        for digest in attributes.iter().copied() {
            match self.status_with(digest, &attributes) {
                CaseStatus::Free => {}
                CaseStatus::Suspect => verdict.suspects.push(digest),
                CaseStatus::Refused => verdict.refused = verdict.refused.or(Some(digest)),
            }
        }
        verdict
    }

    /// Whether there is evidence against an attribute.
    pub fn is_open(&self, digest: Digest) -> bool {
        self.rows.get(&digest).is_some_and(|r| r.case.is_open())
    }

    /// The case of an attribute.
    pub fn get(&self, digest: Digest) -> Option<&Case> {
        self.rows.get(&digest).map(|r| &r.case)
    }

    /// Cases that changed after `cursor`.
    pub fn since(&self, cursor: Cursor) -> Vec<CaseUpdate> {
        self.select(|r| r.cursor > cursor)
    }

    /// Cases of attributes because of which requests are refused.
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

    /// A backend server terminated during a trial of a request with all of these attributes.
    pub fn refuse_jointly(&mut self, now: Duration, digests: &[Digest]) {
        for digest in digests {
            let partners = digests.iter().filter(|d| *d != digest).copied().collect();
            self.change(now, *digest, |case| case.refuse(&partners));
        }
    }

    /// Closes the case of an attribute that was shown to be harmless. One without an open case is left
    /// as it is.
    pub fn close(&mut self, now: Duration, digest: Digest) -> bool {
        self.is_open(digest) && self.change(now, digest, Case::close)
    }

    /// Merges another process's view of a case; returns whether that changed it.
    pub fn merge(&mut self, now: Duration, update: &CaseUpdate) -> bool {
        self.change(now, update.digest, |case| case.merge(&update.case))
    }

    /// An operator declares an attribute harmless. Those that were on trial with it are tried again,
    /// too: otherwise the blame would pass to them.
    pub fn pardon(&mut self, now: Duration, digest: Digest) -> Vec<Digest> {
        let partners = self.get(digest).map(|c| self.partners(digest, c));
        let mut closed = partners.unwrap_or_default();
        closed.insert(digest);
        closed.retain(|d| self.close(now, *d));
        closed.into_iter().collect()
    }

    fn change(&mut self, now: Duration, digest: Digest, apply: impl FnOnce(&mut Case)) -> bool {
        let row = self.rows.entry(digest).or_default();
        let before = row.case.clone();
        apply(&mut row.case);
        let changed = row.case != before;
        if row.case.terminations.len() > before.terminations.len() {
            row.terminated_at = now;
        }
        if changed {
            self.cursor += 1;
            row.updated_at = now;
            row.cursor = self.cursor;
        }
        self.evict();
        if changed {
            self.note_open();
        }
        changed
    }

    fn note_open(&mut self) {
        let open = self.rows.iter().filter(|(_, r)| r.case.is_open());
        self.open = OpenKinds::default();
        for (digest, _) in open {
            match Kind::of(*digest).is_shared() {
                true => self.open.shared = true,
                false => self.open.requests = true,
            }
        }
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

    /// Drops cases past their retention, and ends refusals of shared attributes past theirs; returns
    /// how many.
    pub fn expire(&mut self, now: Duration) -> usize {
        let before = self.rows.len();
        let mut paroled = Vec::new();
        self.rows.retain(|digest, row| {
            let case = &row.case;
            let is_shared = Kind::of(*digest).is_shared();
            let retention = match (case.refused, is_shared) {
                (true, true) => shared_retention(case.terminations.len()),
                (true, false) => REFUSED_RETENTION,
                (false, _) => OPEN_RETENTION,
            };
            let is_due = now.saturating_sub(row.updated_at) >= retention;
            if is_due && case.refused && is_shared {
                paroled.push(*digest);
                return true;
            }
            !is_due
        });
        let dropped = before - self.rows.len();
        for digest in &paroled {
            self.change(now, *digest, Case::parole);
        }
        if dropped > 0 {
            self.note_open();
        }
        dropped + paroled.len()
    }
}

fn shared_retention(terminations: usize) -> Duration {
    let further = terminations.saturating_sub(SHARED_TERMINATIONS) as u32;
    let factor = SHARED_FACTOR.saturating_pow(further);
    SHARED_RETENTION
        .saturating_mul(factor)
        .min(REFUSED_RETENTION)
}

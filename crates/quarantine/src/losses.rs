//! Lost runs that a gateway remembers until it is clear whether their backend server terminated.
//!
//! A lost connection alone is no proof: connections are reset, responses break off, and a group
//! that lost one rank cuts off the streams of all others. Only a termination counts: nobody listens
//! at the address any more, or another start is there.

use crate::{Digest, Start};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a lost run waits for the report of a termination: a backend server has restarted and
/// been announced within some seconds, and one that went silent is noticed by then.
const RETENTION: Duration = Duration::from_secs(15);
/// An abandoned run (its caller left) counts if its backend server terminated within this time: the
/// run may have been started in the meantime.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of tracked starts: a rack of 24, and some that terminate besides.
const MAX_STARTS: usize = 256;
/// Maximum number of lost runs kept per start, each counted once for each of its attributes.
const MAX_RUNS: usize = 512;

/// A run without a complete response, by one attribute of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// The attribute.
    pub digest: Digest,
    /// It was the attribute's only trial in the fleet.
    pub sole_trial: bool,
    /// It was abandoned by this gateway, and did not break off at the backend server.
    pub abandoned: bool,
}

/// The termination of a backend server, and the requests that it was running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Termination {
    /// The start that terminated.
    pub start: Start,
    /// Attributes of the requests that were running there, and whether that was their only trial.
    pub runs: Vec<(Digest, bool)>,
}

/// What to do after a run was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing: a probe is under way, or not needed.
    Wait,
    /// Probe whether the address still accepts connections.
    Probe,
    /// Report the termination, which is already known.
    Report(Termination),
}

#[derive(Debug, Clone)]
struct Row {
    address: SocketAddr,
    runs: Vec<(Duration, LostRun)>,
    probing: bool,
    /// When its termination became known.
    terminated_at: Option<Duration>,
    updated_at: Duration,
}

/// Starts of backend servers at which runs were lost.
#[derive(Debug, Clone, Default)]
pub struct LossTracker(IndexMap<Start, Row>);

impl LossTracker {
    /// Records a lost run; returns what to do next.
    pub fn on_lost(
        &mut self,
        now: Duration,
        start: &Start,
        address: SocketAddr,
        lost: LostRun,
    ) -> NextStep {
        self.evict(now);
        let row = self.0.entry(start.clone()).or_insert_with(|| Row {
            address,
            runs: Vec::new(),
            probing: false,
            terminated_at: None,
            updated_at: now,
        });
        row.updated_at = now;
        if let Some(terminated_at) = row.terminated_at {
            let late = lost.abandoned && now > terminated_at + ABANDONED_WINDOW;
            return if late {
                NextStep::Wait
            } else {
                NextStep::Report(termination(start, &[lost]))
            };
        }
        if row.runs.len() < MAX_RUNS {
            row.runs.push((now, lost));
        }
        if lost.abandoned || row.probing {
            return NextStep::Wait;
        }
        row.probing = true;
        NextStep::Probe
    }

    /// The probe was accepted: only the connection had broken.
    pub fn on_reachable(&mut self, start: &Start) {
        if let Some(row) = self.0.get_mut(start) {
            row.probing = false;
            row.runs.retain(|(_, lost)| lost.abandoned);
        }
    }

    /// The probe got no answer: the backend server may be cut off. Its runs wait for other
    /// evidence.
    pub fn on_inconclusive(&mut self, start: &Start) {
        if let Some(row) = self.0.get_mut(start) {
            row.probing = false;
        }
    }

    /// Nobody listens there: it has terminated. Returned once; runs lost later are reported one by
    /// one.
    pub fn on_terminated(&mut self, now: Duration, start: &Start) -> Option<Termination> {
        let row = self.0.get_mut(start)?;
        if row.terminated_at.is_some() {
            return None;
        }
        row.terminated_at = Some(now);
        let runs = std::mem::take(&mut row.runs);
        // If no run broke off, the termination is known from elsewhere, maybe seconds late.
        let broke_at = runs.iter().find(|(_, l)| !l.abandoned).map(|(at, _)| *at);
        let at = broke_at.unwrap_or(now);
        let counts =
            |lost_at: &Duration, l: &LostRun| !l.abandoned || *lost_at + ABANDONED_WINDOW > at;
        let runs = runs.iter().filter(|(a, l)| counts(a, l));
        let runs: Vec<LostRun> = runs.map(|(_, l)| *l).collect();
        (!runs.is_empty()).then(|| termination(start, &runs))
    }

    /// A start of a backend server is announced: earlier starts with the same id, and other backend
    /// servers at its address, have terminated.
    pub fn on_start(
        &mut self,
        now: Duration,
        next: &Start,
        address: Option<SocketAddr>,
    ) -> Vec<Termination> {
        let superseded = |(start, row): &(&Start, &Row)| {
            let earlier = start.id == next.id && start.start_time < next.start_time;
            let replaced = start.id != next.id && Some(row.address) == address;
            row.terminated_at.is_none() && (earlier || replaced)
        };
        let rows = self.0.iter().filter(superseded);
        let starts: Vec<Start> = rows.map(|(s, _)| s.clone()).collect();
        starts
            .iter()
            .filter_map(|s| self.on_terminated(now, s))
            .collect()
    }

    fn evict(&mut self, now: Duration) {
        self.0
            .retain(|_, r| now.saturating_sub(r.updated_at) < RETENTION);
        while self.0.len() >= MAX_STARTS {
            self.0.shift_remove_index(0);
        }
    }
}

fn termination(start: &Start, runs: &[LostRun]) -> Termination {
    Termination {
        start: start.clone(),
        runs: runs.iter().map(|l| (l.digest, l.sole_trial)).collect(),
    }
}

//! Picking among the backend servers of a service.

use crate::backend::{Backend, Report};
use crate::prefix::Prefixes;
use crate::{BackendId, ServiceId};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// A backend server that has not reported for this long gets no new work.
const SILENCE: Duration = Duration::from_secs(3);
/// Random candidates compared.
const SAMPLE: usize = 3;
/// Affinity holds up to this pressure over the mean: bounded load.
const AFFINITY_SLACK: f64 = 0.25;
/// Requests a backend server is given, as a part of its capacity.
const ROOM: f64 = 1.0;
/// The same with what is kept for urgent requests, which go first in its batch.
const URGENT_ROOM: f64 = 1.25;

/// What a request needs.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    /// The service.
    pub service: ServiceId,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// Backend servers already tried.
    pub tried: Vec<BackendId>,
    /// Only one that can start an answer at an offset.
    pub resume: bool,
    /// It may use the room that is kept for urgent requests.
    pub urgent: bool,
}

/// How candidates are compared.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Candidates drawn; 0: all.
    pub sample: usize,
    /// Cost of a candidate; the least is taken.
    pub cost: fn(&Backend, Duration) -> f64,
    /// Follow prefix hints.
    pub affinity: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            sample: SAMPLE,
            cost: predicted,
            affinity: true,
        }
    }
}

impl Policy {
    /// The policy of that name; an unknown one is the project's own.
    pub fn named(name: &str) -> Policy {
        let baseline = |sample, cost| Policy {
            sample,
            cost,
            affinity: false,
        };
        match name {
            "random" => baseline(1, |_, _| 0.0),
            "round_robin" => baseline(0, |b, _| b.last_sent().as_secs_f64()),
            "least_reported" => baseline(0, least_reported),
            "two_choices" => baseline(2, least_reported),
            _ => Policy::default(),
        }
    }
}

/// Predicted wait: corrected load over the capacity that health allows.
pub fn predicted(backend: &Backend, now: Duration) -> f64 {
    (backend.pressure() + 1.0 / f64::from(backend.report.capacity.max(1)))
        / backend.health.share(now)
}

/// The report as it stands; a baseline.
pub fn least_reported(backend: &Backend, _: Duration) -> f64 {
    f64::from(backend.report.running + backend.report.queued)
        / f64::from(backend.report.capacity.max(1))
}

/// All backend servers that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Router {
    /// By id.
    pub backends: IndexMap<BackendId, Backend>,
    /// How it picks.
    pub policy: Policy,
    /// Prefix hints.
    pub prefixes: Prefixes,
    /// Drained by an operator.
    pub drained: IndexSet<BackendId>,
}

impl Router {
    /// Takes a report.
    pub fn report(&mut self, now: Duration, id: &str, report: Report) {
        let backend = self.backends.entry(id.into()).or_default();
        backend.report = report;
        backend.heard = now;
    }

    /// Picks a backend server; `random` gives numbers below its argument. `None`:
    /// none may take it now.
    pub fn pick(
        &self,
        now: Duration,
        ask: &Ask,
        mut random: impl FnMut(usize) -> usize,
    ) -> Option<BackendId> {
        let open: Vec<_> = self.open(now, ask).collect();
        if let Some(id) = self.affine(now, ask, &open) {
            return Some(id);
        }
        let drawn: Vec<_> = match self.policy.sample {
            n if n == 0 || n >= open.len() => open,
            n => {
                let draw = |_| open.get(random(open.len())).copied();
                (0..n).filter_map(draw).collect()
            }
        };
        let cost = |b: &Backend| (self.policy.cost)(b, now);
        let best = drawn
            .into_iter()
            .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)));
        best.map(|(id, _)| id.clone())
    }

    /// Backend servers of a service that may get new work at all.
    pub fn in_service<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a BackendId, &'a Backend)> {
        self.backends.iter().filter(move |(id, b)| {
            b.report.service == service
                && b.report.healthy
                && !b.report.leaving
                && !self.drained.contains(*id)
                && now < b.heard + SILENCE
                && !b.health.out(now)
        })
    }

    /// A request went there.
    pub fn sent(&mut self, now: Duration, id: &str, attempt: u64, prefix: Option<u64>) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.send(now, attempt);
        }
        if let Some(prefix) = prefix {
            self.prefixes.saw(now, prefix, id);
        }
    }

    /// A request ended there; `good` is `None` where that says nothing of its
    /// health. `true` where this ejects it.
    pub fn ended(&mut self, now: Duration, id: &str, attempt: u64, good: Option<bool>) -> bool {
        let Some(backend) = self.backends.get_mut(id) else {
            return false;
        };
        backend.end(now, attempt);
        match good {
            Some(true) => {
                backend.health.succeed(now);
                false
            }
            Some(false) => backend.health.fail(now),
            None => false,
        }
    }

    /// A backend server's agent tells how many requests run there now: fresher than
    /// the last report, which may be a second old.
    pub fn running(&mut self, now: Duration, id: &str, running: u32) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.report.running = running;
            backend.report.as_of = now;
        }
    }

    /// Drops what has been silent for so long that it cannot come back unnoticed.
    pub fn forget(&mut self, now: Duration, after: Duration) -> Vec<BackendId> {
        let old = |b: &Backend| now > b.heard + after && b.mine() == 0;
        let gone: Vec<_> = self
            .backends
            .iter()
            .filter(|(_, b)| old(b))
            .map(|(id, _)| id.clone())
            .collect();
        self.backends.retain(|_, b| !old(b));
        gone
    }

    fn open<'a>(
        &'a self,
        now: Duration,
        ask: &'a Ask,
    ) -> impl Iterator<Item = (&'a BackendId, &'a Backend)> {
        let room = if ask.urgent { URGENT_ROOM } else { ROOM };
        self.in_service(now, &ask.service).filter(move |(id, b)| {
            !ask.tried.contains(*id)
                && (b.report.resumes || !ask.resume)
                && b.pressure() < room * b.health.share(now)
        })
    }

    fn affine(
        &self,
        now: Duration,
        ask: &Ask,
        open: &[(&BackendId, &Backend)],
    ) -> Option<BackendId> {
        let holder = self
            .prefixes
            .holder(now, ask.prefix.filter(|_| self.policy.affinity)?)?;
        let (id, backend) = open.iter().find(|(id, _)| *id == holder)?;
        let mean = open.iter().map(|(_, b)| b.pressure()).sum::<f64>() / open.len() as f64;
        (backend.pressure() <= mean + AFFINITY_SLACK).then(|| (*id).clone())
    }
}

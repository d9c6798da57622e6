//! Selection among the backend servers of a service.

use crate::backend::{Backend, Report};
use crate::prefix::PrefixIndex;
use crate::{BackendId, ServiceId};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// A backend server without a report for this long gets no new work.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of random candidates compared.
const DEFAULT_SAMPLE: usize = 3;
/// Affinity applies up to this utilization above the mean: bounded load.
const AFFINITY_SLACK: f64 = 0.25;
/// Requests assigned to a backend server, as a fraction of its capacity.
const FILL_LIMIT: f64 = 1.0;
/// The same including what is reserved for urgent requests, which go first in its batch.
const URGENT_FILL_LIMIT: f64 = 1.25;

/// Requirements of a request.
#[derive(Debug, Clone, Default)]
pub struct Requirements {
    /// Service.
    pub service: ServiceId,
    /// Hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// Backend servers already tried.
    pub tried: Vec<BackendId>,
    /// Only a backend server that can start an answer at an offset.
    pub resume: bool,
    /// May use the capacity reserved for urgent requests.
    pub urgent: bool,
}

/// How candidates are compared.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Number of candidates drawn; 0: all.
    pub sample: usize,
    /// Cost of a candidate; the lowest is picked.
    pub cost: fn(&Backend, Duration) -> f64,
    /// Whether to follow prefix hints.
    pub affinity: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            sample: DEFAULT_SAMPLE,
            cost: predicted,
            affinity: true,
        }
    }
}

impl Policy {
    /// Returns the policy of that name; for an unknown name, the default.
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
    (backend.utilization() + 1.0 / f64::from(backend.report.capacity.max(1)))
        / backend.health.capacity_share(now)
}

/// Load as last reported; a baseline.
pub fn least_reported(backend: &Backend, _: Duration) -> f64 {
    f64::from(backend.report.running + backend.report.queued)
        / f64::from(backend.report.capacity.max(1))
}

/// All backend servers known to an entry.
#[derive(Debug, Clone, Default)]
pub struct Router {
    /// By id.
    pub backends: IndexMap<BackendId, Backend>,
    /// Selection policy.
    pub policy: Policy,
    /// Prefix hints.
    pub prefixes: PrefixIndex,
    /// Drained by an operator.
    pub drained: IndexSet<BackendId>,
}

impl Router {
    /// Stores a report.
    pub fn update_report(&mut self, now: Duration, id: &str, report: Report) {
        let backend = self.backends.entry(id.into()).or_default();
        backend.report = report;
        backend.reported_at = now;
    }

    /// Picks a backend server; `random` returns numbers below its argument. `None`: no backend
    /// server may take the request now.
    pub fn pick(
        &self,
        now: Duration,
        needs: &Requirements,
        mut random: impl FnMut(usize) -> usize,
    ) -> Option<BackendId> {
        let candidates: Vec<_> = self.eligible(now, needs).collect();
        if let Some(id) = self.affinity_match(now, needs, &candidates) {
            return Some(id);
        }
        let drawn: Vec<_> = match self.policy.sample {
            n if n == 0 || n >= candidates.len() => candidates,
            n => {
                let draw = |_| candidates.get(random(candidates.len())).copied();
                (0..n).filter_map(draw).collect()
            }
        };
        let cost = |b: &Backend| (self.policy.cost)(b, now);
        let best = drawn
            .into_iter()
            .min_by(|a, b| cost(a.1).total_cmp(&cost(b.1)));
        best.map(|(id, _)| id.clone())
    }

    /// Backend servers of a service that are eligible for new work.
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
                && now < b.reported_at + REPORT_TIMEOUT
                && !b.health.is_ejected(now)
        })
    }

    /// Records a request sent there.
    pub fn record_sent(&mut self, now: Duration, id: &str, attempt: u64, prefix: Option<u64>) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.record_sent(now, attempt);
        }
        if let Some(prefix) = prefix {
            self.prefixes.record(now, prefix, id);
        }
    }

    /// Records the end of a request; `success` is `None` if its outcome says nothing about health.
    /// Returns `true` if this ejects the backend server.
    pub fn record_end(
        &mut self,
        now: Duration,
        id: &str,
        attempt: u64,
        success: Option<bool>,
    ) -> bool {
        let Some(backend) = self.backends.get_mut(id) else {
            return false;
        };
        backend.record_end(now, attempt);
        match success {
            Some(true) => {
                backend.health.record_success(now);
                false
            }
            Some(false) => backend.health.record_failure(now),
            None => false,
        }
    }

    /// Updates the number of requests running there, as sent by the agent: more recent than the
    /// last report, which may be a second old.
    pub fn update_running(&mut self, now: Duration, id: &str, running: u32) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.report.running = running;
            backend.report.as_of = now;
        }
    }

    /// Removes backend servers that have been silent for so long that they cannot return unnoticed.
    pub fn remove_silent(&mut self, now: Duration, after: Duration) -> Vec<BackendId> {
        let old = |b: &Backend| now > b.reported_at + after && b.in_flight() == 0;
        let gone: Vec<_> = self
            .backends
            .iter()
            .filter(|(_, b)| old(b))
            .map(|(id, _)| id.clone())
            .collect();
        self.backends.retain(|_, b| !old(b));
        gone
    }

    fn eligible<'a>(
        &'a self,
        now: Duration,
        needs: &'a Requirements,
    ) -> impl Iterator<Item = (&'a BackendId, &'a Backend)> {
        let limit = if needs.urgent {
            URGENT_FILL_LIMIT
        } else {
            FILL_LIMIT
        };
        self.in_service(now, &needs.service).filter(move |(id, b)| {
            !needs.tried.contains(*id)
                && (b.report.resumes || !needs.resume)
                && b.utilization() < limit * b.health.capacity_share(now)
        })
    }

    fn affinity_match(
        &self,
        now: Duration,
        needs: &Requirements,
        candidates: &[(&BackendId, &Backend)],
    ) -> Option<BackendId> {
        let holder = self
            .prefixes
            .holder(now, needs.prefix.filter(|_| self.policy.affinity)?)?;
        let (id, backend) = candidates.iter().find(|(id, _)| *id == holder)?;
        let mean =
            candidates.iter().map(|(_, b)| b.utilization()).sum::<f64>() / candidates.len() as f64;
        (backend.utilization() <= mean + AFFINITY_SLACK).then(|| (*id).clone())
    }
}

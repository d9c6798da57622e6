//! Cold periods and slow starts of backend servers, as one gateway assumes them or learns of them.

use crate::fleet::Fleet;
use crate::server::{Server, ServerId, StartTime};
use bn_backpressure::{ColdReport, ColdSource};
use indexmap::IndexMap;
use std::time::Duration;

/// Share of its capacity that a backend server is given right after its start.
const INITIAL_SHARE: f64 = 0.5;
/// Start times are by the server's clock, which may differ from the gateway's by this much.
const CLOCK_ERROR: Duration = Duration::from_secs(5);

/// Length of the cold periods of a service's backend servers, and the request rate during them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// Time for which they are assumed cold.
    pub time: Duration,
    /// Requests per second that all gateways together may send to a cold one.
    pub bound: f64,
}

/// A registration, as far as cold periods are concerned.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdRegistration {
    /// Announced time left, counted from now; `None` if the registration announces nothing new.
    pub left: Option<Duration>,
    /// The gateway's wall clock in Unix milliseconds.
    pub wall_ms: u64,
}

/// A change of what a gateway knows of a cold period.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    /// Id of the backend server.
    pub id: ServerId,
    /// Its start time.
    pub start_time: StartTime,
    /// Time left.
    pub left: Duration,
    /// Where it is known from.
    pub source: ColdSource,
}

/// Cold periods and slow start of one backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdRecord {
    /// When this gateway learnt of its start.
    learnt_at: Option<Duration>,
    /// Announced end, for terms that become known later.
    announced_until: Option<Duration>,
    /// Start and length of its slow start.
    slow_start: Option<(Duration, Duration)>,
    /// Set while it refuses connections: a random number in `0..1` for the schedule that applies
    /// from the next connection on.
    refused: Option<f64>,
}

impl ColdRecord {
    /// Share of its capacity that it is given now.
    pub(crate) fn capacity_share(&self, now: Duration) -> f64 {
        let Some((start, time)) = self.slow_start else {
            return 1.0;
        };
        let passed = now.saturating_sub(start).as_secs_f64() / time.as_secs_f64();
        INITIAL_SHARE + (1.0 - INITIAL_SHARE) * passed.min(1.0)
    }
}

impl Fleet {
    /// Sets the terms of the services whose backend servers may be cold.
    pub fn set_cold_terms(
        &mut self,
        now: Duration,
        terms: IndexMap<String, ColdTerms>,
        mut draw: impl FnMut() -> f64,
    ) {
        let before = std::mem::replace(&mut self.cold_terms, terms);
        for id in self.servers.keys().cloned().collect::<Vec<_>>() {
            let Some(server) = self.servers.get_mut(&id) else {
                continue;
            };
            let terms = self.cold_terms.get(&server.service);
            let bound = terms.map(|t| t.bound);
            let draw = draw();
            server
                .backpressure
                .set_cold_bound(now, &id, bound, &self.gateways, draw);
            let learnt_at = server.cold.learnt_at;
            let new = terms.filter(|_| !before.contains_key(&server.service));
            // A registration may arrive before the first document.
            if let (Some(terms), Some(learnt_at)) = (new, learnt_at) {
                let announced = server.cold.announced_until;
                let (until, source) = match announced {
                    Some(until) => (until, ColdSource::Announced),
                    None => (learnt_at + terms.time, ColdSource::Assumed),
                };
                let left = until.saturating_sub(now);
                self.report_cold(now, &id, left, source, draw);
            }
        }
    }

    /// Applies a registration to a backend server that was added or updated before.
    pub fn on_cold_registration(
        &mut self,
        now: Duration,
        id: &str,
        registration: ColdRegistration,
        draw: f64,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let terms = self.cold_terms.get(&server.service).copied();
        let first = server.cold.learnt_at.is_none();
        server.cold.learnt_at.get_or_insert(now);
        if let Some(left) = registration.left {
            server.cold.announced_until = Some(now + left);
        }
        let Some(terms) = terms else {
            return;
        };
        let (key, set) = (server.id.clone(), &self.gateways);
        let bound = Some(terms.bound);
        server
            .backpressure
            .set_cold_bound(now, &key, bound, set, draw);
        if first && is_recent(now, server.start_time, registration.wall_ms, terms.time) {
            server.cold.slow_start = Some((now, terms.time));
        }
        match registration.left {
            Some(left) => self.report_cold(now, id, left, ColdSource::Announced, draw),
            None if first => self.report_cold(now, id, terms.time, ColdSource::Assumed, draw),
            None => {}
        }
    }

    /// Assumes that all backend servers of a failure domain are cold for as long as after a start:
    /// their evacuation has ended.
    pub fn assume_cold(&mut self, now: Duration, domain: &str, mut draw: impl FnMut() -> f64) {
        let members = self.servers.values().filter(|s| s.domain == domain);
        let ids: Vec<ServerId> = members.map(|s| s.id.clone()).collect();
        for id in ids {
            self.assume_server_cold(now, &id, draw());
        }
    }

    /// Records that a backend server refused a connection. It is assumed cold from its return on.
    pub fn record_refused(&mut self, now: Duration, id: &str, draw: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cold.refused = Some(draw);
            self.assume_server_cold(now, id, draw);
        }
    }

    /// Records that a connection to a backend server exists.
    pub(crate) fn record_connected(&mut self, now: Duration, id: &str) {
        let server = self.servers.get_mut(id);
        if let Some(draw) = server.and_then(|s| s.cold.refused.take()) {
            self.assume_server_cold(now, id, draw);
        }
    }

    /// Records a change of a cold period that an answer caused.
    pub(crate) fn record_cold_change(&mut self, now: Duration, id: &str) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let until = server
            .backpressure
            .cold(now)
            .map_or(now, |(until, _)| until);
        self.cold_changes.push(ColdChange {
            id: server.id.clone(),
            start_time: server.start_time,
            left: until.saturating_sub(now),
            source: server.backpressure.cold_source(),
        });
    }

    /// Changes since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.cold_changes)
    }

    /// Number of backend servers that are cold.
    pub fn cold_count(&self, now: Duration) -> usize {
        let cold = |s: &&Server| s.backpressure.cold(now).is_some();
        self.servers.values().filter(cold).count()
    }

    fn assume_server_cold(&mut self, now: Duration, id: &str, draw: f64) {
        let service = self.servers.get(id).map(|s| &s.service);
        let terms = service.and_then(|s| self.cold_terms.get(s));
        if let Some(time) = terms.map(|t| t.time) {
            self.report_cold(now, id, time, ColdSource::Assumed, draw);
        }
    }

    fn report_cold(
        &mut self,
        now: Duration,
        id: &str,
        left: Duration,
        source: ColdSource,
        draw: f64,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let report = ColdReport {
            left,
            source,
            sent_at: now,
            authentic: true,
        };
        let (key, set) = (&server.id, &self.gateways);
        let changed = server
            .backpressure
            .on_cold_report(now, key, &report, set, draw);
        if changed {
            self.record_cold_change(now, id);
        }
    }
}

/// Whether a start that this gateway has just learnt of is recent: otherwise it may have learnt of
/// it late, since it has just started itself.
fn is_recent(now: Duration, start_time: StartTime, wall_ms: u64, time: Duration) -> bool {
    let age = Duration::from_millis(wall_ms.abs_diff(start_time));
    let known = start_time > 0 && wall_ms > 0;
    now > time || (known && age < time + CLOCK_ERROR)
}

//! Backpressure signalled by a gateway's backend servers: recording it, checking it before a
//! request is sent, and what to report to the coordinators.

use crate::fleet::Fleet;
use crate::server::{Server, StartTime};
use bn_backpressure::{Feedback, GatewaySet, Limit, ServerLimit};
use std::time::Duration;

/// A limit is reported again at this interval until the coordinators send it back.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

impl Fleet {
    /// Records an answer of a start of a backend server. Returns how long the previous directives
    /// held if this answer's differ. Answers of an earlier start are ignored.
    pub fn record_answer(
        &mut self,
        now: Duration,
        id: &str,
        start_time: StartTime,
        feedback: &Feedback,
        draw: f64,
    ) -> Option<Duration> {
        let server = self.servers.get_mut(id);
        let server = server.filter(|s| s.start_time == start_time)?;
        let before = server.backpressure.limit();
        let cold_before = server.backpressure.cold_changes();
        let prior =
            server
                .backpressure
                .on_response(now, &server.id, feedback, &self.gateways, draw);
        server.leaving |= server.backpressure.is_leaving();
        let cold_changed = server.backpressure.cold_changes() != cold_before;
        if server.backpressure.limit() != before {
            self.pending_limits.insert(server.id.clone(), None);
        }
        if cold_changed {
            self.record_cold_change(now, id);
        }
        prior
    }

    /// Merges a limit sent by coordinators for the known start; `true` if that changes it.
    pub fn merge_limit(&mut self, now: Duration, id: &str, limit: Limit, draw: f64) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let changed = server
            .backpressure
            .merge_limit(now, &server.id, limit, &self.gateways, draw);
        match server.backpressure.is_known_at(limit.version) {
            true => {
                self.pending_limits.swap_remove(id);
            }
            // The coordinators lost it, for instance because all of them restarted.
            false => {
                self.pending_limits.entry(server.id.clone()).or_insert(None);
            }
        }
        changed
    }

    /// Sets the number of gateways that coordinators know.
    pub fn set_running(&mut self, running: u32) {
        self.gateways.running = running;
    }

    /// Sets the gateways that callers are sent to.
    pub fn set_gateways(
        &mut self,
        now: Duration,
        mut gateways: GatewaySet,
        mut draw: impl FnMut() -> f64,
    ) {
        let is_listed = |set: &GatewaySet| set.own.is_some_and(|own| set.gateways.contains(&own));
        gateways.listed_at = match is_listed(&self.gateways) {
            true => self.gateways.listed_at,
            false => now,
        };
        gateways.running = self.gateways.running;
        self.gateways = gateways;
        for server in self.servers.values_mut() {
            server
                .backpressure
                .reschedule(now, &server.id, &self.gateways, draw());
        }
    }

    /// Whether a request may still be sent to the backend server picked for it earlier. While it
    /// waited for a connection, another answer may have changed that.
    pub fn may_send(&mut self, now: Duration, picked: &Server) -> bool {
        self.record_connected(now, &picked.id);
        let server = self.servers.get_mut(&picked.id);
        let evacuated = &self.evacuated;
        let current = |s: &&mut Server| s.start_time == picked.start_time && !s.leaving;
        let Some(server) = server.filter(|s| current(s) && !evacuated.contains(&s.domain)) else {
            return false;
        };
        if server.backpressure.changes() == picked.backpressure.changes() {
            return server.backpressure.confirm_send(now);
        }
        let open = server.backpressure.may_send(now);
        if open {
            server.backpressure.on_sent(now);
        }
        open && server.backpressure.confirm_send(now)
    }

    /// Limits that are due to be reported to the coordinators.
    pub fn limits_to_report(&mut self, now: Duration) -> Vec<ServerLimit> {
        let mut limits = Vec::new();
        for (id, sent_at) in &mut self.pending_limits {
            if sent_at.is_some_and(|at| now < at + RESEND_INTERVAL) {
                continue;
            }
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            *sent_at = Some(now);
            limits.push(ServerLimit {
                id: id.clone(),
                start_time: server.start_time,
                limit: server.backpressure.limit(),
            });
        }
        limits
    }

    /// Number of backend servers whose directives allow no request of this gateway now.
    pub fn throttled_count(&self, now: Duration) -> usize {
        let servers = self.servers.values();
        let throttled = |s: &&Server| s.backpressure.is_leaving() || !s.backpressure.may_send(now);
        servers.filter(throttled).count()
    }

    /// Whether the directives of all backend servers of a service allow no request of this gateway.
    pub fn is_throttled(&self, now: Duration, service: &str) -> bool {
        let mut accepting = self.accepting(service).peekable();
        accepting.peek().is_some() && accepting.all(|s| !s.backpressure.may_send(now))
    }

    /// Earliest time at which a backend server of a service may be sent a request; `None` if only
    /// other gateways send to them.
    pub fn next_send_at(&self, service: &str) -> Option<Duration> {
        self.accepting(service)
            .filter_map(|s| s.backpressure.next_send_at())
            .min()
    }
}

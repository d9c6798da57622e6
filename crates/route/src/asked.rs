//! What the backend servers of a gateway ask for: taking it in, keeping to it at the moment of
//! sending, and what others are to be told of it.

use crate::fleet::Fleet;
use crate::server::{Began, Server};
use bn_backpressure::{Feedback, GatewaySet, Limit, ServerLimit};
use std::time::Duration;

/// Until coordinators tell of a limit themselves, they are told it again after this.
const TELL_AGAIN: Duration = Duration::from_secs(1);

impl Fleet {
    /// An answer of a start of a backend server came; where it asks for something else than the one
    /// before, how long that was asked. What an earlier start asked for says nothing of this one.
    pub fn asked(
        &mut self,
        now: Duration,
        id: &str,
        began: Began,
        feedback: &Feedback,
        draw: f64,
    ) -> Option<Duration> {
        let server = self.servers.get_mut(id);
        let server = server.filter(|s| s.began == began)?;
        let before = server.terms.limit();
        let news = server
            .terms
            .on_response(now, &server.id, feedback, &self.share, draw);
        server.leaving |= server.terms.is_leaving();
        if server.terms.limit() != before {
            self.untold.insert(server.id.clone(), None);
        }
        news
    }

    /// Coordinators tell of the limit of the start that is known; `true` where that is news.
    pub fn learn_limit(&mut self, now: Duration, id: &str, limit: Limit, draw: f64) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let news = server
            .terms
            .merge_limit(now, &server.id, limit, &self.share, draw);
        match server.terms.is_known_at(limit.version) {
            true => {
                self.untold.swap_remove(id);
            }
            // They lost it: all of them have started anew, say.
            false => {
                self.untold.entry(server.id.clone()).or_insert(None);
            }
        }
        news
    }

    /// Callers are sent to other gateways from now on.
    pub fn follow_choice(
        &mut self,
        now: Duration,
        share: GatewaySet,
        mut draw: impl FnMut() -> f64,
    ) {
        self.share = share;
        for server in self.servers.values_mut() {
            server
                .terms
                .reschedule(now, &server.id, &self.share, draw());
        }
    }

    /// Whether a request may still be sent to a backend server that was picked for it a while ago.
    /// While it waited for a connection, an answer to another one may have said otherwise.
    pub fn may_send(&mut self, now: Duration, picked: &Server) -> bool {
        let server = self.servers.get_mut(&picked.id);
        let Some(server) = server.filter(|s| s.began == picked.began && !s.leaving) else {
            return false;
        };
        if server.terms.changes() == picked.terms.changes() {
            return true;
        }
        let open = server.terms.may_send(now);
        if open {
            server.terms.on_sent(now);
        }
        open
    }

    /// Limits that coordinators are to be told now.
    pub fn limits_to_tell(&mut self, now: Duration) -> Vec<ServerLimit> {
        let mut limits = Vec::new();
        for (id, told) in &mut self.untold {
            if told.is_some_and(|at| now < at + TELL_AGAIN) {
                continue;
            }
            let Some(server) = self.servers.get(id) else {
                continue;
            };
            *told = Some(now);
            limits.push(ServerLimit {
                id: id.clone(),
                began: server.began,
                limit: server.terms.limit(),
            });
        }
        limits
    }

    /// How many backend servers take no request of this gateway now, as they asked.
    pub fn held(&self, now: Duration) -> usize {
        let servers = self.servers.values();
        let held = |s: &&Server| s.terms.is_leaving() || !s.terms.may_send(now);
        servers.filter(held).count()
    }

    /// Whether all of a service take no request of this gateway now, as they asked.
    pub fn is_held(&self, now: Duration, service: &str) -> bool {
        let mut taking = self.taking(service).peekable();
        taking.peek().is_some() && taking.all(|s| !s.terms.may_send(now))
    }

    /// When the first backend server of a service may be sent a request; none where others send to all
    /// of them.
    pub fn open_at(&self, service: &str) -> Option<Duration> {
        self.taking(service)
            .filter_map(|s| s.terms.next_send_at())
            .min()
    }

    fn taking(&self, service: &str) -> impl Iterator<Item = &Server> {
        let servers = self.servers.values();
        servers.filter(move |s| s.service == service && !s.leaving)
    }
}

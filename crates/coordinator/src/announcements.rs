//! Announcements, departures and limits of backend servers, from themselves or other coordinators.

use crate::core::{Core, count_unwanted};
use crate::pushes::Waiter;
use bn_backpressure::ServerLimit;
use bn_registry::{Change, Condition, Record, SharedRecord};
use bn_settle::Document;
use bn_wire::messages as wire;
use bn_wire::messages::envelope::Body;
use indexmap::IndexSet;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Bits of a rank version that count within a leader's term.
const TERM_BITS: u32 = 32;

/// Source of a change to a backend server's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The backend server announced itself here.
    Announced,
    /// The backend server reported here that it leaves.
    Left,
    /// The backend server reported its group or slowdown to this leader.
    Rank,
    /// A gateway reported the limit that the backend server set.
    Limit,
    /// Another coordinator sent the change.
    Coordinator,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Announced => "announced",
            Source::Left => "left",
            Source::Rank => "rank",
            Source::Limit => "limit",
            Source::Coordinator => "told",
        }
    }
}

impl Core {
    /// Merges an announcement and answers whether it was accepted. One for a service that no
    /// document names is rejected: it must not replace a valid backend server with the same id.
    pub(crate) fn on_announce(
        &mut self,
        now: Duration,
        record: Record,
        reply: oneshot::Sender<bool>,
    ) {
        if !self.may_accept(&record) {
            let fields = json!({ "id": record.id, "service": record.service });
            self.lines.put("announcement_passed_over", fields);
            return count_unwanted(reply.send(false));
        }
        let id = record.id.clone();
        let change = self.registry.announce(now, record);
        self.publish_change(&id, change, Source::Announced);
        self.pushes.answer_after_push(Waiter::Announced(reply));
    }

    /// Whether to accept a backend server by its service. If the newest document is not known, it
    /// may name services that the local one does not: such a backend server is accepted unless its
    /// id is registered for another service.
    fn may_accept(&mut self, record: &Record) -> bool {
        let known = self.registry.get(&record.id);
        let other_service = known.is_some_and(|r| r.service != record.service);
        self.is_served(&record.service) || (!self.current && !other_service)
    }

    /// Whether the document names a service. Every service is accepted until the first document is
    /// committed, because backend servers start before that.
    fn is_served(&mut self, service: &str) -> bool {
        if self.committed.version == 0 || self.registry.present().any(|r| r.service == service) {
            return true;
        }
        let version = self.committed.version;
        if self.services.0 != version {
            self.services = (version, self.service_names());
        }
        self.services.1.contains(service)
    }

    fn service_names(&self) -> IndexSet<String> {
        let document = self.parse_committed();
        document.map_or_else(IndexSet::new, |d| d.services().keys().cloned().collect())
    }

    /// Path of the health check of a service's backend servers.
    pub(crate) fn health_path(&self, service: &str) -> Option<String> {
        let document = self.parse_committed()?;
        document
            .services()
            .get(service)
            .map(|s| s.health_path.clone())
    }

    fn parse_committed(&self) -> Option<Document> {
        let bytes = bn_wire::decompress(&self.committed.document).map_err(|e| e.to_string());
        let document =
            bytes.and_then(|d| bn_platform::parse_document(&d).map_err(|e| e.to_string()));
        // The document was validated before it was proposed, so an error is a bug.
        document
            .map_err(|e| log::error!("cannot read document {}: {e}", self.committed.version))
            .ok()
    }

    /// A backend server reported its lock-step group or its slowdown to this leader.
    pub(crate) fn on_rank(&mut self, now: Duration, id: &str, group: &str, slowdown: u32) {
        let Some(record) = self.registry.get(id) else {
            return;
        };
        if record.group == group && record.slowdown == slowdown {
            return;
        }
        let term = self.quorum.term() << TERM_BITS;
        let rank_version = (record.rank_version + 1).max(term);
        let record = Record {
            group: group.into(),
            slowdown,
            rank_version,
            ..record.clone()
        };
        let change = self.registry.update(now, record);
        self.publish_change(id, change, Source::Rank);
    }

    /// A gateway reports limits. A limit for an incarnation that is not registered yet is reported
    /// again until it is.
    pub(crate) fn on_limits(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        report: wire::LimitsHeard,
    ) {
        for raw in report.limits {
            match ServerLimit::try_from(raw) {
                Ok(reported) => self.on_limit(now, &reported),
                Err(e) => log::warn!("invalid limit from gateway {inbox}: {e}"),
            }
        }
    }

    fn on_limit(&mut self, now: Duration, reported: &ServerLimit) {
        let known = self.registry.get(&reported.id);
        let Some(known) = known.filter(|r| r.start_time == reported.start_time) else {
            return;
        };
        let limit = known.limit.merge(reported.limit);
        if limit == known.limit {
            return;
        }
        let record = Record {
            limit,
            ..known.clone()
        };
        let change = self.registry.update(now, record);
        self.publish_change(&reported.id, change, Source::Limit);
    }

    /// Lists the backend servers that set a limit, for operators.
    pub(crate) fn show_limits(&self) -> String {
        let limited = self.registry.present();
        let limited = limited.filter_map(|r| Some((r, r.limit.rate?)));
        let rows = limited.map(|(r, rate)| {
            json!({
                "id": r.id, "began": r.start_time, "service": r.service, "limit": rate,
                "turn": r.limit.version,
            })
        });
        json!({ "backend_servers": rows.collect::<Vec<_>>() }).to_string()
    }

    /// Asks another process what it knows of a backend server. The answer to call 0 is merged
    /// like any other, and no departure waits for it.
    pub(crate) fn request_registration(&self, inbox: SocketAddr, call: u64, id: &str) {
        let id = id.into();
        let body = Body::RegistrationAsk(wire::RegistrationAsk { call, id });
        self.net.send(inbox, body);
    }

    pub(crate) fn on_registration_request(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        request: &wire::RegistrationAsk,
    ) {
        let known = self.registry.get(&request.id);
        let answer = wire::RegistrationAnswer {
            call: request.call,
            registration: known.map(|r| self.registry.to_wire(now, r)),
        };
        self.net.send(inbox, Body::RegistrationAnswer(answer));
    }

    pub(crate) fn on_registration_answer(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        answer: wire::RegistrationAnswer,
    ) {
        if let Some(raw) = answer.registration {
            self.merge_registration(now, raw);
        }
        self.record_departure_answer(answer.call, inbox.ip());
    }

    /// Merges what another process knows of a backend server.
    pub(crate) fn merge_registration(&mut self, now: Duration, raw: wire::Registration) {
        let Ok(shared) = SharedRecord::try_from(raw) else {
            metrics::counter!("registrations_undecodable_total").increment(1);
            return;
        };
        let id = shared.record.id.clone();
        let change = self.registry.merge(now, shared);
        let held = self.registry.get(&id);
        // Departures are passed on at once: the coordinator that received it may be cut off from
        // gateways that this one reaches.
        if held.is_some_and(|r| r.condition == Condition::Gone) {
            self.publish_change(&id, change, Source::Coordinator);
        }
    }

    /// Logs a change of a backend server and queues it for the next push.
    pub(crate) fn publish_change(&mut self, id: &str, change: Change, source: Source) {
        let Some(record) = self.registry.get(id).filter(|_| change == Change::Updated) else {
            return;
        };
        self.lines.put("backend_server", log_fields(record, source));
        self.pushes.add(record, source != Source::Coordinator);
    }
}

fn log_fields(record: &Record, source: Source) -> serde_json::Value {
    json!({
        "id": record.id, "service": record.service, "address": record.address,
        "condition": format!("{:?}", record.condition), "sequence": record.sequence,
        "began": record.start_time, "group": record.group, "pace": record.slowdown, "source": source.name(),
        "limit": record.limit.rate, "turn": record.limit.version,
    })
}

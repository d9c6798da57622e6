//! What backend servers say of themselves, to this coordinator or to others that tell it.

use crate::core::{Core, answered};
use crate::tell::Told;
use bn_backpressure::ServerLimit;
use bn_registry::{Change, Record};
use bn_wire::messages as wire;
use indexmap::IndexSet;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Bits of what a leader told that count within its term.
const TERM_BITS: u32 = 32;

/// From where a change of a backend server is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// It announced itself here.
    Announced,
    /// It said here that it leaves.
    Left,
    /// It told this leader its group or pace.
    Rank,
    /// A gateway heard its limit.
    Limit,
    /// Another coordinator told it.
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
    /// Takes an announcement in; answered with whether it is one of ours. One for a service that
    /// no document names is not: it must not take the place of a good backend server that has
    /// this id.
    pub(crate) fn on_announce(
        &mut self,
        now: Duration,
        record: Record,
        done: oneshot::Sender<bool>,
    ) {
        if !self.may_be_ours(&record) {
            let fields = json!({ "id": record.id, "service": record.service });
            self.lines.put("announcement_passed_over", fields);
            return answered(done.send(false));
        }
        let id = record.id.clone();
        let change = self.registry.merge(now, record);
        self.spread(&id, change, Source::Announced);
        self.untold.once_told(Told::Announced(done));
    }

    /// Whether a backend server's service is one of ours. Where the newest document is not known it may
    /// name others than the one held here: one of them is taken in, unless its id is that of a
    /// backend server that is known to be another service's.
    fn may_be_ours(&mut self, record: &Record) -> bool {
        let known = self.registry.get(&record.id);
        let other = known.is_some_and(|k| k.service != record.service);
        self.is_served(&record.service) || (!self.current && !other)
    }

    /// Whether a service is one that the document names. Before there is a document all are: backend
    /// servers are there sooner than the first.
    fn is_served(&mut self, service: &str) -> bool {
        if self.settled.version == 0 || self.registry.present().any(|r| r.service == service) {
            return true;
        }
        let version = self.settled.version;
        if self.services.0 != version {
            self.services = (version, self.service_names());
        }
        self.services.1.contains(service)
    }

    fn service_names(&self) -> IndexSet<String> {
        let document = bn_wire::unpack(&self.settled.document).map_err(|e| e.to_string());
        let plan =
            document.and_then(|d| bn_platform::parse_document(&d).map_err(|e| e.to_string()));
        match plan {
            Ok(plan) => plan.services().keys().cloned().collect(),
            Err(e) => {
                // It was checked before it was settled, so this is a fault of ours.
                log::error!("document {}: {e}", self.settled.version);
                IndexSet::new()
            }
        }
    }

    /// A backend server told its lock-step group, or how fast it is, to this leader.
    pub(crate) fn on_rank(&mut self, now: Duration, id: &str, group: &str, pace: u32) {
        let Some(record) = self.registry.get(id) else {
            return;
        };
        if record.group == group && record.slowdown == pace {
            return;
        }
        let term = self.quorum.term() << TERM_BITS;
        let told = (record.rank_version + 1).max(term);
        let record = Record {
            group: group.into(),
            slowdown: pace,
            rank_version: told,
            ..record.clone()
        };
        let change = self.registry.merge(now, record);
        self.spread(id, change, Source::Rank);
    }

    /// A gateway heard of limits. One of a start that is not known is told again until it is.
    pub(crate) fn on_limits(&mut self, now: Duration, inbox: SocketAddr, heard: wire::LimitsHeard) {
        for raw in heard.limits {
            match ServerLimit::try_from(raw) {
                Ok(heard) => self.on_limit(now, &heard),
                Err(e) => log::warn!("a limit from {inbox}: {e}"),
            }
        }
    }

    fn on_limit(&mut self, now: Duration, heard: &ServerLimit) {
        let known = self.registry.get(&heard.id);
        let Some(known) = known.filter(|r| r.start_time == heard.start_time) else {
            return;
        };
        let limit = known.limit.merge(heard.limit);
        if limit == known.limit {
            return;
        }
        let record = Record {
            limit,
            ..known.clone()
        };
        let change = self.registry.merge(now, record);
        self.spread(&heard.id, change, Source::Limit);
    }

    /// Which backend servers name a limit, for operators.
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

    /// A backend server is gone for good.
    pub(crate) fn on_leave(&mut self, now: Duration, id: &str, done: oneshot::Sender<()>) {
        let change = self.registry.record_departure(now, id);
        self.spread(id, change, Source::Left);
        self.untold.once_told(Told::Left(done));
    }

    /// Notes what is to be told of a backend server.
    pub(crate) fn spread(&mut self, id: &str, change: Change, source: Source) {
        let Some(record) = self.registry.get(id).filter(|_| change == Change::Updated) else {
            return;
        };
        self.lines.put("backend_server", told(record, source));
        self.untold.add(record, source != Source::Coordinator);
    }
}

fn told(record: &Record, source: Source) -> serde_json::Value {
    json!({
        "id": record.id, "service": record.service, "address": record.address,
        "condition": format!("{:?}", record.condition), "sequence": record.sequence,
        "began": record.start_time, "group": record.group, "pace": record.slowdown, "source": source.name(),
        "limit": record.limit.rate, "turn": record.limit.version,
    })
}

//! Registrations of backend servers, as coordinators report them.

use crate::feedback;
use crate::link::Link;
use bn_registry::{
    BackendId, CONTACT_TIMEOUT, Condition, DEPARTED_RETENTION, Record, Sequence, SharedRecord,
    StartTime,
};
use bn_route::{ColdRegistration, Server};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{RegistrationAnswer, RegistrationAsk};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Slowdown of a sound backend server, and of one whose slowdown is not known.
const BASELINE_SLOWDOWN: u32 = 100;

/// The latest registration of each backend server.
#[derive(Debug, Clone, Default)]
pub struct Registrations {
    records: IndexMap<BackendId, Record>,
    /// When departures were received, oldest first.
    departed: IndexMap<BackendId, Duration>,
    /// Coordinators that have forgotten a backend server, and the last contact that each knew.
    forgotten: IndexMap<BackendId, IndexMap<SocketAddr, LastContact>>,
}

/// The last contact with a backend server that a coordinator has forgotten.
#[derive(Debug, Clone, Copy)]
struct LastContact {
    start_time: StartTime,
    sequence: Sequence,
    /// From when on the coordinator counts as having forgotten it.
    forgotten_at: Duration,
}

impl Registrations {
    /// The registration of a backend server.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.records.get(id)
    }

    /// What a received registration makes of the known one; `None` if it adds nothing.
    pub fn merged(&self, received: &Record) -> Option<Record> {
        match self.get(&received.id) {
            Some(held) => received.merged_over(held),
            None => Some(received.clone()),
        }
    }

    /// Replaces a registration.
    pub fn insert(&mut self, now: Duration, record: Record) {
        let id = record.id.clone();
        self.departed.shift_remove(&id);
        if record.condition == Condition::Gone {
            self.departed.insert(id.clone(), now);
        }
        self.records.insert(id, record);
    }

    /// Records whether a coordinator has forgotten the backend server that it sends a record of.
    pub fn record_source(&mut self, now: Duration, source: SocketAddr, shared: &SharedRecord) {
        let id = &shared.record.id;
        if shared.forgotten {
            let sources = self.forgotten.entry(id.clone()).or_default();
            let last = LastContact {
                start_time: shared.record.start_time,
                sequence: shared.contact_sequence,
                forgotten_at: now,
            };
            sources.insert(source, last);
        } else if let Some(sources) = self.forgotten.get_mut(id) {
            sources.swap_remove(&source);
        }
    }

    /// Records that a coordinator sent all that it knows: it never knew the others, which may be as it
    /// has just started, or has forgotten them long ago. They count as forgotten by it unless they
    /// announce themselves.
    pub fn record_full_list(
        &mut self,
        now: Duration,
        source: SocketAddr,
        listed: &IndexSet<BackendId>,
    ) {
        let missing = self
            .records
            .values()
            .filter(|r| r.condition != Condition::Gone && !listed.contains(&r.id));
        for record in missing {
            let last = LastContact {
                start_time: record.start_time,
                sequence: record.sequence,
                forgotten_at: now + CONTACT_TIMEOUT,
            };
            let sources = self.forgotten.entry(record.id.clone()).or_default();
            sources.entry(source).or_insert(last);
        }
    }

    /// Removes departures received long ago, and backend servers that every one of `subscriptions`
    /// has forgotten and that have not answered here lately either; returns the latter. One
    /// coordinator alone may lag behind the others. `answered_at` says when a backend server last
    /// answered.
    pub fn evict_expired(
        &mut self,
        now: Duration,
        subscriptions: &[SocketAddr],
        answered_at: impl Fn(&str) -> Option<Duration>,
    ) -> Vec<BackendId> {
        while let Some((id, at)) = self.departed.first()
            && now >= *at + DEPARTED_RETENTION
        {
            self.records.shift_remove(id);
            self.departed.shift_remove_index(0);
        }
        for sources in self.forgotten.values_mut() {
            sources.retain(|_, last| now < last.forgotten_at + DEPARTED_RETENTION);
        }
        self.forgotten.retain(|_, sources| !sources.is_empty());
        let in_use = |id: &str| answered_at(id).is_some_and(|at| now < at + CONTACT_TIMEOUT);
        let ids = self.forgotten.keys();
        let unused = ids.filter(|id| self.is_forgotten(now, id, subscriptions) && !in_use(id));
        let unused: Vec<BackendId> = unused.cloned().collect();
        for id in &unused {
            self.records.shift_remove(id);
        }
        unused
    }

    /// Whether a registration is held that all of these coordinators have forgotten.
    fn is_forgotten(&self, now: Duration, id: &str, subscriptions: &[SocketAddr]) -> bool {
        let held = self.get(id).filter(|h| h.condition != Condition::Gone);
        let (Some(held), Some(sources)) = (held, self.forgotten.get(id)) else {
            return false;
        };
        let forgets = |s: &SocketAddr| {
            let last = sources.get(s).filter(|last| now >= last.forgotten_at);
            let last = last.map(|last| (last.start_time, last.sequence));
            last.is_some_and(|last| last >= (held.start_time, held.sequence))
        };
        !subscriptions.is_empty() && subscriptions.iter().all(forgets)
    }
}

impl Link {
    /// Answers a coordinator that does not know a backend server.
    pub(crate) fn answer_registration(&self, inbox: SocketAddr, request: &RegistrationAsk) {
        let answer = RegistrationAnswer {
            call: request.call,
            registration: self.registrations.get(&request.id).map(Into::into),
        };
        self.net.send(inbox, Body::RegistrationAnswer(answer));
    }

    /// Removes what is remembered no longer.
    pub(crate) fn evict_registrations(&mut self, now: Duration) {
        let shared = &self.shared;
        let subscriptions = self.sources.subscriptions();
        let answered_at = |id: &str| shared.state().fleet.heard_at(id);
        let evicted = self
            .registrations
            .evict_expired(now, &subscriptions, answered_at);
        for id in evicted {
            shared.state().fleet.remove(&id);
            shared
                .lines
                .put("backend_server_forgotten", json!({ "id": id }));
        }
    }

    /// `source` is the coordinator that sent it.
    pub(crate) fn on_registration(&mut self, shared: SharedRecord, source: SocketAddr) {
        let now = self.shared.now();
        self.registrations.record_source(now, source, &shared);
        if shared.forgotten {
            return;
        }
        let record = shared.record;
        let known = self.registrations.get(&record.id);
        let newer = known.is_none_or(|held| {
            (record.start_time, record.sequence) > (held.start_time, held.sequence)
        });
        let cold = ColdRegistration {
            left: record.cold_left.filter(|_| newer),
            wall_ms: wall_ms(),
        };
        let Some(record) = self.registrations.merged(&record) else {
            return;
        };
        let restarted = known.is_some_and(|held| held.start_time != record.start_time);
        if restarted || known.is_none() {
            self.report_predecessors(&record);
        }
        let mut state = self.shared.state();
        if restarted {
            // It has no state from before the restart: its load, its failures and the connections
            // to it belong to the earlier start.
            state.fleet.remove(&record.id);
        }
        match (record.condition, record.address) {
            (Condition::Gone, _) | (_, None) => state.fleet.remove(&record.id),
            (condition, Some(address)) => {
                let (id, service) = (&record.id, &record.service);
                let mut server = Server::new(id, service, address, &record.domain, record.slots);
                server.start_time = record.start_time;
                server.join_group(&record.group);
                server.leaving = condition == Condition::Draining;
                server.slowdown = f64::from(record.slowdown.max(BASELINE_SLOWDOWN))
                    / f64::from(BASELINE_SLOWDOWN);
                state.fleet.upsert(server);
                let now = self.shared.now();
                let draw = rand::random();
                state.fleet.on_cold_registration(now, id, cold, draw);
            }
        }
        drop(state);
        feedback::log_cold_changes(&self.shared);
        feedback::merge_limit(&self.shared, &record, source);
        if let Some(address) = record.address.filter(|_| restarted) {
            self.shared.pool.close_idle(address);
        }
        self.shared.capacity_freed.notify_waiters();
        let fields = json!({
            "id": record.id, "service": record.service, "address": record.address,
            "condition": format!("{:?}", record.condition), "sequence": record.sequence,
            "began": record.start_time, "group": record.group, "pace": record.slowdown,
            "limit": record.limit.rate, "turn": record.limit.version,
        });
        self.shared.lines.put("backend_server", fields);
        self.registrations.insert(self.shared.now(), record);
    }
}

/// Unix milliseconds by this instance's clock; 0 if it is set to a time before that.
fn wall_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(0))
}

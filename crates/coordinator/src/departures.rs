//! Departures of backend servers.
//!
//! A departure says of which id it is, and seldom of which start. This coordinator may have just
//! started, or have been cut off, and know no start or only an earlier one. So it asks the others,
//! and acknowledges the departure once a majority of the voters has answered and the latest start
//! that any of them knows has departed, or the one that is named. If they know none, gateways are
//! asked.
//!
//! A departure may be held up on its way until the next start under its id has announced itself.
//! Shortly after a restart, the backend server's health check decides whose departure it is.

use crate::announcements::Source;
use crate::core::{Core, count_unwanted};
use crate::events::Event;
use crate::pushes::Waiter;
use bn_engine::{Call, CallRequest, HttpAnswer};
use bn_registry::{BackendId, Change, Condition, Record, Registry, StartTime};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use std::net::IpAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest time until a departure is refused: below the second for which its sender waits, which
/// then calls another coordinator.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two health checks of which the first one showed nothing: a full backend server
/// rejects them like requests.
const RECHECK_DELAY: Duration = Duration::from_millis(120);

/// What a health check says of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests: it is not the start that departs.
    Serving,
    /// It accepts none any more, or another backend server has its address.
    Leaving,
    /// Nothing was learnt.
    Unknown,
}

/// What to do next about a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Ask gateways which start they know.
    AskGateways,
    /// Ask the backend server whether it accepts requests.
    CheckHealth,
    /// Record that this start has departed.
    Depart(StartTime),
    /// The departure is in force.
    Acknowledge,
    /// It is not known to be in force: its sender has to try again.
    Refuse,
}

/// One departure.
#[derive(Debug, Clone)]
pub struct Departure {
    id: BackendId,
    /// The start that departs, if it is named.
    start_time: Option<StartTime>,
    received_at: Duration,
    answered: IndexSet<IpAddr>,
    gateways_asked: bool,
    /// When its health is checked for the next time; `None` while a check is in progress.
    check_due: Option<Duration>,
    health: Health,
}

impl Departure {
    /// The departure of `id`, received now; `start_time` if it names the start.
    pub fn new(now: Duration, id: &str, start_time: Option<StartTime>) -> Departure {
        Departure {
            id: id.into(),
            start_time,
            received_at: now,
            answered: IndexSet::new(),
            gateways_asked: false,
            check_due: Some(now),
            health: Health::Unknown,
        }
    }

    /// Id of the backend server.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Another process answered; what it knows has been merged into the table.
    pub fn record_answer(&mut self, from: IpAddr) {
        self.answered.insert(from);
    }

    /// The backend server answered its health check, or did not.
    pub fn record_health(&mut self, now: Duration, health: Health) {
        self.health = health;
        self.check_due = Some(now + RECHECK_DELAY);
    }

    /// The next step, by what the table knows. `voters` are those of the log, with this coordinator
    /// if it is one; it counts as having answered at address `own`.
    pub fn next_step(
        &mut self,
        now: Duration,
        registry: &Registry,
        own: IpAddr,
        voters: &[IpAddr],
    ) -> Step {
        let answered = |v: &&IpAddr| **v == own || self.answered.contains(*v);
        let confirmed = voters.iter().filter(answered).count() > voters.len() / 2;
        let step = match self.start_time {
            Some(start_time) => named_step(registry.get(&self.id), start_time, confirmed),
            None => self.unnamed_step(now, registry, confirmed),
        };
        if step == Step::Wait && now >= self.received_at + TIMEOUT {
            return Step::Refuse;
        }
        self.gateways_asked |= step == Step::AskGateways;
        if step == Step::CheckHealth {
            self.check_due = None;
        }
        step
    }

    fn unnamed_step(&self, now: Duration, registry: &Registry, confirmed: bool) -> Step {
        match registry.get(&self.id) {
            Some(held) if held.condition == Condition::Gone => acknowledge_if(confirmed),
            Some(held) if registry.is_unsettled(now, &self.id) => match self.health {
                Health::Unknown if self.check_due.is_some_and(|due| now >= due) => {
                    Step::CheckHealth
                }
                Health::Unknown => Step::Wait,
                Health::Leaving => Step::Depart(held.start_time),
                Health::Serving => Step::Refuse,
            },
            Some(held) => Step::Depart(held.start_time),
            None if confirmed && !self.gateways_asked => Step::AskGateways,
            None => Step::Wait,
        }
    }
}

/// A later start goes on; the departure of the one that it replaced is in force.
fn named_step(held: Option<&Record>, start_time: StartTime, confirmed: bool) -> Step {
    let in_force = held.is_some_and(|held| {
        let gone = held.condition == Condition::Gone;
        held.start_time > start_time || (held.start_time == start_time && gone)
    });
    match in_force {
        true => acknowledge_if(confirmed),
        false => Step::Depart(start_time),
    }
}

fn acknowledge_if(confirmed: bool) -> Step {
    match confirmed {
        true => Step::Acknowledge,
        false => Step::Wait,
    }
}

/// Where a departure is answered; `None` if it was answered before a later start was known.
type Reply = Option<oneshot::Sender<bool>>;

/// Departures that are not decided yet, by the call to other processes about them.
#[derive(Default)]
pub(crate) struct Departures(IndexMap<u64, (Departure, Reply)>);

impl Core {
    /// A backend server leaves for good; `start_time` if it says which start that is.
    pub(crate) fn on_leave(
        &mut self,
        now: Duration,
        id: &str,
        start_time: Option<StartTime>,
        reply: oneshot::Sender<bool>,
    ) {
        let call = self.next_call_id();
        let departure = Departure::new(now, id, start_time);
        self.departures.0.insert(call, (departure, Some(reply)));
        for inbox in self.others() {
            self.request_registration(inbox, call, id);
        }
    }

    /// Another process answered what it knows of the backend server.
    pub(crate) fn record_departure_answer(&mut self, call: u64, from: IpAddr) {
        if let Some((departure, _)) = self.departures.0.get_mut(&call) {
            departure.record_answer(from);
        }
    }

    pub(crate) fn on_health_checked(&mut self, now: Duration, call: u64, health: Health) {
        if let Some((departure, _)) = self.departures.0.get_mut(&call) {
            departure.record_health(now, health);
        }
    }

    /// Advances the departures that wait for answers.
    pub(crate) fn advance_departures(&mut self, now: Duration) {
        for id in self.registry.take_doubtful_departures(now) {
            let call = self.next_call_id();
            self.departures
                .0
                .insert(call, (Departure::new(now, &id, None), None));
        }
        if self.departures.0.is_empty() {
            return;
        }
        let voters = self.quorum.members().iter().filter(|(_, m)| m.voter);
        let voters: Vec<IpAddr> = voters.filter_map(|(id, _)| id.parse().ok()).collect();
        for (call, (departure, reply)) in std::mem::take(&mut self.departures.0) {
            self.advance_departure(now, &voters, call, departure, reply);
        }
    }

    fn advance_departure(
        &mut self,
        now: Duration,
        voters: &[IpAddr],
        call: u64,
        mut departure: Departure,
        reply: Reply,
    ) {
        let own = self.inbox.ip();
        loop {
            match departure.next_step(now, &self.registry, own, voters) {
                Step::Wait => break,
                Step::AskGateways => {
                    for inbox in self.directory.inboxes() {
                        self.request_registration(inbox, call, &departure.id);
                    }
                }
                Step::CheckHealth => self.check_health(call, &departure.id),
                Step::Depart(start_time) => self.depart(now, &departure, start_time),
                Step::Acknowledge => {
                    return self.acknowledge_departure(reply);
                }
                Step::Refuse => {
                    self.log_refused(&departure);
                    let refused = reply.map_or(Ok(()), |reply| reply.send(false));
                    return count_unwanted(refused);
                }
            }
        }
        self.departures.0.insert(call, (departure, reply));
    }

    fn depart(&mut self, now: Duration, departure: &Departure, start_time: StartTime) {
        let id = &departure.id;
        let change = match departure.start_time {
            Some(_) => self.registry.record_departure(now, id, start_time),
            None => self.registry.record_unnamed_departure(now, id, start_time),
        };
        self.publish_departure(id, start_time, change);
    }

    fn acknowledge_departure(&mut self, reply: Reply) {
        if let Some(reply) = reply {
            self.pushes.answer_after_push(Waiter::Left(reply));
        }
    }

    fn publish_departure(&mut self, id: &str, start_time: StartTime, change: Change) {
        if change == Change::Stale {
            let held = self.registry.get(id).map(|r| r.start_time);
            let fields = json!({ "id": id, "began": start_time, "known_began": held });
            self.lines.put("departure_passed_over", fields);
        }
        self.publish_change(id, change, Source::Left);
    }

    fn check_health(&self, call: u64, id: &str) {
        let events = self.events.clone();
        let done = move |health| {
            events.send(Event::HealthChecked(call, health));
        };
        let record = self.registry.get(id);
        let Some((service, address)) = record.and_then(|r| Some((&r.service, r.address?))) else {
            return done(Health::Unknown);
        };
        let Some(path) = self.health_path(service) else {
            return done(Health::Unknown);
        };
        self.calls.submit(Call {
            request: CallRequest {
                address,
                path: path.into(),
                body: None,
                server: id.into(),
            },
            on_answer: Box::new(move |answer| done(health(answer.as_ref()))),
        });
    }

    fn log_refused(&self, departure: &Departure) {
        let known = self.registry.get(&departure.id);
        let fields = json!({
            "id": departure.id, "known_began": known.map(|r| r.start_time),
            "condition": known.map(|r| format!("{:?}", r.condition)),
            "answered": departure.answered.iter().collect::<Vec<_>>(), "health": format!("{:?}", departure.health),
        });
        self.lines.put("departure_refused", fields);
    }
}

/// A backend server that is full rejects the check like a request, which says nothing.
fn health(answer: Option<&HttpAnswer>) -> Health {
    match answer {
        Some(answer) if answer.status == 200 => Health::Serving,
        Some(answer) if answer.status == 421 || !answer.rejected => Health::Leaving,
        _ => Health::Unknown,
    }
}

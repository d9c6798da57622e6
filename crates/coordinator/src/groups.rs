//! Balancing of lock-step groups, by the leader alone: carries the calls of each group's
//! [`Pilot`] to the engines and their replies back.

use crate::asks::{Written, engine_ask};
use crate::core::{Core, Event};
use crate::relays::{self, About};
use bn_engine::{Answer, Call, What};
use bn_group::pilot::{self, Ask, Command, Note, Pilot, Reply, Shape};
use bn_quorum::Role;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswers, EngineAsks};
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// What the leader keeps of groups.
#[derive(Default)]
pub(crate) struct Groups {
    term: u64,
    /// Version of the document that `shapes` is of.
    version: u64,
    /// Services whose engines share experts.
    shapes: IndexMap<String, Shape>,
    pilots: IndexMap<String, Pilot>,
    written: Written,
}

impl Core {
    /// Moves every group on. A coordinator that does not lead steers nothing: what it
    /// left under way, the next leader fences, finds and settles.
    pub(crate) fn steer_groups(&mut self, now: Duration) {
        if self.quorum.role() != Role::Leader {
            self.groups.pilots.clear();
            return;
        }
        self.drop_overdue(now);
        let term = self.quorum.term();
        if self.groups.term != term {
            self.groups.term = term;
            self.groups.pilots.clear();
        }
        self.read_shapes();
        for (service, shape) in self.groups.shapes.clone() {
            let pilot = self.groups.pilots.entry(service.clone());
            let pilot = pilot.or_insert_with(|| Pilot::new(term, shape));
            if !pilot.is_due(now) {
                continue;
            }
            let engines = self.engines_of(&service);
            let Some(pilot) = self.groups.pilots.get_mut(&service) else {
                continue;
            };
            let calls = pilot.tick(now, &engines);
            self.carry(now, &service, calls);
        }
    }

    /// Asks that a relay left unanswered: the pilot asks again, straight this time.
    fn drop_overdue(&mut self, now: Duration) {
        for ask in self.relays.overdue(now) {
            self.net.forget(ask.head);
            self.note_silent_relay(ask.head, ask.about);
            self.on_called(now, &ask.service, ask.call, Reply::Silent);
        }
    }

    fn note_silent_relay(&self, relay: SocketAddr, about: About) {
        let fields = json!({ "relay": relay, "about": format!("{about:?}") });
        self.lines.put("relay_silent", fields);
    }

    pub(crate) fn on_engine_answers(&mut self, now: Duration, answers: EngineAnswers) {
        let EngineAnswers { answers, counts } = answers;
        let mut lately = (!counts.is_empty()).then_some(counts);
        for answer in answers {
            // One that comes after its time was followed up already.
            let Some(ask) = self.relays.answered(answer.call) else {
                continue;
            };
            if answer.unheard {
                self.relays.pass_over(now, ask.relay);
                self.note_silent_relay(ask.relay, ask.about);
            }
            // Counts are of all engines together: they go with any one.
            let lately = answer.view.as_ref().and_then(|_| lately.take());
            let reply = relays::read(ask.about, answer, lately);
            self.on_called(now, &ask.service, ask.call, reply);
        }
    }

    pub(crate) fn on_called(&mut self, now: Duration, service: &str, call: u64, reply: Reply) {
        let Some(pilot) = self.groups.pilots.get_mut(service) else {
            return;
        };
        let odd = match reply {
            Reply::Conflict | Reply::Fenced | Reply::Odd | Reply::Silent => Some(reply.clone()),
            Reply::Done | Reply::View(_) | Reply::Counts(..) | Reply::List(..) => None,
        };
        if let Some(odd) = odd {
            let fields = json!({ "service": service, "call": call, "reply": format!("{odd:?}") });
            self.lines.put("engine_call_failed", fields);
        }
        let calls = pilot.reply(now, call, reply);
        let notes = pilot.notes();
        for note in notes {
            self.note_group(service, &note);
        }
        self.carry(now, service, calls);
    }

    fn engines_of(&self, service: &str) -> Vec<String> {
        let latest = self.registry.latest().filter(|r| r.service == service);
        let mut ids: Vec<_> = latest.map(|r| r.id.clone()).collect();
        ids.sort_unstable();
        ids
    }

    fn read_shapes(&mut self) {
        if self.groups.version == self.settled.version {
            return;
        }
        self.groups.version = self.settled.version;
        let document = match bn_wire::unpack(&self.settled.document) {
            Ok(document) => document,
            Err(e) => return log::error!("document {}: {e}", self.settled.version),
        };
        match bn_platform::plan(&document) {
            Ok(plan) => self.groups.shapes = shapes(&plan),
            // It was checked before it was settled, so this is a fault of ours.
            Err(e) => log::error!("document {} does not hold: {e}", self.settled.version),
        }
    }

    fn carry(&mut self, now: Duration, service: &str, calls: Vec<pilot::Call>) {
        let port = self.inbox.port();
        let mut beside = Vec::new();
        for call in calls {
            let record = self.registry.get(&call.engine);
            let Some(address) = record.and_then(|r| r.address) else {
                self.hand_back(service, call.call, Reply::Silent);
                continue;
            };
            let relay = self.relays.beside(now, address, port);
            match relay.filter(|_| goes_by_relay(&call)) {
                Some(relay) => beside.push((relay, call)),
                None => self.call_straight(service, address, call),
            }
        }
        let part = relays::part(beside.len());
        for calls in beside.chunks(part) {
            self.ask_relays(now, service, calls);
        }
    }

    /// Asks some relays, all by way of one of them.
    fn ask_relays(&mut self, now: Duration, service: &str, calls: &[(SocketAddr, pilot::Call)]) {
        // Any of them: one that is dead is found out and passed over.
        let at = rand::random_range(0..calls.len().max(1));
        let Some((head, _)) = calls.get(at) else {
            return;
        };
        let mut asks = EngineAsks::default();
        for (relay, call) in calls {
            let number = self.next_call();
            let (ask, about) = engine_ask(number, *relay, call);
            if let Ask::Order(Command::Prepare(_, map), ..) = &call.ask
                && asks.map.is_empty()
            {
                asks.map = self
                    .groups
                    .written
                    .ranked(map)
                    .map_or_else(Vec::new, |m| m.as_bytes().to_vec());
            }
            asks.asks.push(ask);
            let to = (*relay, *head);
            self.relays
                .asked(now, number, (service, call.call), to, about);
        }
        self.net.send(*head, Body::EngineAsks(asks));
    }

    fn call_straight(&mut self, service: &str, address: SocketAddr, call: pilot::Call) {
        let (path, body, read) = self.groups.written.call(call.ask);
        let (ring, service) = (self.ring.clone(), service.to_string());
        let number = call.call;
        let done = move |answer: Answer| {
            let reply = answer.map_or(Reply::Silent, |(status, body)| read(status, &body));
            let called = Event::Called(service, number, reply);
            if ring.try_send(called).is_err() {
                metrics::counter!("ring_lost_total").increment(1);
            }
        };
        self.calls.put(Call {
            what: What {
                address,
                path,
                body,
                server: call.engine,
            },
            done: Box::new(done),
        });
    }

    fn hand_back(&self, service: &str, call: u64, reply: Reply) {
        let called = Event::Called(service.into(), call, reply);
        if self.ring.try_send(called).is_err() {
            metrics::counter!("ring_lost_total").increment(1);
        }
    }

    fn note_group(&self, service: &str, note: &Note) {
        let (before, after) = note.skew.map_or((None, None), |(b, a)| (Some(b), Some(a)));
        let fields = json!({
            "service": service, "number": note.number, "term": self.groups.term,
            "skew_before": before, "skew_after": after, "slowest_pace": note.pace,
        });
        self.lines.put(note.event, fields);
    }
}

/// What is asked through a relay. Orders around a hold go straight from the leader: a relay
/// that stops with one in its hands leaves the group standing until it is back, since the
/// machine that it stands on has the rank, too. Where the leader stops, the next one ends
/// the hold within a second (measured: 3.9 s through a frozen relay, 0.7 s otherwise).
///
/// Each further try goes the other way: new connections to an engine may be refused while
/// the link to its relay still stands, and the other way round.
pub fn goes_by_relay(call: &pilot::Call) -> bool {
    let first = match &call.ask {
        Ask::Report | Ask::Look | Ask::Copied(_) => true,
        Ask::Order(command, ..) => matches!(command, Command::Prepare(..)),
        Ask::Counts | Ask::List => return false,
    };
    first != call.tries.is_multiple_of(2)
}

fn shapes(plan: &bn_settle::Plan) -> IndexMap<String, Shape> {
    let grouped = plan.services().values().filter_map(|s| {
        let experts = s.engine?.experts?;
        let shape = Shape {
            sets: experts.sets,
            experts: experts.experts,
            places: experts.places,
            spare: experts.spare,
            copy: Duration::from_secs_f64(experts.copy_s.clamp(0.0, 60.0)),
        };
        Some((s.name.clone(), shape))
    });
    grouped.collect()
}

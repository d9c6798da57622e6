//! Balancing of lock-step groups, by the leader alone: carries the calls of each group's
//! [`Pilot`] to the engines and their replies back.

use crate::core::{Core, Event};
use crate::relays::{self, About};
use bn_engine::{Answer, Call, What};
use bn_group::ExpertMap;
use bn_group::pilot::{self, Ask, Command, Note, Pilot, Reply, Shape, View};
use bn_platform::engine::{self, Operation, RankedMap};
use bn_quorum::Role;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswers, EngineAsk, EngineAsks, PrepareOrder};
use indexmap::IndexMap;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
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
    /// The last map that was ordered, as orders have it.
    ranked: Option<(Arc<ExpertMap>, RankedMap)>,
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
        let (path, body, read) = self.groups.translate(call.ask);
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

type Read = fn(u16, &[u8]) -> Reply;

impl Groups {
    fn translate(&mut self, ask: Ask) -> (&'static str, Option<Vec<u8>>, Read) {
        match ask {
            Ask::Report | Ask::Look | Ask::Copied(_) => (engine::REPORT, None, read_report),
            Ask::Counts => (engine::PICKED, None, read_counts),
            Ask::List => (engine::LISTS, None, read_lists),
            Ask::Order(command, epoch, token) => {
                let operation = match command {
                    Command::Prepare(version, map) => self
                        .ranked(&map)
                        .map(|map| Operation::Prepare { version, map }),
                    other => operation(&other),
                };
                // An engine refuses an empty order.
                let body = operation.map(|o| engine::order(o, epoch, token));
                (engine::ORDER, Some(body.unwrap_or_default()), read_order)
            }
        }
    }

    /// A map as orders have it. It is written once for all ranks: 72 times took half of the
    /// leader's share of a core.
    fn ranked(&mut self, map: &Arc<ExpertMap>) -> Option<RankedMap> {
        if let Some((known, ranked)) = &self.ranked
            && Arc::ptr_eq(known, map)
        {
            return Some(ranked.clone());
        }
        let ranked = RankedMap::new(&by_rank(map));
        let ranked = ranked.map_err(|e| log::error!("a map: {e}")).ok()?;
        self.ranked = Some((map.clone(), ranked.clone()));
        Some(ranked)
    }
}

/// What a relay is asked, and what that is about.
fn engine_ask(number: u64, relay: SocketAddr, call: &pilot::Call) -> (EngineAsk, About) {
    let mut ask = EngineAsk {
        call: number,
        engine: call.engine.clone(),
        relay: relay.to_string(),
        ..EngineAsk::default()
    };
    let about = match &call.ask {
        Ask::Order(Command::Prepare(version, _), epoch, token) => {
            ask.prepare = Some(PrepareOrder {
                version: *version,
                epoch: *epoch,
                token: *token,
            });
            About::Order
        }
        Ask::Order(command, epoch, token) => {
            let body = operation(command).map(|o| engine::order(o, *epoch, *token));
            ask.order = body.unwrap_or_default();
            About::Order
        }
        Ask::Copied(version) => {
            ask.copied = *version;
            About::Copies
        }
        Ask::Look => {
            ask.counts = true;
            About::Look
        }
        Ask::Report | Ask::Counts | Ask::List => About::Look,
    };
    (ask, about)
}

/// An order without a map.
fn operation(command: &Command) -> Option<Operation> {
    Some(match *command {
        Command::Prepare(..) => return None,
        Command::Arm(version, pass) => Operation::Arm { version, pass },
        Command::Disarm(version) => Operation::Disarm { version },
        Command::Hold(pass) => Operation::Hold { pass },
        Command::Go(pass) => Operation::Go { pass },
    })
}

/// The experts of each rank, set by set.
fn by_rank(map: &ExpertMap) -> Vec<Vec<Vec<u32>>> {
    let ranks = map.layers.iter().flatten().flatten().max();
    let ranks = ranks.map_or(0, |r| *r as usize + 1);
    let layer = |layer: &Vec<Vec<u32>>| {
        let mut held = vec![Vec::new(); ranks];
        for (expert, holders) in layer.iter().enumerate() {
            for rank in holders {
                if let Some(held) = held.get_mut(*rank as usize) {
                    held.push(expert as u32);
                }
            }
        }
        held
    };
    map.layers.iter().map(layer).collect()
}

fn read_report(status: u16, body: &[u8]) -> Reply {
    match (status, engine::report(body)) {
        (200, Ok(r)) => Reply::View(View {
            group: r.group,
            epoch: r.epoch,
            rank: r.rank,
            open: r.open,
            size: r.size,
            pass: r.pass,
            map: r.map,
            prepared: r.prepared,
            armed: r.armed,
            held: r.held,
            pace: r.pace,
            fresh: false,
            lately: None,
        }),
        _ => Reply::Odd,
    }
}

fn read_counts(status: u16, body: &[u8]) -> Reply {
    match (status, engine::counts(body)) {
        (200, Ok(c)) => Reply::Counts(c.epoch, c.counts),
        _ => Reply::Odd,
    }
}

fn read_lists(status: u16, body: &[u8]) -> Reply {
    match (status, engine::lists(body)) {
        (200, Ok(l)) => Reply::List(l.version, l.experts),
        _ => Reply::Odd,
    }
}

fn read_order(status: u16, _: &[u8]) -> Reply {
    read_status(u32::from(status))
}

/// What the status of an order's answer says.
pub(crate) fn read_status(status: u32) -> Reply {
    match status {
        200 | 202 => Reply::Done,
        409 => Reply::Conflict,
        412 => Reply::Fenced,
        _ => Reply::Odd,
    }
}

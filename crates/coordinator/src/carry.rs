//! Carrying the calls of pilots to engines, and the answers back: through the relay beside an
//! engine, many by way of few, or straight over HTTP.

use crate::asks::engine_ask;
use crate::core::Core;
use crate::relays::{self, About, GroupId};
use crate::ring::Event;
use bn_engine::{Answer, Call, CallRequest};
use bn_group::switch_controller::{self, Command, EngineRequest, Reply, SwitchController};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswers, EngineAsks};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Ranks up to which the leader arms each itself: all of them are armed within a third of a pass, on
/// a twentieth of a core.
const MANY: usize = 16;
/// Ways that tries take in turn.
const WAYS: u32 = 3;

impl Core {
    /// Sends calls on their ways: through relays in parts, each by way of one of them, or straight.
    pub(super) fn carry(
        &mut self,
        now: Duration,
        group: &GroupId,
        calls: Vec<switch_controller::Call>,
    ) {
        let port = self.inbox.port();
        let count = calls.len();
        let ranks = self
            .groups
            .pilots
            .get(group)
            .map_or(0, SwitchController::rank_count);
        let mut beside = Vec::new();
        for (at, call) in calls.into_iter().enumerate() {
            let record = self.registry.get(&call.engine);
            let Some((record, address)) = record.and_then(|r| Some((r, r.address?))) else {
                self.hand_back(group, call.id, Reply::Silent);
                continue;
            };
            let domain = record.domain.clone();
            let counts = relays::is_counted(at, count);
            let relay = self.relays.beside(now, address, port);
            match (way(&call, ranks), relay) {
                (Way::Relay, Some(relay)) => beside.push(Beside {
                    relay,
                    domain,
                    counts,
                    call,
                }),
                (Way::Around, _) => {
                    let relay = SocketAddr::new(address.ip(), port);
                    let around = Beside {
                        relay,
                        domain,
                        counts,
                        call,
                    };
                    self.carry_around(now, group, address, around);
                }
                _ => self.call_straight(group, address, call),
            }
        }
        let map = self.map_of(&beside);
        let part = relays::part(beside.len(), map.len());
        for calls in relays::parts(beside, part, |b| &b.domain) {
            self.ask_relays(now, group, &calls, &map);
        }
    }

    /// By way of another relay, whose link stands; its own may have none.
    fn carry_around(
        &mut self,
        now: Duration,
        group: &GroupId,
        address: SocketAddr,
        around: Beside,
    ) {
        let Some(head) = self.relays.standing(now, around.relay) else {
            return self.call_straight(group, address, around.call);
        };
        let calls = [around];
        let map = self.map_of(&calls);
        self.ask_by(now, group, head, &calls, &map);
    }

    /// The map that orders among these are about, packed; they are all about the same.
    fn map_of(&mut self, calls: &[Beside]) -> Vec<u8> {
        let map = calls.iter().find_map(|b| match &b.call.request {
            EngineRequest::Order(Command::Prepare(_, map), ..) => Some(map.clone()),
            _ => None,
        });
        map.map_or_else(Vec::new, |map| self.groups.written.packed(&map))
    }

    /// Asks some relays, all by way of one of them.
    fn ask_relays(&mut self, now: Duration, group: &GroupId, calls: &[Beside], map: &[u8]) {
        // The same one each time: links that are new cost the leader and the relays processor time, and
        // a switch of a large group would need dozens of them a round. One that is dead is found out
        // and passed over, and the next takes its place.
        if let Some(head) = calls.first().map(|b| b.relay) {
            self.ask_by(now, group, head, calls, map);
        }
    }

    fn ask_by(
        &mut self,
        now: Duration,
        group: &GroupId,
        head: SocketAddr,
        calls: &[Beside],
        map: &[u8],
    ) {
        let mut asks = EngineAsks {
            map: map.to_vec(),
            ..EngineAsks::default()
        };
        for Beside {
            relay,
            counts,
            call,
            ..
        } in calls
        {
            let number = self.next_call();
            let (ask, about) = engine_ask(number, *relay, call, *counts);
            asks.asks.push(ask);
            let to = (*relay, head);
            self.relays.asked(now, number, (group, call.id), to, about);
        }
        self.net.send(head, Body::EngineAsks(asks));
    }

    fn call_straight(
        &mut self,
        group: &GroupId,
        address: SocketAddr,
        call: switch_controller::Call,
    ) {
        let (path, body, read) = self.groups.written.call(call.request);
        let (ring, group) = (self.ring.clone(), group.clone());
        let number = call.id;
        let done = move |answer: Answer| {
            let reply = answer.map_or(Reply::Silent, |(status, body)| read(status, &body));
            ring.put(Event::Called(group, number, reply));
        };
        self.calls.submit(Call {
            request: CallRequest {
                address,
                path,
                body,
                server: call.engine,
            },
            on_answer: Box::new(done),
        });
    }

    fn hand_back(&self, group: &GroupId, call: u64, reply: Reply) {
        self.ring.put(Event::Called(group.clone(), call, reply));
    }

    /// Asks that a relay left unanswered: the pilot asks again, straight this time.
    pub(super) fn drop_overdue(&mut self, now: Duration) {
        for ask in self.relays.overdue(now) {
            self.net.forget(ask.head);
            self.note_silent_relay(ask.head, ask.about);
            self.on_called(now, &ask.group, ask.call, Reply::Silent);
        }
    }

    fn note_silent_relay(&self, relay: SocketAddr, about: About) {
        let fields = json!({ "relay": relay, "about": format!("{about:?}") });
        self.lines.put("relay_silent", fields);
    }

    /// Takes the answers that a relay collected.
    pub(crate) fn on_engine_answers(&mut self, now: Duration, answers: EngineAnswers) {
        let EngineAnswers { answers, counts } = answers;
        let mut lately = (!counts.is_empty()).then_some(counts);
        for answer in answers {
            // One that comes after its time was followed up already.
            let Some(ask) = self.relays.answered(now, answer.call) else {
                continue;
            };
            if answer.unheard {
                self.relays.pass_over(now, ask.relay);
                self.note_silent_relay(ask.relay, ask.about);
            } else {
                self.relays.heard(ask.relay);
            }
            // Counts are of all engines together: they go with any one.
            let lately = answer.view.as_ref().and_then(|_| lately.take());
            let reply = relays::read(ask.about, answer, lately);
            self.on_called(now, &ask.group, ask.call, reply);
        }
    }
}

/// A call that goes by the relay beside its engine.
struct Beside {
    relay: SocketAddr,
    /// Failure domain of the engine, and so of its relay.
    domain: String,
    /// A look takes counts, too.
    counts: bool,
    call: switch_controller::Call,
}

/// How a call gets to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Over HTTP, from the leader.
    Straight,
    /// Through the relay beside it.
    Relay,
    /// Through that relay, by way of another one.
    Around,
}

/// What is asked through a relay, in a group of so many ranks. Orders around a hold go straight from
/// the leader: a relay that stops with one in its hands leaves the group standing until the next
/// try. Those that all of many ranks get go through relays, too: a call to each of them takes a leader
/// with a twentieth of a core longer than switches are set ahead, and the group would stand meanwhile.
///
/// Each further try goes another way: new connections to an engine may be refused while the link to its
/// relay still stands, and the other way round. Both begin at the leader, though, and one that
/// cannot open connections has no link to relays that others passed its asks on to: the third try goes
/// by way of a relay that it hears. Else a group that is held stands until the leader can open
/// connections again.
pub fn way(call: &switch_controller::Call, ranks: usize) -> Way {
    let by_relay = match &call.request {
        EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_) => true,
        EngineRequest::Order(command, ..) => match command {
            Command::Prepare(..) => true,
            Command::Arm(..) | Command::Disarm(..) => ranks > MANY,
            Command::Hold(..) | Command::Go(..) => false,
        },
        // Relays do not take these.
        EngineRequest::Counts | EngineRequest::List => return Way::Straight,
    };
    match (call.attempt % WAYS, by_relay) {
        (0, _) => Way::Around,
        (1, true) | (2, false) => Way::Relay,
        _ => Way::Straight,
    }
}

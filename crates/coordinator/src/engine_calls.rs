//! Sends the calls of switch controllers to engines and returns the replies: through the relay next
//! to an engine, in batches that one relay forwards, or directly over HTTP.

use crate::core::Core;
use crate::engine_requests::relay_request;
use crate::events::Event;
use crate::relays::{self, GroupId, RequestKind};
use bn_engine::{Answer, Call, CallRequest};
use bn_group::switch_controller::{self, Command, EngineRequest, Reply, SwitchController};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswers, EngineAsks};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Groups of at most this many ranks are armed by the leader itself, rank by rank: on 5 % of a
/// core, all are armed within a third of a forward pass.
const MAX_DIRECT_ARMS: usize = 16;
/// Number of paths that attempts alternate between.
const PATH_COUNT: u32 = 3;

impl Core {
    /// Sends each call by its path: in batches that one relay forwards, by another relay, or
    /// directly.
    pub(super) fn send_calls(
        &mut self,
        now: Duration,
        group: &GroupId,
        calls: Vec<switch_controller::Call>,
    ) {
        let port = self.inbox.port();
        let count = calls.len();
        let ranks = self
            .groups
            .controllers
            .get(group)
            .map_or(0, SwitchController::rank_count);
        let mut relayed = Vec::new();
        for (index, call) in calls.into_iter().enumerate() {
            let record = self.registry.get(&call.engine);
            let Some((record, address)) = record.and_then(|r| Some((r, r.address?))) else {
                self.queue_reply(group, call.id, Reply::Silent);
                continue;
            };
            let domain = record.domain.clone();
            let counts = relays::reports_counts(index, count);
            let relay = self.relays.relay_of(now, address, port);
            match (call_path(&call, ranks), relay) {
                (CallPath::Relay, Some(relay)) => relayed.push(RelayedCall {
                    relay,
                    domain,
                    counts,
                    call,
                }),
                (CallPath::OtherRelay, _) => {
                    let relay = SocketAddr::new(address.ip(), port);
                    let relayed = RelayedCall {
                        relay,
                        domain,
                        counts,
                        call,
                    };
                    self.send_by_other_relay(now, group, address, relayed);
                }
                _ => self.call_directly(group, address, call),
            }
        }
        let map = self.batch_map(&relayed);
        let size = relays::batch_size(relayed.len(), map.len());
        for calls in relays::batches(relayed, size, |c| &c.domain) {
            self.send_batch(now, group, &calls, &map);
        }
    }

    /// Sends a call by another relay that is connected; its own may have no link to the leader.
    fn send_by_other_relay(
        &mut self,
        now: Duration,
        group: &GroupId,
        address: SocketAddr,
        relayed: RelayedCall,
    ) {
        let Some(forwarder) = self.relays.connected_relay(now, relayed.relay) else {
            return self.call_directly(group, address, relayed.call);
        };
        let calls = [relayed];
        let map = self.batch_map(&calls);
        self.send_through(now, group, forwarder, &calls, &map);
    }

    /// The compressed map of the prepare orders in a batch; they all have the same one.
    fn batch_map(&mut self, calls: &[RelayedCall]) -> Vec<u8> {
        let map = calls.iter().find_map(|c| match &c.call.request {
            EngineRequest::Order(Command::Prepare(_, map), ..) => Some(map.clone()),
            _ => None,
        });
        map.map_or_else(Vec::new, |map| self.groups.encodings.compressed(&map))
    }

    /// Sends a batch to its first relay, which forwards it to the others.
    fn send_batch(&mut self, now: Duration, group: &GroupId, calls: &[RelayedCall], map: &[u8]) {
        // The same relay is used each time: new links cost the leader and the relays CPU time, and
        // a switch of a large group would need dozens of them per round. A relay that is dead is
        // detected and skipped, and the next one replaces it.
        if let Some(forwarder) = calls.first().map(|c| c.relay) {
            self.send_through(now, group, forwarder, calls, map);
        }
    }

    fn send_through(
        &mut self,
        now: Duration,
        group: &GroupId,
        forwarder: SocketAddr,
        calls: &[RelayedCall],
        map: &[u8],
    ) {
        let mut batch = EngineAsks {
            map: map.to_vec(),
            ..EngineAsks::default()
        };
        for RelayedCall {
            relay,
            counts,
            call,
            ..
        } in calls
        {
            let id = self.next_call_id();
            let (request, kind) = relay_request(id, *relay, call, *counts);
            batch.asks.push(request);
            let to = (*relay, forwarder);
            self.relays
                .record_request(now, id, (group, call.id), to, kind);
        }
        self.net.send(forwarder, Body::EngineAsks(batch));
    }

    fn call_directly(
        &mut self,
        group: &GroupId,
        address: SocketAddr,
        call: switch_controller::Call,
    ) {
        let (path, body, decode) = self.groups.encodings.http_request(call.request);
        let (events, group) = (self.events.clone(), group.clone());
        let id = call.id;
        let done = move |answer: Answer| {
            let reply = answer.map_or(Reply::Silent, |a| decode(a.status, &a.body));
            events.send(Event::EngineReplied(group, id, reply));
        };
        self.calls.submit(Call {
            request: CallRequest {
                address,
                path: path.into(),
                body,
                server: call.engine,
            },
            on_answer: Box::new(done),
        });
    }

    fn queue_reply(&self, group: &GroupId, call: u64, reply: Reply) {
        self.events
            .send(Event::EngineReplied(group.clone(), call, reply));
    }

    /// Fails the requests that a relay left unanswered; the switch controller retries them
    /// directly.
    pub(super) fn fail_overdue(&mut self, now: Duration) {
        for pending in self.relays.take_overdue(now) {
            self.net.disconnect(pending.forwarder);
            self.log_silent_relay(pending.forwarder, pending.kind);
            self.on_reply(now, &pending.group, pending.call, Reply::Silent);
        }
    }

    fn log_silent_relay(&self, relay: SocketAddr, kind: RequestKind) {
        let fields = json!({ "relay": relay, "about": format!("{kind:?}") });
        self.lines.put("relay_silent", fields);
    }

    /// Handles the responses that a relay collected.
    pub(crate) fn on_engine_answers(&mut self, now: Duration, answers: EngineAnswers) {
        let EngineAnswers { answers, counts } = answers;
        let mut recent_counts = (!counts.is_empty()).then_some(counts);
        for answer in answers {
            // A response after the timeout: the request has been failed already.
            let Some(pending) = self.relays.take_request(now, answer.call) else {
                continue;
            };
            if answer.unheard {
                self.relays.record_silence(now, pending.relay);
                self.log_silent_relay(pending.relay, pending.kind);
            } else {
                self.relays.record_response(pending.relay);
            }
            // Counts are summed over all engines of the batch, so they go with any one reply.
            let recent_counts = answer.view.as_ref().and_then(|_| recent_counts.take());
            let reply = relays::decode(pending.kind, answer, recent_counts);
            self.on_reply(now, &pending.group, pending.call, reply);
        }
    }
}

/// A call that is sent through the relay next to its engine.
struct RelayedCall {
    relay: SocketAddr,
    /// Failure domain of the engine, and so of its relay.
    domain: String,
    /// Whether a poll includes token counts.
    counts: bool,
    call: switch_controller::Call,
}

/// Path of a call to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPath {
    /// Over HTTP, from the leader.
    Direct,
    /// Through the relay next to the engine.
    Relay,
    /// Through that relay, forwarded by another one.
    OtherRelay,
}

/// Chooses the path of a call in a group of `ranks` ranks. Orders around a hold are sent directly
/// by the leader: a relay that stops before it passes one on stalls the group until the next
/// attempt. Orders to all ranks of a large group are sent through relays as well: calling each rank
/// would take a leader with 5 % of a core longer than the lead time of a switch, and the group
/// would be stalled meanwhile.
///
/// Each further attempt uses another path: new connections to an engine may be refused while the
/// link to its relay still works, and vice versa. Both of these paths start at the leader, though,
/// and a leader that cannot open connections has no link to relays that only got forwarded
/// requests: the third attempt goes through a relay that answers the leader. Otherwise a held group
/// is stalled until the leader can open connections again.
pub fn call_path(call: &switch_controller::Call, ranks: usize) -> CallPath {
    let prefers_relay = match &call.request {
        EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_) => true,
        EngineRequest::Order(command, ..) => match command {
            Command::Prepare(..) => true,
            Command::Arm(..) | Command::Disarm(..) => ranks > MAX_DIRECT_ARMS,
            Command::Hold(..) | Command::Go(..) => false,
        },
        // Relays do not support these requests.
        EngineRequest::Counts | EngineRequest::List => return CallPath::Direct,
    };
    match (call.attempt % PATH_COUNT, prefers_relay) {
        (0, _) => CallPath::OtherRelay,
        (1, true) | (2, false) => CallPath::Relay,
        _ => CallPath::Direct,
    }
}

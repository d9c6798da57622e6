//! The entry role: admits callers' requests, routes them, streams answers back. One
//! thread owns all of this and never blocks.

mod admit;
mod agents;
mod answers;
mod claims;
mod dispatch;
mod lease;
mod operators;
mod request;

pub(crate) use agents::digest_of;
pub(crate) use operators::{command_page, table_json};

use crate::Result;
use crate::caller::Arrival;
use crate::run::Common;
use bn_claim::Holder;
use bn_conf::Entry as Conf;
use bn_limit::{Queue, TokenBuckets};
use bn_route::{Policy, RetryTokens, Router};
use bn_state::State;
use bn_wire::messages::Envelope;
use bn_wire::messages::envelope::Body;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

const TICK: Duration = Duration::from_millis(10);
/// Events taken between two looks at the clock.
const GROUP: usize = 256;

/// What the entry thread is told.
pub(crate) enum Event {
    /// A caller's request.
    Arrival(Box<Arrival>),
    /// A caller asks for addresses; the answer is JSON.
    Addresses(oneshot::Sender<String>),
    /// A message of another process.
    Message(Box<Envelope>),
    /// An operator's command.
    Command(operators::Call),
    /// Begin a graceful stop.
    Stop,
}

/// Number of a request at this entry.
pub(crate) type RequestId = u64;
/// Number of an attempt at this entry.
pub(crate) type AttemptId = u64;

/// The entry role's state.
pub(crate) struct Entry {
    common: Common,
    conf: Conf,
    state: State,
    lease: lease::Lease,
    router: Router,
    budget: RetryTokens,
    agents: IndexMap<String, agents::Agent>,
    /// For each backend server the entries its agent reports to, and their digest.
    attach_lists: HashMap<String, (Vec<String>, u32)>,
    requests: HashMap<RequestId, request::Request>,
    attempts: HashMap<AttemptId, request::Attempt>,
    /// Requests that wait for room, by service.
    queues: IndexMap<String, Queue>,
    buckets: TokenBuckets,
    claims: HashMap<u64, RequestId>,
    holder: Holder,
    calls: HashMap<u64, operators::Open>,
    /// Numbers requests, attempts, claims and calls alike.
    last_number: u64,
    rng: SmallRng,
    /// A graceful stop began then.
    stopping: Option<Duration>,
}

impl Entry {
    pub(crate) fn new(common: Common, conf: &Conf) -> Entry {
        Entry {
            rng: SmallRng::seed_from_u64(common.net.incarnation()),
            lease: lease::Lease::new(conf.control.clone()),
            holder: Holder::new(crate::clock::wall()),
            common,
            conf: conf.clone(),
            state: State::default(),
            router: Router {
                policy: Policy::named(&conf.policy),
                ..Router::default()
            },
            budget: RetryTokens::default(),
            agents: IndexMap::new(),
            attach_lists: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            queues: IndexMap::new(),
            buckets: TokenBuckets::default(),
            claims: HashMap::new(),
            calls: HashMap::new(),
            last_number: 0,
            stopping: None,
        }
    }

    /// Runs until a graceful stop is complete.
    pub(crate) fn run(mut self, ring: &Receiver<Event>) -> Result<()> {
        let mut due = Duration::ZERO;
        loop {
            match ring.recv_timeout(TICK) {
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for event in ring.try_iter().take(GROUP) {
                self.take(event);
            }
            let now = self.now();
            if now >= due {
                due = now + TICK;
                self.tick(now);
            }
            if self.may_end(now) {
                return Ok(());
            }
        }
    }

    fn now(&self) -> Duration {
        self.common.clock.now()
    }

    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn random(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below.max(1))
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival(arrival) => self.arrive(*arrival),
            Event::Addresses(tx) => drop(tx.send(self.addresses())),
            Event::Message(envelope) => self.message(*envelope),
            Event::Command(call) => self.command(call),
            Event::Stop => self.begin_stop(),
        }
    }

    fn message(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        let Some(body) = envelope.body else { return };
        let from = Sender {
            id: envelope.from,
            incarnation: envelope.incarnation,
            inbox,
        };
        match body {
            Body::Attach(attach) => self.on_attach(&from, attach),
            Body::Started(started) => self.on_started(&from, started.attempt),
            Body::Piece(piece) => self.on_piece(&from, piece),
            Body::Finish(finish) => self.on_finish(&from, &finish),
            Body::LeaseGrant(grant) => self.on_grant(grant),
            Body::Outcome(outcome) => self.on_outcome(outcome),
            Body::ClaimAsk(ask) => self.on_claim_ask(&from, &ask),
            Body::ClaimAnswer(answer) => self.on_claim_answer(&from, &answer),
            _ => {}
        }
    }

    fn tick(&mut self, now: Duration) {
        self.renew_lease(now);
        self.watch_agents(now);
        self.watch_attempts(now);
        self.watch_requests(now);
        self.retry_claims(now);
        self.retry_calls(now);
        self.serve_queue(now);
        metrics::gauge!("requests_open").set(self.requests.len() as f64);
        let queued: usize = self.queues.values().map(Queue::len).sum();
        metrics::gauge!("requests_queued").set(queued as f64);
    }

    fn begin_stop(&mut self) {
        if self.stopping.is_none() {
            let now = self.now();
            self.stopping = Some(now);
            self.common.events.note(
                "leaving",
                "out of /v1/addresses; serving until its answers lapse",
            );
            self.ask_lease(now);
        }
    }

    /// Callers may keep an address for the time to live. The other entries hear of the
    /// leaving within a lease, or two where the leader that knew of it is replaced; so
    /// long they may still hand it out, and only then may the last request be the last.
    fn may_end(&self, now: Duration) -> bool {
        let kept = crate::control::lease::LEASE * 2 + self.conf.addresses_ttl;
        self.stopping.is_some_and(|at| now > at + kept) && self.requests.is_empty()
    }
}

/// Who sent a message.
pub(crate) struct Sender {
    id: String,
    incarnation: u64,
    inbox: SocketAddr,
}

//! The entry role: admits callers' requests, routes them and streams the answers back. One thread
//! owns all of this state and never blocks.

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
/// Maximum number of events handled between two reads of the clock.
const MAX_BATCH: usize = 256;

/// Events handled by the entry thread.
pub(crate) enum Event {
    /// A caller's request.
    Arrival(Box<Arrival>),
    /// A caller's request for addresses, answered as JSON.
    Addresses(oneshot::Sender<String>),
    /// A message from another process.
    Message(Box<Envelope>),
    /// A command of an operator.
    Command(operators::Call),
    /// Start a graceful shutdown.
    Stop,
}

/// Number of a request at this entry.
pub(crate) type RequestId = u64;
/// Number of an attempt at this entry.
pub(crate) type AttemptId = u64;

/// State of the entry role.
pub(crate) struct Entry {
    common: Common,
    conf: Conf,
    state: State,
    lease: lease::Lease,
    router: Router,
    retry_tokens: RetryTokens,
    agents: IndexMap<String, agents::Agent>,
    /// Entries that the agent of each backend server reports to, with their digest.
    attach_lists: HashMap<String, (Vec<String>, u32)>,
    requests: HashMap<RequestId, request::Request>,
    attempts: HashMap<AttemptId, request::Attempt>,
    /// Requests waiting for capacity, by service.
    queues: IndexMap<String, Queue>,
    buckets: TokenBuckets,
    claims: HashMap<u64, RequestId>,
    holder: Holder,
    calls: HashMap<u64, operators::OpenCall>,
    /// Last id assigned; requests, attempts, claims and calls share one sequence.
    last_id: u64,
    rng: SmallRng,
    /// Start time of the graceful shutdown.
    stopping: Option<Duration>,
}

impl Entry {
    pub(crate) fn new(common: Common, conf: &Conf) -> Entry {
        Entry {
            rng: SmallRng::seed_from_u64(common.net.incarnation()),
            lease: lease::Lease::new(conf.control.clone()),
            holder: Holder::new(crate::clock::unix_time()),
            common,
            conf: conf.clone(),
            state: State::default(),
            router: Router {
                policy: Policy::named(&conf.policy),
                ..Router::default()
            },
            retry_tokens: RetryTokens::default(),
            agents: IndexMap::new(),
            attach_lists: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            queues: IndexMap::new(),
            buckets: TokenBuckets::default(),
            claims: HashMap::new(),
            calls: HashMap::new(),
            last_id: 0,
            stopping: None,
        }
    }

    /// Runs until a graceful shutdown is complete.
    pub(crate) fn run(mut self, channel: &Receiver<Event>) -> Result<()> {
        let mut due = Duration::ZERO;
        loop {
            match channel.recv_timeout(TICK) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            for event in channel.try_iter().take(MAX_BATCH) {
                self.handle(event);
            }
            let now = self.now();
            if now >= due {
                due = now + TICK;
                self.tick(now);
            }
            if self.may_stop(now) {
                return Ok(());
            }
        }
    }

    fn now(&self) -> Duration {
        self.common.clock.now()
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn random(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below.max(1))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(arrival) => self.on_arrival(*arrival),
            Event::Addresses(tx) => drop(tx.send(self.addresses())),
            Event::Message(envelope) => self.on_message(*envelope),
            Event::Command(call) => self.on_command(call),
            Event::Stop => self.start_shutdown(),
        }
    }

    fn on_message(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        let Some(body) = envelope.body else { return };
        let from = Peer {
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
            Body::ClaimAsk(request) => self.on_claim_request(&from, &request),
            Body::ClaimAnswer(answer) => self.on_claim_answer(&from, &answer),
            _ => {}
        }
    }

    fn tick(&mut self, now: Duration) {
        self.renew_lease(now);
        self.expire_agents(now);
        self.expire_attempts(now);
        self.expire_requests(now);
        self.retry_claims(now);
        self.retry_calls(now);
        self.serve_queues(now);
        metrics::gauge!("requests_open").set(self.requests.len() as f64);
        let queued: usize = self.queues.values().map(Queue::len).sum();
        metrics::gauge!("requests_queued").set(queued as f64);
    }

    fn start_shutdown(&mut self) {
        if self.stopping.is_none() {
            let now = self.now();
            self.stopping = Some(now);
            self.common.events.note(
                "leaving",
                "out of /v1/addresses; serving until its answers lapse",
            );
            self.request_lease(now);
        }
    }

    /// Whether the entry may stop. Callers may cache an address for its time to live. Other entries
    /// learn of the shutdown within one lease duration, or two if the leader that knew of it is
    /// replaced; until then they may still hand out the address, so new requests may arrive.
    fn may_stop(&self, now: Duration) -> bool {
        let address_lifetime = crate::control::lease::LEASE_DURATION * 2 + self.conf.addresses_ttl;
        self.stopping.is_some_and(|at| now > at + address_lifetime) && self.requests.is_empty()
    }
}

/// Sender of a message.
pub(crate) struct Peer {
    id: String,
    incarnation: u64,
    inbox: SocketAddr,
}

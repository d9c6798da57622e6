//! Messaging between the system's own processes: one inbox per process and one bounded,
//! non-blocking link per peer. Messages may be lost; ids, epochs and deadlines in the messages
//! make that harmless. This crate never retransmits.

mod link;
mod traffic;
mod usage_reporter;

use bn_wire::messages::{Envelope, Role, envelope::Body};
use link::Link;
use nng::options::protocol::pubsub::Subscribe;
use nng::options::{Options, RecvBufferSize, RecvMaxSize};
use nng::{Protocol, Socket};
use prost::Message;
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use traffic::Traffic;

pub use traffic::{Disposition, Flow, Tally};
pub use usage_reporter::UsageReporter;

/// Received messages queued for the inbox thread; on overflow the oldest are dropped.
const INBOX_CAPACITY: i32 = 1024;
/// Largest message accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Why the inbox could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The messaging library returned an error.
    #[snafu(display("failed to open inbox {address}: {source}"))]
    Open {
        /// Listen address.
        address: SocketAddr,
        /// Error of the messaging library.
        source: nng::Error,
    },
}

/// Result of opening an inbox.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A process's inbox and its links to all peers. Cheap to clone.
#[derive(Clone)]
pub struct Net(Arc<Inner>);

struct Inner {
    id: String,
    incarnation: u64,
    inbox: String,
    role: Role,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    traffic: Mutex<Traffic>,
}

impl Net {
    /// Opens the inbox at `listen`, which peers reach at `inbox`. `sink` is called with each
    /// message on the inbox thread and must not block for long.
    pub fn open(
        id: &str,
        incarnation: u64,
        inbox: SocketAddr,
        listen: SocketAddr,
        sink: impl Fn(Envelope) + Send + 'static,
    ) -> Result<Net> {
        let deliver = move |envelope| {
            sink(envelope);
            true
        };
        Net::open_with_role(Role::Node, (id, incarnation), inbox, listen, deliver)
    }

    /// Opens the inbox of a process that is starting, under a new random incarnation. `deliver`
    /// puts each message into a bounded queue and returns `false` if that is full; messages
    /// dropped there are counted, as those dropped on a link are.
    pub fn start(
        role: Role,
        id: &str,
        inbox: SocketAddr,
        listen: SocketAddr,
        deliver: impl Fn(Envelope) -> bool + Send + 'static,
    ) -> Result<Net> {
        let incarnation = rand::random::<u64>() | 1;
        Net::open_with_role(role, (id, incarnation), inbox, listen, deliver)
    }

    fn open_with_role(
        role: Role,
        (id, incarnation): (&str, u64),
        inbox: SocketAddr,
        listen: SocketAddr,
        deliver: impl Fn(Envelope) -> bool + Send + 'static,
    ) -> Result<Net> {
        let socket = open_socket(listen).context(OpenSnafu { address: listen })?;
        let inner = Arc::new(Inner {
            id: id.into(),
            incarnation,
            inbox: inbox.to_string(),
            role,
            links: Mutex::default(),
            traffic: Mutex::default(),
        });
        // A weak reference, so that the inbox thread does not keep unused links open.
        let incarnations = PeerIncarnations {
            known: HashMap::new(),
            inner: Arc::downgrade(&inner),
        };
        thread::spawn(move || receive(&socket, incarnations, deliver));
        Ok(Net(inner))
    }

    /// Random number that identifies this run of the process.
    pub fn incarnation(&self) -> u64 {
        self.0.incarnation
    }

    /// Queues a message. `false` means that it was not queued, so no byte of it was or will be
    /// sent; `true` does not imply delivery.
    pub fn send(&self, to: SocketAddr, body: Body) -> bool {
        let kind = kind_name(&body);
        let envelope = Envelope {
            from: self.0.id.clone(),
            incarnation: self.0.incarnation,
            inbox: self.0.inbox.clone(),
            role: self.0.role.into(),
            body: Some(body),
        };
        let bytes = envelope.encode_to_vec();
        let length = bytes.len();
        metrics::counter!("link_messages").increment(1);
        metrics::counter!("link_bytes").increment(length as u64);
        let sent = self.link(to).is_some_and(|l| l.send(bytes));
        if !sent {
            metrics::counter!("link_refused").increment(1);
        }
        let disposition = if sent {
            Disposition::Sent
        } else {
            Disposition::Refused
        };
        self.0.traffic().count_sent(disposition, kind, to, length);
        sent
    }

    /// Messages and bytes sent and received since the process started.
    pub fn traffic(&self) -> Vec<(Flow, Tally)> {
        self.0.traffic().tallies()
    }

    /// Number of peers with an open link.
    pub fn link_count(&self) -> usize {
        self.0.links().len()
    }

    /// Closes the link to a peer that is gone. Queued messages are dropped, so that a peer that
    /// returns does not receive messages that are minutes old.
    pub fn disconnect(&self, peer: SocketAddr) {
        if let Some(link) = self.0.links().remove(&peer) {
            link.close();
        }
    }

    fn link(&self, to: SocketAddr) -> Option<Arc<Link>> {
        let mut links = self.0.links();
        if let Some(link) = links.get(&to) {
            return Some(link.clone());
        }
        let link = Link::dial(to).map_err(|e| log::warn!("link to {to}: {e}"));
        let link = link.ok()?;
        links.insert(to, link.clone());
        Some(link)
    }
}

impl Inner {
    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn traffic(&self) -> MutexGuard<'_, Traffic> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Label of a message's kind, for counters.
fn kind_name(body: &Body) -> &'static str {
    match body {
        Body::Attach(_) => "attach",
        Body::AgentLease(_) => "agent_lease",
        Body::Dispatch(_) => "dispatch",
        Body::Cancel(_) => "cancel",
        Body::Started(_) => "started",
        Body::Piece(_) => "piece",
        Body::Finish(_) => "finish",
        Body::LeaseAsk(_) => "lease_ask",
        Body::LeaseGrant(_) => "lease_grant",
        Body::Proposal(_) => "proposal",
        Body::Outcome(_) => "outcome",
        Body::Quorum(_) => "quorum",
        Body::ClaimAsk(_) => "claim_ask",
        Body::ClaimAnswer(_) => "claim_answer",
        Body::SwitchOrder(_) => "switch_order",
        Body::SwitchReport(_) => "switch_report",
        Body::NewsAsk(_) => "news_ask",
        Body::News(_) => "news",
        Body::DocumentAsk(_) => "document_ask",
        Body::DocumentAnswer(_) => "document_answer",
        Body::ReadAsk(_) => "read_ask",
        Body::ReadAnswer(_) => "read_answer",
        Body::JoinAsk(_) => "join_ask",
        Body::EvacuationAsk(_) => "evacuation_ask",
        Body::EngineAsks(_) => "engine_asks",
        Body::EngineAnswers(_) => "engine_answers",
        Body::Ended(_) => "ended",
        Body::TrialAsk(_) => "trial_ask",
        Body::TrialAnswer(_) => "trial_answer",
        Body::RunDone(_) => "run_done",
        Body::LimitsHeard(_) => "limits_heard",
        Body::RegistrationAsk(_) => "registration_ask",
        Body::RegistrationAnswer(_) => "registration_answer",
    }
}

fn open_socket(address: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Sub0)?;
    socket.set_opt::<Subscribe>(Vec::new())?;
    socket.set_opt::<RecvBufferSize>(INBOX_CAPACITY)?;
    socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// The last received incarnation of each peer, by inbox.
///
/// A peer that restarts after a power loss does not close its earlier connections. The link to it
/// seems to be connected until the next message on it is answered with a reset, and that message is
/// lost. Each relay of a group would lose its answer to a new leader in this way, one after the
/// other, and the leader would not see its group for seconds. So a link is closed as soon as its
/// peer sends a message with a new incarnation.
struct PeerIncarnations {
    known: HashMap<String, u64>,
    inner: Weak<Inner>,
}

impl PeerIncarnations {
    fn observe(&mut self, envelope: &Envelope) {
        let known = self.known.get_mut(&envelope.inbox);
        let earlier = known.as_ref().map(|k| **k);
        if earlier == Some(envelope.incarnation) {
            return;
        }
        match known {
            Some(known) => *known = envelope.incarnation,
            None => {
                let inbox = envelope.inbox.clone();
                self.known.insert(inbox, envelope.incarnation);
            }
        }
        let (Some(inner), Ok(peer)) = (self.inner.upgrade(), envelope.inbox.parse()) else {
            return;
        };
        inner.traffic().set_role(peer, envelope.role());
        if earlier.is_some() {
            metrics::counter!("links_of_earlier_starts").increment(1);
            Net(inner).disconnect(peer);
        }
    }

    fn count_received(
        &self,
        disposition: Disposition,
        kind: &'static str,
        from: Role,
        bytes: usize,
    ) {
        if let Some(inner) = self.inner.upgrade() {
            inner
                .traffic()
                .count_received(disposition, kind, from, bytes);
        }
    }
}

fn receive(
    socket: &Socket,
    mut incarnations: PeerIncarnations,
    deliver: impl Fn(Envelope) -> bool,
) {
    loop {
        let bytes = match socket.recv() {
            Ok(bytes) => bytes,
            Err(nng::Error::Closed) => return,
            Err(_) => continue,
        };
        match Envelope::decode(&bytes[..]) {
            Ok(envelope) => {
                metrics::counter!("link_received_bytes").increment(bytes.len() as u64);
                incarnations.observe(&envelope);
                let (kind, from) = (
                    envelope.body.as_ref().map_or("none", kind_name),
                    envelope.role(),
                );
                let taken = deliver(envelope);
                if !taken {
                    metrics::counter!("ring_lost_total").increment(1);
                }
                let disposition = if taken {
                    Disposition::Received
                } else {
                    Disposition::Dropped
                };
                incarnations.count_received(disposition, kind, from, bytes.len());
            }
            Err(_) => metrics::counter!("link_undecodable").increment(1),
        }
    }
}

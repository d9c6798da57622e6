//! Proposals of documents: any coordinator accepts one, the leader appends it, and it is
//! acknowledged once committed, that is, synced on a majority.

use crate::core::{Core, count_unwanted};
use crate::document::{VersionedDocument, encode};
use bn_quorum::Role;
use bn_settle::Document;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use indexmap::IndexSet;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a document waits for a leader and a majority here. Operators try another coordinator
/// after a second without an answer.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval between two attempts to send a document to the leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

enum Requester {
    Operator(oneshot::Sender<bool>),
    Peer(SocketAddr, u64),
}

struct Proposal {
    call: u64,
    proposed: VersionedDocument,
    requester: Option<Requester>,
    deadline: Duration,
    next_try: Duration,
}

/// Pending proposals.
#[derive(Default)]
pub(crate) struct Proposals {
    pending: Vec<Proposal>,
    /// Version and checksum of what this leader appended in `term`.
    appended: IndexSet<(u64, u32)>,
    term: u64,
}

impl Core {
    pub(crate) fn on_propose(
        &mut self,
        now: Duration,
        validated: &Document,
        document: Vec<u8>,
        reply: oneshot::Sender<bool>,
    ) {
        let proposed = VersionedDocument {
            version: validated.version(),
            document,
        };
        self.add_proposal(now, proposed, Requester::Operator(reply));
    }

    pub(crate) fn on_document_request(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        request: wire::DocumentAsk,
    ) {
        let proposed = VersionedDocument {
            version: request.version,
            document: request.document,
        };
        let newer = proposed.version > self.committed.version;
        if newer && self.quorum.role() != Role::Leader {
            return;
        }
        self.add_proposal(now, proposed, Requester::Peer(inbox, request.call));
    }

    fn add_proposal(&mut self, now: Duration, proposed: VersionedDocument, requester: Requester) {
        let call = self.next_call_id();
        self.proposals.pending.push(Proposal {
            call,
            proposed,
            requester: Some(requester),
            deadline: now + PROPOSAL_TIMEOUT,
            next_try: now,
        });
        self.acknowledge_committed();
        self.advance_proposals(now);
    }

    pub(crate) fn on_document_response(&mut self, answer: &wire::DocumentAnswer) {
        let is_answered =
            |p: &Proposal| p.call == answer.call && p.proposed.version == answer.version;
        let found = self.proposals.pending.iter().position(is_answered);
        if let Some(at) = found.filter(|_| answer.settled) {
            let proposal = self.proposals.pending.swap_remove(at);
            self.acknowledge(proposal, true);
        }
    }

    /// Acknowledges what is committed by now: a version that is not above the one in force changes
    /// nothing and is acknowledged too.
    pub(crate) fn acknowledge_committed(&mut self) {
        let version = self.committed.version;
        let pending = std::mem::take(&mut self.proposals.pending);
        let (finished, waiting) = pending
            .into_iter()
            .partition::<Vec<_>, _>(|p| p.proposed.version <= version);
        self.proposals.pending = waiting;
        for proposal in finished {
            self.acknowledge(proposal, true);
        }
    }

    /// Appends pending documents or forwards them to the leader, and gives up on those that timed
    /// out. These may still be committed later, so the answer promises nothing.
    pub(crate) fn advance_proposals(&mut self, now: Duration) {
        let pending = std::mem::take(&mut self.proposals.pending);
        let (late, mut waiting) = pending
            .into_iter()
            .partition::<Vec<_>, _>(|p| now >= p.deadline);
        for proposal in late {
            self.acknowledge(proposal, false);
        }
        for proposal in waiting.iter_mut().filter(|p| now >= p.next_try) {
            proposal.next_try = now + RETRY_INTERVAL;
            self.submit(proposal);
        }
        self.proposals.pending = waiting;
    }

    fn submit(&mut self, proposal: &Proposal) {
        if self.quorum.role() == Role::Leader {
            return self.append_once(&proposal.proposed);
        }
        let leader = self.quorum.leader().and_then(|l| l.parse().ok());
        if let Some(ip) = leader {
            let request = wire::DocumentAsk {
                call: proposal.call,
                version: proposal.proposed.version,
                document: proposal.proposed.document.clone(),
            };
            let inbox = SocketAddr::new(ip, self.inbox.port());
            self.net.send(inbox, Body::DocumentAsk(request));
        }
    }

    /// A document that is submitted repeatedly while it waits for its majority is appended to the
    /// log once per term.
    fn append_once(&mut self, proposed: &VersionedDocument) {
        if !self.quorum.voters_identified() {
            return;
        }
        let term = self.quorum.term();
        if self.proposals.term != term {
            self.proposals.term = term;
            self.proposals.appended.clear();
        }
        let bytes = encode(proposed);
        let known = (proposed.version, crc32c::crc32c(&bytes));
        if !self.proposals.appended.insert(known) {
            return;
        }
        let (version, size) = (proposed.version, bytes.len());
        if let Err(e) = self.quorum.propose(bytes) {
            self.proposals.appended.shift_remove(&known);
            log::info!("document version {version} not appended to the log: {e}");
            return;
        }
        self.lines.put(
            "document_appended",
            json!({ "version": version, "bytes": size, "term": term }),
        );
    }

    fn acknowledge(&mut self, mut proposal: Proposal, committed: bool) {
        let fields = json!({
            "version": proposal.proposed.version, "settled": committed,
            "in_force": self.committed.version, "leader": self.quorum.leader(),
        });
        self.lines.put("document_answered", fields);
        match proposal.requester.take() {
            Some(Requester::Operator(reply)) => count_unwanted(reply.send(committed)),
            Some(Requester::Peer(inbox, call)) => {
                let answer = wire::DocumentAnswer {
                    call,
                    settled: committed,
                    version: proposal.proposed.version,
                };
                self.net.send(inbox, Body::DocumentAnswer(answer));
            }
            None => {}
        }
    }
}

//! Proposals of documents: any coordinator accepts one, the leader appends it, and it is
//! acknowledged once committed, that is, synced on a majority.

use crate::core::{Core, answered};
use crate::settled::{Settled, encode};
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
const PATIENCE: Duration = Duration::from_millis(900);
/// Interval between two attempts to send a document to the leader.
const PRESS_GAP: Duration = Duration::from_millis(250);

enum Asker {
    Operator(oneshot::Sender<bool>),
    Peer(SocketAddr, u64),
}

struct Wait {
    call: u64,
    settled: Settled,
    asker: Option<Asker>,
    until: Duration,
    next: Duration,
}

/// Pending proposals.
#[derive(Default)]
pub(crate) struct Waits {
    list: Vec<Wait>,
    /// Version and checksum of what this leader appended in `term`.
    appended: IndexSet<(u64, u32)>,
    term: u64,
}

impl Core {
    pub(crate) fn on_settle(
        &mut self,
        now: Duration,
        plan: &Document,
        document: Vec<u8>,
        done: oneshot::Sender<bool>,
    ) {
        let settled = Settled {
            version: plan.version(),
            document,
        };
        self.wait(now, settled, Asker::Operator(done));
    }

    pub(crate) fn on_document_ask(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        ask: wire::DocumentAsk,
    ) {
        let settled = Settled {
            version: ask.version,
            document: ask.document,
        };
        let newer = settled.version > self.settled.version;
        if newer && self.quorum.role() != Role::Leader {
            return;
        }
        self.wait(now, settled, Asker::Peer(inbox, ask.call));
    }

    fn wait(&mut self, now: Duration, settled: Settled, asker: Asker) {
        let call = self.next_call();
        self.waits.list.push(Wait {
            call,
            settled,
            asker: Some(asker),
            until: now + PATIENCE,
            next: now,
        });
        self.finish_settling();
        self.press_settling(now);
    }

    pub(crate) fn on_document_answer(&mut self, answer: &wire::DocumentAnswer) {
        let asked = |w: &Wait| w.call == answer.call && w.settled.version == answer.version;
        let found = self.waits.list.iter().position(asked);
        if let Some(at) = found.filter(|_| answer.settled) {
            let wait = self.waits.list.swap_remove(at);
            self.acknowledge(wait, true);
        }
    }

    /// Acknowledges what is committed by now: a version that is not above the one in force changes
    /// nothing and is acknowledged too.
    pub(crate) fn finish_settling(&mut self) {
        let version = self.settled.version;
        let list = std::mem::take(&mut self.waits.list);
        let (done, rest) = list
            .into_iter()
            .partition::<Vec<_>, _>(|w| w.settled.version <= version);
        self.waits.list = rest;
        for wait in done {
            self.acknowledge(wait, true);
        }
    }

    /// Appends pending documents or forwards them to the leader, and gives up on those that timed
    /// out. These may still be committed later, so the answer promises nothing.
    pub(crate) fn press_settling(&mut self, now: Duration) {
        let list = std::mem::take(&mut self.waits.list);
        let (late, mut rest) = list.into_iter().partition::<Vec<_>, _>(|w| now >= w.until);
        for wait in late {
            self.acknowledge(wait, false);
        }
        for wait in rest.iter_mut().filter(|w| now >= w.next) {
            wait.next = now + PRESS_GAP;
            self.press(wait);
        }
        self.waits.list = rest;
    }

    fn press(&mut self, wait: &Wait) {
        if self.quorum.role() == Role::Leader {
            return self.append_once(&wait.settled);
        }
        let leader = self.quorum.leader().and_then(|l| l.parse().ok());
        if let Some(ip) = leader {
            let ask = wire::DocumentAsk {
                call: wait.call,
                version: wait.settled.version,
                document: wait.settled.document.clone(),
            };
            let inbox = SocketAddr::new(ip, self.inbox.port());
            self.net.send(inbox, Body::DocumentAsk(ask));
        }
    }

    /// A document that is submitted repeatedly while it waits for its majority is appended to the
    /// log once per term.
    fn append_once(&mut self, settled: &Settled) {
        if !self.quorum.voters_identified() {
            return;
        }
        let term = self.quorum.term();
        if self.waits.term != term {
            self.waits.term = term;
            self.waits.appended.clear();
        }
        let bytes = encode(settled);
        let known = (settled.version, crc32c::crc32c(&bytes));
        if !self.waits.appended.insert(known) {
            return;
        }
        let (version, size) = (settled.version, bytes.len());
        if let Err(e) = self.quorum.propose(bytes) {
            self.waits.appended.shift_remove(&known);
            log::info!("version {version} not appended: {e}");
            return;
        }
        self.lines.put(
            "document_appended",
            json!({ "version": version, "bytes": size, "term": term }),
        );
    }

    fn acknowledge(&mut self, mut wait: Wait, settled: bool) {
        let fields = json!({
            "version": wait.settled.version, "settled": settled,
            "in_force": self.settled.version, "leader": self.quorum.leader(),
        });
        self.lines.put("document_answered", fields);
        match wait.asker.take() {
            Some(Asker::Operator(done)) => answered(done.send(settled)),
            Some(Asker::Peer(inbox, call)) => {
                let answer = wire::DocumentAnswer {
                    call,
                    settled,
                    version: wait.settled.version,
                };
                self.net.send(inbox, Body::DocumentAnswer(answer));
            }
            None => {}
        }
    }
}

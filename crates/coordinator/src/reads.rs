//! Reads of the document in force: answered only if it is certainly the newest.
//!
//! The leader confirms by a round of the log that it is still the leader; other coordinators ask it
//! for the newest version and answer once they have that. No lease is trusted for this: a suspended
//! process finds its lease unexpired by a clock that was stopped.

use crate::core::{Core, count_unwanted};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a read waits; operators try another coordinator after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two requests to the leader.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

enum Requester {
    Operator(oneshot::Sender<Option<Vec<u8>>>),
    Peer(SocketAddr, u64),
}

/// Progress of a read.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// Not started, or reset by a change of leader.
    Idle,
    /// Waits until this leader's round is confirmed; term and round.
    Round(u64, u64),
    /// The newest version is known; it may still have to arrive here.
    Version(u64),
}

struct PendingRead {
    call: u64,
    requester: Option<Requester>,
    stage: Stage,
    deadline: Duration,
    next_try: Duration,
}

/// Pending reads.
#[derive(Default)]
pub(crate) struct Reads {
    pending: Vec<PendingRead>,
}

impl Core {
    pub(crate) fn on_read(&mut self, now: Duration, reply: oneshot::Sender<Option<Vec<u8>>>) {
        self.queue_read(now, Requester::Operator(reply));
    }

    pub(crate) fn on_read_request(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        request: &wire::ReadAsk,
    ) {
        self.queue_read(now, Requester::Peer(inbox, request.call));
    }

    fn queue_read(&mut self, now: Duration, requester: Requester) {
        let call = self.next_call_id();
        self.reads.pending.push(PendingRead {
            call,
            requester: Some(requester),
            stage: Stage::Idle,
            deadline: now + READ_TIMEOUT,
            next_try: now,
        });
    }

    pub(crate) fn on_read_response(&mut self, answer: &wire::ReadAnswer) {
        let mut waiting = self.reads.pending.iter_mut();
        if let Some(read) = waiting.find(|r| r.call == answer.call)
            && answer.sure
        {
            read.stage = Stage::Version(answer.version);
        }
    }

    /// Advances every read, and answers those that are confirmed or timed out.
    pub(crate) fn answer_reads(&mut self, now: Duration) {
        let mut pending = std::mem::take(&mut self.reads.pending);
        for read in &mut pending {
            self.advance(now, read);
        }
        let version = self.committed.version;
        let is_confirmed = |r: &PendingRead| matches!(r.stage, Stage::Version(v) if version >= v);
        let (finished, waiting) = pending
            .into_iter()
            .partition::<Vec<_>, _>(|r| is_confirmed(r) || now >= r.deadline);
        self.reads.pending = waiting;
        for read in finished {
            let confirmed = is_confirmed(&read);
            self.answer_read(read, confirmed);
        }
    }

    fn advance(&mut self, now: Duration, read: &mut PendingRead) {
        if let Stage::Round(term, round) = read.stage {
            if self.quorum.term() != term {
                read.stage = Stage::Idle;
            } else if self.quorum.confirmed_round() >= round {
                read.stage = Stage::Version(self.committed.version);
            }
        }
        if read.stage != Stage::Idle || now < read.next_try {
            return;
        }
        read.next_try = now + REQUEST_INTERVAL;
        if let Some(round) = self.quorum.start_round(now) {
            read.stage = Stage::Round(self.quorum.term(), round);
            return;
        }
        let leader = self.quorum.leader().and_then(|l| l.parse().ok());
        let local = matches!(read.requester, Some(Requester::Operator(_)));
        if let Some(ip) = leader.filter(|_| local) {
            let inbox = SocketAddr::new(ip, self.inbox.port());
            let request = wire::ReadAsk { call: read.call };
            self.net.send(inbox, Body::ReadAsk(request));
        }
    }

    fn answer_read(&mut self, mut read: PendingRead, confirmed: bool) {
        let version = self.committed.version;
        match read.requester.take() {
            Some(Requester::Operator(reply)) => {
                let document = (confirmed && version > 0).then(|| self.committed.document.clone());
                count_unwanted(reply.send(document));
            }
            Some(Requester::Peer(inbox, call)) => {
                let answer = wire::ReadAnswer {
                    call,
                    sure: confirmed,
                    version,
                };
                self.net.send(inbox, Body::ReadAnswer(answer));
            }
            None => {}
        }
    }
}

//! Reads of the document in force: answered only if it is certainly the newest.
//!
//! The leader confirms by a round of the log that it is still the leader; other coordinators ask it
//! for the newest version and answer once they have that. No lease is trusted for this: a suspended
//! process finds its lease unexpired by a clock that was stopped.

use crate::core::{Core, answered};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a read waits; operators try another coordinator after a second.
const PATIENCE: Duration = Duration::from_millis(800);
/// Interval between two requests to the leader.
const ASK_GAP: Duration = Duration::from_millis(250);

enum Asker {
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

struct Read {
    call: u64,
    asker: Option<Asker>,
    stage: Stage,
    until: Duration,
    next: Duration,
}

/// Pending reads.
#[derive(Default)]
pub(crate) struct Reads {
    list: Vec<Read>,
}

impl Core {
    pub(crate) fn on_read(&mut self, now: Duration, done: oneshot::Sender<Option<Vec<u8>>>) {
        self.queue_read(now, Asker::Operator(done));
    }

    pub(crate) fn on_read_ask(&mut self, now: Duration, inbox: SocketAddr, ask: &wire::ReadAsk) {
        self.queue_read(now, Asker::Peer(inbox, ask.call));
    }

    fn queue_read(&mut self, now: Duration, asker: Asker) {
        let call = self.next_call();
        self.reads.list.push(Read {
            call,
            asker: Some(asker),
            stage: Stage::Idle,
            until: now + PATIENCE,
            next: now,
        });
    }

    pub(crate) fn on_read_answer(&mut self, answer: &wire::ReadAnswer) {
        let mut waiting = self.reads.list.iter_mut();
        if let Some(read) = waiting.find(|r| r.call == answer.call)
            && answer.sure
        {
            read.stage = Stage::Version(answer.version);
        }
    }

    /// Advances every read, and answers those that are confirmed or timed out.
    pub(crate) fn answer_reads(&mut self, now: Duration) {
        let mut list = std::mem::take(&mut self.reads.list);
        for read in &mut list {
            self.move_on(now, read);
        }
        let held = self.settled.version;
        let sure = |r: &Read| matches!(r.stage, Stage::Version(v) if held >= v);
        let (ended, waiting) = list
            .into_iter()
            .partition::<Vec<_>, _>(|r| sure(r) || now >= r.until);
        self.reads.list = waiting;
        for read in ended {
            let is_sure = sure(&read);
            self.answer_read(read, is_sure);
        }
    }

    fn move_on(&mut self, now: Duration, read: &mut Read) {
        if let Stage::Round(term, round) = read.stage {
            if self.quorum.term() != term {
                read.stage = Stage::Idle;
            } else if self.quorum.confirmed_round() >= round {
                read.stage = Stage::Version(self.settled.version);
            }
        }
        if read.stage != Stage::Idle || now < read.next {
            return;
        }
        read.next = now + ASK_GAP;
        if let Some(round) = self.quorum.start_round(now) {
            read.stage = Stage::Round(self.quorum.term(), round);
            return;
        }
        let leader = self.quorum.leader().and_then(|l| l.parse().ok());
        let local = matches!(read.asker, Some(Asker::Operator(_)));
        if let Some(ip) = leader.filter(|_| local) {
            let inbox = SocketAddr::new(ip, self.inbox.port());
            let ask = wire::ReadAsk { call: read.call };
            self.net.send(inbox, Body::ReadAsk(ask));
        }
    }

    fn answer_read(&mut self, mut read: Read, sure: bool) {
        let version = self.settled.version;
        match read.asker.take() {
            Some(Asker::Operator(done)) => {
                let document = (sure && version > 0).then(|| self.settled.document.clone());
                answered(done.send(document));
            }
            Some(Asker::Peer(inbox, call)) => {
                let answer = wire::ReadAnswer {
                    call,
                    sure,
                    version,
                };
                self.net.send(inbox, Body::ReadAnswer(answer));
            }
            None => {}
        }
    }
}

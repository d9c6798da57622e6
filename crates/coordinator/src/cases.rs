//! Requests that end backend servers: every coordinator keeps the cases, the leader lets suspects be
//! tried, one try at a time.
//!
//! Gateways tell all coordinators of each end, so that a new leader knows what the one before it knew.
//! What is refused is on the disk of each, too: after a common stop of all processes nobody else would
//! remember it, and it would end three backend servers again.

use crate::core::Core;
use bn_quarantine::{
    Case, CaseStatus, CaseUpdate, Digest, Start, Table, Termination, Trials, read_digest, to_text,
};
use bn_quorum::Role;
use bn_store::{AtomicFile, Disk};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use indexmap::IndexMap;
use prost::Message;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// File of what is refused, in the data folder.
const FILE: &str = "refused";
/// Between two looks for cases that are too old.
const FORGET_GAP: Duration = Duration::from_secs(10);

/// Time within which several gateways tell of the same end: ranks that wait for another are given up
/// after some seconds.
const TOLD_FOR: Duration = Duration::from_secs(15);

/// A coordinator's cases.
pub(crate) struct Cases {
    pub(crate) table: Table,
    trials: Trials,
    side: AtomicFile,
    /// Ends that gateways were told of.
    ends: IndexMap<Start, Duration>,
    /// What the disk holds.
    written: Vec<CaseUpdate>,
    due: Duration,
    /// Change up to which gateways were told.
    pushed: u64,
}

impl Cases {
    /// Begins with what the disk holds. What cannot be read is lost, and costs backend servers until it
    /// is known again; that is no reason not to start.
    pub(crate) fn open(data: &Path) -> Cases {
        let side = AtomicFile::new(data, FILE, Disk::default());
        let mut table = Table::default();
        let held = side.read().map_err(|e| e.to_string()).and_then(decode);
        match held {
            Ok(held) => {
                for told in &held {
                    table.merge(Duration::ZERO, told);
                }
            }
            Err(e) => log::error!("which requests are refused cannot be read: {e}"),
        }
        Cases {
            written: table.refused(),
            table,
            trials: Trials::default(),
            side,
            ends: IndexMap::new(),
            due: Duration::ZERO,
            pushed: 0,
        }
    }

    /// Takes over what was known before the disk failed.
    pub(crate) fn inherit(&mut self, now: Duration, before: Cases) {
        for told in before.table.since(0) {
            self.table.merge(now, &told);
        }
        self.trials = before.trials;
    }

    /// Cases that changed after `turn`. Gateways are told only of those that they act on.
    pub(crate) fn told_since(&self, turn: u64, gateway: bool) -> Vec<wire::Case> {
        let told = self.table.since(turn);
        let told = told.iter().filter(|t| !gateway || is_acted_on(&t.case));
        told.map(Into::into).collect()
    }
}

/// The cases in the file's content; none where there is no file.
fn decode(content: Option<Vec<u8>>) -> std::result::Result<Vec<CaseUpdate>, String> {
    let Some(content) = content else {
        return Ok(Vec::new());
    };
    let held = wire::News::decode(&content[..]).map_err(|e| e.to_string())?;
    let told = held.cases.into_iter().map(CaseUpdate::try_from);
    told.collect::<std::result::Result<_, _>>()
        .map_err(|e| e.to_string())
}

/// Whether a gateway does anything else than without the case. A single end is held against a dozen
/// requests, and says nothing yet.
fn is_acted_on(case: &Case) -> bool {
    case.status() != CaseStatus::Free || case.round > 0
}

impl Core {
    /// A gateway saw a backend server end.
    pub(crate) fn on_ended(&mut self, now: Duration, inbox: SocketAddr, raw: wire::Ended) {
        let end = match Termination::try_from(raw) {
            Ok(end) => end,
            Err(e) => return log::warn!("an end from {inbox}: {e}"),
        };
        let digests: Vec<String> = end.runs.iter().map(|(d, _)| to_text(*d)).collect();
        self.lines.put(
            "end_heard",
            json!({ "id": end.start.id, "began": end.start.start_time, "gateway": inbox, "digests": digests }),
        );
        self.tell_end(now, &end.start);
        for (digest, alone) in &end.runs {
            if self
                .cases
                .table
                .add_termination(now, *digest, &end.start, *alone)
            {
                self.note_case(*digest, &inbox.to_string());
            }
        }
    }

    /// Tells gateways of an end once: those that had nothing there would go on sending to its group, or
    /// try to connect.
    fn tell_end(&mut self, now: Duration, start: &Start) {
        self.cases.ends.retain(|_, at| now < *at + TOLD_FOR);
        if self.cases.ends.insert(start.clone(), now).is_some() {
            return;
        }
        let news = wire::News {
            ended: vec![start.into()],
            ..self.plain_news()
        };
        self.push_to_own(&news);
    }

    /// Another coordinator's cases.
    pub(crate) fn take_cases(&mut self, now: Duration, inbox: SocketAddr, raw: Vec<wire::Case>) {
        for told in raw.into_iter().map(CaseUpdate::try_from) {
            match told {
                Ok(told) => {
                    if self.cases.table.merge(now, &told) {
                        self.note_case(told.digest, &inbox.to_string());
                    }
                }
                Err(e) => log::warn!("a case from {inbox}: {e}"),
            }
        }
    }

    /// A gateway would try a suspect. Only the leader answers: two of them at once would let two run.
    pub(crate) fn on_trial_ask(&mut self, now: Duration, inbox: SocketAddr, ask: &wire::TrialAsk) {
        let Ok(digest) = read_digest(&ask.digest) else {
            return;
        };
        if self.quorum.role() != Role::Leader {
            return;
        }
        let time = Duration::from_millis(ask.time_ms);
        let refused = self.cases.table.status(digest) == CaseStatus::Refused;
        let granted = !refused && self.cases.trials.grant(now, digest, time);
        self.lines.put(
            "trial_asked",
            json!({ "digest": to_text(digest), "gateway": inbox, "granted": granted }),
        );
        let answer = wire::TrialAnswer {
            call: ask.call,
            granted,
        };
        self.net.send(inbox, Body::TrialAnswer(answer));
    }

    /// A run of a suspect is over.
    pub(crate) fn on_run_done(&mut self, now: Duration, inbox: SocketAddr, done: &wire::RunDone) {
        let Ok(digest) = read_digest(&done.digest) else {
            return;
        };
        self.cases.trials.finish(now, digest, done.whole);
        if done.whole && self.cases.table.close(now, digest) {
            self.note_case(digest, &inbox.to_string());
        }
    }

    /// An operator vouches for a request.
    pub(crate) fn pardon(&mut self, now: Duration, digest: Digest) -> bool {
        let closed = self.cases.table.close(now, digest);
        if closed {
            self.note_case(digest, "operator");
        }
        closed
    }

    /// What is refused, and what is suspected, for operators.
    pub(crate) fn show_cases(&self) -> String {
        let told = self.cases.table.since(0).into_iter();
        let told = told.filter(|t| t.case.status() != CaseStatus::Free);
        let rows = told.map(|t| {
            let ends: Vec<&str> = t.case.terminations.iter().map(|s| s.id.as_str()).collect();
            let standing = format!("{:?}", t.case.status());
            json!({ "digest": to_text(t.digest), "standing": standing, "ended": ends })
        });
        json!({ "requests": rows.collect::<Vec<_>>() }).to_string()
    }

    fn note_case(&self, digest: Digest, source: &str) {
        let Some(case) = self.cases.table.get(digest).filter(|c| is_acted_on(c)) else {
            return;
        };
        let ends: Vec<&str> = case.terminations.iter().map(|s| s.id.as_str()).collect();
        self.lines.put(
            "request_case",
            json!({
                "digest": to_text(digest), "standing": format!("{:?}", case.status()),
                "ended": ends, "round": case.round, "source": source,
            }),
        );
    }

    /// Tells gateways at once what they act on, and writes what is refused.
    pub(crate) fn keep_cases(&mut self, now: Duration) {
        if now >= self.cases.due {
            self.cases.due = now + FORGET_GAP;
            self.cases.table.expire(now);
            // Once more, where the disk did not take it.
            self.write_refused();
        }
        let turn = self.cases.table.cursor();
        if turn == self.cases.pushed {
            return;
        }
        let cases = self.cases.told_since(self.cases.pushed, true);
        self.cases.pushed = turn;
        if !cases.is_empty() {
            let news = wire::News {
                cases,
                ..self.plain_news()
            };
            self.push_to_own(&news);
        }
        self.write_refused();
    }

    /// A disk that does not take it is noted: the other coordinators have it, too.
    fn write_refused(&mut self) {
        let refused = self.cases.table.refused();
        if refused == self.cases.written {
            return;
        }
        let content = wire::News {
            cases: refused.iter().map(Into::into).collect(),
            ..wire::News::default()
        };
        match self.cases.side.write(&content.encode_to_vec()) {
            Ok(()) => self.cases.written = refused,
            Err(e) => log::error!("which requests are refused is not on disk: {e}"),
        }
    }
}

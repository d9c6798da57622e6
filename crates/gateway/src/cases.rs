//! Requests that end backend servers, between this gateway and the coordinators: what is told to them,
//! and what is learnt from them.

use crate::link::Link;
use crate::suspects::{self, Report};
use bn_quarantine::{CaseUpdate, Digest, Start, to_text};
use bn_registry::{Condition, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use serde_json::json;

/// Suspects that wait for a word at the most: those that no leader answers are forgotten, the
/// oldest first.
const MOST_ASKED: usize = 64;

impl Link {
    /// Takes in what a coordinator knows of a request under which backend servers ended.
    pub(crate) fn learn(&self, told: &CaseUpdate) {
        let now = self.shared.now();
        let digest = told.digest;
        let (before, after, ends) = {
            let mut state = self.shared.state();
            let before = state.cases.status(digest);
            state.cases.merge(now, told);
            state.cases.expire(now);
            let ends = state.cases.get(digest).map_or(0, |c| c.terminations.len());
            (before, state.cases.status(digest), ends)
        };
        if before != after {
            self.shared.lines.put(
                "request_standing",
                json!({
                    "digest": to_text(digest), "standing": format!("{after:?}"),
                    "before": format!("{before:?}"), "ends": ends, "round": told.case.round,
                }),
            );
        }
    }

    /// Another gateway saw a backend server end. Runs that were lost there count at once.
    pub(crate) fn learn_end(&self, start: &Start) {
        suspects::fell(&self.shared, start, "told");
        let now = self.shared.now();
        let end = self.shared.state().watch.on_terminated(now, start);
        if let Some(end) = end {
            suspects::tell(&self.shared, end, "told");
        }
    }

    /// Tells all coordinators: each keeps what it is told, and the leader may be any of them.
    pub(crate) fn report(&mut self, report: Report) {
        let bytes = |d: Digest| d.to_be_bytes().to_vec();
        let body = match report {
            Report::End(end) => Body::Ended((&end).into()),
            Report::Done(digest, whole) => Body::RunDone(wire::RunDone {
                digest: bytes(digest),
                whole,
            }),
            Report::Ask(digest, time, word) => {
                self.calls += 1;
                // Numbers of an earlier start of this process are others.
                let call = self.net.incarnation().wrapping_add(self.calls);
                self.asked.insert(call, (digest, word));
                while self.asked.len() > MOST_ASKED {
                    self.asked.shift_remove_index(0);
                }
                Body::TrialAsk(wire::TrialAsk {
                    call,
                    digest: bytes(digest),
                    time_ms: time.as_millis() as u64,
                })
            }
        };
        for inbox in self.sources.all() {
            self.net.send(inbox, body.clone());
        }
    }

    pub(crate) fn take_word(&mut self, answer: &wire::TrialAnswer) {
        let Some((digest, word)) = self.asked.swap_remove(&answer.call) else {
            return;
        };
        // Nobody waits any more for a word that comes too late: others may try.
        if word.send(answer.granted).is_err() && answer.granted {
            self.report(Report::Done(digest, false));
        }
    }

    /// A backend server that comes shows the end of the one before it.
    pub(crate) fn note_ends(&self, record: &Record) {
        if record.condition == Condition::Gone {
            return;
        }
        let next = Start {
            id: record.id.clone(),
            start_time: record.start_time,
        };
        let now = self.shared.now();
        let ends = self
            .shared
            .state()
            .watch
            .on_start(now, &next, record.address);
        for end in ends {
            suspects::tell(&self.shared, end, "followed");
        }
    }
}

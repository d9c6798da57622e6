//! Requests that terminate backend servers: what this gateway reports to the coordinators and what
//! it receives from them.

use crate::link::Link;
use crate::lost_runs;
use crate::suspects::Report;
use bn_quarantine::{CaseUpdate, Digest, Start, to_text};
use bn_registry::{Condition, Record};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use serde_json::json;

/// Maximum number of suspects that wait for a trial answer: those that no leader answers are
/// evicted, the oldest first.
const MAX_PENDING_TRIALS: usize = 64;

impl Link {
    /// Merges what a coordinator knows of a request under which backend servers terminated.
    pub(crate) fn merge_case(&self, update: &CaseUpdate) {
        let now = self.shared.now();
        let digest = update.digest;
        let (before, after, count) = {
            let mut state = self.shared.state();
            let before = state.cases.status(digest);
            state.cases.merge(now, update);
            state.cases.expire(now);
            let count = state.cases.get(digest).map_or(0, |c| c.terminations.len());
            (before, state.cases.status(digest), count)
        };
        self.shared.cases_changed.notify_waiters();
        if before != after {
            self.shared.lines.put(
                "request_standing",
                json!({
                    "digest": to_text(digest), "standing": format!("{after:?}"),
                    "before": format!("{before:?}"), "ends": count, "round": update.case.round,
                }),
            );
        }
    }

    /// Another gateway saw a backend server terminate. Runs that were lost here count at once.
    pub(crate) fn on_remote_termination(&self, start: &Start) {
        lost_runs::mark_terminated(&self.shared, start, "told");
        let now = self.shared.now();
        let termination = self.shared.state().losses.on_terminated(now, start);
        if let Some(termination) = termination {
            lost_runs::report_termination(&self.shared, termination, "told");
        }
    }

    /// Reports to all coordinators: each keeps what it receives, and the leader may be any of them.
    pub(crate) fn report(&mut self, report: Report) {
        let bytes = |d: Digest| d.to_be_bytes().to_vec();
        let body = match report {
            Report::Terminated(termination) => Body::Ended((&termination).into()),
            Report::RunFinished(digest, complete) => Body::RunDone(wire::RunDone {
                digest: bytes(digest),
                whole: complete,
            }),
            Report::TrialRequest(suspects, time, reply) => {
                let mut digests = suspects.iter().map(|d| bytes(*d));
                let (digest, others) = (digests.next().unwrap_or_default(), digests.collect());
                self.last_call += 1;
                // Differs from the call numbers of an earlier start of this process.
                let call = self.net.incarnation().wrapping_add(self.last_call);
                self.pending_trials.insert(call, (suspects, reply));
                while self.pending_trials.len() > MAX_PENDING_TRIALS {
                    self.pending_trials.shift_remove_index(0);
                }
                Body::TrialAsk(wire::TrialAsk {
                    call,
                    digest,
                    time_ms: time.as_millis() as u64,
                    others,
                })
            }
        };
        for inbox in self.sources.all() {
            self.net.send(inbox, body.clone());
        }
    }

    pub(crate) fn on_trial_answer(&mut self, answer: &wire::TrialAnswer) {
        self.shared.state().asks.on_answer();
        let Some((suspects, reply)) = self.pending_trials.swap_remove(&answer.call) else {
            return;
        };
        // The request no longer waits for a late grant: others may try.
        if reply.send(answer.granted).is_err() && answer.granted {
            for digest in suspects {
                self.report(Report::RunFinished(digest, false));
            }
        }
    }

    /// A backend server that registers shows that its predecessor terminated.
    pub(crate) fn report_predecessors(&self, record: &Record) {
        if record.condition == Condition::Gone {
            return;
        }
        let next = Start {
            id: record.id.clone(),
            start_time: record.start_time,
        };
        let now = self.shared.now();
        let terminations = self
            .shared
            .state()
            .losses
            .on_start(now, &next, record.address);
        for termination in terminations {
            lost_runs::report_termination(&self.shared, termination, "followed");
        }
    }
}

//! Forwards answers to callers. Attempt numbers and agent incarnations must match, so that a late
//! answer never reaches another request.

use super::{Entry, Peer};
use crate::caller::AnswerPart;
use crate::verdict::Verdict;
use bn_serve::client::is_final;
use bn_wire::messages::finish::Kind;
use bn_wire::messages::{Finish, Piece};

impl Entry {
    pub(super) fn on_started(&mut self, from: &Peer, attempt: u64) {
        if let Some(a) = self.attempts.get_mut(&attempt)
            && a.incarnation == from.incarnation
        {
            a.started = true;
        }
    }

    pub(super) fn on_piece(&mut self, from: &Peer, piece: Piece) {
        let Some(a) = self.attempts.get_mut(&piece.attempt) else {
            metrics::counter!("late_pieces").increment(1);
            return;
        };
        if a.incarnation != from.incarnation {
            return;
        }
        a.started = true;
        let Some(request) = self.requests.get_mut(&a.request) else {
            return;
        };
        if piece.offset > request.sent {
            let reason = "a piece of the answer was lost";
            return self.fail_attempt(piece.attempt, Verdict::MayHaveRun, reason);
        }
        if !u16::try_from(piece.status).is_ok_and(is_final) {
            let reason = "the answer has no valid status";
            return self.fail_attempt(piece.attempt, Verdict::MayHaveRun, reason);
        }
        // An answer resumed at another backend server may fail there: the error page appended to
        // the first part would complete an answer that no backend server gave.
        if request.head_sent && piece.status != request.status {
            let reason = "the answer went on with another status";
            return self.fail_attempt(piece.attempt, Verdict::MayHaveRun, reason);
        }
        let mut delivered = true;
        if !request.head_sent {
            request.head_sent = true;
            request.status = piece.status;
            let pairs = piece
                .headers
                .into_iter()
                .map(|h| (h.name, h.value))
                .collect();
            delivered = request.send(AnswerPart::Head(piece.status as u16, pairs));
            let waited = self.common.clock.now().saturating_sub(request.arrived);
            metrics::histogram!("first_piece_seconds").record(waited);
        }
        let already_sent = (request.sent - piece.offset) as usize;
        if let Some(new_bytes) = piece.data.get(already_sent..).filter(|f| !f.is_empty()) {
            request.sent += new_bytes.len() as u64;
            delivered = delivered && request.send(AnswerPart::Data(new_bytes.to_vec()));
        }
        if !delivered {
            metrics::counter!("callers_gone").increment(1);
            let id = a.request;
            self.cancel_attempts(id);
            // Dropping the request closes its channel: the connection is aborted, so the caller
            // cannot mistake the partial answer for a complete one.
            self.requests.remove(&id);
        }
    }

    pub(super) fn on_finish(&mut self, from: &Peer, finish: &Finish) {
        let Some(a) = self.attempts.get(&finish.attempt) else {
            return;
        };
        if a.incarnation != from.incarnation {
            return;
        }
        let now = self.common.clock.now();
        self.router.update_running(now, &a.backend, finish.running);
        let sent = self.requests.get(&a.request).map_or(0, |r| r.sent);
        match finish.kind() {
            Kind::Whole if finish.length == sent => self.complete(finish.attempt),
            Kind::Whole => {
                let reason = "the end of the answer came before all of it";
                self.fail_attempt(finish.attempt, Verdict::MayHaveRun, reason);
            }
            Kind::NotRun if finish.full => self.requeue(finish.attempt),
            Kind::NotRun => self.on_rejected(finish.attempt, &finish.reason),
            _ => self.fail_attempt(finish.attempt, Verdict::MayHaveRun, &finish.reason),
        }
    }

    fn complete(&mut self, attempt: u64) {
        let now = self.now();
        let Some(a) = self.attempts.remove(&attempt) else {
            return;
        };
        self.router.record_end(now, &a.backend, attempt, Some(true));
        if let Some(request) = self.requests.remove(&a.request) {
            metrics::counter!("answers_whole", "account" => request.account.clone()).increment(1);
            request.send(AnswerPart::End);
        }
    }

    /// Queues the request again when other entries filled the backend server after its last report.
    /// This costs no retry token: a period of high load would exhaust them.
    fn requeue(&mut self, attempt: u64) {
        let now = self.now();
        let Some(a) = self.attempts.remove(&attempt) else {
            return;
        };
        self.router.record_end(now, &a.backend, attempt, None);
        metrics::counter!("found_full").increment(1);
        if let Some(request) = self.requests.get_mut(&a.request) {
            request.tried.retain(|b| *b != a.backend);
            self.dispatch_or_queue(a.request);
        }
    }

    /// Retries a request that the agent did not run; the backend server is not at fault.
    fn on_rejected(&mut self, attempt: u64, reason: &str) {
        let now = self.now();
        let Some(a) = self.attempts.remove(&attempt) else {
            return;
        };
        self.router.record_end(now, &a.backend, attempt, None);
        metrics::counter!("turned_away").increment(1);
        self.retry_or_fail(a.request, Verdict::NotRun, reason);
    }
}

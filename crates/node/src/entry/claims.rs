//! Claims on idempotency keys: this entry's own and those that it holds for others.

use super::request::Phase;
use super::{Entry, Peer};
use crate::clock::unix_time;
use crate::verdict::Refusal;
use bn_claim::{Answer, HOLDERS, Outcome, PendingClaim, mint_time, rendezvous};
use bn_wire::messages::claim_answer::Kind;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{ClaimAnswer, ClaimAsk};
use std::time::Duration;

/// Interval between claim requests to holders that have not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a claim without a majority is abandoned.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

impl Entry {
    pub(super) fn start_claim(&mut self, id: u64) {
        let now = self.now();
        let Some(key) = self.claim_key(id) else {
            return;
        };
        let entries = self
            .state
            .entries
            .iter()
            .map(|(i, e)| (i.as_str(), e.domain.as_str()));
        let holders = rendezvous(&key, HOLDERS, entries)
            .into_iter()
            .map(String::from)
            .collect();
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Claiming(PendingClaim::new(holders), now + RETRY_INTERVAL);
        }
        self.claims.insert(id, id);
        self.query_holders(id);
    }

    /// Returns the key qualified by its account, so that keys of different accounts cannot collide.
    fn claim_key(&self, id: u64) -> Option<String> {
        let request = self.requests.get(&id)?;
        let key = request.arrival.idempotency.as_ref()?;
        Some(format!("{}/{key}", request.account))
    }

    fn query_holders(&self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Phase::Claiming(claim, _) = &request.phase else {
            return;
        };
        let message = ClaimAsk {
            call: id,
            key: request.arrival.idempotency.clone().unwrap_or_default(),
            account: request.account.clone(),
            chain: id,
            epoch: self.state.claim_epoch,
        };
        for holder in claim.unanswered() {
            if let Some(entry) = self.state.entries.get(holder) {
                self.common
                    .net
                    .send(entry.inbox, Body::ClaimAsk(message.clone()));
            }
        }
    }

    pub(super) fn on_claim_request(&mut self, from: &Peer, request: &ClaimAsk) {
        let now = self.now();
        // Without a lease, the set of holders may have changed without this entry's knowledge.
        if !self.lease.valid(now) {
            return;
        }
        let Some(minted_at) = mint_time(&request.key) else {
            return;
        };
        let key = format!("{}/{}", request.account, request.key);
        let chain = (from.incarnation, request.chain);
        let kind = match self
            .holder
            .claim(unix_time(), &key, minted_at, chain, request.epoch)
        {
            Answer::Granted => Kind::Granted,
            Answer::Taken => Kind::Taken,
            Answer::Forgot => Kind::Forgot,
            Answer::Stale => Kind::Stale,
        };
        metrics::gauge!("claims_held").set(self.holder.len() as f64);
        let answer = ClaimAnswer {
            call: request.call,
            kind: kind.into(),
        };
        self.common.net.send(from.inbox, Body::ClaimAnswer(answer));
    }

    pub(super) fn on_claim_answer(&mut self, from: &Peer, answer: &ClaimAnswer) {
        let id = answer.call;
        let Some(Phase::Claiming(claim, _)) = self.requests.get_mut(&id).map(|r| &mut r.phase)
        else {
            return;
        };
        let kind = match answer.kind() {
            Kind::Granted => Answer::Granted,
            Kind::Taken => Answer::Taken,
            Kind::Stale => Answer::Stale,
            Kind::Forgot | Kind::Unspecified => Answer::Forgot,
        };
        match claim.record(&from.id, kind) {
            Outcome::Undecided => {}
            Outcome::Won => {
                self.claims.remove(&id);
                self.dispatch_or_queue(id);
            }
            Outcome::Lost => self.reject_claim(id, 409, "the key is claimed, or cannot be checked"),
        }
    }

    /// Refuses a request whose key was not claimed: it may have run in another chain of attempts.
    fn reject_claim(&mut self, id: u64, status: u16, reason: &str) {
        self.claims.remove(&id);
        metrics::counter!("claims_lost").increment(1);
        self.refuse(id, Refusal::may_have_run(status, reason));
    }

    /// Repeats claim requests, as requests and answers may be lost. This is idempotent: a holder
    /// grants the same key to the same chain again.
    pub(super) fn retry_claims(&mut self, now: Duration) {
        let ids: Vec<_> = self.claims.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get_mut(&id) else {
                self.claims.remove(&id);
                continue;
            };
            let timed_out = now > request.arrived + CLAIM_TIMEOUT;
            let Phase::Claiming(_, due) = &mut request.phase else {
                continue;
            };
            let retry = now >= *due;
            if retry {
                *due = now + RETRY_INTERVAL;
            }
            match (timed_out, retry) {
                (true, _) => self.reject_claim(id, 503, "too few holders of claims answered"),
                (false, true) => self.query_holders(id),
                _ => {}
            }
        }
    }
}

//! Admission: which account requests which service, and whether this entry may accept it now.

use super::Entry;
use super::request::{Phase, Request};
use crate::caller::{AnswerPart, Arrival};
use crate::verdict::Refusal;
use bn_limit::default_share;
use std::time::Duration;

/// Delay after which a caller should try another entry.
const OTHER_ENTRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of requests held; further ones are refused at once.
const MAX_REQUESTS: usize = 8192;

impl Entry {
    /// Admits a request, or refuses it at once.
    pub(super) fn on_arrival(&mut self, arrival: Arrival) {
        metrics::counter!("requests").increment(1);
        match self.admit(&arrival) {
            Err(refusal) => {
                let _ = arrival.answer.try_send(AnswerPart::Refused(refusal));
            }
            Ok((account, repeatable)) => {
                let now = self.now();
                let request = Request {
                    deadline: now + arrival.time_left,
                    arrived: now,
                    account,
                    phase: Phase::Queued,
                    tried: Vec::new(),
                    repeatable,
                    may_have_run: false,
                    head_sent: false,
                    status: 0,
                    sent: 0,
                    arrival,
                };
                let id = self.next_id();
                let claims = request.arrival.idempotency.is_some();
                self.requests.insert(id, request);
                self.retry_tokens.deposit();
                if claims {
                    self.start_claim(id);
                } else {
                    self.dispatch_or_queue(id);
                }
            }
        }
    }

    /// Returns the account and whether the request may be repeated.
    fn admit(&mut self, arrival: &Arrival) -> Result<(String, bool), Refusal> {
        let now = self.now();
        if !self.lease.valid(now) {
            return Err(
                Refusal::not_run(503, "this entry holds no lease; ask another")
                    .retry_after(OTHER_ENTRY_DELAY),
            );
        }
        let account = self.state.account_by_hash(&arrival.key_hash);
        let (name, account) =
            account.ok_or_else(|| Refusal::not_run(401, "no account has this key"))?;
        if arrival.priority > account.max_priority {
            let max_priority = account.max_priority.name();
            return Err(Refusal::not_run(
                403,
                format!("this account's priority ends at {max_priority}"),
            ));
        }
        let service = self.state.services.get(&arrival.service);
        let unknown = || Refusal::not_run(404, format!("there is no service {}", arrival.service));
        let service = service.ok_or_else(unknown)?;
        if self.requests.len() >= MAX_REQUESTS {
            return Err(Refusal::not_run(503, "this entry is full").retry_after(OTHER_ENTRY_DELAY));
        }
        let repeatable = service.repeatable && arrival.idempotency.is_none();
        let (name, rate) = (name.clone(), account.rate);
        let share = default_share(rate, self.state.entries.len());
        self.buckets.admit(now, &name, share).map_err(|wait| {
            metrics::counter!("limited", "account" => name.clone()).increment(1);
            Refusal::not_run(429, "this account's rate is used up").retry_after(wait)
        })?;
        Ok((name, repeatable))
    }

    /// Ends a request at once, without a complete answer or without any.
    pub(super) fn refuse(&mut self, id: u64, refusal: Refusal) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if request.head_sent {
            metrics::counter!("answers_cut").increment(1);
            request.send(AnswerPart::Cut(refusal.reason));
        } else {
            request.send(AnswerPart::Refused(refusal));
        }
    }

    /// Ends requests whose deadline has passed or whose caller has disconnected.
    pub(super) fn expire_requests(&mut self, now: Duration) {
        let expired = |r: &Request| now >= r.deadline || r.abandoned();
        let ids: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| expired(r))
            .map(|(i, _)| *i)
            .collect();
        for id in ids {
            self.cancel_attempts(id);
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let refusal = match request.may_have_run || matches!(request.phase, Phase::Running) {
                true => Refusal::may_have_run(504, "the deadline passed"),
                false => Refusal::not_run(504, "the deadline passed before it could start"),
            };
            if request.abandoned() {
                metrics::counter!("callers_gone").increment(1);
            }
            self.refuse(id, refusal);
        }
    }

    /// Returns the addresses of the entries as JSON, in order of preference: this failure domain
    /// first, then the others, in an order that differs between entries to spread the load.
    pub(super) fn addresses(&mut self) -> String {
        let own = self.common.domain.clone();
        let mut rows: Vec<_> = self
            .state
            .entries
            .iter()
            .filter(|(id, e)| !e.drained && !self.lease.unavailable.contains(*id))
            .filter(|(id, _)| self.stopping.is_none() || **id != self.common.id)
            .map(|(_, e)| (e.domain != own, e.callers.to_string()))
            .collect();
        for i in (1..rows.len()).rev() {
            let j = self.random(i + 1);
            rows.swap(i, j);
        }
        rows.sort_by_key(|(other, _)| *other);
        let addresses: Vec<_> = rows.into_iter().map(|(_, a)| a).collect();
        serde_json::json!({ "addresses": addresses, "ttl_ms": self.conf.addresses_ttl.as_millis() as u64 })
            .to_string()
    }
}

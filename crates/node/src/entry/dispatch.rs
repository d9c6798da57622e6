//! Dispatches requests to backend servers and handles failed attempts.

use super::Entry;
use super::request::{Attempt, Phase};
use crate::clock::ms;
use crate::verdict::{Refusal, Verdict};
use bn_limit::QueuedRequest;
use bn_route::Requirements;
use bn_state::Priority;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Cancel, Dispatch, Header};
use rand::RngExt;
use std::time::Duration;

/// Time within which an agent must start a request, by its own clock.
const START_TIMEOUT: Duration = Duration::from_millis(500);
/// Time allowed for an answer in transit after the latest possible start.
const START_REPORT_GRACE: Duration = Duration::from_millis(1000);
/// Maximum number of requests queued for capacity.
const MAX_QUEUED: usize = 2048;
/// Retry delay after a refusal for lack of capacity, or with a 502 after attempts that did not run.
const RETRY_DELAY: Duration = Duration::from_millis(500);

impl Entry {
    /// Tries to dispatch a request; queues it if no backend server has capacity.
    pub(super) fn dispatch_or_queue(&mut self, id: u64) {
        let Some(needs) = self.needs(id) else { return };
        let others_wait = self
            .queues
            .get(&needs.service)
            .is_some_and(|q| !q.is_empty());
        let urgent = needs.urgent;
        // Bypassing requests that are already queued would be unfair, unless this one is urgent.
        if (others_wait && !urgent) || !self.try_dispatch(id, &needs) {
            self.enqueue(id, &needs);
        }
    }

    fn needs(&self, id: u64) -> Option<Requirements> {
        let request = self.requests.get(&id)?;
        Some(Requirements {
            service: request.arrival.service.clone(),
            prefix: request.arrival.prefix,
            tried: request.tried.clone(),
            resume: request.head_sent,
            urgent: request.arrival.priority == Priority::Urgent,
        })
    }

    fn try_dispatch(&mut self, id: u64, needs: &Requirements) -> bool {
        let now = self.now();
        let mut rng = self.rng.clone();
        let picked = self
            .router
            .pick(now, needs, |below| rng.random_range(0..below.max(1)));
        self.rng = rng;
        match picked {
            Some(backend) => {
                if let Some(queue) = self.queues.get_mut(&needs.service) {
                    queue.record_start(now);
                }
                self.dispatch(id, &backend);
                true
            }
            None => false,
        }
    }

    fn enqueue(&mut self, id: u64, needs: &Requirements) {
        let now = self.now();
        let serving = self.router.in_service(now, &needs.service);
        if serving.filter(|(b, _)| !needs.tried.contains(*b)).count() == 0 {
            return self.give_up(id, 503, "no backend server can take it");
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let share = self
            .state
            .accounts
            .get(&request.account)
            .map_or(1, |a| a.share);
        let waiting = QueuedRequest {
            id,
            account: request.account.clone(),
            priority: request.arrival.priority as u32,
            share,
            deadline: request.deadline,
        };
        request.phase = Phase::Queued;
        let queue = self.queues.entry(needs.service.clone()).or_default();
        if let Err(wait) = queue.push(now, waiting, MAX_QUEUED) {
            metrics::counter!("refused_early").increment(1);
            let reason = "it could not start before its deadline, or the queue is full";
            self.give_up_with_retry(id, 503, reason, wait.max(RETRY_DELAY));
        }
    }

    fn give_up_with_retry(&mut self, id: u64, status: u16, reason: &str, retry: Duration) {
        let may_have_run = self.requests.get(&id).is_some_and(|r| r.may_have_run);
        let refusal = match may_have_run {
            true => Refusal::may_have_run(status, reason),
            false => Refusal::not_run(status, reason).retry_after(retry),
        };
        self.refuse(id, refusal);
    }

    /// Sends the final answer to a request that will not be tried, or not again.
    pub(super) fn give_up(&mut self, id: u64, status: u16, reason: &str) {
        self.give_up_with_retry(id, status, reason, RETRY_DELAY);
    }

    /// Starts queued requests while there is capacity: urgent first, then by fair share.
    pub(super) fn serve_queues(&mut self, now: Duration) {
        let services: Vec<String> = self.queues.keys().cloned().collect();
        for service in services {
            self.drop_not_queued(&service);
            while let Some(id) = self.start_next(&service) {
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.start(now, id);
                }
            }
        }
    }

    /// Removes requests that are no longer waiting: their deadline passed, the caller disconnected,
    /// or they are running. One that stayed in the queue while running would be dispatched twice.
    fn drop_not_queued(&mut self, service: &str) {
        let requests = &self.requests;
        if let Some(queue) = self.queues.get_mut(service) {
            let waits = |id: &u64| {
                requests
                    .get(id)
                    .is_some_and(|r| matches!(r.phase, Phase::Queued))
            };
            queue.remove_if(|w| !waits(&w.id));
        }
    }

    fn start_next(&mut self, service: &str) -> Option<u64> {
        let order = self.queues.get(service)?.start_order();
        // A backend server that the first request has already tried may have capacity for others.
        order.into_iter().find(|id| {
            self.needs(*id)
                .is_some_and(|needs| self.try_dispatch(*id, &needs))
        })
    }

    fn dispatch(&mut self, id: u64, backend: &str) {
        let now = self.now();
        let attempt = self.next_id();
        let (Some(agent), Some(request)) = (self.agents.get(backend), self.requests.get_mut(&id))
        else {
            return;
        };
        request.phase = Phase::Running;
        request.tried.push(backend.into());
        let arrival = &request.arrival;
        let header = |(name, value): &(String, String)| Header {
            name: name.clone(),
            value: value.clone(),
        };
        let message = Dispatch {
            attempt,
            not_after_ms: ms(agent.clock(now) + START_TIMEOUT),
            time_left_ms: ms(request.deadline.saturating_sub(now)),
            method: arrival.method.clone(),
            path: arrival.path.clone(),
            headers: arrival.headers.iter().map(header).collect(),
            body: arrival.body.clone(),
            resume_at: request.sent,
            priority: arrival.priority as u32,
            key: arrival.idempotency.clone().unwrap_or_default(),
            agent: agent.incarnation,
        };
        let record = Attempt {
            request: id,
            backend: backend.into(),
            incarnation: agent.incarnation,
            start_by: now + START_TIMEOUT,
            started: false,
        };
        let prefix = arrival.prefix;
        if self.common.net.send(agent.inbox, Body::Dispatch(message)) {
            self.attempts.insert(attempt, record);
            self.router.record_sent(now, backend, attempt, prefix);
        } else {
            // Nothing was queued, so nothing can arrive: another attempt of this claim is safe.
            self.router.record_sent(now, backend, attempt, None);
            self.router.record_end(now, backend, attempt, Some(false));
            self.retry_or_fail(id, Verdict::NotRun, "the agent's link takes nothing");
        }
    }

    /// Starts another attempt after a failed one if the verdict allows it and a retry token is
    /// available; otherwise sends the final answer.
    pub(super) fn retry_or_fail(&mut self, id: u64, verdict: Verdict, reason: &str) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if verdict == Verdict::MayHaveRun {
            request.may_have_run = true;
        }
        let allowed = verdict == Verdict::NotRun || request.repeatable;
        let resumable = !request.head_sent || request.repeatable;
        let expired = now >= request.deadline || request.abandoned();
        if !allowed || !resumable || expired || !self.retry_tokens.try_withdraw(now) {
            return self.give_up(id, 502, reason);
        }
        metrics::counter!("retries").increment(1);
        self.dispatch_or_queue(id);
    }

    /// Notifies the agents that the answer to this request is no longer needed.
    pub(super) fn cancel_attempts(&mut self, id: u64) {
        let now = self.now();
        let belongs = |a: &Attempt| a.request == id;
        let pending: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| belongs(a))
            .map(|(n, _)| *n)
            .collect();
        for attempt in pending {
            let Some(a) = self.attempts.remove(&attempt) else {
                continue;
            };
            self.router.record_end(now, &a.backend, attempt, None);
            if let Some(agent) = self.agents.get(&a.backend) {
                self.common
                    .net
                    .send(agent.inbox, Body::Cancel(Cancel { attempt }));
            }
        }
    }

    /// Fails attempts whose start was not confirmed in time. It is then unknown whether the backend
    /// server received the request.
    pub(super) fn expire_attempts(&mut self, now: Duration) {
        let late = |a: &Attempt| !a.started && now > a.start_by + START_REPORT_GRACE;
        let ids: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| late(a))
            .map(|(n, _)| *n)
            .collect();
        for attempt in ids {
            self.fail_attempt(attempt, Verdict::MayHaveRun, "no sign of a start");
        }
    }

    /// Ends an attempt as failed and retries or fails its request.
    pub(super) fn fail_attempt(&mut self, attempt: u64, verdict: Verdict, reason: &str) {
        let now = self.now();
        let Some(a) = self.attempts.remove(&attempt) else {
            return;
        };
        if self
            .router
            .record_end(now, &a.backend, attempt, Some(false))
        {
            self.common
                .events
                .note("ejected", format!("{}: {reason}", a.backend));
        }
        if let Some(agent) = self.agents.get(&a.backend) {
            self.common
                .net
                .send(agent.inbox, Body::Cancel(Cancel { attempt }));
        }
        self.retry_or_fail(a.request, verdict, reason);
    }
}

//! Placing requests on backend servers, and what follows a failed attempt.

use super::Entry;
use super::request::{Attempt, Phase};
use crate::clock::ms;
use crate::verdict::{Refusal, Verdict};
use bn_route::Ask;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Cancel, Dispatch, Header};
use std::time::Duration;

/// An agent must start a request within this time, by its own clock.
const START_WITHIN: Duration = Duration::from_millis(500);
/// After the last possible start, an answer may still take this long on its way.
const GRACE: Duration = Duration::from_millis(1000);
/// Requests that may wait for room.
const MOST_QUEUED: usize = 2048;
/// When to come back after a refusal for want of room.
const COME_BACK: Duration = Duration::from_millis(500);

impl Entry {
    /// Tries to dispatch a request; queues it where no backend server has room.
    pub(super) fn place(&mut self, id: u64) {
        let now = self.now();
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let ask = Ask {
            service: request.arrival.service.clone(),
            prefix: request.arrival.prefix,
            tried: request.tried.clone(),
            resume: request.head_sent,
        };
        let mut rng = self.rng.clone();
        let mut draw = |below: usize| rand::RngExt::random_range(&mut rng, 0..below.max(1));
        let picked = self.router.pick(now, &ask, &mut draw);
        self.rng = rng;
        match picked {
            Some(backend) => self.dispatch(id, &backend),
            None => self.wait_for_room(id, &ask),
        }
    }

    fn wait_for_room(&mut self, id: u64, ask: &Ask) {
        let now = self.now();
        let serving = self.router.in_service(now, &ask.service);
        let left = serving.filter(|(b, _)| !ask.tried.contains(*b)).count();
        if left == 0 {
            let reason = "no backend server can take it";
            return self.give_up(id, 503, reason);
        }
        if self.queue.len() >= MOST_QUEUED {
            return self.give_up(id, 503, "the queue is full");
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Queued;
            self.queue.push_back(id);
        }
    }

    /// The final answer to a request that will not be tried (again).
    pub(super) fn give_up(&mut self, id: u64, status: u16, reason: &str) {
        let ran = self.requests.get(&id).is_some_and(|r| r.may_have_run);
        let refusal = match ran {
            true => Refusal::may_have_run(status, reason),
            false => Refusal::not_run(status, reason).retry(COME_BACK),
        };
        self.refuse(id, refusal);
    }

    /// Tries the waiting requests again, oldest of the highest priority first.
    pub(super) fn serve_queue(&mut self, _now: Duration) {
        let mut waiting: Vec<_> = self.queue.drain(..).collect();
        let urgency = |id: &u64| self.requests.get(id).map(|r| r.arrival.priority);
        waiting.sort_by_key(|id| std::cmp::Reverse(urgency(id)));
        for id in waiting {
            self.place(id);
        }
    }

    fn dispatch(&mut self, id: u64, backend: &str) {
        let now = self.now();
        let attempt = self.number();
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
            not_after_ms: ms(agent.clock(now) + START_WITHIN),
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
        let entry = Attempt {
            request: id,
            backend: backend.into(),
            incarnation: agent.incarnation,
            start_by: now + START_WITHIN,
            started: false,
        };
        let prefix = arrival.prefix;
        if self.common.net.send(agent.inbox, Body::Dispatch(message)) {
            self.attempts.insert(attempt, entry);
            self.router.sent(now, backend, attempt, prefix);
        } else {
            // Nothing was queued, so nothing can arrive: the same claim may try on.
            self.router.sent(now, backend, attempt, None);
            self.router.ended(now, backend, attempt, Some(false));
            self.next_try(id, Verdict::NotRun, "the agent's link takes nothing");
        }
    }

    /// After an attempt failed: another one where the verdict allows it and the
    /// retry budget has one left; otherwise the final answer.
    pub(super) fn next_try(&mut self, id: u64, verdict: Verdict, reason: &str) {
        let now = self.now();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if verdict == Verdict::MayHaveRun {
            request.may_have_run = true;
        }
        let allowed = verdict == Verdict::NotRun || request.repeatable;
        let resumable = !request.head_sent || request.repeatable;
        let last = now >= request.deadline || request.abandoned();
        if !allowed || !resumable || last || !self.budget.spend(now) {
            return self.give_up(id, 502, reason);
        }
        metrics::counter!("retries").increment(1);
        self.place(id);
    }

    /// Tells the agents that nobody waits for this request any more.
    pub(super) fn cancel_attempts(&mut self, id: u64) {
        let now = self.now();
        let mine = |a: &Attempt| a.request == id;
        let open: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, a)| mine(a))
            .map(|(n, _)| *n)
            .collect();
        for attempt in open {
            let Some(a) = self.attempts.remove(&attempt) else {
                continue;
            };
            self.router.ended(now, &a.backend, attempt, None);
            if let Some(agent) = self.agents.get(&a.backend) {
                self.common
                    .net
                    .send(agent.inbox, Body::Cancel(Cancel { attempt }));
            }
        }
    }

    /// Fails attempts that got no sign of a start in time. Whether the backend
    /// server was asked is not known then.
    pub(super) fn watch_attempts(&mut self, now: Duration) {
        let late = |a: &Attempt| !a.started && now > a.start_by + GRACE;
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

    /// Ends an attempt as failed and goes on with its request.
    pub(super) fn fail_attempt(&mut self, attempt: u64, verdict: Verdict, reason: &str) {
        let now = self.now();
        let Some(a) = self.attempts.remove(&attempt) else {
            return;
        };
        if self.router.ended(now, &a.backend, attempt, Some(false)) {
            self.common
                .events
                .note("ejected", format!("{}: {reason}", a.backend));
        }
        if let Some(agent) = self.agents.get(&a.backend) {
            self.common
                .net
                .send(agent.inbox, Body::Cancel(Cancel { attempt }));
        }
        self.next_try(a.request, verdict, reason);
    }
}

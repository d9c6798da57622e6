//! Requests that terminate backend servers, at this gateway: whether a request may be sent, and what
//! clears it. Lost runs are in `lost_runs`.

use crate::answer::Refusal;
use crate::context::RequestContext;
use crate::dispatch::Attempts;
use crate::placement;
use crate::shared::{Inner, Shared, State};
use bn_quarantine::{AskStep, Digest, Kind, Termination, Verdict, all_shared, part_text, to_text};
use serde_json::json;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a suspect waits for permission to be tried. The leader answers in a few milliseconds;
/// if none does, one is being elected, which takes half a second and more.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a request waits while what it shares with others is on trial: a trial begins some 0.3 s
/// after a termination, and takes as long as a first event.
const HOLD_TIME: Duration = Duration::from_millis(750);
/// Interval between looks at a trial's outcome, if nothing is received of it.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Why a request is not sent any more.
pub(crate) const QUARANTINED: &str = "backend servers ended under this request";
/// Why a suspect has to wait.
const ON_TRIAL: &str = "backend servers ended under this request, and it is being tried elsewhere";

/// What the link reports to the coordinators.
#[derive(Debug)]
pub(crate) enum Report {
    /// A backend server terminated.
    Terminated(Termination),
    /// Asks whether these suspects, all of one request, may be tried now, for this long.
    TrialRequest(Vec<Digest>, Duration, oneshot::Sender<bool>),
    /// A run of a suspect is over, or has shown that it is harmless.
    RunFinished(Digest, bool),
}

/// The only attempt with some suspects in the fleet. Its end is reported on drop.
pub(crate) struct Trial {
    shared: Shared,
    suspects: Vec<Digest>,
}

impl Trial {
    /// Whether it is a trial of all of `suspects`.
    fn covers(&self, suspects: &[Digest]) -> bool {
        suspects.iter().all(|d| self.suspects.contains(d))
    }

    /// Whether a suspect is left that was not shown to be harmless.
    pub(crate) fn is_pending(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Takes the suspects that the request shares with others.
    fn take_shared(&mut self) -> Vec<Digest> {
        let is_shared = |d: &mut Digest| Kind::of(*d).is_shared();
        self.suspects.extract_if(.., is_shared).collect()
    }

    /// Whether a termination during the trial is blamed on this attribute alone. A request that was
    /// at several terminations is more likely the cause than what it shares with others; of several
    /// that it shares, the leader knows that they were tried together.
    pub(crate) fn blames(&self, digest: Digest) -> bool {
        let is_sole = self.suspects.len() == 1 || !Kind::of(digest).is_shared();
        is_sole && self.suspects.contains(&digest)
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.shared.now();
        for digest in &self.suspects {
            self.shared.state().asks.finish(now, *digest, false);
            self.shared.report(Report::RunFinished(*digest, false));
        }
    }
}

/// Whether a request may be sent now.
pub(crate) enum Admission {
    /// It may.
    Send,
    /// What it shares with others is on trial elsewhere: its turn may come soon.
    Hold,
}

impl Inner {
    /// Passes a report to the link. A lost report costs one more backend server: the next
    /// termination reports the same.
    pub(crate) fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            metrics::counter!("ring_lost_total").increment(1);
        }
    }

    /// What may be done with a request. No digest is computed that no case needs.
    fn verdict(&self, ctx: &RequestContext) -> Verdict {
        let state = self.state();
        let own = state.cases.has_requests().then(|| ctx.digest());
        let shared = state.cases.has_shared().then(|| ctx.shared_attributes());
        let attributes = own.into_iter().chain(shared.into_iter().flatten());
        state.cases.verdict(attributes)
    }
}

/// Refuses a request that is known to terminate backend servers, before it waits for a slot.
pub(crate) fn refuse_quarantined(shared: &Shared, ctx: &RequestContext) -> Result<(), Refusal> {
    match shared.verdict(ctx).refused {
        Some(digest) => Err(quarantined(shared, ctx, digest)),
        None => Ok(()),
    }
}

/// Not run this time, and without a time to retry: nothing says that a retry would help.
fn quarantined(shared: &Shared, ctx: &RequestContext, refused: Digest) -> Refusal {
    let part = part_text(refused);
    let fields = json!({ "request": ctx.id, "digest": to_text(refused), "part": part });
    shared.lines.put("quarantined", fields);
    metrics::counter!("requests_quarantined_total").increment(1);
    Refusal::not_retryable(503, QUARANTINED)
}

/// Whether the request may be sent now, with a slot reserved. One with suspects needs the leader's
/// permission, and is the only one with them in the fleet until its run is over.
pub(crate) async fn admit(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
) -> Result<Admission, Refusal> {
    let Verdict { refused, suspects } = shared.verdict(ctx);
    if let Some(digest) = refused {
        return Err(quarantined(shared, ctx, digest));
    }
    let is_on_trial = attempts.trial.as_ref().is_some_and(|t| t.covers(&suspects));
    if suspects.is_empty() || is_on_trial {
        return Ok(Admission::Send);
    }
    if get_trial(shared, ctx, &suspects).await {
        metrics::counter!("suspects_tried_total").increment(1);
        let shared = shared.clone();
        attempts.trial = Some(Trial { shared, suspects });
        return Ok(Admission::Send);
    }
    if all_shared(&suspects) && shared.now() < hold_until(shared, ctx, attempts, &suspects) {
        return Ok(Admission::Hold);
    }
    let retry_delay = placement::retry_delay(shared, ctx);
    Err(Refusal::retryable(ON_TRIAL, retry_delay))
}

/// Until when the request waits for others' trials.
fn hold_until(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
    suspects: &[Digest],
) -> Duration {
    let now = shared.now();
    let hold_time = HOLD_TIME.min(ctx.remaining(now) / 3);
    *attempts.hold_until.get_or_insert_with(|| {
        let digests: Vec<String> = suspects.iter().map(|d| to_text(*d)).collect();
        let fields = json!({
            "request": ctx.id, "route": ctx.route.name, "digests": digests,
            "hold_ms": hold_time.as_millis() as u64,
        });
        shared.lines.put("request_held", fields);
        metrics::counter!("requests_held_total").increment(1);
        now + hold_time
    })
}

/// Whether the request may be the trial of its suspects.
async fn get_trial(shared: &Shared, ctx: &RequestContext, suspects: &[Digest]) -> bool {
    let now = shared.now();
    let time = ctx.remaining(now);
    let step = {
        let State { cases, asks, .. } = &mut *shared.state();
        match cases.is_settled(now, suspects) {
            true => asks.next_step(now, suspects, time, cases.all_tried(suspects)),
            false => AskStep::Hold,
        }
    };
    if step == AskStep::Hold {
        return false;
    }
    let (reply, answer) = oneshot::channel();
    shared.report(Report::TrialRequest(suspects.to_vec(), time, reply));
    let granted = match step {
        AskStep::AskLeader => await_answer(shared, now, answer).await,
        AskStep::TryHere => true,
        AskStep::Hold | AskStep::HoldHere => false,
    };
    if granted && step == AskStep::AskLeader {
        let now = shared.now();
        shared.state().asks.on_granted(now, suspects, time);
    }
    let digests: Vec<String> = suspects.iter().map(|d| to_text(*d)).collect();
    shared.lines.put(
        "suspect_asked",
        json!({
            "request": ctx.id, "digest": digests.first(), "digests": digests, "granted": granted,
            "here": step != AskStep::AskLeader,
            "after_ms": (shared.now() - ctx.arrived).as_millis() as u64,
        }),
    );
    granted
}

/// Whether the leader grants what it was asked for at the time `asked_at`.
async fn await_answer(
    shared: &Shared,
    asked_at: Duration,
    answer: oneshot::Receiver<bool>,
) -> bool {
    match tokio::time::timeout(TRIAL_TIMEOUT, answer).await {
        Ok(answer) => answer.unwrap_or(false),
        Err(_) => {
            shared.state().asks.on_timeout(asked_at);
            false
        }
    }
}

/// Waits until something is received about a case, for a moment at most.
pub(crate) async fn hold(shared: &Shared) {
    let received = shared.cases_changed.notified();
    let _ = tokio::time::timeout(HOLD_POLL_INTERVAL, received).await;
}

/// A backend server has begun to answer: nothing that the request shares with others terminates
/// it. Counts here at once: this gateway may be cut off from the coordinators.
pub(crate) fn on_begun(shared: &Shared, ctx: &RequestContext, attempts: &mut Attempts) {
    let now = shared.now();
    let trial = attempts.trial.as_mut();
    let tried = trial.map_or(Vec::new(), Trial::take_shared);
    let harmless = {
        let State { cases, asks, .. } = &mut *shared.state();
        if tried.is_empty() && !cases.has_shared() {
            return;
        }
        let is_judged = |d: &Digest| tried.contains(d) || cases.is_open(*d);
        let harmless: Vec<Digest> = ctx.shared_attributes().filter(is_judged).collect();
        for digest in &harmless {
            asks.finish(now, *digest, true);
            cases.close(now, *digest);
        }
        harmless
    };
    for digest in harmless {
        let digest_text = to_text(digest);
        let fields = json!({ "request": ctx.id, "digest": digest_text, "part": part_text(digest) });
        shared.lines.put("harmless", fields);
        shared.report(Report::RunFinished(digest, true));
    }
}

/// A request got a complete response: it terminates no backend server.
pub(crate) fn on_complete(shared: &Shared, ctx: &RequestContext) {
    let is_open = {
        let state = shared.state();
        state.cases.has_requests() && state.cases.is_open(ctx.digest())
    };
    if is_open {
        shared.report(Report::RunFinished(ctx.digest(), true));
    }
}

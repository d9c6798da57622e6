//! Requests that terminate backend servers, at this gateway: what it reports to the coordinators
//! about lost runs, and whether a request may be sent.

use crate::answer::Refusal;
use crate::context::RequestContext;
use crate::dispatch::Attempts;
use crate::placement;
use crate::shared::{Inner, Shared};
use bn_quarantine::{
    AskStep, CaseStatus, Digest, Kind, LostRun, NextStep, Start, Table, Termination, Verdict,
    all_shared, part_text, to_text,
};
use bn_route::Server;
use bn_serve::client::{self, Connection};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a suspect waits for permission to be tried. The leader answers in a few milliseconds;
/// if none does, one is being elected, which takes half a second and more.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection must stay open before its peer counts as alive: far longer than a process
/// takes to close its sockets, far shorter than a caller takes to retry.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(100);
/// How long a request waits while what it shares with others is on trial: a trial takes as long as
/// a first event.
const HOLD_TIME: Duration = Duration::from_millis(500);
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

/// How a run was lost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Loss {
    /// It was abandoned by this gateway, and did not break off at the backend server.
    pub(crate) abandoned: bool,
    /// Something of its answer's content had come.
    pub(crate) begun: bool,
}

impl Loss {
    /// It broke off before its answer had begun.
    pub(crate) const BROKEN: Loss = Loss {
        abandoned: false,
        begun: false,
    };
    /// It was abandoned before its answer had begun.
    pub(crate) const ABANDONED: Loss = Loss {
        abandoned: true,
        begun: false,
    };
}

/// One run of a request at a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    start: Start,
    address: SocketAddr,
}

impl Run {
    pub(crate) fn at(server: &Server) -> Run {
        let start = Start {
            id: server.id.clone(),
            start_time: server.start_time,
        };
        Run {
            start,
            address: server.address,
        }
    }
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
    fn blames(&self, digest: Digest) -> bool {
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
    let now = shared.now();
    let hold_time = HOLD_TIME.min(ctx.remaining(now) / 3);
    let hold_until = *attempts.hold_until.get_or_insert_with(|| {
        metrics::counter!("requests_held_total").increment(1);
        now + hold_time
    });
    if all_shared(&suspects) && now < hold_until {
        return Ok(Admission::Hold);
    }
    let retry_delay = placement::retry_delay(shared, ctx);
    Err(Refusal::retryable(ON_TRIAL, retry_delay))
}

/// Whether the request may be the trial of its suspects.
async fn get_trial(shared: &Shared, ctx: &RequestContext, suspects: &[Digest]) -> bool {
    let now = shared.now();
    let time = ctx.remaining(now);
    let step = {
        let mut state = shared.state();
        let tried = state.cases.all_tried(suspects);
        state.asks.next_step(now, suspects, time, tried)
    };
    if step == AskStep::Hold {
        return false;
    }
    let (reply, answer) = oneshot::channel();
    shared.report(Report::TrialRequest(suspects.to_vec(), time, reply));
    let granted = match step {
        AskStep::AskLeader => await_answer(shared, now, suspects, time, answer).await,
        AskStep::TryHere => true,
        AskStep::Hold | AskStep::HoldHere => false,
    };
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

/// Waits for the leader's answer to a question of the time `asked_at`, for a trial of `time`.
async fn await_answer(
    shared: &Shared,
    asked_at: Duration,
    suspects: &[Digest],
    time: Duration,
    answer: oneshot::Receiver<bool>,
) -> bool {
    let answer = tokio::time::timeout(TRIAL_TIMEOUT, answer).await;
    let now = shared.now();
    let asks = &mut shared.state().asks;
    match answer {
        Ok(Ok(true)) => asks.on_granted(now, suspects, time),
        Ok(_) => return false,
        Err(_) => {
            asks.on_timeout(asked_at);
            return false;
        }
    }
    true
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
    let mut harmless = attempts
        .trial
        .as_mut()
        .map_or(Vec::new(), Trial::take_shared);
    {
        let mut state = shared.state();
        for digest in &harmless {
            state.asks.finish(now, *digest, true);
        }
        if state.cases.has_shared() {
            let cases = &mut state.cases;
            harmless.extend(ctx.shared_attributes().filter(|d| cases.is_open(*d)));
            harmless.sort_unstable();
            harmless.dedup();
            for digest in &harmless {
                cases.close(now, *digest);
            }
        }
    }
    for digest in harmless {
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

/// A run broke off, or was abandoned here. Connections break for many reasons, so the backend
/// server is probed to see whether it is still there.
pub(crate) fn on_run_lost(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &Attempts,
    run: &Run,
    loss: Loss,
) {
    let now = shared.now();
    let steps: Vec<NextStep> = {
        let mut state = shared.state();
        // A backend server that is leaving or gone ends with its runs: no request caused that.
        let server = state.fleet.get(&run.start.id);
        if server.is_none_or(|s| s.leaving || s.start_time != run.start.start_time) {
            return;
        }
        let blamed = ctx.attributes();
        let blamed = blamed.filter(|d| !(loss.begun && Kind::of(*d).is_shared()));
        let blamed = blamed.map(|digest| LostRun {
            digest,
            sole_trial: is_sole_trial(&state.cases, attempts, digest),
            abandoned: loss.abandoned,
        });
        let blamed: Vec<LostRun> = blamed.collect();
        let losses = &mut state.losses;
        let steps = blamed.into_iter();
        let steps = steps.map(|lost| losses.on_lost(now, &run.start, run.address, lost));
        steps.collect()
    };
    log_run_lost(shared, ctx, attempts, run, loss);
    let mut known: Option<Termination> = None;
    for step in steps {
        match step {
            NextStep::Wait => {}
            NextStep::Probe => probe(shared.clone(), run.clone()),
            NextStep::Report(termination) => match &mut known {
                Some(known) => known.runs.extend(termination.runs),
                None => known = Some(termination),
            },
        }
    }
    // In one report: what was on trial together is recognized by it.
    if let Some(termination) = known {
        report_termination(shared, termination, "refused");
    }
}

/// Whether this was the only run with an attribute in the fleet. Of one that was shown to be harmless
/// meanwhile, others run.
fn is_sole_trial(cases: &Table, attempts: &Attempts, digest: Digest) -> bool {
    let is_blamed = attempts.trial.as_ref().is_some_and(|t| t.blames(digest));
    let is_free = cases.status(digest) == CaseStatus::Free;
    is_blamed && !(Kind::of(digest).is_shared() && is_free)
}

/// Logs a lost run with everything of the request that may be to blame.
fn log_run_lost(shared: &Shared, ctx: &RequestContext, attempts: &Attempts, run: &Run, loss: Loss) {
    let parts: Vec<String> = ctx.parts().iter().map(|p| format!("{p:x}")).collect();
    shared.lines.put(
        "run_lost",
        json!({
            "request": ctx.id, "route": ctx.route.name, "service": ctx.service,
            "account": ctx.account, "id": run.start.id, "began": run.start.start_time,
            "digest": to_text(ctx.digest()), "parts": parts, "answer_begun": loss.begun,
            "abandoned": loss.abandoned, "alone": attempts.trial.is_some(),
            "after_ms": (shared.now() - ctx.arrived).as_millis() as u64,
        }),
    );
    let begun = if loss.begun { "yes" } else { "no" };
    metrics::counter!("runs_lost_total", "answer_begun" => begun).increment(1);
}

/// Opens a connection to where a run was lost, and checks it after a moment. A process that
/// terminates closes its sockets one after the other and accepts connections as long as its
/// listener is open; these are reset with it. When such a connection counted as alive, one of three
/// terminations was missed (one run on a busy machine).
async fn open_settled(address: SocketAddr) -> client::Result<Connection> {
    let connection = client::open(address).await?;
    tokio::time::sleep(PROBE_SETTLE_TIME).await;
    match connection.sender.is_closed() {
        true => client::open(address).await,
        false => Ok(connection),
    }
}

/// Opens a connection, which serves the next request if the backend server is alive.
fn probe(shared: Shared, run: Run) {
    tokio::spawn(async move {
        let opened = open_settled(run.address).await;
        let now = shared.now();
        match opened {
            Ok(connection) => {
                shared.state().losses.on_reachable(&run.start);
                shared.pool.put_back(now, connection, None);
            }
            Err(e) if e.is_connection_refused() => {
                let termination = shared.state().losses.on_terminated(now, &run.start);
                if let Some(termination) = termination {
                    report_termination(&shared, termination, "refused");
                }
                mark_terminated(&shared, &run.start, "refused");
            }
            Err(e) => {
                log::debug!("probing {} failed: {e}", run.start.id);
                shared.state().losses.on_inconclusive(&run.start);
            }
        }
    });
}

/// A backend server has terminated: nothing is sent there, nor to its group until it runs again.
pub(crate) fn mark_terminated(shared: &Shared, start: &Start, sign: &str) {
    let now = shared.now();
    let address = {
        let mut state = shared.state();
        if !state
            .fleet
            .mark_terminated(now, &start.id, start.start_time)
        {
            return;
        }
        state.reset_controller(&start.id);
        state.fleet.get(&start.id).map(|s| s.address)
    };
    if let Some(address) = address {
        shared.pool.close_idle(address);
    }
    shared.capacity_freed.notify_waiters();
    let fields = json!({ "id": start.id, "began": start.start_time, "sign": sign });
    shared.lines.put("backend_server_fell", fields);
}

/// Reports to the coordinators that a backend server terminated; `sign` is what shows it here.
pub(crate) fn report_termination(shared: &Shared, termination: Termination, sign: &str) {
    let digests: Vec<String> = termination.runs.iter().map(|(d, _)| to_text(*d)).collect();
    let sole_trial = termination.runs.iter().any(|(_, sole_trial)| *sole_trial);
    shared.lines.put(
        "backend_server_ended",
        json!({
            "id": termination.start.id, "began": termination.start.start_time, "sign": sign,
            "digests": digests, "alone": sole_trial,
        }),
    );
    metrics::counter!("backend_server_ends_total").increment(1);
    count_here(shared, &termination);
    shared.report(Report::Terminated(termination));
}

/// Counts a termination against shared attributes at this gateway at once: it may be cut off from
/// the coordinators.
fn count_here(shared: &Shared, termination: &Termination) {
    let now = shared.now();
    let cases = &mut shared.state().cases;
    for (digest, sole_trial) in &termination.runs {
        if Kind::of(*digest).is_shared() {
            cases.add_termination(now, *digest, &termination.start, *sole_trial);
        }
    }
}

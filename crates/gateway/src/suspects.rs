//! Requests that terminate backend servers, at this gateway: what it reports to the coordinators
//! about lost runs, and whether a request may be sent.

use crate::answer::Refusal;
use crate::context::RequestContext;
use crate::dispatch::Attempts;
use crate::placement;
use crate::shared::{Inner, Shared};
use bn_quarantine::{CaseStatus, Digest, LostRun, NextStep, Start, Termination, to_text};
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
/// Why a request is not sent any more.
pub(crate) const QUARANTINED: &str = "backend servers ended under this request";
/// Why a suspect has to wait.
const ON_TRIAL: &str = "backend servers ended under this request, and it is being tried elsewhere";

/// What the link reports to the coordinators.
#[derive(Debug)]
pub(crate) enum Report {
    /// A backend server terminated.
    Terminated(Termination),
    /// Asks whether this request may be tried now, for this long.
    TrialRequest(Digest, Duration, oneshot::Sender<bool>),
    /// A run of a suspect is over, with or without a complete response.
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

/// The only attempt of a suspect in the fleet. Its end is reported on drop.
pub(crate) struct Trial {
    shared: Shared,
    digest: Digest,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.shared.report(Report::RunFinished(self.digest, false));
    }
}

impl Inner {
    /// Passes a report to the link. A lost report costs one more backend server: the next
    /// termination reports the same.
    pub(crate) fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            metrics::counter!("ring_lost_total").increment(1);
        }
    }

    fn case_status(&self, ctx: &RequestContext) -> CaseStatus {
        let state = self.state();
        // Without cases, no digest is computed.
        match state.cases.is_empty() {
            true => CaseStatus::Free,
            false => state.cases.status(ctx.digest()),
        }
    }
}

/// Refuses a request that is known to terminate backend servers, before it waits for a slot.
pub(crate) fn refuse_quarantined(shared: &Shared, ctx: &RequestContext) -> Result<(), Refusal> {
    match shared.case_status(ctx) {
        CaseStatus::Refused => Err(quarantined(shared, ctx)),
        _ => Ok(()),
    }
}

/// Not run this time, and without a time to retry: nothing says that a retry would help.
fn quarantined(shared: &Shared, ctx: &RequestContext) -> Refusal {
    let digest = to_text(ctx.digest());
    let fields = json!({ "request": ctx.id, "digest": digest });
    shared.lines.put("quarantined", fields);
    metrics::counter!("requests_quarantined_total").increment(1);
    Refusal::not_retryable(503, QUARANTINED)
}

/// Whether the request may be sent now, with a slot reserved. A suspect needs the leader's
/// permission, and is the only one with its digest in the fleet until its run is over.
pub(crate) async fn admit(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
) -> Result<(), Refusal> {
    match shared.case_status(ctx) {
        CaseStatus::Free => return Ok(()),
        CaseStatus::Refused => return Err(quarantined(shared, ctx)),
        CaseStatus::Suspect if attempts.trial.is_some() => return Ok(()),
        CaseStatus::Suspect => {}
    }
    let digest = ctx.digest();
    let (reply, answer) = oneshot::channel();
    shared.report(Report::TrialRequest(
        digest,
        ctx.remaining(shared.now()),
        reply,
    ));
    let granted = matches!(
        tokio::time::timeout(TRIAL_TIMEOUT, answer).await,
        Ok(Ok(true))
    );
    shared.lines.put(
        "suspect_asked",
        json!({ "request": ctx.id, "digest": to_text(digest), "granted": granted }),
    );
    if !granted {
        return Err(Refusal::retryable(
            ON_TRIAL,
            placement::retry_delay(shared, ctx),
        ));
    }
    metrics::counter!("suspects_tried_total").increment(1);
    let shared = shared.clone();
    attempts.trial = Some(Trial { shared, digest });
    Ok(())
}

/// A request got a complete response: it terminates no backend server.
pub(crate) fn on_complete(shared: &Shared, ctx: &RequestContext) {
    let is_open = {
        let state = shared.state();
        !state.cases.is_empty() && state.cases.is_open(ctx.digest())
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
    let lost = LostRun {
        digest: ctx.digest(),
        sole_trial: attempts.trial.is_some(),
        abandoned: loss.abandoned,
    };
    let next = {
        let mut state = shared.state();
        // A backend server that is leaving or gone ends with its runs: no request caused that.
        let server = state.fleet.get(&run.start.id);
        if server.is_none_or(|s| s.leaving || s.start_time != run.start.start_time) {
            return;
        }
        state.losses.on_lost(now, &run.start, run.address, lost)
    };
    log_run_lost(shared, ctx, attempts, run, loss);
    match next {
        NextStep::Wait => {}
        NextStep::Probe => probe(shared.clone(), run.clone()),
        NextStep::Report(termination) => report_termination(shared, termination, "refused"),
    }
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
    shared.report(Report::Terminated(termination));
}

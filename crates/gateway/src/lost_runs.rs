//! Runs of requests that were lost: whether their backend servers terminated, and what is reported of
//! that to the coordinators.

use crate::context::RequestContext;
use crate::dispatch::Attempts;
use crate::shared::{Shared, State};
use crate::suspects::Report;
use bn_quarantine::{
    CaseStatus, Digest, Kind, LostRun, NextStep, Start, Table, Termination, to_text,
};
use bn_route::Server;
use bn_serve::client::{self, Connection};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection must stay open before its peer counts as alive: far longer than a process
/// takes to close its sockets, far shorter than a caller takes to retry.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(100);

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
        let State {
            fleet,
            cases,
            losses,
            ..
        } = &mut *shared.state();
        // A backend server that is leaving or gone ends with its runs: no request caused that.
        let server = fleet.get(&run.start.id);
        if server.is_none_or(|s| s.leaving || s.start_time != run.start.start_time) {
            return;
        }
        let blamed = ctx.attributes();
        let blamed = blamed.filter(|d| !(loss.begun && Kind::of(*d).is_shared()));
        let steps = blamed.map(|digest| {
            let lost = LostRun {
                digest,
                sole_trial: is_sole_trial(cases, attempts, digest),
                abandoned: loss.abandoned,
            };
            losses.on_lost(now, &run.start, run.address, lost)
        });
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
    match connection.is_closed() {
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

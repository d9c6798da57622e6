//! Sends a request to backend servers until one responds: which outcomes allow another attempt, and
//! which refusal is returned if none does.

use crate::answer::{Refusal, Verdict};
use crate::attempt::{self, Head, NotRunReason, Outcome};
use crate::context::RequestContext;
use crate::lost_runs::{self, Loss, Run};
use crate::placement;
use crate::shared::Shared;
use crate::silence::{self, Awaited};
use crate::suspects::{self, Admission, Trial};
use bn_quarantine::to_text;
use bn_route::{Server, ServerId};
use serde_json::json;
use std::time::Duration;

/// Connections that may fail before a request is refused; each was to another backend server, and
/// no byte was sent.
const MAX_UNSENT: u32 = 3;
/// Why a request stays where it is.
pub(crate) const NO_BUDGET: &str = "the retry budget is used up";

/// Attempts made for a request so far.
#[derive(Default)]
pub(crate) struct Attempts {
    pub(crate) tried: Vec<ServerId>,
    /// Number of backend servers that it was sent to.
    pub(crate) sent: u32,
    /// Number of backend servers that it is at now: more than one if some are silent.
    in_flight: u32,
    unsent: u32,
    /// It is or was at a backend server that did not report that it was not run.
    pub(crate) may_have_run: bool,
    /// Set if something of it is a suspect, and this is the only attempt with that in the fleet.
    pub(crate) trial: Option<Trial>,
    /// Until when it waits for others' trials.
    pub(crate) hold_until: Option<Duration>,
}

impl Attempts {
    /// Whether the route allows another backend server.
    fn may_send(&self, ctx: &RequestContext) -> bool {
        self.sent + self.in_flight < ctx.route.attempts
    }

    /// Whether the request may go to another backend server although it may have run. A suspect may
    /// not: the next backend server would terminate, too, before this termination is known.
    pub(crate) fn may_retry(&self, ctx: &RequestContext) -> bool {
        let on_trial = self.trial.as_ref().is_some_and(Trial::is_pending);
        ctx.idempotent() && !on_trial && self.may_send(ctx)
    }

    /// Records that only `kept` of the backend servers that it is at are still listened to; `true` if
    /// there were others, where it may run.
    pub(crate) fn abandon_beyond(&mut self, kept: u32) -> bool {
        let abandoned = self.in_flight.saturating_sub(kept);
        self.in_flight -= abandoned;
        self.sent += abandoned;
        abandoned > 0
    }

    /// The refusal returned when time or attempts have run out.
    pub(crate) fn final_refusal(&self, otherwise: Refusal) -> Refusal {
        match self.may_have_run {
            true => Refusal::unknown(502, "the answer of the backend server was lost"),
            false => otherwise,
        }
    }

    /// The refusal returned before the caller leaves for want of an answer.
    pub(crate) fn unanswered(&self, shared: &Shared, ctx: &RequestContext) -> Refusal {
        match self.may_have_run {
            true => Refusal::unknown(504, "the backend server sends nothing"),
            false => Refusal::retryable(placement::FULL, placement::retry_delay(shared, ctx)),
        }
    }

    /// The refusal returned at the deadline or the route's timeout.
    pub(crate) fn timed_out(&self) -> Refusal {
        match self.may_have_run {
            true => Refusal::unknown(504, "no answer in time"),
            // The caller's deadline has passed: no time is left for a retry either.
            false => Refusal::not_retryable(503, "not sent in time"),
        }
    }
}

/// Tries backend servers until one returns the headers of a response.
pub(crate) async fn dispatch(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
    last_event: Option<&str>,
) -> Result<Box<Head>, Refusal> {
    loop {
        suspects::refuse_quarantined(shared, ctx)
            .map_err(|refusal| attempts.final_refusal(refusal))?;
        let reservation = placement::reserve(shared, ctx, &attempts.tried).await;
        let reservation = reservation.map_err(|refusal| attempts.final_refusal(refusal))?;
        // The request waited for its slot, and more may be known of it by now.
        let admitted = suspects::admit(shared, ctx, attempts).await;
        match admitted.map_err(|refusal| attempts.final_refusal(refusal))? {
            Admission::Send => {}
            Admission::Hold => {
                drop(reservation);
                suspects::hold(shared).await;
                continue;
            }
        }
        let id = reservation.server.id.clone();
        let run = Run::at(&reservation.server);
        attempts.tried.push(id.clone());
        let may_have_run_before = attempts.may_have_run;
        attempts.may_have_run = true;
        let server = reservation.server.clone();
        let sending = attempt::send(shared, ctx, reservation, last_event);
        let in_flight = attempts.in_flight;
        attempts.in_flight += 1;
        let outcome = tokio::select! {
            biased;
            outcome = sending => outcome,
            head = fail_over(shared, ctx, attempts, &server, last_event) => {
                attempts.abandon_beyond(in_flight);
                lost_runs::on_run_lost(shared, ctx, attempts, &run, Loss::ABANDONED);
                return Ok(head);
            }
        };
        let may_have_run_before = attempts.abandon_beyond(in_flight + 1) || may_have_run_before;
        attempts.in_flight = in_flight;
        match outcome {
            Outcome::Head(head) => {
                attempts.sent += 1;
                return Ok(head);
            }
            Outcome::NotSent(why) => {
                attempts.may_have_run = may_have_run_before;
                attempts.unsent += 1;
                log_failure(shared, ctx, &id, "not_sent", why);
                record_failure(shared, &id, true);
                if attempts.unsent >= MAX_UNSENT {
                    let later = Refusal::retryable(
                        "no backend server reached",
                        placement::retry_delay(shared, ctx),
                    );
                    return Err(attempts.final_refusal(later));
                }
            }
            Outcome::Withheld(why) => {
                attempts.may_have_run = may_have_run_before;
                attempts.tried.pop();
                metrics::counter!("requests_withheld_total").increment(1);
                log_failure(shared, ctx, &id, "withheld", why);
            }
            Outcome::NotRun(reason) => {
                attempts.may_have_run = may_have_run_before;
                on_not_run(shared, ctx, attempts, &id, reason)?;
            }
            Outcome::ConnectionLost => {
                lost_runs::on_run_lost(shared, ctx, attempts, &run, Loss::BROKEN);
                on_unknown(
                    shared,
                    ctx,
                    attempts,
                    &id,
                    "connection broke before an answer",
                )?;
            }
            Outcome::Mismatched => {
                on_unknown(
                    shared,
                    ctx,
                    attempts,
                    &id,
                    "an answer to another request came",
                )?;
            }
            Outcome::Invalid => {
                on_unknown(
                    shared,
                    ctx,
                    attempts,
                    &id,
                    "an answer with no valid status came",
                )?;
            }
        }
    }
}

/// Obtains the answer of another backend server once `server` is silent. `server` may still answer
/// first, which ends this.
async fn fail_over(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
    server: &Server,
    last_event: Option<&str>,
) -> Box<Head> {
    loop {
        silence::wait(shared, ctx, server, Awaited::Answer).await;
        if !attempts.may_retry(ctx) {
            return std::future::pending().await;
        }
        if !take_retry(shared, ctx, attempts) {
            silence::log_kept(shared, ctx, &server.id, NO_BUDGET);
            continue;
        }
        match Box::pin(dispatch(shared, ctx, attempts, last_event)).await {
            Ok(head) => {
                let to = &head.reservation.server.id;
                silence::log_failover(shared, ctx, &server.id, to, last_event);
                return head;
            }
            Err(refusal) => silence::log_kept(shared, ctx, &server.id, refusal.reason),
        }
    }
}

/// Whether the request may go to another backend server although it may have run; if so, charges
/// the retry budget.
pub(crate) fn take_retry(shared: &Shared, ctx: &RequestContext, attempts: &Attempts) -> bool {
    attempts.may_retry(ctx) && shared.try_withdraw_retry(&ctx.service)
}

fn on_unknown(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
    id: &str,
    why: &str,
) -> Result<(), Refusal> {
    attempts.sent += 1;
    log_failure(shared, ctx, id, "unknown", why);
    record_failure(shared, id, false);
    match take_retry(shared, ctx, attempts) {
        true => Ok(()),
        false => Err(Refusal::unknown(502, "the answer was lost")),
    }
}

fn on_not_run(
    shared: &Shared,
    ctx: &RequestContext,
    attempts: &mut Attempts,
    id: &str,
    reason: NotRunReason,
) -> Result<(), Refusal> {
    let (outcome, message) = match reason {
        NotRunReason::Full => ("full", placement::FULL),
        NotRunReason::AddressReused => ("elsewhere", "the backend server is gone"),
        NotRunReason::NotServed => ("misfit", "the backend server serves no such request"),
        NotRunReason::Stalled => ("stalled", placement::STALLED),
    };
    log_failure(shared, ctx, id, "not_run", outcome);
    let cannot_serve = matches!(
        reason,
        NotRunReason::AddressReused | NotRunReason::NotServed
    );
    match reason {
        // Its address belongs to another backend server now; an id is never reused.
        NotRunReason::AddressReused => shared.state().fleet.remove(id),
        // As it has no load, it would be preferred for every request.
        NotRunReason::NotServed => record_failure(shared, id, true),
        NotRunReason::Full => attempts.sent += 1,
        NotRunReason::Stalled => {
            let now = shared.now();
            let mut state = shared.state();
            state.fleet.mark_stalled(now, id);
            state.reset_controller(id);
            attempts.sent += 1;
        }
    }
    // A backend server that cannot serve the request at all does not count as an attempt to serve
    // it.
    attempts.unsent += u32::from(cannot_serve);
    let may_try = match cannot_serve {
        true => attempts.unsent < MAX_UNSENT,
        false => attempts.may_send(ctx),
    };
    match may_try && shared.try_withdraw_retry(&ctx.service) {
        true => Ok(()),
        false => Err(attempts.final_refusal(Refusal::retryable(
            message,
            placement::retry_delay(shared, ctx),
        ))),
    }
}

/// Records a failure of a backend server.
pub(crate) fn record_failure(shared: &Shared, id: &str, severe: bool) {
    let now = shared.now();
    let ejected = shared.state().fleet.record_failure(now, id, severe);
    if ejected {
        shared
            .lines
            .put("backend_server_out", json!({ "id": id, "gravely": severe }));
    }
}

/// Logs an attempt without a response.
pub(crate) fn log_failure(
    shared: &Shared,
    ctx: &RequestContext,
    id: &str,
    outcome: &str,
    why: &str,
) {
    shared.lines.put(
        "try_failed",
        json!({
            "request": ctx.id, "route": ctx.route.name, "version": ctx.version,
            "server": id, "outcome": outcome, "why": why, "digest": to_text(ctx.digest()),
        }),
    );
}

/// The verdict of a refusal, for log events and counters.
pub(crate) fn verdict_name(refusal: &Refusal) -> &'static str {
    match refusal.verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
    }
}

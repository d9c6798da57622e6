//! Offering a request to backend servers until one answers: which outcome allows another
//! try, and what is told where none does.

use crate::answer::{Refusal, Verdict};
use crate::attempt::{self, Head, Outcome, Word};
use crate::context::Ticket;
use crate::placement;
use crate::shared::Shared;
use crate::suspects::{self, Run, Trial};
use bn_quarantine::to_text;
use bn_route::ServerId;
use serde_json::json;

/// Connections that may fail before a request is given up; each was another backend
/// server, and no byte left.
const MOST_UNSENT: u32 = 3;

/// What was tried for a request so far.
#[derive(Default)]
pub(crate) struct Tries {
    pub(crate) tried: Vec<ServerId>,
    /// Backend servers that it was sent to.
    pub(crate) sent: u32,
    unsent: u32,
    /// It is at a backend server, or was, and nobody said that it did not run.
    pub(crate) unsure: bool,
    /// It is a suspect, and this its only try in the fleet.
    pub(crate) trial: Option<Trial>,
}

impl Tries {
    /// The final word where time or means have run out.
    pub(crate) fn end(&self, otherwise: Refusal) -> Refusal {
        match self.unsure {
            true => Refusal::unknown(502, "the answer of the backend server was lost"),
            false => otherwise,
        }
    }

    /// The final word at the deadline or the route's timeout.
    pub(crate) fn timed_out(&self) -> Refusal {
        match self.unsure {
            true => Refusal::unknown(504, "no answer in time"),
            // The caller's time is up: there is no time to come back either.
            false => Refusal::wrong(503, "not sent in time"),
        }
    }
}

/// Offers a request until there is the head of an answer to it.
pub(crate) async fn offer(
    shared: &Shared,
    ticket: &Ticket,
    tries: &mut Tries,
    last_event: Option<&str>,
) -> Result<Box<Head>, Refusal> {
    loop {
        suspects::refuse_known(shared, ticket).map_err(|refusal| tries.end(refusal))?;
        let seat = placement::seat(shared, ticket, &tries.tried).await;
        let seat = seat.map_err(|refusal| tries.end(refusal))?;
        // It waited for its place, and more may be known of it by now.
        let admitted = suspects::admit(shared, ticket, tries).await;
        admitted.map_err(|refusal| tries.end(refusal))?;
        let id = seat.server.id.clone();
        let run = Run::at(&seat.server);
        tries.tried.push(id.clone());
        let unsure_before = tries.unsure;
        tries.unsure = true;
        let outcome = attempt::send(shared, ticket, seat, last_event).await;
        match outcome {
            Outcome::Head(head) => {
                tries.sent += 1;
                return Ok(head);
            }
            Outcome::NotSent(why) => {
                tries.unsure = unsure_before;
                tries.unsent += 1;
                note(shared, ticket, &id, "not_sent", why);
                fail(shared, &id, true);
                if tries.unsent >= MOST_UNSENT {
                    let later = Refusal::later(
                        "no backend server reached",
                        placement::back_after(shared, ticket),
                    );
                    return Err(tries.end(later));
                }
            }
            Outcome::Withheld => {
                tries.unsure = unsure_before;
                tries.tried.pop();
                metrics::counter!("requests_withheld_total").increment(1);
                note(
                    shared,
                    ticket,
                    &id,
                    "withheld",
                    "as the backend server asks",
                );
            }
            Outcome::NotRun(word) => {
                tries.unsure = unsure_before;
                on_word(shared, ticket, tries, &id, word)?;
            }
            Outcome::Broke => {
                suspects::lost(shared, ticket, tries, &run, false);
                on_unknown(
                    shared,
                    ticket,
                    tries,
                    &id,
                    "connection broke before an answer",
                )?;
            }
            Outcome::Foreign => {
                on_unknown(
                    shared,
                    ticket,
                    tries,
                    &id,
                    "an answer to another request came",
                )?;
            }
        }
    }
}

/// The request may go to another backend server although it may have run. A suspect may not: the
/// next one would end, too, before the end of this one is known.
pub(crate) fn again(shared: &Shared, ticket: &Ticket, tries: &Tries) -> bool {
    let may = ticket.idempotent() && tries.trial.is_none() && tries.sent < ticket.route.attempts;
    may && shared.may_retry(&ticket.service)
}

fn on_unknown(
    shared: &Shared,
    ticket: &Ticket,
    tries: &mut Tries,
    id: &str,
    why: &str,
) -> Result<(), Refusal> {
    tries.sent += 1;
    note(shared, ticket, id, "unknown", why);
    fail(shared, id, false);
    match again(shared, ticket, tries) {
        true => Ok(()),
        false => Err(Refusal::unknown(502, "the answer was lost")),
    }
}

fn on_word(
    shared: &Shared,
    ticket: &Ticket,
    tries: &mut Tries,
    id: &str,
    word: Word,
) -> Result<(), Refusal> {
    let (outcome, reason) = match word {
        Word::Full => ("full", placement::FULL),
        Word::Elsewhere => ("elsewhere", "the backend server is gone"),
        Word::Misfit => ("misfit", "the backend server serves no such request"),
        Word::Stalled => ("stalled", placement::STILL),
    };
    note(shared, ticket, id, "not_run", outcome);
    let unserved = matches!(word, Word::Elsewhere | Word::Misfit);
    match word {
        // Its address belongs to another one now; an id never comes back.
        Word::Elsewhere => shared.state().fleet.remove(id),
        // Without load it would be preferred for every request.
        Word::Misfit => fail(shared, id, true),
        Word::Full => tries.sent += 1,
        Word::Stalled => {
            let now = shared.now();
            let mut state = shared.state();
            state.fleet.mark_stalled(now, id);
            state.forget_pace_of(id);
            tries.sent += 1;
        }
    }
    // One that cannot serve it at all was no try at serving it.
    tries.unsent += u32::from(unserved);
    let left = match unserved {
        true => tries.unsent < MOST_UNSENT,
        false => tries.sent < ticket.route.attempts,
    };
    match left && shared.may_retry(&ticket.service) {
        true => Ok(()),
        false => Err(tries.end(Refusal::later(
            reason,
            placement::back_after(shared, ticket),
        ))),
    }
}

/// Notes a failure on account of a backend server.
pub(crate) fn fail(shared: &Shared, id: &str, gravely: bool) {
    let now = shared.now();
    let out = shared.state().fleet.record_failure(now, id, gravely);
    if out {
        shared.lines.put(
            "backend_server_out",
            json!({ "id": id, "gravely": gravely }),
        );
    }
}

/// A line for a try that brought no answer.
pub(crate) fn note(shared: &Shared, ticket: &Ticket, id: &str, outcome: &str, why: &str) {
    shared.lines.put(
        "try_failed",
        json!({
            "request": ticket.id, "route": ticket.route.name, "version": ticket.version,
            "server": id, "outcome": outcome, "why": why, "digest": to_text(ticket.digest()),
        }),
    );
}

/// The verdict of a refusal, for lines and counters.
pub(crate) fn verdict(refusal: &Refusal) -> &'static str {
    match refusal.verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
    }
}

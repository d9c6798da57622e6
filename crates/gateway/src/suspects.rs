//! Requests that end backend servers, as this gateway meets them: what it tells the coordinators of
//! runs that were lost, and whether a request may be sent.

use crate::answer::Refusal;
use crate::offer::Tries;
use crate::place;
use crate::shared::{Inner, Shared};
use crate::ticket::Ticket;
use bn_quarantine::{CaseStatus, Digest, LostRun, NextStep, Start, Termination, to_text};
use bn_route::Server;
use bn_serve::client::{self, Connection};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a suspect waits for the word that it may be tried. The leader answers in a few
/// milliseconds; where none does it is being elected, which takes half a second and more.
const WORD: Duration = Duration::from_millis(300);
/// How long a connection must stand before its other end counts as alive: far longer than a process takes
/// to close its sockets, far shorter than a caller takes to come back.
const STAYS: Duration = Duration::from_millis(100);
/// Why a request is sent no more.
pub(crate) const ENDS_SERVERS: &str = "backend servers ended under this request";
/// Why a suspect waits.
const TRIED: &str = "backend servers ended under this request, and it is being tried elsewhere";

/// What the link tells the coordinators.
#[derive(Debug)]
pub(crate) enum Report {
    /// A backend server ended.
    End(Termination),
    /// May this request be tried now, for so long?
    Ask(Digest, Duration, oneshot::Sender<bool>),
    /// A run of a suspect is over, with a whole answer or without.
    Done(Digest, bool),
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

/// The only try of a suspect in the fleet. Its end is told when it is dropped.
pub(crate) struct Trial {
    shared: Shared,
    digest: Digest,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.shared.report(Report::Done(self.digest, false));
    }
}

impl Inner {
    /// Hands a report to the link. One that is lost costs a backend server more: the next end tells
    /// the same.
    pub(crate) fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            metrics::counter!("ring_lost_total").increment(1);
        }
    }

    fn standing(&self, ticket: &Ticket) -> CaseStatus {
        let state = self.state();
        // Without cases no digest is worked out.
        match state.cases.is_empty() {
            true => CaseStatus::Free,
            false => state.cases.status(ticket.digest()),
        }
    }
}

/// Refuses what is known to end backend servers, before it waits for a place.
pub(crate) fn refuse_known(shared: &Shared, ticket: &Ticket) -> Result<(), Refusal> {
    match shared.standing(ticket) {
        CaseStatus::Refused => Err(known(shared, ticket)),
        _ => Ok(()),
    }
}

/// Not run this time, and no word on when to come back: nothing says that it would help.
fn known(shared: &Shared, ticket: &Ticket) -> Refusal {
    let digest = to_text(ticket.digest());
    let fields = json!({ "request": ticket.id, "digest": digest });
    shared.lines.put("quarantined", fields);
    metrics::counter!("requests_quarantined_total").increment(1);
    Refusal::wrong(503, ENDS_SERVERS)
}

/// Whether the request may be sent now, with a place taken. A suspect needs the leader's word, and
/// is the only one of its kind in the fleet until its run is over.
pub(crate) async fn admit(
    shared: &Shared,
    ticket: &Ticket,
    tries: &mut Tries,
) -> Result<(), Refusal> {
    match shared.standing(ticket) {
        CaseStatus::Free => return Ok(()),
        CaseStatus::Refused => return Err(known(shared, ticket)),
        CaseStatus::Suspect if tries.trial.is_some() => return Ok(()),
        CaseStatus::Suspect => {}
    }
    let digest = ticket.digest();
    let (word, told) = oneshot::channel();
    shared.report(Report::Ask(digest, ticket.left(shared.now()), word));
    let granted = matches!(tokio::time::timeout(WORD, told).await, Ok(Ok(true)));
    shared.lines.put(
        "suspect_asked",
        json!({ "request": ticket.id, "digest": to_text(digest), "granted": granted }),
    );
    if !granted {
        return Err(Refusal::later(TRIED, place::back_after(shared, ticket)));
    }
    metrics::counter!("suspects_tried_total").increment(1);
    let shared = shared.clone();
    tries.trial = Some(Trial { shared, digest });
    Ok(())
}

/// A request got a whole answer: it ends nobody.
pub(crate) fn whole(shared: &Shared, ticket: &Ticket) {
    let open = {
        let state = shared.state();
        !state.cases.is_empty() && state.cases.is_open(ticket.digest())
    };
    if open {
        shared.report(Report::Done(ticket.digest(), true));
    }
}

/// A run broke off, or was given up here. Connections break for many reasons, so somebody looks
/// whether the backend server is still there.
pub(crate) fn lost(shared: &Shared, ticket: &Ticket, tries: &Tries, run: &Run, given_up: bool) {
    let now = shared.now();
    let lost = LostRun {
        digest: ticket.digest(),
        sole_trial: tries.trial.is_some(),
        abandoned: given_up,
    };
    let next = {
        let mut state = shared.state();
        // One that leaves, or is gone, ends with what it has: that is no request's doing.
        let known = state.fleet.get(&run.start.id);
        if known.is_none_or(|s| s.leaving || s.start_time != run.start.start_time) {
            return;
        }
        state.watch.on_lost(now, &run.start, run.address, lost)
    };
    match next {
        NextStep::Wait => {}
        NextStep::Probe => look(shared.clone(), run.clone()),
        NextStep::Report(end) => tell(shared, end, "refused"),
    }
}

/// A connection to where a run was lost, once it has stood for a moment. A process that ends closes its
/// sockets one after the other, and takes connections as long as its listener is open; these are reset
/// with it. Taken for alive, one of three ends was missed (one run on a busy machine).
async fn open_to_stay(address: SocketAddr) -> client::Result<Connection> {
    let connection = client::open(address).await?;
    tokio::time::sleep(STAYS).await;
    match connection.sender.is_closed() {
        true => client::open(address).await,
        false => Ok(connection),
    }
}

/// Opens a connection, which serves the next request where the backend server lives.
fn look(shared: Shared, run: Run) {
    tokio::spawn(async move {
        let opened = open_to_stay(run.address).await;
        let now = shared.now();
        match opened {
            Ok(connection) => {
                shared.state().watch.on_reachable(&run.start);
                shared.pool.put_back(now, connection, None);
            }
            Err(e) if e.is_connection_refused() => {
                let end = shared.state().watch.on_terminated(now, &run.start);
                if let Some(end) = end {
                    tell(&shared, end, "refused");
                }
                fell(&shared, &run.start, "refused");
            }
            Err(e) => {
                log::debug!("{}: {e}", run.start.id);
                shared.state().watch.on_inconclusive(&run.start);
            }
        }
    });
}

/// A backend server has ended: nothing is sent there, nor to its group until it runs again.
pub(crate) fn fell(shared: &Shared, start: &Start, sign: &str) {
    let now = shared.now();
    let address = {
        let mut state = shared.state();
        if !state
            .fleet
            .mark_terminated(now, &start.id, start.start_time)
        {
            return;
        }
        state.forget_pace_of(&start.id);
        state.fleet.get(&start.id).map(|s| s.address)
    };
    if let Some(address) = address {
        shared.pool.close_idle(address);
    }
    shared.room.notify_waiters();
    let fields = json!({ "id": start.id, "began": start.start_time, "sign": sign });
    shared.lines.put("backend_server_fell", fields);
}

/// Tells the coordinators that a backend server ended; `sign` is what shows it here.
pub(crate) fn tell(shared: &Shared, end: Termination, sign: &str) {
    let digests: Vec<String> = end.runs.iter().map(|(d, _)| to_text(*d)).collect();
    let alone = end.runs.iter().any(|(_, alone)| *alone);
    shared.lines.put(
        "backend_server_ended",
        json!({
            "id": end.start.id, "began": end.start.start_time, "sign": sign, "digests": digests,
            "alone": alone,
        }),
    );
    metrics::counter!("backend_server_ends_total").increment(1);
    shared.report(Report::End(end));
}

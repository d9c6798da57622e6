//! Finding a backend server for a request: at once where one has room, else in line for
//! a short time. A request that cannot be placed in time is refused at once, with a time
//! to come back.
//!
//! Load that this answers: bursts of up to twice what a group bears, and groups whose
//! passes turned slow. Serving everybody late is worth less to callers than serving as
//! many as can be in time.

use crate::answer::Refusal;
use crate::attempt::Seat;
use crate::context::Ticket;
use crate::shared::{Shared, State};
use bn_limit::QueuedRequest;
use bn_route::{FillController, PickArgs, ServerId, Unavailable, Unit, fill_limit_for};
use indexmap::IndexMap;
use std::time::Duration;

/// Load over slots up to which a backend server of a plain service is taken. Above 1 a
/// request waits in the backend server's own queue, which is closer to the next free slot.
const ROOM: f64 = 1.0;
/// Part of the target time that a request waits in line for a stream's place: a first
/// event takes half of the target by itself, so what starts later is late.
const STREAM_WAIT: f64 = 0.4;
/// Wait of a request that cannot be in time any more: it came back after a refusal. It is
/// served late rather than never, by places that no other request wants.
const LATE_WAIT: Duration = Duration::from_millis(1_500);
/// Longest that a request is held here before it is sent, whatever it waits for. Callers give
/// a stream up after two seconds without an event, and a first event takes a part of them.
pub(crate) const LONGEST_HOLD: Duration = Duration::from_millis(1_700);
/// Requests that wait in line for one service at most. A gateway starts some 15 a second,
/// so that those behind would wait for longer than any may.
const MOST_WAITING: usize = 64;
/// Between two looks while waiting, where no place was given back here: places that
/// other gateways gave back are not seen otherwise.
const LOOK: Duration = Duration::from_millis(25);
/// Wait for a backend server of a service that has none: it may be registering, or
/// its successor is.
const EMPTY_WAIT: Duration = Duration::from_millis(300);
/// Time to come back after a refusal: bursts last some seconds, so a place is likelier
/// after one or two. The random part keeps those refused together apart.
const BACK_AFTER: Duration = Duration::from_millis(900);
const BACK_SPREAD: Duration = Duration::from_millis(1_300);
/// Part of the time left within which callers come back; past a third they do not.
const BACK_PART: f64 = 0.32;
/// Random part of the time to come back to a group that stands still.
const STILL_SPREAD: f64 = 0.1;
/// Why requests are refused while their group stands still.
pub(crate) const STILL: &str = "the group of backend servers stands still";
/// Why they are refused at once where it has done so for long.
const DOWN: &str = "the group of backend servers is down";
/// Why they are refused where the service has no backend server.
const NOBODY: &str = "no backend server";
/// Why they are refused where nothing else is known to be wrong.
pub(crate) const FULL: &str = "all backend servers are full";
/// Why they are refused where no backend server takes a request in time, as all have asked.
const HELD: &str = "the backend servers take no more requests now";
/// Ranks of requests: the lowest is the most urgent.
const RANKS: u32 = 10;

/// Finds a place, and takes it.
pub(crate) async fn seat(
    shared: &Shared,
    ticket: &Ticket,
    tried: &[ServerId],
) -> Result<Seat, Refusal> {
    let began = shared.now();
    match try_first(shared, ticket, tried) {
        Ok(seat) => Ok(seat),
        Err(Unavailable::NoServers) => wait_for_servers(shared, ticket, tried, began).await,
        Err(lack) => wait_or_refuse(shared, ticket, tried, began, lack).await,
    }
}

/// Waits for a backend server that is there, unless it is known that there is no use in it.
async fn wait_or_refuse(
    shared: &Shared,
    ticket: &Ticket,
    tried: &[ServerId],
    began: Duration,
    lack: Unavailable,
) -> Result<Seat, Refusal> {
    let until = began + patience(ticket, began);
    let reason = match lack {
        Unavailable::Full => return wait_in_line(shared, ticket, tried, began).await,
        Unavailable::Throttled(Some(open_at)) if open_at <= until => {
            return wait_in_line(shared, ticket, tried, began).await;
        }
        Unavailable::Stalled if outwaits(ticket, began) => {
            return wait_in_line(shared, ticket, tried, began).await;
        }
        // It will stand for longer than any may wait.
        Unavailable::Stalled => STILL,
        Unavailable::Down => DOWN,
        Unavailable::Throttled(_) => HELD,
        Unavailable::NoServers => NOBODY,
    };
    Err(refusal(shared, ticket, reason))
}

/// A place at once, unless others wait for one that do not go behind this request.
fn try_first(shared: &Shared, ticket: &Ticket, tried: &[ServerId]) -> Result<Seat, Unavailable> {
    let now = shared.now();
    let mut state = shared.state();
    let line = state.lines.entry(ticket.service.clone()).or_default();
    if line.has_at_least(priority(ticket, now)) {
        return Err(Unavailable::Full);
    }
    let seat = take(shared, &mut state, ticket, tried)?;
    if let Some(line) = state.lines.get_mut(&ticket.service) {
        line.record_start(now);
    }
    Ok(seat)
}

fn take(
    shared: &Shared,
    state: &mut State,
    ticket: &Ticket,
    tried: &[ServerId],
) -> Result<Seat, Unavailable> {
    let now = shared.now();
    let late = outwaits(ticket, now);
    let (paces, service) = (&state.paces, ticket.service.as_str());
    let room = |unit: &str| {
        let streams = || {
            known_pace(paces, unit, service)
                .map_or(FillController::INITIAL, FillController::fill_limit)
        };
        let room = if ticket.streams() { streams() } else { ROOM };
        fill_limit_for(late, room)
    };
    let want = PickArgs {
        service: &ticket.service,
        tried,
        final_attempt: tried.len() + 1 >= ticket.route.attempts as usize,
        fill_limit: &room,
    };
    let picked = state.fleet.pick(now, &want, rand::random::<f64>);
    let server = picked.cloned()?;
    if ticket.streams() && !state.paces.contains_key(&server.unit) {
        let pace = known_pace(&state.paces, &server.unit, &server.service).cloned();
        let unit = server.unit.clone();
        state.paces.insert(unit, pace.unwrap_or_default());
    }
    state.fleet.record_sent(now, &server.id);
    Ok(Seat::new(shared, server))
}

/// FillController of a unit. What was learnt before its backend servers told their groups counts for
/// each of them.
fn known_pace<'a>(
    paces: &'a IndexMap<Unit, FillController>,
    unit: &str,
    service: &str,
) -> Option<&'a FillController> {
    paces.get(unit).or_else(|| paces.get(service))
}

/// Whether a request waits for a group that stands still to run again. One that comes for
/// the first time is told when to come back; one that has been told so comes no more, and is
/// better served late than not at all. So is one that waited past its target already, for the
/// configuration, say.
fn outwaits(ticket: &Ticket, now: Duration) -> bool {
    ticket.came_back || now > ticket.arrived + ticket.route.target
}

/// Place in line: by rank, and within one those first that can still be in time.
fn priority(ticket: &Ticket, now: Duration) -> u32 {
    let fresh = u32::from(!outwaits(ticket, now));
    2 * RANKS.saturating_sub(ticket.rank) + fresh
}

async fn wait_for_servers(
    shared: &Shared,
    ticket: &Ticket,
    tried: &[ServerId],
    began: Duration,
) -> Result<Seat, Refusal> {
    let until = match outwaits(ticket, began) {
        true => began + patience(ticket, began),
        false => began + EMPTY_WAIT.min(ticket.left(began) / 3),
    };
    loop {
        pause(shared).await;
        match try_first(shared, ticket, tried) {
            Ok(seat) => return Ok(seat),
            Err(Unavailable::NoServers) if shared.now() < until => {}
            Err(lack) => return wait_or_refuse(shared, ticket, tried, began, lack).await,
        }
    }
}

/// How long a request may wait in line. One that is late already goes behind those that
/// can still be in time, but may wait for longer.
fn patience(ticket: &Ticket, now: Duration) -> Duration {
    let most = match (outwaits(ticket, now), ticket.streams()) {
        (true, _) => LATE_WAIT,
        (false, true) => ticket.route.target.mul_f64(STREAM_WAIT),
        (false, false) => ticket.route.target,
    };
    let held = now.saturating_sub(ticket.arrived);
    most.min(ticket.left(now) / 3)
        .min(LONGEST_HOLD.saturating_sub(held))
}

async fn wait_in_line(
    shared: &Shared,
    ticket: &Ticket,
    tried: &[ServerId],
    began: Duration,
) -> Result<Seat, Refusal> {
    let until = began + patience(ticket, began);
    let waiting = QueuedRequest {
        id: rand::random(),
        account: ticket.account.clone().unwrap_or_default(),
        priority: priority(ticket, began),
        share: 1,
        deadline: until,
    };
    let spot = match Spot::join(shared, ticket, waiting) {
        Some(spot) => spot,
        // It is known now that its turn would come too late.
        None => return Err(refusal(shared, ticket, "the line is too long")),
    };
    loop {
        pause(shared).await;
        if let Some(seat) = spot.advance(tried) {
            return Ok(seat);
        }
        if !outwaits(ticket, began) && shared.state().fleet.is_stalled(&ticket.service) {
            return Err(refusal(shared, ticket, STILL));
        }
        // Callers must not be held for a group that was never whole, or is not coming back.
        if shared.state().fleet.is_down(shared.now(), &ticket.service) {
            return Err(refusal(shared, ticket, DOWN));
        }
        if shared.now() >= until {
            let held = shared
                .state()
                .fleet
                .is_throttled(shared.now(), &ticket.service);
            let reason = if held { HELD } else { FULL };
            return Err(refusal(shared, ticket, reason));
        }
    }
}

/// Waits for a place given back here, or for the next look.
async fn pause(shared: &Shared) {
    // Either wakes: only the look at the fleet decides.
    let _ = tokio::time::timeout(LOOK, shared.room.notified()).await;
}

/// A request's place in line, given up when dropped: callers may leave.
struct Spot<'a> {
    shared: &'a Shared,
    ticket: &'a Ticket,
    id: u64,
}

impl<'a> Spot<'a> {
    fn join(shared: &'a Shared, ticket: &'a Ticket, waiting: QueuedRequest) -> Option<Spot<'a>> {
        let id = waiting.id;
        let now = shared.now();
        let joined = {
            let mut state = shared.state();
            let line = state.lines.entry(ticket.service.clone()).or_default();
            line.push(now, waiting, MOST_WAITING).is_ok()
        };
        // Made only after the state is unlocked: a spot that is dropped locks it again.
        match joined {
            true => Some(Spot { shared, ticket, id }),
            false => None,
        }
    }

    /// Takes a place if it is this one's turn and there is one.
    fn advance(&self, tried: &[ServerId]) -> Option<Seat> {
        let now = self.shared.now();
        let service = &self.ticket.service;
        let mut state = self.shared.state();
        let first = state.lines.get(service)?.start_order().first().copied();
        if first != Some(self.id) {
            return None;
        }
        let seat = take(self.shared, &mut state, self.ticket, tried).ok()?;
        if let Some(line) = state.lines.get_mut(service) {
            line.start(now, self.id);
        }
        Some(seat)
    }
}

impl Drop for Spot<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(line) = state.lines.get_mut(&self.ticket.service) {
            line.remove_if(|w| w.id == self.id);
        }
    }
}

fn refusal(shared: &Shared, ticket: &Ticket, reason: &'static str) -> Refusal {
    Refusal::later(reason, back_after(shared, ticket))
}

/// When a refused caller may come back. A group that stands still does so for some seconds:
/// then as late as callers follow.
pub(crate) fn back_after(shared: &Shared, ticket: &Ticket) -> Duration {
    let now = shared.now();
    let left = ticket.left(now);
    let (still, open_at) = {
        let fleet = &shared.state().fleet;
        let held = fleet.is_throttled(now, &ticket.service);
        let open_at = fleet.next_send_at(&ticket.service).filter(|_| held);
        (fleet.is_stalled(&ticket.service), open_at)
    };
    if still {
        return latest_back(left);
    }
    // Other gateways may serve it at once where only they send.
    let free = open_at.unwrap_or_default().saturating_sub(now);
    let after = free.max(BACK_AFTER) + BACK_SPREAD.mul_f64(rand::random());
    let latest = left.mul_f64(BACK_PART);
    // Who is back at the latest time waits for the rest of it in line. Before a later end
    // nobody should come back.
    let waits = LATE_WAIT.min(left.saturating_sub(latest) / 3);
    match free <= latest + waits {
        true => after.min(latest),
        false => after,
    }
}

/// About the latest time at which a caller that waits for `left` more still comes back.
pub(crate) fn latest_back(left: Duration) -> Duration {
    left.mul_f64(BACK_PART * (1.0 - STILL_SPREAD * rand::random::<f64>()))
}

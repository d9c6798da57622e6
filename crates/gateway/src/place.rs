//! Finding a backend server for a request: at once where one has room, else after a
//! short wait; a request that cannot be placed is refused, with a time to come back.

use crate::answer::Refusal;
use crate::attempt::Seat;
use crate::shared::Shared;
use crate::ticket::Ticket;
use bn_route::{Lack, ServerId, Want};
use std::time::Duration;

/// Load over slots up to which a backend server of a plain service is taken. Above 1 a
/// request waits in the backend server's own queue, which is closer to the next free slot.
const ROOM: f64 = 1.0;
/// Part of the target time that a stream waits for a place: what starts later cannot be
/// in time any more, and would take a place from one that can.
const STREAM_WAIT: f64 = 0.4;
/// Between two looks while waiting, where no place was given back here: places that
/// other gateways gave back are not seen otherwise.
const LOOK: Duration = Duration::from_millis(25);
/// Wait for a backend server of a service that has none: it may be registering, or
/// its successor is.
const EMPTY_WAIT: Duration = Duration::from_millis(300);
/// Shortest time to come back after a refusal, and the random part on top, so that
/// those refused together do not return together.
const BACK_AFTER: Duration = Duration::from_millis(350);
const BACK_SPREAD: Duration = Duration::from_millis(500);

/// Finds a place, and takes it.
pub(crate) async fn seat(
    shared: &Shared,
    ticket: &Ticket,
    tried: &[ServerId],
) -> Result<Seat, Refusal> {
    let began = shared.now();
    loop {
        let room = shared.room.notified();
        let lack = match try_seat(shared, ticket, tried) {
            Ok(seat) => return Ok(seat),
            Err(lack) => lack,
        };
        let now = shared.now();
        let patience = match lack {
            Lack::Servers => EMPTY_WAIT,
            Lack::Room if ticket.streams() => ticket.route.target.mul_f64(STREAM_WAIT),
            Lack::Room => ticket.route.target,
        };
        if now >= began + patience.min(ticket.left(began) / 3) {
            return Err(refusal(lack));
        }
        // Either wakes: only the look at the fleet decides.
        let _ = tokio::time::timeout(LOOK, room).await;
    }
}

fn try_seat(shared: &Shared, ticket: &Ticket, tried: &[ServerId]) -> Result<Seat, Lack> {
    let mut state = shared.state();
    let room = match ticket.streams() {
        true => state
            .paces
            .entry(ticket.service.clone())
            .or_default()
            .room(),
        false => ROOM,
    };
    let want = Want {
        service: &ticket.service,
        tried,
        room,
    };
    let picked = state.fleet.pick(shared.now(), &want, rand::random::<f64>);
    let server = picked.cloned()?;
    state.fleet.sent(&server.id);
    Ok(Seat::new(shared, server))
}

fn refusal(lack: Lack) -> Refusal {
    let reason = match lack {
        Lack::Servers => "no backend server",
        Lack::Room => "all backend servers are full",
    };
    Refusal::later(reason, back_after())
}

/// When a refused caller may come back.
pub(crate) fn back_after() -> Duration {
    BACK_AFTER + BACK_SPREAD.mul_f64(rand::random())
}

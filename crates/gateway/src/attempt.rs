//! One try of a request at one backend server, up to the head of its answer.

use crate::asked;
use crate::shared::Shared;
use crate::ticket::{Ticket, text};
use bn_platform::header;
use bn_route::{LoadReport, Server};
use bn_serve::client::{self, Connection};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response};
use std::time::Duration;

/// Backend servers know ranks up to this one.
const LAST_RANK: u32 = 9;

/// A place at a backend server, given back when dropped.
pub(crate) struct Seat {
    shared: Shared,
    pub(crate) server: Server,
}

impl Seat {
    pub(crate) fn new(shared: &Shared, server: Server) -> Seat {
        let shared = shared.clone();
        Seat { shared, server }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let Server { id, start_time, .. } = &self.server;
        self.shared.state().fleet.record_end(id, *start_time);
        self.shared.room.notify_waiters();
    }
}

/// What came of sending a request.
pub(crate) enum Outcome {
    /// The head of an answer that is surely to this request.
    Head(Box<Head>),
    /// Nobody was reached: no byte left.
    NotSent(&'static str),
    /// The backend server wants no request now, as it said since it was picked: no byte left.
    Withheld,
    /// The backend server says that it did not run it.
    NotRun(Word),
    /// A byte left, and the connection broke before a word came back.
    Broke,
    /// A byte left, and what came back answers another request.
    Foreign,
}

/// A backend server's word that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Word {
    /// It has no room, or the request came too late for its queue.
    Full,
    /// Another one has its address now.
    Elsewhere,
    /// It serves no such request, though it is the one expected: it is registered for a
    /// service of groups, say, and belongs to none.
    Misfit,
    /// It depends on another one that is gone.
    Stalled,
}

/// Head of an answer, with the connection that its body comes on.
pub(crate) struct Head {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) seat: Seat,
}

/// Sends a request to the backend server of `seat`; `last_event` makes it go on after
/// that event.
pub(crate) async fn send(
    shared: &Shared,
    ticket: &Ticket,
    seat: Seat,
    last_event: Option<&str>,
) -> Outcome {
    let address = seat.server.address;
    // A connection that turns out closed before a byte left is replaced by a new one.
    let mut idle = shared.pool.take_idle(shared.now(), address);
    let mut connection = loop {
        let connection = match idle.take() {
            Some(connection) => connection,
            None => match client::open(address).await {
                Ok(connection) => connection,
                Err(e) => {
                    log::debug!("{}: {e}", seat.server.id);
                    return Outcome::NotSent("no connection");
                }
            },
        };
        if connection.sender.is_ready() || !connection.reused {
            break connection;
        }
    };
    let now = shared.now();
    // Its place was found before the waits for a word and a connection, and in that time others
    // heard what this backend server asks for.
    if !shared.state().fleet.may_send(now, &seat.server) {
        return Outcome::Withheld;
    }
    let request = request(now, ticket, &seat.server, last_event);
    let sent = connection.sender.try_send_request(request).await;
    match sent {
        Ok(response) => judge(shared, ticket, now, response, connection, seat),
        // The request came back whole: no byte of it was written.
        Err(e) if e.message().is_some() => Outcome::NotSent("connection closed before sending"),
        Err(e) => {
            log::debug!("{}: {}", seat.server.id, e.error());
            Outcome::Broke
        }
    }
}

fn judge(
    shared: &Shared,
    ticket: &Ticket,
    sent: Duration,
    response: Response<Incoming>,
    connection: Connection,
    seat: Seat,
) -> Outcome {
    let headers = response.headers();
    tell_load(shared, &seat.server, headers);
    let status = response.status().as_u16();
    asked::note(shared, ticket, &seat.server, sent, &response);
    if status == 421 {
        // Only one that says it is the one expected has another reason.
        let expected = text(headers, header::SERVER) == Some(&seat.server.id);
        return Outcome::NotRun(match expected {
            true => Word::Misfit,
            false => Word::Elsewhere,
        });
    }
    if headers.contains_key(header::NOT_RUN) {
        return Outcome::NotRun(match headers.contains_key(header::AT_FAULT) {
            true => Word::Stalled,
            false => Word::Full,
        });
    }
    // An extra answer to an earlier request may lie where this one is expected.
    if text(headers, header::ATTEMPT) != Some(&ticket.id) {
        return Outcome::Foreign;
    }
    Outcome::Head(Box::new(Head {
        response,
        connection,
        seat,
    }))
}

fn tell_load(shared: &Shared, server: &Server, headers: &HeaderMap) {
    let told = text(headers, header::LOAD).and_then(bn_platform::parse_load);
    if let Some(load) = told {
        let told = LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
        };
        let now = shared.now();
        shared.state().fleet.record_load(now, &server.id, told);
    }
}

/// The request as the backend server gets it.
fn request(
    now: Duration,
    ticket: &Ticket,
    server: &Server,
    last_event: Option<&str>,
) -> Request<Full<hyper::body::Bytes>> {
    let mut request = Request::new(Full::new(ticket.body.clone()));
    *request.method_mut() = ticket.method.clone();
    *request.uri_mut() = origin_form(&ticket.uri);
    let headers = request.headers_mut();
    *headers = ticket.headers.clone();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(header::DEADLINE, &ticket.left(now).as_millis().to_string());
    set(header::EXPECT_SERVER, &server.id);
    set(header::PRIORITY, &ticket.rank.min(LAST_RANK).to_string());
    if let Some(account) = &ticket.account {
        set(header::ACCOUNT, account);
    }
    if let Some(id) = last_event {
        set(header::LAST_EVENT, id);
    }
    request
}

/// Path and query alone, as they came.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), hyper::Uri::from)
}

/// Idle time that a backend server announces, from `Keep-Alive: timeout=SECONDS`.
pub(crate) fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let parts = text(headers, "keep-alive")?.split(',');
    let seconds = parts.filter_map(|p| p.trim().strip_prefix("timeout="));
    let seconds = seconds.filter_map(|s| s.trim().parse().ok()).next();
    seconds.map(Duration::from_secs)
}

//! One attempt of a request at one backend server, up to the headers of the response.

use crate::context::{RequestContext, text};
use crate::feedback;
use crate::shared::Shared;
use crate::silence;
use bn_platform::header;
use bn_route::{LoadReport, Server};
use bn_serve::client::{self, AnswerBody, Connection, SendError};
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use std::time::Duration;

/// Largest priority value that backend servers know.
const MAX_PRIORITY: u32 = 9;

/// A reserved slot at a backend server, released on drop.
pub(crate) struct Reservation {
    shared: Shared,
    pub(crate) server: Server,
    pub(crate) placed_at: Duration,
}

impl Reservation {
    pub(crate) fn new(shared: &Shared, server: Server) -> Reservation {
        let shared = shared.clone();
        let placed_at = shared.now();
        Reservation {
            shared,
            server,
            placed_at,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Server { id, start_time, .. } = &self.server;
        self.shared.state().fleet.record_end(id, *start_time);
        self.shared.capacity_freed.notify_waiters();
    }
}

/// Result of sending a request.
pub(crate) enum Outcome {
    /// The headers of a response that certainly belongs to this request.
    Head(Box<Head>),
    /// No backend server was reached: no byte was sent.
    NotSent(&'static str),
    /// What was received after the backend server was picked forbids it now: no byte was sent.
    Withheld(&'static str),
    /// The backend server says that it did not run it.
    NotRun(NotRunReason),
    /// At least one byte was sent, and the connection broke before a response.
    ConnectionLost,
    /// At least one byte was sent, and the response received belongs to another request.
    Mismatched,
    /// At least one byte was sent, and what came is no response of HTTP.
    Invalid,
}

/// Why a backend server says that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotRunReason {
    /// It has no free capacity, or the request came too late for its queue.
    Full,
    /// Another backend server has its address now.
    AddressReused,
    /// It does not serve such requests, though it is the expected backend server: for example, it
    /// is registered for a service of groups and belongs to no group.
    NotServed,
    /// It depends on another backend server that is gone.
    Stalled,
}

/// Headers of a response, with the connection that its body arrives on.
pub(crate) struct Head {
    pub(crate) response: Response<AnswerBody>,
    pub(crate) connection: Connection,
    pub(crate) reservation: Reservation,
}

/// Sends a request to the backend server of `reservation`; with `last_event`, the stream resumes
/// after that event.
pub(crate) async fn send(
    shared: &Shared,
    ctx: &RequestContext,
    reservation: Reservation,
    last_event: Option<&str>,
) -> Outcome {
    let address = reservation.server.address;
    // A connection that turns out to be closed before a byte was sent is replaced by a new one.
    let mut idle = shared.pool.take_idle(shared.now(), address);
    let mut connection = loop {
        let connection = match idle.take() {
            Some(connection) => connection,
            None => match client::open(address).await {
                Ok(connection) => connection,
                Err(e) => {
                    log::debug!("connecting to {} failed: {e}", reservation.server.id);
                    feedback::record_refused(shared, &reservation.server);
                    return Outcome::NotSent("no connection");
                }
            },
        };
        if connection.is_ready() || !connection.reused {
            break connection;
        }
    };
    let now = shared.now();
    // The slot was reserved before the waits for the leader's answer and the connection; meanwhile,
    // other requests may have received directives of this backend server.
    let withheld = withheld(shared, now, &reservation.server);
    feedback::log_cold_changes(shared);
    if let Some(why) = withheld {
        return Outcome::Withheld(why);
    }
    ctx.sends.record(now, &reservation.server.id);
    let request = request(now, ctx, &reservation.server, last_event);
    let sent = connection.send(request).await;
    match sent {
        Ok(response) => classify(shared, ctx, now, response, connection, reservation),
        Err(SendError::NotSent) => Outcome::NotSent("connection closed before sending"),
        Err(SendError::Status { status }) => {
            silence::record_heard(shared, &reservation.server);
            log::debug!("{} answered with status {status}", reservation.server.id);
            Outcome::Invalid
        }
        Err(SendError::Lost { source }) => {
            log::debug!("request to {} failed: {source}", reservation.server.id);
            Outcome::ConnectionLost
        }
    }
}

/// Why a request must not be sent to the backend server that was picked for it, if so.
fn withheld(shared: &Shared, now: Duration, picked: &Server) -> Option<&'static str> {
    let fleet = &mut shared.state().fleet;
    if fleet.may_send(now, picked) {
        return None;
    }
    Some(match fleet.is_domain_evacuated(&picked.domain) {
        true => "its failure domain is evacuated",
        false => "as the backend server asks",
    })
}

fn classify(
    shared: &Shared,
    ctx: &RequestContext,
    sent: Duration,
    response: Response<AnswerBody>,
    connection: Connection,
    reservation: Reservation,
) -> Outcome {
    silence::record_heard(shared, &reservation.server);
    let headers = response.headers();
    if !belongs(headers, &ctx.id, &connection) {
        return Outcome::Mismatched;
    }
    record_load(shared, &reservation.server, headers);
    let status = response.status().as_u16();
    feedback::record(shared, ctx, &reservation.server, sent, &response);
    if status == 421 {
        // Only a backend server that identifies itself as the expected one has another reason.
        let expected = text(headers, header::SERVER) == Some(&reservation.server.id);
        return Outcome::NotRun(match expected {
            true => NotRunReason::NotServed,
            false => NotRunReason::AddressReused,
        });
    }
    if headers.contains_key(header::NOT_RUN) {
        return Outcome::NotRun(match headers.contains_key(header::AT_FAULT) {
            true => NotRunReason::Stalled,
            false => NotRunReason::Full,
        });
    }
    // What answers without an id on a new connection may be no backend server.
    if text(headers, header::ATTEMPT).is_none() {
        return Outcome::Mismatched;
    }
    silence::record_answer(shared, &reservation.server, shared.now() - sent);
    Outcome::Head(Box::new(Head {
        response,
        connection,
        reservation,
    }))
}

/// Whether a response is to this request: a surplus response to an earlier one may arrive where this
/// one is expected, and nothing that it says is true of this request. Without an id, only the first
/// response on a connection can be to this request.
fn belongs(headers: &HeaderMap, id: &str, connection: &Connection) -> bool {
    match text(headers, header::ATTEMPT) {
        Some(echoed) => echoed == id,
        None => !connection.reused,
    }
}

fn record_load(shared: &Shared, server: &Server, headers: &HeaderMap) {
    let report = text(headers, header::LOAD).and_then(bn_platform::parse_load);
    if let Some(load) = report {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
        };
        let now = shared.now();
        shared.state().fleet.record_load(now, &server.id, report);
    }
}

/// The request as sent to the backend server.
fn request(
    now: Duration,
    ctx: &RequestContext,
    server: &Server,
    last_event: Option<&str>,
) -> Request<Full<hyper::body::Bytes>> {
    let mut request = Request::new(Full::new(ctx.body.clone()));
    *request.method_mut() = ctx.method.clone();
    *request.uri_mut() = origin_form(&ctx.uri);
    let headers = request.headers_mut();
    *headers = ctx.headers.clone();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(
        header::DEADLINE,
        &ctx.remaining(now).as_millis().to_string(),
    );
    set(header::EXPECT_SERVER, &server.id);
    set(
        header::PRIORITY,
        &ctx.priority.min(MAX_PRIORITY).to_string(),
    );
    if let Some(account) = &ctx.account {
        set(header::ACCOUNT, account);
    }
    if let Some(id) = last_event {
        set(header::LAST_EVENT, id);
    }
    request
}

/// Path and query only, unchanged.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), hyper::Uri::from)
}

/// Whether only the end of the connection ends this body: it has neither a length nor chunks. The
/// end of its backend server then looks like the end of the body.
pub(crate) fn ends_with_connection(headers: &HeaderMap, body: &AnswerBody) -> bool {
    body.size_hint().exact().is_none() && !headers.contains_key(TRANSFER_ENCODING)
}

/// Idle timeout that a backend server announces, from `Keep-Alive: timeout=SECONDS`.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let parts = text(headers, "keep-alive")?.split(',');
    let seconds = parts.filter_map(|p| p.trim().strip_prefix("timeout="));
    let seconds = seconds.filter_map(|s| s.trim().parse().ok()).next();
    seconds.map(Duration::from_secs)
}

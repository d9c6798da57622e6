//! Streamed answers: whole events go on as they come. Where a stream breaks off and may
//! be resumed, another backend server goes on after the last whole event, within the
//! same answer; else the caller's connection breaks, so that the end never looks whole.

use crate::answer::Refusal;
use crate::attempt::Head;
use crate::events::{LARGEST_EVENT, Splitter};
use crate::offer::{self, Tries};
use crate::plain;
use crate::shared::{Flight, Shared};
use crate::suspects::{self, Run};
use crate::ticket::{Ticket, strip_hop};
use bn_platform::header;
use bn_route::Server;
use bn_serve::Body;
use bn_settle::Route;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::StatusCode;
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use serde_json::json;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Events that wait for a slow caller; then the backend server is read no further.
const RING: usize = 16;

type Piece = Result<Frame<Bytes>, io::Error>;

/// Serves a request whose answer is a stream.
pub(crate) async fn serve(
    shared: &Shared,
    ticket: &Ticket,
    mut tries: Tries,
    flight: Flight,
) -> Result<Response<Body>, Refusal> {
    let offered = offer::offer(shared, ticket, &mut tries, None);
    let head = match tokio::time::timeout(ticket.left(shared.now()), offered).await {
        Ok(head) => head?,
        Err(_) => return Err(tries.timed_out()),
    };
    if !is_stream(&head) {
        let run = Run::at(&head.seat.server);
        let collected = plain::collect(shared, head);
        let whole = tokio::time::timeout(ticket.left(shared.now()), collected).await;
        let whole = whole.map_err(|_| tries.timed_out())?;
        return whole.map(plain::response).map_err(|flaw| {
            if flaw == plain::Flaw::Broke {
                suspects::lost(shared, ticket, &tries, &run, false);
            }
            Refusal::unknown(502, "the answer broke off")
        });
    }
    let (parts, body, source) = split(*head);
    let now = shared.now();
    shared
        .state()
        .fleet
        .record_success(now, &source.seat.server.id);
    let (pieces, taken) = mpsc::channel(RING);
    let pump = Pump {
        shared: shared.clone(),
        ticket: ticket.clone(),
        tries,
        splitter: Splitter::default(),
        timing: Timing::default(),
        pieces,
    };
    tokio::spawn(async move {
        let _flight = flight;
        pump.run(body, source).await;
    });
    Ok(response(parts, taken))
}

fn is_stream(head: &Head) -> bool {
    let headers = head.response.headers();
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    head.response.status() == StatusCode::OK
        && kind.is_some_and(|k| k.starts_with("text/event-stream"))
        && headers.contains_key(header::SIGNATURE)
}

/// Where a stream's body comes from: held for as long as it is read.
struct Source {
    connection: bn_serve::client::Connection,
    seat: crate::attempt::Seat,
    limit: Option<Duration>,
}

fn split(head: Head) -> (Parts, Incoming, Source) {
    let (parts, body) = head.response.into_parts();
    let limit = crate::attempt::idle_limit(&parts.headers);
    let source = Source {
        connection: head.connection,
        seat: head.seat,
        limit,
    };
    (parts, body, source)
}

fn response(mut parts: Parts, taken: mpsc::Receiver<Piece>) -> Response<Body> {
    strip_hop(&mut parts.headers);
    parts.headers.remove("content-length");
    parts.headers.remove(header::LOAD);
    let body = StreamBody::new(Pieces(taken));
    Response::from_parts(parts, BodyExt::boxed(body))
}

/// The ring's other end, as a body.
struct Pieces(mpsc::Receiver<Piece>);

impl futures_core::Stream for Pieces {
    type Item = Piece;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        self.0.poll_recv(cx)
    }
}

/// How reading one backend server's part of a stream ended.
enum End {
    /// The stream is complete.
    Whole,
    /// The caller left.
    Left,
    /// Deadline or timeout.
    Late,
    /// The backend server broke off.
    Broken(&'static str),
}

/// When events went on to the caller.
#[derive(Default)]
struct Timing {
    /// The first event, after the request arrived here.
    first: Option<Duration>,
    last: Option<Duration>,
    longest: Duration,
}

impl Timing {
    /// Events came; returns how long after those before.
    fn event(&mut self, now: Duration, arrived: Duration) -> Option<Duration> {
        self.first.get_or_insert(now - arrived);
        let pause = self.last.replace(now).map(|before| now - before);
        self.longest = self.longest.max(pause.unwrap_or_default());
        pause
    }

    fn in_time(&self, route: &Route) -> bool {
        let pause = route.pause;
        self.first.is_some_and(|f| f <= route.target) && (pause.is_zero() || self.longest <= pause)
    }
}

/// Moves events from backend servers to the caller.
struct Pump {
    shared: Shared,
    ticket: Ticket,
    tries: Tries,
    splitter: Splitter,
    timing: Timing,
    pieces: mpsc::Sender<Piece>,
}

impl Pump {
    async fn run(mut self, body: Incoming, source: Source) {
        let (mut body, mut source) = (body, source);
        loop {
            let run = Run::at(&source.seat.server);
            let id = source.seat.server.id.clone();
            match self.read(&mut body, &source.seat.server).await {
                End::Whole => {
                    let shared = &self.shared;
                    let now = shared.now();
                    shared.pool.put_back(now, source.connection, source.limit);
                    shared.state().fleet.record_success(now, &id);
                    suspects::whole(shared, &self.ticket);
                    return self.note("stream_whole", &id, "");
                }
                End::Left => {
                    self.lost(&run, true);
                    return self.note("caller_left", &id, "");
                }
                End::Late => {
                    self.lost(&run, true);
                    self.note("stream_cut", &id, "deadline or timeout");
                    return self.cut().await;
                }
                End::Broken(why) => {
                    drop(source);
                    drop(body);
                    self.lost(&run, false);
                    self.note("stream_broken", &id, why);
                    offer::fail(&self.shared, &id, false);
                    match self.resume().await {
                        Some(next) => (body, source) = next,
                        None => return self.cut().await,
                    }
                }
            }
        }
    }

    fn lost(&self, run: &Run, given_up: bool) {
        suspects::lost(&self.shared, &self.ticket, &self.tries, run, given_up);
    }

    async fn read(&mut self, body: &mut Incoming, server: &Server) -> End {
        let until = self.ticket.left(self.shared.now());
        let late = tokio::time::sleep(until);
        let mut late = std::pin::pin!(late);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.pieces.closed() => return End::Left,
                () = late.as_mut() => return End::Late,
            };
            let data = match frame {
                None if self.splitter.pending() > 0 => return End::Broken("ended within an event"),
                None => return End::Whole,
                Some(Err(_)) => return End::Broken("connection broke"),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Some(events) = data.ok().and_then(|d| self.splitter.push(&d)) else {
                if self.splitter.pending() > LARGEST_EVENT {
                    return End::Broken("an event without end");
                }
                continue;
            };
            let now = self.shared.now();
            if let Some(pause) = self.timing.event(now, self.ticket.arrived) {
                let limit = self.ticket.route.pause;
                self.shared.saw_pause(server, pause, limit);
            }
            let sent = tokio::select! {
                sent = self.pieces.send(Ok(Frame::data(events))) => sent,
                () = late.as_mut() => return End::Late,
            };
            if sent.is_err() {
                return End::Left;
            }
        }
    }

    /// Goes on at another backend server after the last whole event.
    async fn resume(&mut self) -> Option<(Incoming, Source)> {
        self.splitter.drop_part();
        if !offer::again(&self.shared, &self.ticket, &self.tries) {
            return None;
        }
        let from = self.splitter.last_id().map(str::to_string);
        let left = self.ticket.left(self.shared.now());
        let offered = offer::offer(&self.shared, &self.ticket, &mut self.tries, from.as_deref());
        let head = tokio::select! {
            head = tokio::time::timeout(left, offered) => head.ok()?.ok()?,
            () = self.pieces.closed() => return None,
        };
        if !is_stream(&head) {
            return None;
        }
        let (_, body, source) = split(*head);
        let id = source.seat.server.id.clone();
        self.note("stream_resumed", &id, from.as_deref().unwrap_or("start"));
        Some((body, source))
    }

    /// Breaks the caller's connection: without the end of the framing the answer cannot
    /// be taken for whole.
    async fn cut(self) {
        let broken = io::Error::new(io::ErrorKind::ConnectionAborted, "the stream broke off");
        if self.pieces.send(Err(broken)).await.is_err() {
            log::debug!("{}: the caller left before the cut", self.ticket.id);
        }
    }

    fn note(&self, event: &str, server: &str, why: &str) {
        let in_time = self.timing.in_time(&self.ticket.route);
        if event == "stream_whole" && in_time && !crate::front::sampled() {
            return;
        }
        let millis = |d: Duration| d.as_millis() as u64;
        self.shared.lines.put(
            event,
            json!({
                "request": self.ticket.id, "server": server, "why": why,
                "last_event": self.splitter.last_id(), "in_time": in_time,
                "after_ms": millis(self.shared.now() - self.ticket.arrived),
                "first_ms": self.timing.first.map(millis),
                "longest_pause_ms": millis(self.timing.longest),
                "came_back": self.ticket.came_back, "deadline_ms": millis(self.ticket.deadline),
                "digest": bn_quarantine::to_text(self.ticket.digest()),
            }),
        );
    }
}

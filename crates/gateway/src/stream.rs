//! Streamed responses: complete events are forwarded as they arrive. If a stream breaks off and may
//! be resumed, another backend server continues after the last complete event, within the same
//! response; otherwise the caller's connection is aborted, so that the end never looks complete.

use crate::answer::Refusal;
use crate::attempt::{self, Head};
use crate::buffer_guard::{BufferGuard, PIECE_BYTES};
use crate::buffers::Phase;
use crate::context::{RequestContext, strip_hop_by_hop};
use crate::dispatch::{self, Attempts};
use crate::events::{MAX_COMMENT_BYTES, MAX_EVENT_BYTES, Splitter};
use crate::lost_runs::{self, Loss, Run};
use crate::plain;
use crate::shared::{InFlightGuard, Shared};
use crate::silence::{self, Awaited};
use crate::suspects;
use bn_platform::header;
use bn_route::{Server, ServerId};
use bn_serve::Body;
use bn_serve::client::AnswerBody;
use bn_settle::Route;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::StatusCode;
use hyper::body::{Bytes, Frame};
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use serde_json::json;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

/// Maximum number of bytes buffered for a slow caller, unless a single piece is larger. At this
/// number, reading from the backend server pauses.
const MAX_STREAM_BYTES: usize = 64 << 10;
/// Maximum number of pieces buffered for a slow caller; reading pauses in the same way.
const QUEUE_CAPACITY: usize = 16;
/// If queueing an event takes longer, callers delay the stream: with room in the buffers, it takes
/// microseconds.
const CALLER_DELAY_THRESHOLD: Duration = Duration::from_millis(1);

/// Why a stream was cut.
const TIMED_OUT: &str = "deadline or timeout";
const OUT_OF_PATIENCE: &str = "no event for as long as the caller waits";

/// What reading a backend server's body returns; `None` at its end.
type ReadFrame = Option<Result<Frame<Bytes>, hyper::Error>>;
type FrameResult = Result<Frame<Bytes>, io::Error>;

/// Serves a request whose response is a stream.
pub(crate) async fn serve(
    shared: &Shared,
    ctx: &RequestContext,
    mut attempts: Attempts,
    in_flight: InFlightGuard,
) -> Result<Response<Body>, Refusal> {
    let dispatched = dispatch::dispatch(shared, ctx, &mut attempts, None);
    let limit = ctx.patience_left(shared.now(), ctx.arrived);
    let head = match tokio::time::timeout(limit, dispatched).await {
        Ok(head) => head?,
        Err(_) if ctx.remaining(shared.now()).is_zero() => return Err(attempts.timed_out()),
        Err(_) => return Err(attempts.unanswered(shared, ctx)),
    };
    if !is_stream(&head) {
        let run = Run::at(&head.reservation.server);
        let collected = plain::collect(shared, ctx, head);
        let answer = tokio::time::timeout(ctx.remaining(shared.now()), collected).await;
        let answer = answer.map_err(|_| attempts.timed_out())?;
        return answer
            .map(|a| plain::response(shared, ctx, a))
            .map_err(|error| {
                if let plain::CollectError::Incomplete(loss) = error {
                    lost_runs::on_run_lost(shared, ctx, &attempts, &run, loss);
                }
                Refusal::unknown(502, "the answer broke off")
            });
    }
    let (parts, body, source) = split(*head);
    let now = shared.now();
    shared
        .state()
        .fleet
        .record_success(now, &source.reservation.server.id);
    let placed_at = source.reservation.placed_at;
    let (frames, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let guard = Arc::new(BufferGuard::new(shared, Phase::Sending, ctx));
    let finished_by = Arc::new(OnceLock::new());
    let receiver = FrameStream {
        receiver,
        rest: Bytes::new(),
        queued_bytes: 0,
        guard: guard.clone(),
        shared: shared.clone(),
        request: ctx.id.clone(),
        finished_by: finished_by.clone(),
    };
    let forwarder = EventForwarder {
        shared: shared.clone(),
        ctx: ctx.clone(),
        attempts,
        splitter: Splitter::default(),
        timing: Timing::default(),
        placed_at,
        frames,
        guard,
        finished_by,
        caller_delayed: false,
        begun: false,
    };
    tokio::spawn(async move {
        let _in_flight = in_flight;
        forwarder.run(body, source).await;
    });
    Ok(response(parts, receiver))
}

fn is_stream(head: &Head) -> bool {
    let headers = head.response.headers();
    let kind = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    head.response.status() == StatusCode::OK
        && kind.is_some_and(|k| k.starts_with("text/event-stream"))
        && headers.contains_key(header::SIGNATURE)
}

/// Where a stream's body comes from: held for as long as it is read.
struct StreamSource {
    connection: bn_serve::client::Connection,
    reservation: attempt::Reservation,
    idle_timeout: Option<Duration>,
    /// Only the end of the connection ends it.
    unframed: bool,
}

fn split(head: Head) -> (Parts, AnswerBody, StreamSource) {
    let (parts, body) = head.response.into_parts();
    let idle_timeout = attempt::keep_alive_timeout(&parts.headers);
    let unframed = attempt::ends_with_connection(&parts.headers, &body);
    let source = StreamSource {
        connection: head.connection,
        reservation: head.reservation,
        idle_timeout,
        unframed,
    };
    (parts, body, source)
}

fn response(mut parts: Parts, frames: FrameStream) -> Response<Body> {
    strip_hop_by_hop(&mut parts.headers);
    parts.headers.remove("content-length");
    parts.headers.remove(header::LOAD);
    let body = StreamBody::new(frames);
    Response::from_parts(parts, BodyExt::boxed(body))
}

/// The receiving end of the channel, as a body.
struct FrameStream {
    receiver: mpsc::Receiver<FrameResult>,
    /// What the connection has not taken yet of the events received last.
    rest: Bytes,
    /// Size of these events when they were received.
    queued_bytes: usize,
    guard: Arc<BufferGuard>,
    shared: Shared,
    request: String,
    /// The backend server that the last event came from, once the whole stream was received.
    finished_by: Arc<OnceLock<ServerId>>,
}

impl Drop for FrameStream {
    fn drop(&mut self) {
        // Until the whole stream is received, the forwarder logs its end.
        if let (Some(stalled), Some(server)) = (self.guard.ended(), self.finished_by.get()) {
            plain::log_slow_reader(&self.shared.lines, &self.request, server, stalled);
        }
    }
}

impl futures_core::Stream for FrameStream {
    type Item = FrameResult;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        if self.rest.is_empty() {
            let frame = match ready!(self.receiver.poll_recv(cx)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(end),
            };
            match frame.into_data() {
                Ok(events) => self.rest = events,
                Err(other) => return Poll::Ready(Some(Ok(other))),
            }
            self.queued_bytes = self.rest.len();
        }
        // A large event is handed over in pieces, so that a caller that reads it slowly is seen to
        // make progress.
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(length);
        // The pieces share one allocation, which is free only after the last one.
        let freed = if self.rest.is_empty() {
            self.queued_bytes
        } else {
            0
        };
        self.guard.release(freed);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

/// How reading one backend server's part of a stream ended.
enum ReadEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline, the timeout or the end of the caller's patience was reached.
    TimedOut(&'static str),
    /// The stream from the backend server broke off.
    Broken(&'static str),
    /// The next event is overdue, and the backend server sends nothing else either.
    Silent,
}

/// When events were forwarded to the caller.
#[derive(Default)]
struct Timing {
    /// Time from the request's arrival here to the first event.
    first: Option<Duration>,
    last: Option<Duration>,
    longest: Duration,
}

impl Timing {
    /// Records that events arrived; returns the time since the previous ones.
    fn record_event(&mut self, now: Duration, arrived: Duration) -> Option<Duration> {
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

/// Forwards events from backend servers to the caller.
struct EventForwarder {
    shared: Shared,
    ctx: RequestContext,
    attempts: Attempts,
    splitter: Splitter,
    timing: Timing,
    /// When its first backend server was chosen.
    placed_at: Duration,
    frames: mpsc::Sender<FrameResult>,
    /// What is buffered for the caller.
    guard: Arc<BufferGuard>,
    /// Set when the whole stream was received.
    finished_by: Arc<OnceLock<ServerId>>,
    /// The last event had to wait for room in the buffers.
    caller_delayed: bool,
    /// An event came from the backend server that is read now.
    begun: bool,
}

impl EventForwarder {
    async fn run(mut self, body: AnswerBody, source: StreamSource) {
        let (mut body, mut source) = (body, source);
        let mut first_frame = None;
        loop {
            let run = Run::at(&source.reservation.server);
            let id = source.reservation.server.id.clone();
            match self.read(&mut body, &source, first_frame.take()).await {
                ReadEnd::Complete => {
                    let shared = &self.shared;
                    let now = shared.now();
                    shared
                        .pool
                        .put_back(now, source.connection, source.idle_timeout);
                    shared.state().fleet.record_success(now, &id);
                    suspects::on_complete(shared, &self.ctx);
                    self.log_event("stream_whole", &id, "");
                    self.finished_by.get_or_init(|| id);
                    return;
                }
                ReadEnd::CallerLeft => {
                    self.on_run_lost(&run, true);
                    return match self.guard.ended() {
                        Some(_) => self.log_event("stream_cut", &id, plain::SLOW_READER),
                        None => self.log_event("caller_left", &id, ""),
                    };
                }
                ReadEnd::TimedOut(why) => {
                    drop(source);
                    drop(body);
                    self.on_run_lost(&run, true);
                    self.log_event("stream_cut", &id, why);
                    return self.abort().await;
                }
                ReadEnd::Broken(why) => {
                    drop(source);
                    drop(body);
                    self.on_run_lost(&run, false);
                    self.log_event("stream_broken", &id, why);
                    dispatch::record_failure(&self.shared, &id, false);
                    match self.resume().await {
                        Ok(next) => (body, source) = next,
                        Err(_) => return self.abort().await,
                    }
                }
                // It may go on by itself until another backend server does.
                ReadEnd::Silent => {
                    let next = tokio::select! {
                        biased;
                        frame = body.frame() => {
                            first_frame = Some(frame);
                            Err("it goes on by itself")
                        }
                        next = self.resume() => next,
                    };
                    self.attempts.abandon_beyond(0);
                    match next {
                        Ok(next) => {
                            self.on_run_lost(&run, true);
                            (body, source) = next;
                            let to = &source.reservation.server.id;
                            let from = self.splitter.last_id();
                            silence::log_failover(&self.shared, &self.ctx, &id, to, from);
                        }
                        Err(why) => silence::log_kept(&self.shared, &self.ctx, &id, why),
                    }
                }
            }
        }
    }

    /// Returns once `server` is silent, if the stream may go on elsewhere.
    async fn silence_to_act_on(&self, server: &Server) {
        silence::wait(&self.shared, &self.ctx, server, Awaited::Event).await;
        if !self.attempts.may_retry(&self.ctx) {
            std::future::pending().await
        }
    }

    /// Time left until the caller would leave for want of an event.
    fn patience_left(&self) -> Duration {
        let last = self.timing.last.unwrap_or(self.ctx.arrived);
        self.ctx.patience_left(self.shared.now(), last)
    }

    fn on_run_lost(&mut self, run: &Run, abandoned: bool) {
        let begun = std::mem::take(&mut self.begun);
        let loss = Loss { abandoned, begun };
        lost_runs::on_run_lost(&self.shared, &self.ctx, &self.attempts, run, loss);
    }

    /// Forwards events; `first_frame` was already read.
    async fn read(
        &mut self,
        body: &mut AnswerBody,
        source: &StreamSource,
        mut first_frame: Option<ReadFrame>,
    ) -> ReadEnd {
        let server = &source.reservation.server;
        let remaining = self.ctx.remaining(self.shared.now());
        let timeout = tokio::time::sleep(remaining);
        let mut timeout = std::pin::pin!(timeout);
        loop {
            let frame = match first_frame.take() {
                Some(frame) => frame,
                None => tokio::select! {
                    biased;
                    frame = body.frame() => frame,
                    () = self.frames.closed() => return ReadEnd::CallerLeft,
                    () = timeout.as_mut() => return ReadEnd::TimedOut(TIMED_OUT),
                    () = tokio::time::sleep(self.patience_left()) => {
                        return ReadEnd::TimedOut(OUT_OF_PATIENCE);
                    }
                    () = self.silence_to_act_on(server) => return ReadEnd::Silent,
                },
            };
            silence::record_heard(&self.shared, server);
            let data = match frame {
                None if self.splitter.pending() > 0 => {
                    return ReadEnd::Broken("ended within an event");
                }
                None if source.unframed && !self.begun => {
                    return ReadEnd::Broken("ended before its first event");
                }
                None => return ReadEnd::Complete,
                Some(Err(_)) => return ReadEnd::Broken("connection broke"),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Some(events) = data.ok().and_then(|d| self.splitter.push(&d)) else {
                if self.splitter.pending() > MAX_EVENT_BYTES {
                    return ReadEnd::Broken("an event without end");
                }
                continue;
            };
            match self.splitter.comment_bytes() {
                0 => self.record_events(server),
                // The caller waits for an event all the same.
                1..=MAX_COMMENT_BYTES => {}
                _ => return ReadEnd::Broken("comments without end"),
            }
            let sent = tokio::select! {
                sent = self.forward(events) => sent,
                () = timeout.as_mut() => return ReadEnd::TimedOut(TIMED_OUT),
            };
            if sent.is_err() {
                return ReadEnd::CallerLeft;
            }
        }
    }

    /// Records that events were received from a backend server.
    fn record_events(&mut self, server: &Server) {
        if !self.begun {
            self.begun = true;
            suspects::on_begun(&self.shared, &self.ctx, &mut self.attempts);
        }
        let now = self.shared.now();
        if self.timing.first.is_none() {
            let time = now.saturating_sub(self.placed_at);
            self.shared.record_first_event(&server.service, time);
        }
        let Some(pause) = self.timing.record_event(now, self.ctx.arrived) else {
            return;
        };
        // A pause that the caller caused says nothing about the backend server's load.
        if !self.caller_delayed {
            silence::record_event(&self.shared, server, pause);
            let max_pause = self.ctx.route.pause;
            self.shared.record_pause(server, pause, max_pause);
        }
    }

    /// Queues events for the caller once there is room, for this stream and over all.
    async fn forward(&mut self, events: Bytes) -> Result<(), SendError<FrameResult>> {
        let start = self.shared.now();
        tokio::select! {
            () = self.guard.add_events(events.len(), MAX_STREAM_BYTES) => {}
            () = self.frames.closed() => {}
        }
        let sent = self.frames.send(Ok(Frame::data(events))).await;
        self.caller_delayed = self.shared.now() - start > CALLER_DELAY_THRESHOLD;
        sent
    }

    /// Resumes at another backend server after the last complete event; otherwise returns why it
    /// cannot.
    async fn resume(&mut self) -> Result<(AnswerBody, StreamSource), &'static str> {
        if !dispatch::take_retry(&self.shared, &self.ctx, &self.attempts) {
            return Err(dispatch::NO_BUDGET);
        }
        let from = self.splitter.last_id().map(str::to_string);
        let remaining = self.patience_left();
        let dispatched =
            dispatch::dispatch(&self.shared, &self.ctx, &mut self.attempts, from.as_deref());
        let head = tokio::select! {
            head = tokio::time::timeout(remaining, dispatched) => head,
            () = self.frames.closed() => return Err("the caller left"),
        };
        let head = head.map_err(|_| "no answer in time")?;
        let head = head.map_err(|refusal| refusal.reason)?;
        if !is_stream(&head) {
            return Err("no stream");
        }
        self.splitter.discard_partial();
        let (_, body, source) = split(*head);
        let id = source.reservation.server.id.clone();
        self.log_event("stream_resumed", &id, from.as_deref().unwrap_or("start"));
        Ok((body, source))
    }

    /// Aborts the caller's connection: without the end of the framing, the response cannot be
    /// mistaken for a complete one.
    async fn abort(self) {
        let error = io::Error::new(io::ErrorKind::ConnectionAborted, "the stream broke off");
        if self.frames.send(Err(error)).await.is_err() {
            log::debug!(
                "{}: the caller left before its connection was aborted",
                self.ctx.id
            );
        }
    }

    fn log_event(&self, event: &str, server: &str, why: &str) {
        let in_time = self.timing.in_time(&self.ctx.route);
        if event == "stream_whole" && in_time && !crate::frontend::is_sampled() {
            return;
        }
        let millis = |d: Duration| d.as_millis() as u64;
        let ended = self.guard.ended();
        self.shared.lines.put(
            event,
            json!({
                "request": self.ctx.id, "server": server, "why": why,
                "bytes": ended.map(|e| e.bytes), "stalled_ms": ended.map(|e| millis(e.stalled)),
                "last_event": self.splitter.last_id(), "in_time": in_time,
                "after_ms": millis(self.shared.now() - self.ctx.arrived),
                "first_ms": self.timing.first.map(millis),
                "longest_pause_ms": millis(self.timing.longest),
                "target_ms": millis(self.ctx.route.target),
                "max_pause_ms": millis(self.ctx.route.pause),
                "came_back": self.ctx.is_retry, "deadline_ms": millis(self.ctx.deadline),
                "digest": bn_quarantine::to_text(self.ctx.digest()),
            }),
        );
    }
}

//! Counts the bytes that are buffered for one request until it ends, and ends slow readers.

use crate::buffers::{BufferUsage, HolderId, Phase, Stalled};
use crate::context::RequestContext;
use crate::shared::Shared;
use bn_serve::{Abort, BodyError};
use bn_trace::Lines;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use indexmap::IndexMap;
use serde_json::json;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;

/// Interval between two checks for slow readers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A longer interval shows that the process itself was stopped, so that its callers could not make
/// progress.
const MAX_CHECK_GAP: Duration = Duration::from_millis(400);
/// Bytes of an answer handed to the connection at a time, so that progress is seen.
pub(crate) const PIECE_BYTES: usize = 16 << 10;

/// Buffered bytes of all requests.
pub(crate) struct Buffers {
    state: Mutex<BuffersState>,
    /// Notified when memory may have become free.
    freed: Notify,
}

struct BuffersState {
    usage: BufferUsage,
    callers: IndexMap<HolderId, Caller>,
}

/// The caller of a holder.
struct Caller {
    request: String,
    abort: Abort,
    ended: Arc<OnceLock<Stalled>>,
}

impl Buffers {
    pub(crate) fn new(memory_bytes: Option<u64>) -> Buffers {
        Buffers {
            state: Mutex::new(BuffersState {
                usage: BufferUsage::new(memory_bytes),
                callers: IndexMap::new(),
            }),
            freed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, BuffersState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// `None` if a new request is admitted, otherwise when it may come back.
    pub(crate) fn refuse_until(&self, now: Duration) -> Option<Duration> {
        let state = self.state();
        (!state.usage.admits()).then(|| state.usage.retry_after(now))
    }

    /// When a request that was refused for memory may come back.
    pub(crate) fn retry_after(&self, now: Duration) -> Duration {
        self.state().usage.retry_after(now)
    }

    fn end_stalled(&self, now: Duration, lines: &Lines) {
        let state = self.state();
        for stalled in state.usage.stalled(now) {
            let caller = state.callers.get(&stalled.id);
            if let Some(caller) = caller.filter(|c| c.ended.set(stalled).is_ok()) {
                metrics::counter!("slow_readers_ended_total").increment(1);
                caller.abort.abort();
                // Its request is dropped with the connection; nobody else writes a line about it.
                if stalled.phase == Phase::Receiving {
                    let fields = json!({
                        "request": caller.request, "why": "no memory for a slow request body",
                        "bytes": stalled.bytes, "stalled_ms": stalled.stalled.as_millis() as u64,
                    });
                    lines.put("upload_cut", fields);
                }
            }
        }
        metrics::gauge!("gateway_buffered_bytes").set(state.usage.total() as f64);
    }
}

/// Ends slow readers until the process exits.
pub(crate) async fn watch(shared: Shared) {
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_check = shared.now();
    loop {
        timer.tick().await;
        let now = shared.now();
        let gap = now.saturating_sub(last_check);
        if gap > MAX_CHECK_GAP {
            shared.buffers.state().usage.exclude_pause(now, gap);
        }
        last_check = now;
        shared.buffers.end_stalled(now, &shared.lines);
    }
}

/// Counts the bytes that are buffered for one request; releases them when dropped.
pub(crate) struct BufferGuard {
    shared: Shared,
    id: HolderId,
    ended: Arc<OnceLock<Stalled>>,
}

impl BufferGuard {
    pub(crate) fn new(shared: &Shared, phase: Phase, ctx: &RequestContext) -> BufferGuard {
        let mut state = shared.buffers.state();
        let id = state.usage.open(shared.now(), phase);
        let ended = Arc::new(OnceLock::new());
        let caller = Caller {
            request: ctx.id.clone(),
            abort: ctx.abort.clone(),
            ended: ended.clone(),
        };
        state.callers.insert(id, caller);
        BufferGuard {
            shared: shared.clone(),
            id,
            ended,
        }
    }

    /// Set once the caller was ended as a slow reader.
    pub(crate) fn ended(&self) -> Option<Stalled> {
        self.ended.get().copied()
    }

    /// Counts bytes if they fit.
    pub(crate) fn try_add(&self, bytes: usize) -> bool {
        let mut state = self.shared.buffers.state();
        let fits = state.usage.fits(self.id, bytes as u64);
        if fits {
            state.usage.add(self.shared.now(), self.id, bytes as u64);
        }
        fits
    }

    /// Counts bytes as soon as they fit, and this guard holds none or stays within `own_bound`.
    pub(crate) async fn add(&self, bytes: usize, own_bound: usize) {
        loop {
            let freed = self.shared.buffers.freed.notified();
            let held = self.shared.buffers.state().usage.held(self.id) as usize;
            if (held == 0 || held + bytes <= own_bound) && self.try_add(bytes) {
                return;
            }
            freed.await;
        }
    }

    /// Counts events as soon as they fit. If nothing is buffered for the caller, they always do:
    /// callers that don't read must not delay one that reads.
    pub(crate) async fn add_events(&self, bytes: usize, own_bound: usize) {
        {
            let mut state = self.shared.buffers.state();
            if state.usage.held(self.id) == 0 {
                state.usage.add(self.shared.now(), self.id, bytes as u64);
                return;
            }
        }
        self.add(bytes, own_bound).await;
    }

    pub(crate) fn release(&self, bytes: usize) {
        let now = self.shared.now();
        let mut state = self.shared.buffers.state();
        state.usage.release(now, self.id, bytes as u64);
        drop(state);
        self.shared.buffers.freed.notify_waiters();
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        let now = self.shared.now();
        self.shared
            .buffers
            .state()
            .usage
            .set_phase(now, self.id, phase);
    }
}

impl Drop for BufferGuard {
    fn drop(&mut self) {
        let mut state = self.shared.buffers.state();
        state.usage.close(self.id);
        state.callers.swap_remove(&self.id);
        drop(state);
        self.shared.buffers.freed.notify_waiters();
    }
}

impl std::fmt::Debug for BufferGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("BufferGuard").field(&self.id).finish()
    }
}

/// Why a request body was not read.
pub(crate) enum ReceiveError {
    Body(BodyError),
    /// No memory is left for it.
    NoMemory,
}

/// Reads a request body of at most `max_bytes`. Its memory is counted as the body arrives: counting
/// the announced length would let callers that announce much and send nothing keep others out.
pub(crate) async fn receive(
    guard: &BufferGuard,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, ReceiveError> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(ReceiveError::Body(BodyError::TooLarge));
    }
    let mut counted = 0;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReceiveError::Body(BodyError::Broken))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        bytes.extend_from_slice(&data);
        if bytes.len() > max_bytes {
            return Err(ReceiveError::Body(BodyError::TooLarge));
        }
        let more = bytes.capacity().saturating_sub(counted);
        if !guard.try_add(more) {
            return Err(ReceiveError::NoMemory);
        }
        counted += more;
    }
    Ok(bytes.into())
}

/// A complete answer, handed to the connection in pieces.
pub(crate) struct GuardedBody {
    pub(crate) rest: Bytes,
    pub(crate) guard: BufferGuard,
    /// Called when the caller was ended before it had taken the whole answer.
    pub(crate) on_ended: Box<dyn Fn(Stalled) + Send + Sync>,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(length);
        // The pieces share one allocation, which is free only after the last one.
        self.guard.release(0);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

impl Drop for GuardedBody {
    fn drop(&mut self) {
        if let Some(stalled) = self.guard.ended() {
            (self.on_ended)(stalled);
        }
    }
}

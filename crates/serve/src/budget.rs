//! Bound on what a backend server may send that is no answer.
//!
//! The HTTP library reads interim responses, chunk sizes, chunk extensions and trailers for as long
//! as they come, and hands none of them over. So the bytes that arrive on a connection are counted
//! below it: the head of an answer and its data renew the budget, anything else uses it up, and then
//! the connection breaks.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may arrive without a head or data: a head as large as the read buffer, and what the
/// library reads ahead of its consumer.
const MAX_UNUSED_BYTES: usize = 128 << 10;
/// Bytes that the framing of a piece of data may take.
const FRAMING_BYTES: usize = 64;

/// Bytes that may still arrive on one connection without a head or data.
#[derive(Debug, Clone)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    pub(crate) fn new() -> ReadBudget {
        ReadBudget(Arc::new(AtomicUsize::new(MAX_UNUSED_BYTES)))
    }

    /// A request is sent, or the head of its answer was received.
    pub(crate) fn renew(&self) {
        self.0.store(MAX_UNUSED_BYTES, Ordering::Relaxed);
    }

    /// Data was handed over.
    fn add_data(&self, length: usize) {
        let left = self.0.load(Ordering::Relaxed);
        let next = left.saturating_add(length.saturating_add(FRAMING_BYTES));
        self.0.store(next.min(MAX_UNUSED_BYTES), Ordering::Relaxed);
    }

    /// Whether these bytes may still arrive.
    fn try_use(&self, length: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(length), Ordering::Relaxed);
        length <= left
    }
}

/// A connection that breaks once its budget is used up.
pub(crate) struct BudgetedStream {
    stream: TcpStream,
    budget: ReadBudget,
}

impl BudgetedStream {
    pub(crate) fn new(stream: TcpStream, budget: ReadBudget) -> BudgetedStream {
        BudgetedStream { stream, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        match self.budget.try_use(buf.filled().len() - before) {
            true => Poll::Ready(Ok(())),
            false => {
                metrics::counter!("answers_without_end_total").increment(1);
                let error = "neither a head nor data for too many bytes";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)))
            }
        }
    }
}

impl AsyncWrite for BudgetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Body of an answer.
pub struct AnswerBody {
    body: Incoming,
    budget: ReadBudget,
}

impl AnswerBody {
    pub(crate) fn new(body: Incoming, budget: ReadBudget) -> AnswerBody {
        AnswerBody { body, budget }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let data = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref());
        if let Some(data) = data {
            self.budget.add_data(data.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

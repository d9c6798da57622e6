//! The link to one peer.
//!
//! A link is a PUB socket with a single peer. PUSH sockets would queue by themselves, but nng has a
//! use-after-free in them: a connection that closes while the write of a message completes is put
//! back on the list of ready connections and then freed. The next send uses it, and the process
//! aborts with `pthread_mutex_lock: Invalid argument`, mostly while peers stop. With eight cores
//! and 24 busy threads, three of five runs of 16,000 such disconnects aborted (`tests/links.rs`).
//! A PUB socket marks closed connections, but drops messages that are sent before it is connected,
//! so these are queued here.

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Pipe, PipeEvent, Protocol, Socket};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Messages that a link queues while its peer does not read them or is not connected.
const QUEUE_CAPACITY: usize = 1024;
const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(250);

/// A link to a peer, connected or not.
pub(crate) struct Link {
    socket: Socket,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Open connections. The library may report the close of a connection after the opening of
    /// the next one; a flag would then say "disconnected", and all messages would wait forever.
    pipes: HashSet<Pipe>,
    /// Messages sent before there was a connection.
    queued: VecDeque<Vec<u8>>,
}

impl Link {
    /// Opens a link; the connection may be established later.
    pub(crate) fn dial(to: SocketAddr) -> nng::Result<Arc<Link>> {
        let socket = Socket::new(Protocol::Pub0)?;
        socket.set_opt::<SendBufferSize>(QUEUE_CAPACITY as i32)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let link = Arc::new(Link {
            socket,
            state: Mutex::default(),
        });
        // A weak reference, since the socket owns this callback and must not own itself.
        let weak = Arc::downgrade(&link);
        link.socket.pipe_notify(move |pipe, event| {
            if let Some(link) = weak.upgrade() {
                link.on_pipe_event(pipe, event);
                // Dropping the last reference closes the socket, which waits for this callback
                // to return, so it must happen on another thread.
                if let Some(last) = Arc::into_inner(link) {
                    thread::spawn(move || drop(last));
                }
            }
        })?;
        link.socket.dial_async(&format!("tcp://{to}"))?;
        Ok(link)
    }

    /// Queues a message and returns `false` if that is not possible. Never blocks on the peer.
    pub(crate) fn send(&self, bytes: Vec<u8>) -> bool {
        let mut state = self.lock_state();
        if !state.pipes.is_empty() {
            return self.socket.try_send(&bytes[..]).is_ok();
        }
        let has_capacity = state.queued.len() < QUEUE_CAPACITY;
        if has_capacity {
            state.queued.push_back(bytes);
        }
        has_capacity
    }

    /// Closes the socket and drops the queued messages.
    pub(crate) fn close(&self) {
        self.lock_state().queued.clear();
        self.socket.close();
    }

    fn on_pipe_event(&self, pipe: Pipe, event: PipeEvent) {
        let mut state = self.lock_state();
        match event {
            PipeEvent::AddPost => {
                state.pipes.insert(pipe);
                for bytes in state.queued.drain(..) {
                    if self.socket.try_send(&bytes[..]).is_err() {
                        metrics::counter!("link_refused").increment(1);
                    }
                }
            }
            PipeEvent::RemovePost => {
                state.pipes.remove(&pipe);
            }
            _ => {}
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

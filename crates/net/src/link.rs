//! The way to one peer.
//!
//! A link is a socket of the publishing kind, with one peer. Sockets of the pushing kind would
//! queue by themselves, but the library has a fault in them: a connection that closes while the
//! write of a message completes is put back among those that are ready, and then freed. The next
//! send uses it, and the process aborts with `pthread_mutex_lock: Invalid argument`, mostly while
//! peers stop. With eight cores and 24 busy threads three of five runs of 16,000 such ends aborted
//! (`tests/links.rs`). A publishing socket marks closed connections, but drops what is sent before
//! there is one; so that is kept here.

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize};
use nng::{Pipe, PipeEvent, Protocol, Socket};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Messages that a link holds while its peer does not take them, or is not there.
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
    /// Connections that stand. The library may tell of the end of one after it told of the
    /// next: a mere flag would then stand for none, and all messages would wait for ever.
    pipes: HashSet<Pipe>,
    /// What was sent before there was a connection.
    queued: VecDeque<Vec<u8>>,
}

impl Link {
    /// Opens a link; the connection may come about later.
    pub(crate) fn dial(to: SocketAddr) -> nng::Result<Arc<Link>> {
        let socket = Socket::new(Protocol::Pub0)?;
        socket.set_opt::<SendBufferSize>(QUEUE_CAPACITY as i32)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let link = Arc::new(Link {
            socket,
            state: Mutex::default(),
        });
        // Weak: the socket holds this function, and must not hold itself.
        let weak = Arc::downgrade(&link);
        link.socket.pipe_notify(move |pipe, event| {
            if let Some(link) = weak.upgrade() {
                link.on_pipe_event(pipe, event);
                // The last owner closes the socket, which waits for this very call to end: that
                // one must be another thread.
                if let Some(last) = Arc::into_inner(link) {
                    thread::spawn(move || drop(last));
                }
            }
        })?;
        link.socket.dial_async(&format!("tcp://{to}"))?;
        Ok(link)
    }

    /// Queues a message; `false` where that is not possible. Never waits for the peer.
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

    /// Drops what still waits.
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

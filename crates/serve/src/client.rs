//! Connections to backend servers, kept for reuse.
//!
//! An idle connection may be closed, or die without a word, at any time. A connection is
//! used again only within a time well below what its backend server announced, and a
//! request that finds it closed before a byte left is sent on another one.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest wait for a connection. Two round trips between failure domains take 4 ms; an
/// opening packet that was dropped is repeated only after a second, so that another
/// backend server is the faster way.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not used again, where none was announced.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Kept below the announced idle time by this much, for packets under way.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle connections kept for one backend server.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Data that nobody acknowledges for this long means that the machine is gone.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An open connection on which nothing comes is probed after and every so often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which it is dead: 3 s of silence of the machine itself, not
/// of the backend server's work.
const KEEPALIVE_RETRIES: u32 = 2;

/// Why there is no connection.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nobody took it in time.
    #[snafu(display("no connection within {} ms", CONNECT_TIMEOUT.as_millis()))]
    ConnectTimeout,
    /// The other side, or the system, refused.
    #[snafu(display("no connection: {source}"))]
    Refused {
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection broke at once.
    #[snafu(display("no connection: {source}"))]
    Protocol {
        /// What the library said.
        source: hyper::Error,
    },
}

impl Error {
    /// The machine is there, and no process takes connections at that address.
    pub fn is_connection_refused(&self) -> bool {
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        matches!(self, Error::Refused { source } if refused(source))
    }
}

/// Result of opening a connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// One connection. Dropping it closes it at once, with whatever runs on it: that is how
/// a backend server learns that its caller has left.
pub struct Connection {
    /// Sends requests on it, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    task: AbortHandle,
    idle_since: Duration,
    idle_timeout: Duration,
    /// It has carried a request before.
    pub reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool(Mutex<IndexMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    /// A connection that was used before and seems alive.
    pub fn take_idle(&self, now: Duration, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = pool.get_mut(&address)?;
        let alive = |c: &Connection| {
            c.sender.is_ready() && now.saturating_sub(c.idle_since) < c.idle_timeout
        };
        while let Some(connection) = connections.pop() {
            if alive(&connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a connection back; `limit` is the idle time that the backend server told.
    pub fn put_back(&self, now: Duration, mut connection: Connection, limit: Option<Duration>) {
        if !connection.sender.is_ready() {
            return;
        }
        connection.idle_since = now;
        connection.idle_timeout = limit.map_or(IDLE_TIMEOUT, |l| {
            l.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT)
        });
        connection.reused = true;
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = pool.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an address: another process is there now.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pool.swap_remove(&address);
    }

    /// Closes what has been idle for too long.
    pub fn evict_expired(&self, now: Duration) {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in pool.values_mut() {
            connections.retain(|c| now.saturating_sub(c.idle_since) < c.idle_timeout);
        }
        pool.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a new connection.
pub async fn open(address: SocketAddr) -> Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| Error::ConnectTimeout)?
        .context(RefusedSnafu)?;
    configure_socket(&stream);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.context(ProtocolSnafu)?;
    let task = tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("connection to {address}: {e}");
        }
    });
    Ok(Connection {
        sender,
        address,
        task: task.abort_handle(),
        idle_since: Duration::ZERO,
        idle_timeout: IDLE_TIMEOUT,
        reused: false,
    })
}

/// A machine without power, or behind a cut, answers nothing: without bounds of its own a
/// connection to it hangs for minutes.
///
/// A connection that is closed is reset. After an ordinary close the system goes on sending what the
/// other side has not acknowledged: a request that was given up arrives, and is begun, when a cut
/// ends or a frozen machine wakes, seconds after its caller left. A reset drops it.
fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let results = [
        stream.set_nodelay(true),
        socket.set_linger(Some(Duration::ZERO)),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(std::result::Result::err) {
        log::warn!("a connection goes unguarded: {error}");
    }
}

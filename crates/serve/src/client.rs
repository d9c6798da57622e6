//! Connection pool for backend servers.
//!
//! An idle connection may be closed, or break without notice, at any time. A connection is reused
//! only within a time well below the idle timeout that its backend server announced, and a request
//! that finds it closed before a byte was sent is sent on another one.

use crate::budget::{BudgetedStream, ReadBudget};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Timeout for opening a connection. Two round trips between failure domains take 4 ms; a dropped
/// SYN is retransmitted only after one second, so trying another backend server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time after which a connection is not reused, even if its backend server announced more.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Margin below the announced idle timeout, for packets in flight.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Maximum number of idle connections to one backend server.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Time without acknowledgement of sent data after which the instance is considered gone.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without received data before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is dead: 3 s without a reply from the instance's
/// network stack, regardless of how long the backend server works on a request.
const KEEPALIVE_RETRIES: u32 = 2;

/// Size of a connection's read buffer. The library's own limit is 400 KB, which is filled while
/// nobody reads the answer, for each connection.
const MAX_BUFFER_BYTES: usize = 32 << 10;

pub use crate::budget::AnswerBody;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection was not accepted in time.
    #[snafu(display("no connection within {} ms", CONNECT_TIMEOUT.as_millis()))]
    ConnectTimeout,
    /// The peer or the operating system refused the connection.
    #[snafu(display("no connection: {source}"))]
    Refused {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection broke during the HTTP handshake.
    #[snafu(display("no connection: {source}"))]
    Protocol {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

impl Error {
    /// Returns whether the instance is up but no process listens at that address.
    pub fn is_connection_refused(&self) -> bool {
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        matches!(self, Error::Refused { source } if refused(source))
    }
}

/// Result of opening a connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request has no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The connection was closed before a byte of the request was written.
    #[snafu(display("closed before sending"))]
    NotSent,
    /// The connection broke after that.
    #[snafu(display("{source}"))]
    Lost {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// What came has a status that no answer has. The library accepts any number of three digits, and
    /// a change of protocol, which was not asked for.
    #[snafu(display("no answer has status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
}

/// Whether an answer may have this status: RFC 9110 knows five classes, of which the first is not
/// final.
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

/// A connection. Dropping it closes it immediately and aborts any request on it, which tells the
/// backend server that the caller has disconnected.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    budget: ReadBudget,
    address: SocketAddr,
    task: AbortHandle,
    idle_since: Duration,
    idle_timeout: Duration,
    /// Whether an earlier request used this connection.
    pub reused: bool,
}

impl Connection {
    /// Whether the peer has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request; returns the head of its answer. One request at a time; after an error no
    /// other one may follow.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<AnswerBody>, SendError> {
        self.budget.renew();
        let answer = self.sender.try_send_request(request).await;
        let answer = answer.map_err(|e| match e.message() {
            // The request was returned intact.
            Some(_) => SendError::NotSent,
            None => SendError::Lost {
                source: e.into_error(),
            },
        })?;
        self.budget.renew();
        let status = answer.status();
        if !is_final(status.as_u16()) {
            return Err(SendError::Status { status });
        }
        Ok(answer.map(|body| AnswerBody::new(body, self.budget.clone())))
    }
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
    /// Takes an idle connection that still appears to be open.
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

    /// Returns a connection to the pool; `limit` is the idle timeout that its server announced.
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

    /// Closes the idle connections to an address where another process now listens.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pool.swap_remove(&address);
    }

    /// Closes connections that have been idle for too long.
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
    let budget = ReadBudget::new();
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(BudgetedStream::new(stream, budget.clone())))
        .await;
    let (sender, connection) = handshake.context(ProtocolSnafu)?;
    let task = tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("connection to {address}: {e}");
        }
    });
    Ok(Connection {
        sender,
        budget,
        address,
        task: task.abort_handle(),
        idle_since: Duration::ZERO,
        idle_timeout: IDLE_TIMEOUT,
        reused: false,
    })
}

/// Sets the socket options that limit how long a connection can hang: an instance without power or
/// network sends nothing, and without these limits a connection to it hangs for minutes.
///
/// Closing a connection resets it. After an ordinary close the kernel would continue to retransmit
/// unacknowledged data: an abandoned request would arrive and start when the network recovers or a
/// frozen instance resumes, seconds after its caller disconnected. A reset discards that data.
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
        log::warn!("failed to set a socket option: {error}");
    }
}

//! HTTP for all roles: the client ([`client`]), and a server with one thread, a current-thread
//! runtime, limits on the resources of a slow or broken peer, and graceful shutdown of connections.
//!
//! Choice of library, from measurements: `tiny_http` has no timeout for slow headers; `astra` 0.4
//! never answered 2 to 6 of 1,000 new connections (docs/DESIGN.md).

mod budget;
pub mod client;

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Body of a response.
pub type Body = BoxBody<Bytes, io::Error>;

/// Limits on the server resources that a peer may use.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Time within which a peer must send its complete header; also closes idle connections.
    pub header_timeout: Duration,
    /// Time within which a peer must send its complete body.
    pub body_timeout: Duration,
    /// Largest header section, in bytes.
    pub max_header_bytes: usize,
    /// Size of the kernel's send buffer; `None` leaves it to the kernel.
    pub send_buffer: Option<usize>,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            max_header_bytes: 16 * 1024,
            send_buffer: None,
        }
    }
}

/// Aborts the connection that a request arrived on: it is reset, and data that was not delivered is
/// discarded. In the extensions of each request.
#[derive(Debug, Clone, Default)]
pub struct Abort(Arc<Notify>);

impl Abort {
    /// Aborts the connection.
    pub fn abort(&self) {
        self.0.notify_one();
    }
}

/// Counts connections that are open. Once they are shut down, one stays open until its last response is
/// written: the body of that response ends earlier, when it is handed to the connection.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenConnection(self.0.clone())
    }
}

/// An open connection.
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why a request's body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body did not arrive in time.
    TimedOut,
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection broke, or the framing is invalid.
    Broken,
}

/// Serves on a new thread until the process exits.
pub fn serve<F, Fut>(
    listener: TcpListener,
    name: &str,
    tls: Option<TlsAcceptor>,
    handle: F,
) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            // These connections are never shut down before the process exits.
            let (_open, closing) = watch::channel(false);
            let limits = ConnectionLimits::default();
            let open = OpenConnections::default();
            let accepted = accept(listener, tls, limits, closing, &open, handle);
            if let Err(e) = runtime.block_on(accepted) {
                log::error!("HTTP server failed: {e}");
            }
        })?;
    Ok(())
}

/// Accepts connections on the current runtime. Once `closing` is true, idle connections are closed,
/// and the others after their next response, which announces it; new connections are still
/// accepted and serve one request each.
pub async fn accept<F, Fut>(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    limits: ConnectionLimits,
    closing: watch::Receiver<bool>,
    open: &OpenConnections,
    handle: F,
) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of file descriptors: after a delay other connections may have closed, whereas
                // returning would stop the service for all callers.
                metrics::counter!("http_accept_errors").increment(1);
                log::warn!("failed to accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY: {e}");
        }
        let set = |size| SockRef::from(&stream).set_send_buffer_size(size);
        if let Some(Err(e)) = limits.send_buffer.map(set) {
            log::debug!("failed to set the send buffer: {e}");
        }
        let (handle, tls, closing) = (handle.clone(), tls.clone(), closing.clone());
        let connection = open.add();
        tokio::spawn(async move {
            let _open = connection;
            match tls {
                None => serve_connection(stream, limits, closing, handle, reset).await,
                // Without a timeout, a peer that never completes its handshake would keep the
                // connection open.
                Some(tls) => {
                    match tokio::time::timeout(limits.header_timeout, tls.accept(stream)).await {
                        Ok(Ok(stream)) => {
                            let reset = |s: &TlsStream<TcpStream>| reset(s.get_ref().0);
                            serve_connection(stream, limits, closing, handle, reset).await;
                        }
                        _ => metrics::counter!("http_handshake_errors").increment(1),
                    }
                }
            }
        });
    }
}

async fn serve_connection<S, F, Fut>(
    stream: S,
    limits: ConnectionLimits,
    mut closing: watch::Receiver<bool>,
    handle: F,
    reset: impl Fn(&S),
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let abort = Abort::default();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(abort.clone());
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut shutting_down = false;
    let served = loop {
        tokio::select! {
            served = &mut serving => break served,
            () = wait_until_true(&mut closing), if !shutting_down => {
                std::pin::Pin::new(&mut serving).graceful_shutdown();
                shutting_down = true;
            }
            () = abort.0.notified() => {
                reset(serving.into_parts().io.inner());
                return;
            }
        }
    };
    if served.is_err() {
        metrics::counter!("http_connection_errors").increment(1);
    }
}

/// Makes the close of a connection reset it: after an ordinary close the kernel would keep the data
/// for a peer that does not read.
fn reset(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("failed to set a connection to be reset: {e}");
    }
}

/// Waits until `closing` is true; waits forever if its sender was dropped.
async fn wait_until_true(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|c| *c).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads the complete body, limited in size and time.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let collected = Limited::new(body, max_bytes).collect();
    let body = tokio::time::timeout(timeout, collected).await;
    let body = body.map_err(|_| BodyError::TimedOut)?;
    let body = body.map_err(|e| match e.is::<LengthLimitError>() {
        true => BodyError::TooLarge,
        false => BodyError::Broken,
    })?;
    Ok(body.to_bytes())
}

/// Builds a short response.
pub fn text(status: u16, content_type: &'static str, text: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|e: Infallible| match e {});
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

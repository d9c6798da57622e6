//! HTTP under every role: connections to others ([`client`]), and the server: one thread with a current-thread runtime, bounds on
//! what a slow or broken peer can hold, and a graceful end of its connections.
//!
//! Library choice, measured: `tiny_http` cannot bound slow headers; `astra` 0.4 left
//! 2 to 6 of 1,000 new connections unanswered for ever (docs/DESIGN.md).

pub mod client;

use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

/// Wait after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Body of an answer.
pub type Body = BoxBody<Bytes, io::Error>;

/// What a peer may hold of a server.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// A peer must have sent its whole header by then; so an idle connection ends too.
    pub header_timeout: Duration,
    /// A peer must have sent its whole body by then.
    pub body_timeout: Duration,
    /// Largest header section, in bytes.
    pub max_header_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            max_header_bytes: 16 * 1024,
        }
    }
}

/// Why a request's body could not be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It did not come in time.
    TimedOut,
    /// It is larger than the limit.
    TooLarge,
    /// The connection broke, or the framing is wrong.
    Broken,
}

/// Serves on its own thread, until the process ends.
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
            // Nobody asks these connections to end before the process does.
            let (_open, closing) = watch::channel(false);
            let accepted = accept(listener, tls, ConnectionLimits::default(), closing, handle);
            if let Err(e) = runtime.block_on(accepted) {
                log::error!("http: {e}");
            }
        })?;
    Ok(())
}

/// Accepts connections within the current runtime. Once `closing` turns true, idle
/// connections end and the others end with their next answer, which says so; new ones
/// are still served, one request each.
pub async fn accept<F, Fut>(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    limits: ConnectionLimits,
    closing: watch::Receiver<bool>,
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
                // Out of file handles: waiting lets connections end; giving up
                // would end the service for everybody.
                metrics::counter!("http_accept_errors").increment(1);
                log::warn!("accept: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("no delay: {e}");
        }
        let (handle, tls, closing) = (handle.clone(), tls.clone(), closing.clone());
        tokio::spawn(async move {
            match tls {
                None => serve_connection(stream, limits, closing, handle).await,
                // A peer that never ends its handshake would hold the connection.
                Some(tls) => {
                    match tokio::time::timeout(limits.header_timeout, tls.accept(stream)).await {
                        Ok(Ok(stream)) => serve_connection(stream, limits, closing, handle).await,
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
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(|request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let served = tokio::select! {
        served = serving.as_mut() => served,
        () = wait_until_true(&mut closing) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if served.is_err() {
        metrics::counter!("http_connection_errors").increment(1);
    }
}

/// Waits for ever where nobody is left to turn it.
async fn wait_until_true(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|c| *c).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// The whole body, bounded in size and time.
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

/// A short answer.
pub fn text(status: u16, kind: &'static str, text: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|e: Infallible| match e {});
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

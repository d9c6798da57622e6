//! The HTTP server under the callers' side and the pages: one thread with a
//! current-thread runtime, and bounds on what a slow or broken peer can hold.
//!
//! Library choice, measured: `tiny_http` cannot bound slow headers; `astra` 0.4 left
//! 2 to 6 of 1,000 new connections unanswered for ever (docs/DESIGN.md).

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
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::TlsAcceptor;

/// A peer must have sent its whole header by then; so an idle connection ends too.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// A peer must have sent its whole body by then.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest header section, in bytes.
const LARGEST_HEADER: usize = 16 * 1024;
/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Body of an answer.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Why a request's body could not be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    Slow,
    TooLarge,
    Broken,
}

/// Serves on its own thread, until the process ends.
pub(crate) fn serve<F, A>(
    listener: TcpListener,
    name: &str,
    tls: Option<TlsAcceptor>,
    handle: F,
) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            if let Err(e) = runtime.block_on(accept(listener, tls, handle)) {
                log::error!("http: {e}");
            }
        })?;
    Ok(())
}

async fn accept<F, A>(listener: TcpListener, tls: Option<TlsAcceptor>, handle: F) -> io::Result<()>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of file handles: waiting lets connections end; giving up
                // would end the service for everybody.
                metrics::counter!("http_accept_errors").increment(1);
                log::warn!("accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let (handle, tls) = (handle.clone(), tls.clone());
        tokio::spawn(async move {
            match tls {
                None => connection(stream, handle).await,
                // A peer that never ends its handshake would hold the connection.
                Some(tls) => match tokio::time::timeout(HEADER_TIMEOUT, tls.accept(stream)).await {
                    Ok(Ok(stream)) => connection(stream, handle).await,
                    _ => metrics::counter!("http_handshake_errors").increment(1),
                },
            }
        });
    }
}

async fn connection<S, F, A>(stream: S, handle: F)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(|request| {
        let answer = handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(LARGEST_HEADER)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if served.is_err() {
        metrics::counter!("http_connection_errors").increment(1);
    }
}

/// The whole body, bounded in size and time.
pub(crate) async fn whole_body(body: Incoming, most: usize) -> Result<Vec<u8>, BodyFault> {
    let collected = Limited::new(body, most).collect();
    let body = tokio::time::timeout(BODY_TIMEOUT, collected).await;
    let body = body.map_err(|_| BodyFault::Slow)?;
    let body = body.map_err(|e| match e.is::<LengthLimitError>() {
        true => BodyFault::TooLarge,
        false => BodyFault::Broken,
    })?;
    Ok(body.to_bytes().to_vec())
}

/// A short answer.
pub(crate) fn text(status: u16, kind: &'static str, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|e: Infallible| match e {});
    let mut response = Response::new(BodyExt::boxed(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

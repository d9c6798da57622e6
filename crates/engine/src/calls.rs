//! HTTP calls to backend servers on a separate thread, so that the core is not blocked.

use bn_platform::header;
use bn_serve::client::{self, Connection, Pool};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};
use std::borrow::Cow;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, mpsc};

/// Capacity of the queue of calls to the thread.
const QUEUE_CAPACITY: usize = 1024;
/// Timeout of a call. Answers take milliseconds, some tens on a busy instance; an order whose
/// answer is lost must be retried at once, since the group may be stalled meanwhile.
const TIMEOUT: Duration = Duration::from_millis(120);
/// Limit of concurrent calls. The timeout starts with the call: of some hundred calls started
/// together on a small share of a core, most time out before their connections are open, are
/// retried, and time out again.
const MAX_CONCURRENT: usize = 24;
/// Least time until a failed call is reported as unanswered. A refused connection fails at once,
/// and retrying the call without a delay would use up the processor.
const MIN_FAILURE_TIME: Duration = Duration::from_millis(30);
/// Largest answer body accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Answer of an engine to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// The engine says that it did not run the call.
    pub rejected: bool,
    /// Body.
    pub body: Bytes,
}

/// `None` if no answer was received.
pub type Answer = Option<HttpAnswer>;

/// A call and the callback for its answer.
pub struct Call {
    /// The request to send.
    pub request: CallRequest,
    /// Called with the answer.
    pub on_answer: Box<dyn FnOnce(Answer) + Send>,
}

/// A request to an engine.
pub struct CallRequest {
    /// The engine's address.
    pub address: SocketAddr,
    /// Path of the call.
    pub path: Cow<'static, str>,
    /// Body of an order, sent by POST; `None` for a query, sent by GET.
    pub body: Option<Vec<u8>>,
    /// The only backend server that may accept the request.
    pub server: String,
}

/// Queues calls for the thread that makes them.
#[derive(Clone)]
pub struct EngineClient(mpsc::Sender<Call>);

impl EngineClient {
    /// Starts the thread.
    pub fn start() -> io::Result<EngineClient> {
        let (sender, mut queue) = mpsc::channel::<Call>(QUEUE_CAPACITY);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let start = Instant::now();
        std::thread::Builder::new()
            .name("calls".into())
            .spawn(move || {
                runtime.block_on(async move {
                    let pool = Arc::new(CallPool::default());
                    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT));
                    while let Some(call) = queue.recv().await {
                        // The semaphore is never closed.
                        let Ok(permit) = permits.clone().acquire_owned().await else {
                            return;
                        };
                        pool.evict_expired(start.elapsed());
                        let pool = pool.clone();
                        tokio::spawn(async move {
                            let _permit = permit;
                            let Call { request, on_answer } = call;
                            let start_time = tokio::time::Instant::now();
                            let exchange = send(&pool, start, &request);
                            let answer = tokio::time::timeout(TIMEOUT, exchange).await;
                            let answer = answer.ok().flatten();
                            if answer.is_none() {
                                tokio::time::sleep_until(start_time + MIN_FAILURE_TIME).await;
                            }
                            on_answer(answer);
                        });
                    }
                });
            })?;
        Ok(EngineClient(sender))
    }

    /// Queues a call; reports it as unanswered if the queue is full.
    pub fn submit(&self, call: Call) {
        if let Err(e) = self.0.try_send(call) {
            metrics::counter!("ring_lost_total").increment(1);
            let (mpsc::error::TrySendError::Full(call) | mpsc::error::TrySendError::Closed(call)) =
                e;
            (call.on_answer)(None);
        }
    }
}

/// Idle connections to engines. Only an engine that echoes the ids of calls can show which call an
/// answer is to, so an order is sent on a connection of such an engine, or on a new one.
#[derive(Default)]
pub(crate) struct CallPool {
    /// The last answer echoed the id of its call.
    echoing: Pool,
    /// Only queries have used them.
    others: Pool,
}

impl CallPool {
    /// An idle connection, and whether its answers must echo ids.
    fn take_idle(&self, now: Duration, request: &CallRequest) -> Option<(Connection, bool)> {
        let echoing = self.echoing.take_idle(now, request.address);
        let echoing = echoing.map(|connection| (connection, true));
        echoing.or_else(|| match request.body {
            None => Some((self.others.take_idle(now, request.address)?, false)),
            Some(_) => None,
        })
    }

    fn put_back(&self, now: Duration, connection: Connection, request: &CallRequest, echoes: bool) {
        match (echoes, &request.body) {
            (true, _) => self.echoing.put_back(now, connection, None),
            (false, None) => self.others.put_back(now, connection, None),
            (false, Some(_)) => {}
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn evict_expired(&self, now: Duration) {
        self.echoing.evict_expired(now);
        self.others.evict_expired(now);
    }
}

pub(crate) async fn send(pool: &CallPool, start: Instant, request: &CallRequest) -> Answer {
    let idle = pool.take_idle(start.elapsed(), request);
    let (mut connection, must_echo) = match idle {
        Some(idle) => idle,
        None => (client::open(request.address).await.ok()?, false),
    };
    // A surplus answer to an earlier call may arrive late, where the next one is expected: a second
    // report taken for the answer to an order would show a map as armed that is not.
    let id = format!("{:016x}", rand::random::<u64>());
    let answer = connection.send(http_request(request, &id)).await.ok()?;
    let echoed = answer.headers().get(header::ATTEMPT).cloned();
    if !echoed.as_ref().map_or(!must_echo, |echoed| echoed == &id) {
        metrics::counter!("engine_answers_of_other_calls_total").increment(1);
        log::debug!("{} sent an answer to no or another call", request.server);
        return None;
    }
    let status = answer.status().as_u16();
    let rejected = answer.headers().contains_key(header::NOT_RUN);
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body.ok()?.to_bytes();
    pool.put_back(start.elapsed(), connection, request, echoed.is_some());
    Some(HttpAnswer {
        status,
        rejected,
        body,
    })
}

fn http_request(call: &CallRequest, id: &str) -> Request<Full<Bytes>> {
    let body = call.body.clone().unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    if call.body.is_some() {
        *request.method_mut() = Method::POST;
    }
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(HOST, &call.address.to_string());
    set(CONTENT_TYPE, "application/json");
    set(HeaderName::from_static(header::EXPECT_SERVER), &call.server);
    set(HeaderName::from_static(header::ATTEMPT), id);
    request
}

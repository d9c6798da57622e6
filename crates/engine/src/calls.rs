//! Calls to backend servers, on a thread of their own: the core goes on meanwhile.

use bn_serve::client::{self, Pool};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, mpsc};

/// Calls that wait for the thread.
const RING: usize = 1024;
/// A call without an answer by then counts as unanswered. Answers take milliseconds, some
/// tens on a busy instance; an order whose answer is lost must be followed up at once,
/// since the group may stand still meanwhile.
const TIMEOUT: Duration = Duration::from_millis(120);
/// Calls under way at once. The time for an answer begins with the call: of some hundred that
/// begin together on a small share of a core most run out of it before their connections stand, are
/// repeated, and run out again.
const AT_ONCE: usize = 24;
/// A call that fails counts as unanswered only after this time. A refused connection shows
/// at once, and repeating the call without a pause would take the processor.
const LEAST_FAILED: Duration = Duration::from_millis(30);
/// Largest answer taken.
const LARGEST: usize = 1 << 20;

/// Status and body; none where no answer came.
pub type Answer = Option<(u16, Bytes)>;

/// One call.
pub struct Call {
    /// What is asked, and whom.
    pub what: What,
    /// Gets the answer.
    pub done: Box<dyn FnOnce(Answer) + Send>,
}

/// What is asked, and whom.
pub struct What {
    /// The engine's address.
    pub address: SocketAddr,
    /// Path of the call.
    pub path: &'static str,
    /// Body of an order; none: a question.
    pub body: Option<Vec<u8>>,
    /// Backend server that alone may take it.
    pub server: String,
}

/// The thread's ring.
#[derive(Clone)]
pub struct Calls(mpsc::Sender<Call>);

impl Calls {
    /// Starts the thread.
    pub fn start() -> io::Result<Calls> {
        let (ring, mut waiting) = mpsc::channel::<Call>(RING);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let start = Instant::now();
        std::thread::Builder::new()
            .name("calls".into())
            .spawn(move || {
                runtime.block_on(async move {
                    let pool = Arc::new(Pool::default());
                    let places = Arc::new(Semaphore::new(AT_ONCE));
                    while let Some(call) = waiting.recv().await {
                        // It is never closed.
                        let Ok(place) = places.clone().acquire_owned().await else {
                            return;
                        };
                        pool.evict_expired(start.elapsed());
                        let pool = pool.clone();
                        tokio::spawn(async move {
                            let _place = place;
                            let Call { what, done } = call;
                            let began = tokio::time::Instant::now();
                            let asked = ask(&pool, start, &what);
                            let answer = tokio::time::timeout(TIMEOUT, asked).await;
                            let answer = answer.ok().flatten();
                            if answer.is_none() {
                                tokio::time::sleep_until(began + LEAST_FAILED).await;
                            }
                            done(answer);
                        });
                    }
                });
            })?;
        Ok(Calls(ring))
    }

    /// Queues a call; where the ring is full it counts as unanswered.
    pub fn put(&self, call: Call) {
        if let Err(e) = self.0.try_send(call) {
            metrics::counter!("ring_lost_total").increment(1);
            let (mpsc::error::TrySendError::Full(call) | mpsc::error::TrySendError::Closed(call)) =
                e;
            (call.done)(None);
        }
    }
}

pub(crate) async fn ask(pool: &Pool, start: Instant, what: &What) -> Answer {
    let idle = pool.take_idle(start.elapsed(), what.address);
    let mut connection = match idle {
        Some(connection) => connection,
        None => client::open(what.address).await.ok()?,
    };
    let answer = connection.sender.send_request(request(what)).await.ok()?;
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), LARGEST).collect().await;
    let body = body.ok()?.to_bytes();
    pool.put_back(start.elapsed(), connection, None);
    Some((status, body))
}

fn request(what: &What) -> Request<Full<Bytes>> {
    let body = what.body.clone().unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    if what.body.is_some() {
        *request.method_mut() = Method::POST;
    }
    if let Ok(uri) = what.path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set(HOST, &what.address.to_string());
    set(CONTENT_TYPE, "application/json");
    let expect = HeaderName::from_static(bn_platform::header::EXPECT);
    set(expect, &what.server);
    request
}

//! HTTP around the fakes: requests, the record, and faults on command.

use crate::announce;
use crate::engine::{Engine, Job, TOKEN_BYTES};
use crate::record::{Line, Record};
use crate::steps::{Order, Steps};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// What a fake stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Streams tokens.
    Engine,
    /// Answers at once.
    Plain,
}

/// How a fake is set up.
#[derive(Debug, Clone)]
pub struct Fake {
    /// What it stands for.
    pub kind: Kind,
    /// Its id.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its lock-step group.
    pub group: String,
    /// Its rank.
    pub rank: u32,
    /// Where it serves.
    pub listen: SocketAddr,
    /// Its agent's page; none: it announces nothing.
    pub agent: Option<SocketAddr>,
    /// Requests at once.
    pub capacity: u32,
    /// Time of a step.
    pub step: Duration,
    /// How old its load reports are.
    pub lag: Duration,
    /// It refuses orders with old fencing numbers.
    pub fences: bool,
    /// How long it loads the weights of a map.
    pub load: Duration,
    /// Write each step into the record.
    pub record_steps: bool,
    /// File for its record.
    pub record: Option<PathBuf>,
    /// A request whose body holds this ends the process one step after it began to run.
    pub fatal: Option<String>,
}

pub(crate) struct Shared {
    kind: Kind,
    name: String,
    engine: Mutex<Engine>,
    /// Only of an engine in a group.
    steps: Option<Mutex<Steps>>,
    load: Duration,
    fences: bool,
    record_steps: bool,
    record: Arc<Record>,
    stalled_ms: AtomicU64,
    leaving: AtomicBool,
    /// It turns requests away until then.
    rest: Mutex<Option<Instant>>,
    fatal: Option<String>,
    step: Duration,
}

#[derive(Deserialize)]
#[serde(default)]
struct Prompt {
    prompt: String,
    tokens: usize,
}

impl Default for Prompt {
    fn default() -> Prompt {
        Prompt {
            prompt: String::new(),
            tokens: 8,
        }
    }
}

type Body = BoxBody<Bytes, Infallible>;

impl Shared {
    fn engine(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn steps(&self) -> Option<MutexGuard<'_, Steps>> {
        self.steps
            .as_ref()
            .map(|s| s.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether the next step may run; in a group it needs a grant and a loaded map.
    fn may_step(&self) -> bool {
        let Some(mut steps) = self.steps() else {
            return true;
        };
        let Some(map) = steps.may_run() else {
            return false;
        };
        if self.record_steps {
            self.record.add(Line {
                event: "step".into(),
                key: String::new(),
                attempt: self.name.clone(),
                prompt: String::new(),
                step: steps.next,
                map,
            });
        }
        steps.next += 1;
        true
    }

    /// An order of the project's to this engine.
    fn order(&self, kind: &str, body: &str) -> Response<Body> {
        let order: Result<Order, _> = serde_json::from_str(body);
        let (Some(mut steps), Ok(order)) = (self.steps(), order) else {
            return status(400, "no such order here");
        };
        if steps.refuses(order.fence, self.fences) {
            return status(409, "old fencing number");
        }
        match kind {
            "prepare" => steps.prepare(order.version, self.load),
            _ => steps.grant(&order, self.load),
        }
        whole("ok")
    }

    /// Its place in the steps, for the announcement.
    pub(crate) fn place(&self) -> Option<serde_json::Value> {
        let mut steps = self.steps()?;
        let prepared = steps.prepared();
        Some(serde_json::json!({
            "next": steps.next, "granted": steps.granted, "version": steps.version(),
            "prepared": prepared,
        }))
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.engine().tokens()
    }

    /// Wants no request for so long, in whole seconds; none where it takes them.
    fn rests(&self) -> Option<u64> {
        let until = *self.rest.lock().unwrap_or_else(PoisonError::into_inner);
        let left = until?.checked_duration_since(Instant::now())?;
        Some(left.as_secs_f64().ceil() as u64)
    }

    fn rest(&self, time: Duration) {
        let until = Instant::now() + time;
        *self.rest.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

/// Serves until the process ends.
pub fn run(fake: Fake) -> io::Result<()> {
    let record = Arc::new(Record::open(fake.record.as_deref())?);
    let shared = Arc::new(Shared {
        kind: fake.kind,
        name: fake.name.clone(),
        steps: (!fake.group.is_empty()).then(Mutex::default),
        load: fake.load,
        fences: fake.fences,
        record_steps: fake.record_steps,
        engine: Mutex::new(Engine::new(fake.capacity as usize, record.clone())),
        record,
        stalled_ms: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        rest: Mutex::default(),
        fatal: fake.fatal.clone(),
        step: fake.step,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(fake.listen).await?;
        tokio::spawn(steps(shared.clone(), fake.step));
        let announced = shared.clone();
        std::thread::spawn(move || announce::run(&fake, &announced));
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let shared = shared.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let shared = shared.clone();
                    async move { Ok::<_, Infallible>(handle(request, &shared).await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    })
}

async fn steps(shared: Arc<Shared>, step: Duration) {
    let mut timer = tokio::time::interval(step);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        timer.tick().await;
        let stalled = shared.stalled_ms.swap(0, Ordering::Relaxed);
        if stalled > 0 {
            tokio::time::sleep(Duration::from_millis(stalled)).await;
        }
        if shared.may_step() {
            shared.engine().step();
        }
    }
}

async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let path = request.uri().path().to_string();
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let (key, attempt) = (header("idempotency-key"), header("x-attempt"));
    let (priority, resume) = (header("x-priority"), header("x-resume-at"));
    let body = request.into_body().collect().await;
    let body = body.map(|b| b.to_bytes()).unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    if let Some(order) = path.strip_prefix("/orders/") {
        return shared.order(order, &body);
    }
    if let Some(order) = path.strip_prefix("/fake/") {
        return whole(&command(order, &body, shared));
    }
    if let Some(seconds) = shared.rests() {
        return turn_away(shared, key, attempt, body, seconds);
    }
    if shared
        .fatal
        .as_deref()
        .is_some_and(|mark| body.contains(mark))
    {
        return end_under(shared, key, attempt, body).await;
    }
    match shared.kind {
        Kind::Plain => {
            let line = Line {
                event: "start".into(),
                key,
                attempt,
                prompt: body.clone(),
                step: 0,
                map: 0,
            };
            shared.record.add(line);
            whole(&serde_json::json!({ "done": true, "echo": body }).to_string())
        }
        Kind::Engine => {
            let asked: Prompt = serde_json::from_str(&body).unwrap_or_default();
            let (out, tokens) = unbounded_channel();
            let job = Job {
                key,
                attempt,
                prompt: asked.prompt,
                tokens: asked.tokens.max(1),
                priority: priority.parse().unwrap_or(1),
                next: resume.parse::<usize>().unwrap_or(0) / TOKEN_BYTES,
                prefill: 0,
                out,
            };
            shared.engine().add(job);
            let mut response = Response::new(BodyExt::boxed(StreamBody::new(Tokens(tokens))));
            if let Ok(name) = shared.name.parse() {
                response.headers_mut().insert("x-fake", name);
            }
            response
        }
    }
}

/// Says that it did not run it, and for how long it wants no more.
fn turn_away(
    shared: &Shared,
    key: String,
    attempt: String,
    prompt: String,
    seconds: u64,
) -> Response<Body> {
    shared.record.add(Line {
        event: "turned_away".into(),
        key,
        attempt,
        prompt,
        step: 0,
        map: 0,
    });
    let mut response = status(503, "no more for now");
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Exit code of a fake that ended under a request.
const FATAL: i32 = 134;

async fn end_under(
    shared: &Shared,
    key: String,
    attempt: String,
    prompt: String,
) -> Response<Body> {
    shared.record.add(Line {
        event: "fatal".into(),
        key,
        attempt,
        prompt,
        step: 0,
        map: 0,
    });
    tokio::time::sleep(shared.step).await;
    std::process::exit(FATAL);
}

/// Orders to the fake itself: read the record, or fail in some way.
fn command(order: &str, body: &str, shared: &Shared) -> String {
    match order {
        "record" => return shared.record.json(),
        "stall" => shared
            .stalled_ms
            .store(body.parse().unwrap_or(1000), Ordering::Relaxed),
        "rest" => shared.rest(Duration::from_secs(body.parse().unwrap_or(3))),
        "leave" => shared.leaving.store(true, Ordering::Relaxed),
        "return" => shared.leaving.store(false, Ordering::Relaxed),
        "stats" => {
            let engine = shared.engine();
            return serde_json::json!({
                "steps": engine.step, "hits": engine.hits, "tokens": engine.tokens(),
            })
            .to_string();
        }
        "die" => std::process::exit(9),
        _ => return "unknown order".into(),
    }
    "ok".into()
}

fn status(code: u16, text: &str) -> Response<Body> {
    let mut response = whole(text);
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

fn whole(text: &str) -> Response<Body> {
    Response::new(BodyExt::boxed(Full::new(Bytes::from(text.to_string()))))
}

struct Tokens(UnboundedReceiver<String>);

impl futures_core::Stream for Tokens {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.0
            .poll_recv(cx)
            .map(|t| t.map(|t| Ok(Frame::data(Bytes::from(t)))))
    }
}

//! HTTP around the fakes: requests, the record, and faults on command.

use crate::announce;
use crate::engine::Engine;
use crate::handle::{handle, status, whole};
use crate::record::{Line, Record};
use crate::register;
use crate::requests::Requests;
use crate::steps::{Order, Steps};
use http_body_util::combinators::BoxBody;
use hyper::Response;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

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
    /// Where coordinators take its announcements; none: no gateway knows it.
    pub control: Option<SocketAddr>,
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
    pub(crate) kind: Kind,
    pub(crate) name: String,
    pub(crate) engine: Mutex<Engine>,
    /// Only of an engine in a group.
    pub(crate) steps: Option<Mutex<Steps>>,
    pub(crate) load: Duration,
    pub(crate) fences: bool,
    pub(crate) record_steps: bool,
    pub(crate) record: Arc<Record>,
    pub(crate) stalled_ms: AtomicU64,
    pub(crate) leaving: AtomicBool,
    /// What it asks of those that send it requests.
    pub(crate) requests: Requests,
    pub(crate) fatal: Option<String>,
    pub(crate) step: Duration,
}

pub(crate) type Body = BoxBody<Bytes, Infallible>;

impl Shared {
    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine> {
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
    pub(crate) fn order(&self, kind: &str, body: &str) -> Response<Body> {
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
        requests: Requests::default(),
        fatal: fake.fatal.clone(),
        step: fake.step,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(fake.listen).await?;
        tokio::spawn(steps(shared.clone(), fake.step));
        if let Some(control) = fake.control {
            let fake = fake.clone();
            std::thread::spawn(move || register::run(&fake, control));
        }
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

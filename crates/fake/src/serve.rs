//! HTTP server of the fakes: requests, the record, and fault injection by commands.

use crate::announce;
use crate::cold::Cold;
use crate::directives::Directives;
use crate::engine::Engine;
use crate::handle::{error_response, handle, ok_response};
use crate::record::{Line, Record};
use crate::register;
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

/// Kind of backend server that a fake stands in for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Streams tokens.
    Engine,
    /// Answers immediately.
    Plain,
}

/// Configuration of a fake.
#[derive(Debug, Clone)]
pub struct Fake {
    /// Kind of backend server.
    pub kind: Kind,
    /// Its id.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its lock-step group.
    pub group: String,
    /// Its rank.
    pub rank: u32,
    /// Address at which it serves.
    pub listen: SocketAddr,
    /// Address of its agent's pages; `None` disables announcements to an agent.
    pub agent: Option<SocketAddr>,
    /// Address at which coordinators accept its announcements; `None`: no gateway knows it.
    pub control: Option<SocketAddr>,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Duration of a step.
    pub step_time: Duration,
    /// Age of its load reports.
    pub load_lag: Duration,
    /// Whether it refuses orders with old fencing tokens.
    pub checks_fences: bool,
    /// Time to load the weights of a map.
    pub load_time: Duration,
    /// Whether each step is written to the record.
    pub record_steps: bool,
    /// File for its record.
    pub record: Option<PathBuf>,
    /// A request whose body contains this text terminates the process one step after its start.
    pub fatal_text: Option<String>,
    /// Time for which it is cold from its start on; zero: it announces no cold period.
    pub cold_time: Duration,
}

pub(crate) struct Shared {
    pub(crate) kind: Kind,
    pub(crate) name: String,
    pub(crate) engine: Mutex<Engine>,
    /// `None` if the fake is in no group.
    pub(crate) steps: Option<Mutex<Steps>>,
    pub(crate) load_time: Duration,
    pub(crate) checks_fences: bool,
    pub(crate) record_steps: bool,
    pub(crate) record: Arc<Record>,
    pub(crate) stalled_ms: AtomicU64,
    pub(crate) leaving: AtomicBool,
    /// Directives to the senders of requests.
    pub(crate) directives: Directives,
    pub(crate) cold: Cold,
    pub(crate) fatal_text: Option<String>,
    pub(crate) step_time: Duration,
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

    /// Starts the next step if it may run, which in a group requires a grant and a loaded map.
    fn start_step(&self) -> bool {
        let Some(mut steps) = self.steps() else {
            return true;
        };
        let Some(map) = steps.runnable_map() else {
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

    /// Executes an order of the project to this engine.
    pub(crate) fn order(&self, kind: &str, body: &str) -> Response<Body> {
        let order: Result<Order, _> = serde_json::from_str(body);
        let (Some(mut steps), Ok(order)) = (self.steps(), order) else {
            return error_response(400, "no such order here");
        };
        if steps.refuses(order.fence, self.checks_fences) {
            return error_response(409, "old fencing number");
        }
        match kind {
            "prepare" => steps.prepare(order.version, self.load_time),
            _ => steps.grant(&order, self.load_time),
        }
        ok_response("ok")
    }

    /// Progress in the steps of its group, for the announcement.
    pub(crate) fn progress(&self) -> Option<serde_json::Value> {
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

/// Serves until the process terminates.
pub fn run(fake: Fake) -> io::Result<()> {
    let record = Arc::new(Record::open(fake.record.as_deref())?);
    let shared = Arc::new(Shared {
        kind: fake.kind,
        name: fake.name.clone(),
        steps: (!fake.group.is_empty()).then(Mutex::default),
        load_time: fake.load_time,
        checks_fences: fake.checks_fences,
        record_steps: fake.record_steps,
        engine: Mutex::new(Engine::new(fake.capacity as usize, record.clone())),
        record,
        stalled_ms: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        directives: Directives::default(),
        cold: Cold::starting(fake.cold_time),
        fatal_text: fake.fatal_text.clone(),
        step_time: fake.step_time,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(fake.listen).await?;
        tokio::spawn(run_steps(shared.clone(), fake.step_time));
        if let Some(control) = fake.control {
            let (fake, shared) = (fake.clone(), shared.clone());
            std::thread::spawn(move || register::run(&fake, control, &shared));
        }
        let shared_state = shared.clone();
        std::thread::spawn(move || announce::run(&fake, &shared_state));
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

async fn run_steps(shared: Arc<Shared>, step_time: Duration) {
    let mut timer = tokio::time::interval(step_time);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        timer.tick().await;
        let stalled = shared.stalled_ms.swap(0, Ordering::Relaxed);
        if stalled > 0 {
            tokio::time::sleep(Duration::from_millis(stalled)).await;
        }
        if shared.start_step() {
            shared.engine().step();
        }
    }
}

//! Callers: single requests and a steady load, each judged by what came back.

use super::system::KEY;
use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(30);

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fate {
    Whole,
    /// Whole, but not the answer to this request.
    Wrong(String),
    NotRun(String),
    MayHaveRun(String),
    /// The connection broke, or could not be made.
    Cut(String),
}

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) entry: String,
    pub(crate) service: String,
    pub(crate) prompt: String,
    pub(crate) key: Option<String>,
    pub(crate) tokens: usize,
    pub(crate) deadline_ms: Option<u64>,
}

/// Sends a request and waits for its end.
pub(crate) fn send(ask: &Ask) -> Fate {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(PATIENCE))
        .build()
        .into();
    let engine = ask.service != "kiosk-ctl";
    let body = match engine {
        true => serde_json::json!({ "prompt": ask.prompt, "tokens": ask.tokens }).to_string(),
        false => ask.prompt.clone(),
    };
    let url = format!("http://{}/svc/{}/v1/run", ask.entry, ask.service);
    let mut request = agent
        .post(url)
        .header("authorization", format!("Bearer {KEY}"));
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(ms) = ask.deadline_ms {
        request = request.header("x-deadline-ms", ms.to_string());
    }
    let response = match request.send(&body[..]) {
        Ok(response) => response,
        Err(e) => return Fate::Cut(e.to_string()),
    };
    let verdict = response
        .headers()
        .get("x-verdict")
        .map(|v| v.to_str().unwrap().to_string());
    let mut text = String::new();
    if let Err(e) = response.into_body().into_reader().read_to_string(&mut text) {
        return Fate::Cut(e.to_string());
    }
    let right = match engine {
        true => bn_fake::expected_answer(&ask.prompt, ask.tokens),
        false => serde_json::json!({ "done": true, "echo": ask.prompt }).to_string(),
    };
    match verdict.as_deref() {
        Some("not-run") => Fate::NotRun(text),
        Some(_) => Fate::MayHaveRun(text),
        None if text == right => Fate::Whole,
        None => Fate::Wrong(text),
    }
}

/// A steady load of requests that each have a prompt of their own.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(Ask, Fate)>>>,
    thread: JoinHandle<()>,
}

static SERIAL: AtomicU64 = AtomicU64::new(0);

impl Load {
    /// Sends `rate` requests a second, in turn to the entries, until stopped.
    pub(crate) fn start(
        service: &str,
        entries: Vec<String>,
        rate: u64,
        tokens: usize,
        keyed: bool,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let (stopped, kept, service) = (stop.clone(), outcomes.clone(), service.to_string());
        let thread = thread::spawn(move || {
            let mut calls = Vec::new();
            for entry in entries.iter().cycle() {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
                let ask = Ask {
                    entry: entry.clone(),
                    service: service.clone(),
                    prompt: format!("load {serial}"),
                    key: keyed.then(|| uuid::Uuid::now_v7().to_string()),
                    tokens,
                    deadline_ms: Some(15_000),
                };
                let kept = kept.clone();
                calls.push(thread::spawn(move || {
                    let fate = send(&ask);
                    kept.lock().unwrap().push((ask, fate));
                }));
                thread::sleep(Duration::from_secs(1) / rate as u32);
            }
            for call in calls {
                call.join().unwrap();
            }
        });
        Load {
            stop,
            outcomes,
            thread,
        }
    }

    /// Stops sending and waits for all ends.
    pub(crate) fn finish(self) -> Vec<(Ask, Fate)> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        Arc::try_unwrap(self.outcomes)
            .unwrap()
            .into_inner()
            .unwrap()
    }
}

//! Clients that send single requests or a constant request rate and classify each response.

use super::system::KEY;
use std::io::Read;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    Whole,
    /// Complete, but not the answer to this request.
    Wrong(String),
    NotRun(String),
    MayHaveRun(String),
    /// The connection failed or could not be opened.
    Cut(String),
}

/// Parameters of a request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) entry: String,
    pub(crate) service: String,
    pub(crate) prompt: String,
    pub(crate) key: Option<String>,
    pub(crate) tokens: usize,
    pub(crate) deadline_ms: Option<u64>,
}

/// Sends a request and waits for its outcome.
pub(crate) fn send(request: &Request) -> CallOutcome {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .into();
    let engine = request.service != "kiosk-ctl";
    let body = match engine {
        true => {
            serde_json::json!({ "prompt": request.prompt, "tokens": request.tokens }).to_string()
        }
        false => request.prompt.clone(),
    };
    let url = format!("http://{}/svc/{}/v1/run", request.entry, request.service);
    let mut builder = agent
        .post(url)
        .header("authorization", format!("Bearer {KEY}"));
    if let Some(key) = &request.key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(ms) = request.deadline_ms {
        builder = builder.header("x-deadline-ms", ms.to_string());
    }
    let response = match builder.send(&body[..]) {
        Ok(response) => response,
        Err(e) => return CallOutcome::Cut(e.to_string()),
    };
    let verdict = response
        .headers()
        .get("x-verdict")
        .map(|v| v.to_str().unwrap().to_string());
    let mut text = String::new();
    if let Err(e) = response.into_body().into_reader().read_to_string(&mut text) {
        return CallOutcome::Cut(e.to_string());
    }
    let expected = match engine {
        true => bn_fake::expected_answer(&request.prompt, request.tokens),
        false => serde_json::json!({ "done": true, "echo": request.prompt }).to_string(),
    };
    match verdict.as_deref() {
        Some("not-run") => CallOutcome::NotRun(text),
        Some(_) => CallOutcome::MayHaveRun(text),
        None if text == expected => CallOutcome::Whole,
        None => CallOutcome::Wrong(text),
    }
}

/// Requests at a constant rate, each with a unique prompt.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(Request, CallOutcome)>>>,
    thread: JoinHandle<()>,
}

static NEXT_SERIAL: AtomicU64 = AtomicU64::new(0);

impl Load {
    /// Sends `rate` requests per second, round-robin over the entries, until `finish` is called.
    pub(crate) fn start(
        service: &str,
        entries: Vec<String>,
        rate: u64,
        tokens: usize,
        keyed: bool,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let (stopped, results, service) = (stop.clone(), outcomes.clone(), service.to_string());
        let thread = thread::spawn(move || {
            let mut calls = Vec::new();
            for entry in entries.iter().cycle() {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
                let request = Request {
                    entry: entry.clone(),
                    service: service.clone(),
                    prompt: format!("load {serial}"),
                    key: keyed.then(|| uuid::Uuid::now_v7().to_string()),
                    tokens,
                    deadline_ms: Some(15_000),
                };
                let results = results.clone();
                calls.push(thread::spawn(move || {
                    let outcome = send(&request);
                    results.lock().unwrap().push((request, outcome));
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

    /// Stops sending and waits until every request has an outcome.
    pub(crate) fn finish(self) -> Vec<(Request, CallOutcome)> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        Arc::try_unwrap(self.outcomes)
            .unwrap()
            .into_inner()
            .unwrap()
    }
}

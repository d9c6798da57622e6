//! `buckthornnotch demo --ask ADDRESS`: waits until the system is ready, sends one
//! request of each kind along the full request path, and prints the results.

use crate::error::{CliResult, Error};
use crate::http;
use serde_json::Value;
use std::io::Read;
use std::time::{Duration, Instant};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(20);
const TOKENS: usize = 24;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    buckthornnotch demo --ask 127.0.0.1:7101 --ctl 127.0.0.1:7201 --key key-a1")]
pub(crate) struct Args {
    /// Callers' address of any entry.
    #[arg(long, default_value = "127.0.0.1:7101")]
    ask: String,
    /// Operators' address of any entry.
    #[arg(long, default_value = "127.0.0.1:7201")]
    ctl: String,
    /// Key of a client account that may send urgent requests.
    #[arg(long, default_value = "key-a1")]
    key: String,
    /// Name of the engine service.
    #[arg(long, default_value = "notice-gen")]
    engine: String,
    /// Name of the plain service.
    #[arg(long, default_value = "kiosk-ctl")]
    plain: String,
    /// Number of backend servers that must be serving before the demo starts.
    #[arg(long, default_value_t = 1)]
    backends: usize,
}

/// Result of one request of the demo.
struct Outcome {
    name: &'static str,
    status: u16,
    verdict: String,
    first_byte: Duration,
    total: Duration,
    /// `None`: complete and correct.
    error: Option<String>,
}

/// A request to send, and the response it should get.
struct Probe<'a> {
    name: &'static str,
    service: &'a str,
    headers: Vec<(&'static str, String)>,
    body: String,
    /// Expected status and content.
    status: u16,
    content: Option<String>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    wait_ready(args)?;
    let entry = first_address(&args.ask)?;
    println!("asked {} for an address, connecting to {entry}\n", args.ask);
    let outcomes: Vec<Outcome> = probes(args).iter().map(|p| send(&entry, p)).collect();
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::NOTHING);
    table.set_header([
        "request", "status", "verdict", "first ms", "total ms", "result",
    ]);
    for o in &outcomes {
        table.add_row([
            o.name.to_string(),
            o.status.to_string(),
            o.verdict.clone(),
            format!("{:.1}", o.first_byte.as_secs_f64() * 1e3),
            format!("{:.1}", o.total.as_secs_f64() * 1e3),
            o.error.clone().unwrap_or_else(|| "as it should be".into()),
        ]);
    }
    println!("{table}\n\nnext:");
    println!(
        "  buckthornnotch ctl --at {} 'show backends sort by load desc'",
        args.ctl
    );
    println!("  buckthornnotch ctl --at {} 'show members'", args.ctl);
    println!(
        "  buckthornnotch bench load --ask {} --key {}",
        args.ask, args.key
    );
    let failed = outcomes.iter().filter(|o| o.error.is_some()).count();
    match failed {
        0 => Ok(()),
        n => Err(Error::Failed {
            reason: format!("{n} of {} requests failed", outcomes.len()),
        }),
    }
}

fn probes(args: &Args) -> Vec<Probe<'_>> {
    let auth = ("authorization", format!("Bearer {}", args.key));
    let prompt = "menu board, two dishes".to_string();
    let answer = bn_fake::expected_answer(&prompt, TOKENS);
    let body = serde_json::json!({ "prompt": prompt, "tokens": TOKENS }).to_string();
    let key = uuid::Uuid::now_v7().to_string();
    let engine = |name, extra: Vec<(&'static str, String)>, status, content| Probe {
        name,
        service: &args.engine,
        headers: [vec![auth.clone()], extra].concat(),
        body: body.clone(),
        status,
        content,
    };
    let plain = Probe {
        name: "plain service, urgent",
        service: &args.plain,
        headers: vec![auth.clone(), ("x-priority", "urgent".into())],
        body: "takeover".into(),
        status: 200,
        content: Some(r#"{"done":true,"echo":"takeover"}"#.into()),
    };
    vec![
        engine("engine, streamed", vec![], 200, Some(answer.clone())),
        engine(
            "not repeatable, first",
            vec![("idempotency-key", key.clone())],
            200,
            Some(answer),
        ),
        engine(
            "not repeatable, again",
            vec![("idempotency-key", key)],
            409,
            None,
        ),
        plain,
        Probe {
            name: "wrong key",
            service: &args.engine,
            headers: vec![("authorization", "Bearer nobody".into())],
            body: String::new(),
            status: 401,
            content: None,
        },
    ]
}

fn wait_ready(args: &Args) -> CliResult {
    let start = Instant::now();
    let text = r#"show backends where state = serving"#;
    let body = serde_json::json!({"operator": "demo", "number": 0, "token": "", "text": text});
    let url = http::url(&args.ctl, "/v1/command");
    loop {
        let reply = http::post(&url, &body.to_string(), TIMEOUT).ok();
        let value = reply.and_then(|r| serde_json::from_str::<Value>(&r.text).ok());
        let rows = value
            .as_ref()
            .and_then(|v| v.get("rows"))
            .and_then(Value::as_array);
        let serving = rows.map_or(0, Vec::len);
        if serving >= args.backends && accepts_keys(args) {
            println!(
                "ready after {:.1} s: {serving} backend servers",
                start.elapsed().as_secs_f64()
            );
            return Ok(());
        }
        if start.elapsed() > READY_TIMEOUT {
            let reason = format!("not ready: {serving} of {} backend servers", args.backends);
            return Err(Error::Failed { reason });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether a request that must not be repeated can be run: holders of claims that have
/// just started refuse keys that they may have forgotten.
fn accepts_keys(args: &Args) -> bool {
    let Ok(entry) = first_address(&args.ask) else {
        return false;
    };
    let key = uuid::Uuid::now_v7().to_string();
    let auth = format!("Bearer {}", args.key);
    let probe = Probe {
        name: "readiness",
        service: &args.plain,
        headers: vec![("authorization", auth), ("idempotency-key", key)],
        body: "ready?".into(),
        status: 200,
        content: None,
    };
    send(&entry, &probe).error.is_none()
}

/// Queries the system for the address to use.
pub(crate) fn first_address(ask: &str) -> CliResult<String> {
    let url = http::url(ask, "/v1/addresses");
    let reply = http::get(&url, TIMEOUT)?;
    let value: Option<Value> = serde_json::from_str(&reply.text).ok();
    let first = value
        .as_ref()
        .and_then(|v| v.get("addresses")?.get(0)?.as_str());
    let missing = || Error::Http {
        url: url.clone(),
        reason: "the response contains no address".into(),
    };
    first.map(String::from).ok_or_else(missing)
}

fn send(entry: &str, probe: &Probe<'_>) -> Outcome {
    let url = http::url(entry, &format!("/svc/{}/v1/run", probe.service));
    let start = Instant::now();
    let mut request = http::agent(TIMEOUT).post(&url);
    for (name, value) in &probe.headers {
        request = request.header(*name, value);
    }
    let mut outcome = Outcome {
        name: probe.name,
        status: 0,
        verdict: String::new(),
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
        error: None,
    };
    let response = match request.send(&probe.body[..]) {
        Ok(response) => response,
        Err(e) => {
            return Outcome {
                error: Some(e.to_string()),
                ..outcome
            };
        }
    };
    outcome.status = response.status().as_u16();
    let verdict = response
        .headers()
        .get("x-verdict")
        .and_then(|v| v.to_str().ok());
    outcome.verdict = verdict.unwrap_or("").into();
    let mut reader = response.into_body().into_reader();
    let mut first = [0u8; 1];
    let mut text = Vec::new();
    let read = reader
        .read(&mut first)
        .map(|n| text.extend_from_slice(&first[..n]));
    outcome.first_byte = start.elapsed();
    let read = read.and_then(|()| reader.read_to_end(&mut text));
    outcome.total = start.elapsed();
    let text = String::from_utf8_lossy(&text);
    outcome.error = match (read, &probe.content) {
        (Err(e), _) => Some(format!("cut: {e}")),
        _ if outcome.status != probe.status => Some(format!("status {} was due", probe.status)),
        (_, Some(content)) if *content != text => Some(format!("other content: {text:.40}")),
        _ => None,
    };
    outcome
}

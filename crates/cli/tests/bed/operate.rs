//! Operators: commands and queries to one entry.

use super::system::System;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(50);

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Sends one command as it is; status and answer.
pub(crate) fn post(system: &System, entry: &str, body: &Value) -> Result<(u16, Value), String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into();
    let url = format!("http://{}/v1/command", system.operators(entry));
    let sent = agent.post(url).send(body.to_string());
    let mut response = sent.map_err(|e| e.to_string())?;
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|e| e.to_string())?;
    let value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    Ok((response.status().as_u16(), value))
}

/// A command that must be accepted.
pub(crate) fn command(system: &System, entry: &str, text: &str) -> Result<(), String> {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let body = json!({ "operator": "test", "number": number, "token": "t", "text": text });
    match post(system, entry, &body)? {
        (200, _) => Ok(()),
        other => Err(format!("{text}: {other:?}")),
    }
}

/// Waits until a query gives so many rows.
pub(crate) fn rows(
    system: &System,
    entry: &str,
    query: &str,
    count: usize,
    within: Duration,
) -> Result<(), String> {
    let start = Instant::now();
    let body = json!({ "operator": "test", "number": 0, "token": "", "text": query });
    loop {
        let got = post(system, entry, &body);
        let rows = got
            .as_ref()
            .ok()
            .and_then(|(_, v)| v.get("rows")?.as_array());
        if rows.is_some_and(|r| r.len() == count) {
            return Ok(());
        }
        if start.elapsed() > within {
            return Err(format!("{query} at {entry}: {got:?}"));
        }
        thread::sleep(PAUSE);
    }
}

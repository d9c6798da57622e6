//! Operator commands and queries, sent to one entry.

use super::system::System;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Posts a command once; returns the status and body of the response.
pub(crate) fn post(system: &System, entry: &str, body: &Value) -> Result<(u16, Value), String> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .into();
    let url = format!("http://{}/v1/command", system.operator_addr(entry));
    let result = agent.post(url).send(body.to_string());
    let mut response = result.map_err(|e| e.to_string())?;
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|e| e.to_string())?;
    let value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    Ok((response.status().as_u16(), value))
}

/// Sends a command and fails unless it is accepted.
pub(crate) fn command(system: &System, entry: &str, text: &str) -> Result<(), String> {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let body = json!({ "operator": "test", "number": number, "token": "t", "text": text });
    match post(system, entry, &body)? {
        (200, _) => Ok(()),
        other => Err(format!("{text}: {other:?}")),
    }
}

/// Polls a query until it returns `count` rows.
pub(crate) fn wait_for_rows(
    system: &System,
    entry: &str,
    query: &str,
    count: usize,
    within: Duration,
) -> Result<(), String> {
    let start = Instant::now();
    let body = json!({ "operator": "test", "number": 0, "token": "", "text": query });
    loop {
        let response = post(system, entry, &body);
        let rows = response
            .as_ref()
            .ok()
            .and_then(|(_, v)| v.get("rows")?.as_array());
        if rows.is_some_and(|r| r.len() == count) {
            return Ok(());
        }
        if start.elapsed() > within {
            return Err(format!(
                "{query} at {entry}: expected {count} rows, got {response:?}"
            ));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

//! `buckthornnotch explain ID FILE...`: shows the history of one request from the logs of
//! several processes, with the state changes that each of them logged meanwhile.

use crate::error::{CliResult, FailedSnafu};
use crate::lines::{self, Line};
use serde_json::Value;
use std::path::PathBuf;

/// Includes state changes within this time before the request's first line, in ms.
const LOOKBACK_MS: u64 = 5_000;
/// Events that report a change of state on which requests depend.
const STATE_EVENTS: [&str; 15] = [
    "document_in_force",
    "backend_server",
    "backend_server_asked",
    "backend_server_cold",
    "backend_server_limit",
    "backend_server_out",
    "evacuation_committed",
    "evacuations_in_force",
    "coordinator_lost",
    "coordinator_regained",
    "started",
    "stopping",
    "stopped",
    "map_switched",
    "role",
];

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch explain 9c41d07be2a35f68 logs/*.log")]
pub(crate) struct Args {
    /// Id of the request, as sent by its caller.
    id: String,
    /// Log files of processes, in JSON lines.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let lines = lines::read_all(&args.files)?;
    let is_own = |l: &&Line| l.fields.get("request").and_then(Value::as_str) == Some(&args.id);
    let times = lines.iter().filter(is_own).map(|l| l.ms);
    let Some((first, last)) = times.clone().min().zip(times.max()) else {
        let reason = format!(
            "no log line for request {}: it was served, and its line was not sampled",
            args.id
        );
        return FailedSnafu { reason }.fail();
    };
    let digests: Vec<&str> = lines
        .iter()
        .filter(is_own)
        .map(|l| l.text("digest"))
        .collect();
    let digest = digests.into_iter().find(|d| !d.is_empty());
    // Quarantine events for the request may be older than any of its attempts.
    let is_case = |l: &Line| digest.is_some_and(|d| mentions_digest(l, d));
    let is_near = |l: &Line| l.ms + LOOKBACK_MS >= first && l.ms <= last;
    for line in lines.iter().filter(|l| is_near(l) || is_case(l)) {
        let own = is_own(&line);
        if own || is_case(line) || STATE_EVENTS.contains(&line.event.as_str()) {
            println!("{}", format_line(line, first, own));
        }
    }
    Ok(())
}

/// Whether the line reports an earlier outcome of this request, from an attempt of any caller.
fn mentions_digest(line: &Line, digest: &str) -> bool {
    let listed = line.fields.get("digests").and_then(Value::as_array);
    let listed = listed.is_some_and(|d| d.iter().any(|d| d.as_str() == Some(digest)));
    listed || line.text("digest") == digest
}

/// Formats a line with its time in milliseconds since the request's first line.
fn format_line(line: &Line, first: u64, own: bool) -> String {
    let offset = line.ms as i64 - first as i64;
    let marker = if own { '>' } else { ' ' };
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields: Vec<String> = fields.map(|(n, v)| format!("{n}={v}")).collect();
    let (process, event) = (&line.process, &line.event);
    format!(
        "{marker} {offset:>7} ms  {process:<22} {event:<20} {}",
        fields.join(" ")
    )
}

//! `buckthornnotch explain ID FILE...`: the story of one request from the logs of several
//! processes, with what each of these processes believed meanwhile.

use crate::error::{CliResult, FailedSnafu};
use crate::lines::{self, Line};
use serde_json::Value;
use std::path::PathBuf;

/// Beliefs shown that changed within this time before the request's first line, in ms.
const BEFORE_MS: u64 = 5_000;
/// Events that change a belief on which requests depend.
const BELIEFS: [&str; 12] = [
    "document_in_force",
    "backend_server",
    "backend_server_asked",
    "backend_server_limit",
    "backend_server_out",
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
    /// Id of the request, as its caller sent it.
    id: String,
    /// Logs of processes, JSON lines.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let lines = lines::read_all(&args.files)?;
    let mine = |l: &&Line| l.fields.get("request").and_then(Value::as_str) == Some(&args.id);
    let ends = lines.iter().filter(mine).map(|l| l.ms);
    let Some((first, last)) = ends.clone().min().zip(ends.max()) else {
        let reason = format!(
            "no line names {}: it was served, and its line not sampled",
            args.id
        );
        return FailedSnafu { reason }.fail();
    };
    let digests: Vec<&str> = lines
        .iter()
        .filter(mine)
        .map(|l| l.text("digest"))
        .collect();
    let digest = digests.into_iter().find(|d| !d.is_empty());
    // What is held against the request may be older than any of its tries.
    let case = |l: &Line| digest.is_some_and(|d| names(l, d));
    let near = |l: &Line| l.ms + BEFORE_MS >= first && l.ms <= last;
    for line in lines.iter().filter(|l| near(l) || case(l)) {
        let own = mine(&line);
        if own || case(line) || BELIEFS.contains(&line.event.as_str()) {
            println!("{}", show(line, first, own));
        }
    }
    Ok(())
}

/// A line that says what became of this request before, of whichever caller's try.
fn names(line: &Line, digest: &str) -> bool {
    let listed = line.fields.get("digests").and_then(Value::as_array);
    let listed = listed.is_some_and(|d| d.iter().any(|d| d.as_str() == Some(digest)));
    listed || line.text("digest") == digest
}

/// Times are milliseconds from the request's first line.
fn show(line: &Line, first: u64, own: bool) -> String {
    let at = line.ms as i64 - first as i64;
    let mark = if own { '>' } else { ' ' };
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields: Vec<String> = fields.map(|(n, v)| format!("{n}={v}")).collect();
    let (process, event) = (&line.process, &line.event);
    format!(
        "{mark} {at:>7} ms  {process:<22} {event:<20} {}",
        fields.join(" ")
    )
}

//! `buckthornnotch losses FILE...`: shows from the logs of gateways and coordinators when requests
//! were late or refused, and why.

use crate::error::CliResult;
use crate::lines::{self, Line};
use indexmap::IndexMap;
use std::path::PathBuf;

/// Maximum length of a bar, in characters.
const MAX_BAR: usize = 60;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch losses logs/*.log --window-ms 1000")]
pub(crate) struct Args {
    /// Log files of processes, in JSON lines.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Time covered by one row, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    window_ms: u64,
    /// Time to the first event above which a stream is late, in milliseconds, for lines without
    /// the target of their route.
    #[arg(long, default_value_t = 400)]
    first_ms: u64,
    /// Pause between events above which a stream is late, in milliseconds, for lines without the
    /// limit of their route.
    #[arg(long, default_value_t = 120)]
    pause_ms: u64,
}

/// Count of each cause, by window.
type Rows = IndexMap<u64, IndexMap<String, usize>>;

pub(crate) fn run(args: &Args) -> CliResult {
    let lines = lines::read_all(&args.files)?;
    let start = lines.first().map_or(0, |l| l.ms);
    let mut rows = Rows::new();
    for line in &lines {
        if let Some(cause) = cause(line, args) {
            let window = (line.ms - start) / args.window_ms.max(1);
            *rows.entry(window).or_default().entry(cause).or_default() += 1;
        }
    }
    print!("{}", format_rows(&rows, args.window_ms));
    Ok(())
}

/// Why a request was lost or late, or what delayed others; `None` for lines that report neither.
fn cause(line: &Line, args: &Args) -> Option<String> {
    let cause = match line.event.as_str() {
        "stream_whole" if !line.is_true("in_time") => late_cause(line, args).into(),
        "stream_cut" | "stream_broken" => format!("cut: {}", line.text("why")),
        "refused" => format!("refused: {}", line.text("why")),
        "denied" => format!("denied: {}", line.text("why")),
        "hold_found" | "hold_late" | "switch_undone" | "group_changed" => {
            format!("group: {}", line.event)
        }
        _ => return None,
    };
    Some(cause)
}

fn late_cause(line: &Line, args: &Args) -> &'static str {
    let exceeds = |field: &str, limit: &str, default: u64| {
        let limit = line.number(limit).unwrap_or(default as f64);
        line.number(field).is_some_and(|ms| ms > limit)
    };
    let first = exceeds("first_ms", "target_ms", args.first_ms);
    let pause = exceeds("longest_pause_ms", "max_pause_ms", args.pause_ms);
    match (line.is_true("came_back"), first, pause) {
        (true, ..) => "late: came back",
        (_, true, true) => "late: first event and a pause",
        (_, true, false) => "late: first event",
        (_, false, true) => "late: a pause",
        (_, false, false) => "late: held before it was sent",
    }
}

/// One row per window with a bar, most frequent causes first; totals over all windows at the end.
fn format_rows(rows: &Rows, window_ms: u64) -> String {
    let mut totals: IndexMap<&str, usize> = IndexMap::new();
    let max_total = rows.values().map(total).max().unwrap_or(0).max(1);
    let mut windows: Vec<_> = rows.iter().collect();
    windows.sort_by_key(|(window, _)| **window);
    let mut text = String::new();
    for (window, causes) in windows {
        let bar = "#".repeat((total(causes) * MAX_BAR).div_ceil(max_total));
        let second = (window * window_ms) as f64 / 1000.0;
        text += &format!("{second:>7.1} s {:>5} {bar}\n", total(causes));
        for (cause, count) in by_count(causes.iter().map(|(c, n)| (c.as_str(), *n))) {
            text += &format!("          {count:>5} {cause}\n");
            *totals.entry(cause).or_default() += count;
        }
    }
    text += "in all\n";
    for (cause, count) in by_count(totals.into_iter()) {
        text += &format!("          {count:>5} {cause}\n");
    }
    text
}

fn total(causes: &IndexMap<String, usize>) -> usize {
    causes.values().sum()
}

fn by_count<'a>(causes: impl Iterator<Item = (&'a str, usize)>) -> Vec<(&'a str, usize)> {
    let mut causes: Vec<_> = causes.collect();
    causes.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
    causes
}

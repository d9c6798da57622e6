//! Timeline events: state changes with a hybrid logical clock timestamp, so that a cause sorts
//! before its effect across all processes.

use crate::{FileSnafu, Result};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of events a process keeps in memory.
const RING_CAPACITY: usize = 4096;
/// Low bits of a stamp, which count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A state change in one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical clock: wall clock milliseconds << 16, plus a counter.
    pub stamp: u64,
    /// Process id.
    pub process: String,
    /// What changed, such as `leader` or `drain`.
    pub kind: String,
    /// Human-readable details.
    pub detail: String,
}

/// The bounded event ring of one process, and its optional file.
pub struct Events {
    process: String,
    inner: Mutex<Inner>,
}

struct Inner {
    last: u64,
    ring: VecDeque<Event>,
    file: Option<File>,
}

impl Events {
    /// Creates the ring, and opens `path` for appending if it is given.
    pub fn open(process: &str, path: Option<&Path>) -> Result<Events> {
        let file = path.map(append_to).transpose()?;
        let inner = Inner {
            last: 0,
            ring: VecDeque::new(),
            file,
        };
        Ok(Events {
            process: process.into(),
            inner: Mutex::new(inner),
        })
    }

    /// Records and logs a state change.
    pub fn note(&self, kind: &str, detail: impl Into<String>) {
        let detail = detail.into();
        log::info!("{kind}: {detail}");
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.last = inner
            .last
            .max(wall_ms() << COUNTER_BITS)
            .max(inner.last + 1);
        let event = Event {
            stamp: inner.last,
            process: self.process.clone(),
            kind: kind.into(),
            detail,
        };
        if let (Some(file), Ok(line)) = (inner.file.as_mut(), serde_json::to_string(&event)) {
            // Write errors are ignored: a full disk must not stop the process, and the ring still
            // has the event.
            let _ = writeln!(file, "{line}");
        }
        if inner.ring.len() == RING_CAPACITY {
            inner.ring.pop_front();
        }
        inner.ring.push_back(event);
    }

    /// Returns the latest stamp, for sending with a message.
    pub fn stamp(&self) -> u64 {
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .last
    }

    /// Advances the clock to the stamp of a received message. A stamp more than a minute ahead is
    /// ignored: otherwise one broken wall clock would advance the clocks of all processes.
    pub fn observe(&self, stamp: u64) {
        const MAX_AHEAD_MS: u64 = 60_000;
        if stamp >> COUNTER_BITS > wall_ms() + MAX_AHEAD_MS {
            return;
        }
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.last = inner.last.max(stamp);
    }

    /// Returns the events in the ring, oldest first.
    pub fn recent(&self) -> Vec<Event> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.ring.iter().cloned().collect()
    }
}

/// Wall clock milliseconds since 1970; for display only, never for decisions.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

fn append_to(path: &Path) -> Result<File> {
    let path_text = path.display().to_string();
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .context(FileSnafu { path: path_text })
}

/// Reads events from JSON lines, and skips truncated or unrelated lines.
pub fn read_lines(path: &Path) -> Result<Vec<Event>> {
    let path_text = path.display().to_string();
    let file = File::open(path).context(FileSnafu { path: path_text })?;
    let lines = BufReader::new(file)
        .lines()
        .map_while(std::result::Result::ok);
    Ok(lines
        .filter_map(|l| serde_json::from_str(&l).ok())
        .collect())
}

/// Merges timelines: sorts the events by stamp, then process, and removes duplicates.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events.dedup();
    events
}

/// Formats a timeline as text: one line per event, with milliseconds since the first.
pub fn to_text(events: &[Event]) -> String {
    let start = events.first().map_or(0, |e| e.stamp >> COUNTER_BITS);
    let line = |e: &Event| {
        let ms = (e.stamp >> COUNTER_BITS) - start;
        format!(
            "{ms:>9} ms  {:<12} {:<14} {}\n",
            e.process, e.kind, e.detail
        )
    };
    events.iter().map(line).collect()
}

/// Formats a timeline in the Chrome trace format.
pub fn to_chrome(events: &[Event]) -> String {
    let instant = |e: &Event| {
        let micros = (e.stamp >> COUNTER_BITS) * 1000 + (e.stamp & 0xffff).min(999);
        serde_json::json!({
            "name": e.kind, "ph": "i", "s": "p", "ts": micros, "pid": e.process,
            "tid": e.kind, "args": {"detail": e.detail},
        })
    };
    let rows: Vec<_> = events.iter().map(instant).collect();
    serde_json::json!({ "traceEvents": rows }).to_string()
}

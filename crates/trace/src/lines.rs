//! Structured log lines on standard output: one JSON object per decision or change of known state.
//!
//! A thread writes the lines from a bounded queue. If the reader of standard output stalls, lines
//! are dropped and counted, and the next line that is written has the count: no request ever
//! waits for logging.

use crate::events::wall_ms;
use crossbeam::channel::{Receiver, Sender, bounded};
use serde_json::{Map, Value};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of lines queued for the writer: about one second's output of the busiest process.
const QUEUE_CAPACITY: usize = 4096;

/// Writes a process's structured log lines. Cheap to clone.
#[derive(Clone)]
pub struct Lines {
    process: Arc<str>,
    sender: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl Lines {
    /// Starts the writer thread on standard output.
    pub fn start(process: &str) -> std::io::Result<Lines> {
        let (sender, lines) = bounded(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("lines".into())
            .spawn(move || write(&lines, std::io::stdout()))?;
        Ok(Lines::with_sender(process, sender))
    }

    /// Sends the lines to a channel of the caller, for tests.
    pub fn with_sender(process: &str, sender: Sender<String>) -> Lines {
        Lines {
            process: process.into(),
            sender,
            dropped: Arc::default(),
        }
    }

    /// Queues one line; `fields` must be a JSON object.
    pub fn put(&self, event: &str, fields: Value) {
        let mut line = Map::new();
        line.insert("ms".into(), wall_ms().into());
        line.insert("process".into(), Value::from(&*self.process));
        line.insert("event".into(), event.into());
        let lost = self.dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            line.insert("dropped_before".into(), lost.into());
        }
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let text = Value::Object(line).to_string();
        if self.sender.try_send(text).is_err() {
            self.dropped.fetch_add(lost + 1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total").increment(1);
        }
    }
}

fn write(lines: &Receiver<String>, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        let mut batch = line;
        batch.push('\n');
        for more in lines.try_iter().take(QUEUE_CAPACITY) {
            batch.push_str(&more);
            batch.push('\n');
        }
        // Standard output has no reader any more, so the error can only be counted.
        if out.write_all(batch.as_bytes()).is_err() {
            metrics::counter!("log_write_errors_total").increment(1);
        }
    }
}

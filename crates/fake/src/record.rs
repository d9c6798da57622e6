//! Record of what the fake ran.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// One event of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// `start`, `end`, `cancel`, `step`, `turned_away`, or `fatal` if it terminates the fake.
    pub event: String,
    /// Idempotency key, empty if there is none.
    pub key: String,
    /// Attempt id given by the agent.
    pub attempt: String,
    /// The prompt, or the body of a plain call.
    pub prompt: String,
    /// Step of the event.
    pub step: u64,
    /// Expert map in use.
    pub map: u64,
}

impl Line {
    /// An event of a request that runs in no step of an engine.
    pub(crate) fn of_request(event: &str, key: String, attempt: String, prompt: String) -> Line {
        Line {
            event: event.into(),
            key,
            attempt,
            prompt,
            step: 0,
            map: 0,
        }
    }
}

/// The record, in memory and, if a file is given, also there, so that it survives a kill.
#[derive(Debug, Default)]
pub(crate) struct Record(Mutex<(Vec<Line>, Option<File>)>);

impl Record {
    pub(crate) fn open(path: Option<&Path>) -> io::Result<Record> {
        let open = |p| OpenOptions::new().create(true).append(true).open(p);
        Ok(Record(Mutex::new((
            Vec::new(),
            path.map(open).transpose()?,
        ))))
    }

    pub(crate) fn add(&self, line: Line) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let (Ok(text), Some(file)) = (serde_json::to_string(&line), inner.1.as_mut()) {
            let _ = writeln!(file, "{text}");
        }
        inner.0.push(line);
    }

    pub(crate) fn json(&self) -> String {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        serde_json::to_string(&inner.0).unwrap_or_default()
    }
}

//! Framing of event streams: only complete events are forwarded to callers, so that a stream that
//! broke off within an event can be resumed elsewhere after the last complete one.

use bytes::{Bytes, BytesMut};

/// Maximum bytes of one event; a backend server that sends more is faulty.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds bytes; returns all events that are complete now, unmodified.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = complete_length(&self.partial)?;
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Bytes of the incomplete event.
    pub fn pending(&self) -> usize {
        self.partial.len()
    }

    /// Discards the part of an event that will never be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Length of the complete events at the beginning: up to the last empty line.
fn complete_length(bytes: &[u8]) -> Option<usize> {
    let ends_at = |at: &usize| {
        let rest = bytes.get(*at..).unwrap_or_default();
        rest.starts_with(b"\n\n") || rest.starts_with(b"\n\r\n")
    };
    let last = (0..bytes.len()).rev().find(ends_at)?;
    let crlf = bytes.get(last + 1) == Some(&b'\r');
    Some(last + if crlf { 3 } else { 2 })
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_string())
}

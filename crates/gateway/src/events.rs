//! Framing of event streams: only complete events are forwarded to callers, so that a stream that
//! broke off within an event can be resumed elsewhere after the last complete one.

use bytes::{Bytes, BytesMut};

/// Maximum bytes of one event; a backend server that sends more is faulty.
pub(crate) const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum bytes of comments between two events: hours of those that keep a connection open.
pub(crate) const MAX_COMMENT_BYTES: usize = 64 << 10;

/// Bytes of the longest end of an event: `LF CR LF`.
const MAX_END_BYTES: usize = 3;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// Bytes of comments since the last event with data.
    comment_bytes: usize,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds bytes; returns all events that are complete now, unmodified.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // What was received before contains no end of an event, but maybe the beginning of one.
        let searched = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let end = complete_length(&self.partial, searched)?;
        let complete = self.partial.split_to(end).freeze();
        self.comment_bytes = match has_data(&complete) {
            true => 0,
            false => self.comment_bytes + complete.len(),
        };
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Bytes of comments since the last event with data; 0 if the last one had data.
    pub fn comment_bytes(&self) -> usize {
        self.comment_bytes
    }

    /// Bytes of the incomplete event.
    pub fn pending(&self) -> usize {
        self.partial.len()
    }

    /// Discards the part of an event that will never be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.comment_bytes = 0;
    }
}

/// Length of the complete events at the beginning: up to the last empty line, which ends at
/// `searched` or later.
fn complete_length(bytes: &[u8], searched: usize) -> Option<usize> {
    let ends_at = |at: &usize| {
        let rest = bytes.get(*at..).unwrap_or_default();
        rest.starts_with(b"\n\n") || rest.starts_with(b"\n\r\n")
    };
    let last = (searched..bytes.len()).rev().find(ends_at)?;
    let crlf = bytes.get(last + 1) == Some(&b'\r');
    Some(last + if crlf { 3 } else { 2 })
}

/// Whether any line is a field of an event that is handed to the reader of a stream.
fn has_data(events: &[u8]) -> bool {
    events
        .split(|b| *b == b'\n')
        .any(|l| l.starts_with(b"data"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_string())
}

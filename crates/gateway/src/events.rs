//! Framing of event streams: only whole events go on to callers, so that a stream that
//! broke off in the middle of one can go on elsewhere after the last whole one.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; a backend server that sends more is broken.
pub(crate) const LARGEST_EVENT: usize = 1 << 20;

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    part: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Takes bytes in; returns all whole events that are there now, as they came.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.part.extend_from_slice(bytes);
        let end = whole_length(&self.part)?;
        let whole = self.part.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Bytes of an event that is not whole yet.
    pub fn pending(&self) -> usize {
        self.part.len()
    }

    /// Forgets the part of an event that will never be whole.
    pub fn drop_part(&mut self) {
        self.part.clear();
    }
}

/// Length of the whole events at the beginning: up to the last empty line.
fn whole_length(bytes: &[u8]) -> Option<usize> {
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

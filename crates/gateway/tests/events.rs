//! Framing of event streams.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_gateway::Splitter;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

/// Guards against a caller that gets an event twice or in part: a stream breaks off within an event
/// and is resumed elsewhere, and the partial event was forwarded.
#[googletest::test]
fn only_complete_events_are_returned_wherever_the_stream_breaks() {
    for cut in 0..=STREAM.len() {
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        for byte in &STREAM[..cut] {
            out.extend(splitter.push(&[*byte]).unwrap_or_default());
        }

        let text = String::from_utf8_lossy(&out).into_owned();
        let complete = out.is_empty() || text.ends_with("\n\n") || text.ends_with("\r\n\r\n");
        expect_true!(complete);
        expect_that!(out.len() + splitter.pending(), eq(cut));
        let count = text.matches("id:").count();
        let id = (count > 0).then(|| count.to_string());
        expect_that!(splitter.last_id().map(str::to_string), eq(&id));
    }
}

#[googletest::test]
fn a_discarded_partial_event_does_not_reappear() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\n\nid: 2\ndat");

    splitter.discard_partial();
    let out = splitter.push(b"id: 2\n\n").unwrap();

    expect_that!(out.as_ref(), eq(b"id: 2\n\n"));
}

//! Framing of event streams.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_gateway::Splitter;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

/// Symptom: a caller gets a piece twice or half a piece. Sequence: a stream breaks off
/// within an event and goes on elsewhere. Cause: the half was passed on.
#[googletest::test]
fn only_whole_events_come_out_wherever_the_stream_is_cut() {
    for cut in 0..=STREAM.len() {
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        for byte in &STREAM[..cut] {
            out.extend(splitter.push(&[*byte]).unwrap_or_default());
        }

        let text = String::from_utf8_lossy(&out).into_owned();
        let ended = out.is_empty() || text.ends_with("\n\n") || text.ends_with("\r\n\r\n");
        expect_true!(ended);
        expect_that!(out.len() + splitter.pending(), eq(cut));
        let last = text.matches("id:").count();
        let id = (last > 0).then(|| last.to_string());
        expect_that!(splitter.last_id().map(str::to_string), eq(&id));
    }
}

#[googletest::test]
fn a_dropped_part_does_not_come_back() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\n\nid: 2\ndat");

    splitter.drop_part();
    let out = splitter.push(b"id: 2\n\n").unwrap();

    expect_that!(out.as_ref(), eq(b"id: 2\n\n"));
}

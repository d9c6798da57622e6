//! Calls from a coordinator to engines.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_engine::{Call, Calls, What};
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Requests that are at the stand-in now, and the most at once so far.
#[derive(Default)]
struct Seen {
    now: AtomicUsize,
    most: AtomicUsize,
}

/// Answers one request after the other on a connection, each after a moment.
fn serve(mut stream: TcpStream, seen: &Seen) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
        let now = seen.now.fetch_add(1, Ordering::SeqCst) + 1;
        seen.most.fetch_max(now, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(3));
        seen.now.fetch_sub(1, Ordering::SeqCst);
        if stream.write_all(ANSWER).is_err() {
            return;
        }
    }
}

fn engine() -> (SocketAddr, Arc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let shared = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = shared.clone();
            thread::spawn(move || serve(stream, &seen));
        }
    });
    (address, seen)
}

/// Symptom: a group stands still for a second and more under a new leader. Sequence: 192 calls begin
/// at once, most run out of their time before they are sent, are repeated, and run out again. Cause:
/// the time for an answer began for all together.
#[googletest::test]
fn many_calls_are_made_some_at_a_time() {
    let (address, seen) = engine();
    let calls = Calls::start().unwrap();
    let (done, answers) = channel();

    for _ in 0..192 {
        let done = done.clone();
        calls.put(Call {
            what: What {
                address,
                path: "/report",
                body: None,
                server: "e1".into(),
            },
            done: Box::new(move |answer| done.send(answer).unwrap_or_default()),
        });
    }
    let answers: Vec<_> = (0..192)
        .map(|_| answers.recv_timeout(WITHIN).expect("an answer"))
        .collect();

    expect_that!(answers.len(), eq(192));
    expect_that!(seen.most.load(Ordering::SeqCst), all![ge(2), le(24)]);
}

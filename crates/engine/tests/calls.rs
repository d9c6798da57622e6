//! Calls from a coordinator to engines.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_engine::{Call, CallRequest, EngineClient};
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Current and highest number of concurrent requests at the fake engine.
#[derive(Default)]
struct Concurrency {
    current: AtomicUsize,
    max: AtomicUsize,
}

/// Answers the requests of a connection one after the other, each after 3 ms.
fn serve(mut stream: TcpStream, concurrency: &Concurrency) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|n| n > 0) {
        let now = concurrency.current.fetch_add(1, Ordering::SeqCst) + 1;
        concurrency.max.fetch_max(now, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(3));
        concurrency.current.fetch_sub(1, Ordering::SeqCst);
        if stream.write_all(ANSWER).is_err() {
            return;
        }
    }
}

fn engine() -> (SocketAddr, Arc<Concurrency>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let concurrency = Arc::new(Concurrency::default());
    let shared = concurrency.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let concurrency = shared.clone();
            thread::spawn(move || serve(stream, &concurrency));
        }
    });
    (address, concurrency)
}

/// Guards against a group that stalls for a second and more under a new leader: 192 calls started
/// at once, most timed out before they were sent, were retried, and timed out again, because the
/// timeout of all of them started together.
#[googletest::test]
fn concurrent_calls_are_limited() {
    let (address, concurrency) = engine();
    let client = EngineClient::start().unwrap();
    let (sender, answers) = channel();

    for _ in 0..192 {
        let sender = sender.clone();
        client.submit(Call {
            request: CallRequest {
                address,
                path: "/report".into(),
                body: None,
                server: "e1".into(),
            },
            on_answer: Box::new(move |answer| sender.send(answer).unwrap_or_default()),
        });
    }
    let answers: Vec<_> = (0..192)
        .map(|_| answers.recv_timeout(TIMEOUT).expect("an answer"))
        .collect();

    expect_that!(answers.len(), eq(192));
    expect_that!(concurrency.max.load(Ordering::SeqCst), all![ge(2), le(24)]);
}

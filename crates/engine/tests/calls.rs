//! Calls from a coordinator to engines.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_engine::{Call, CallRequest, EngineClient};
use bn_platform::header::ATTEMPT;
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

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

/// Sends `start` and then `again` without end to each request, until the connection ends; the bytes
/// are counted.
fn endless_engine(start: &'static str, again: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let again = again.repeat((16 << 10) / again.len());
        let mut written = stream.write_all(start.as_bytes());
        while written.is_ok() && count.load(Ordering::SeqCst) < ENDLESS {
            written = stream.write_all(again.as_bytes());
            count.fetch_add(again.len(), Ordering::SeqCst);
        }
    });
    (address, sent)
}

/// What an endless engine stops at.
const ENDLESS: usize = 256 << 20;
/// The largest answer, and what the buffers of both sockets take.
const MAX_SENT: usize = 12 << 20;

/// Guards against a leader that reads the answer to an order or a report without end, and against an
/// answer made of it.
#[googletest::test]
fn answers_without_end_are_no_answers() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let forms = [
        ("HTTP/1.1 202 Accepted\r\nx: ", "y"),
        ("HTTP/1.1 202 Accepted\r\n", "x: y\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "y"),
        (chunked, "5\r\nabcde\r\n"),
        (chunked, "0"),
    ];
    for (start, again) in forms {
        for body in [None, Some(b"{}".to_vec())] {
            let (address, sent) = endless_engine(start, again);
            let client = EngineClient::start().unwrap();
            let (sender, answers) = channel();
            let begun = Instant::now();

            client.submit(Call {
                request: CallRequest {
                    address,
                    path: "/order".into(),
                    body,
                    server: "e1".into(),
                },
                on_answer: Box::new(move |answer| sender.send(answer).unwrap_or_default()),
            });
            let answer = answers.recv_timeout(TIMEOUT).expect("an answer");
            let time = begun.elapsed();
            thread::sleep(Duration::from_millis(100));

            expect_that!(answer, none(), "{start:?} {again:?}");
            expect_that!(time, lt(Duration::from_secs(1)), "{start:?} {again:?}");
            expect_that!(
                sent.load(Ordering::SeqCst),
                lt(MAX_SENT),
                "{start:?} {again:?}"
            );
        }
    }
}

/// Guards against the next answer being read from what follows a whole one.
#[googletest::test]
fn surplus_after_an_answer_closes_the_connection() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let (address, sent) =
        endless_engine(whole, "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n");
    let client = EngineClient::start().unwrap();
    let (sender, answers) = channel();

    client.submit(Call {
        request: CallRequest {
            address,
            path: "/order".into(),
            body: None,
            server: "e1".into(),
        },
        on_answer: Box::new(move |answer| sender.send(answer).unwrap_or_default()),
    });
    let answer = answers.recv_timeout(TIMEOUT).expect("an answer");
    thread::sleep(Duration::from_millis(100));

    expect_that!(answer.map(|a| a.status), some(eq(200)));
    expect_that!(sent.load(Ordering::SeqCst), lt(MAX_SENT));
}

/// An engine that answers with the status in each request's path, and repeats its latest answer where
/// the path asks for no other one. With `echoes`, an answer has the id of its call.
fn repeating_engine(echoes: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let (mut latest, mut buffer) = (String::new(), [0; 4096]);
                while let Ok(n @ 1..) = stream.read(&mut buffer) {
                    let request = String::from_utf8_lossy(&buffer[..n]).to_lowercase();
                    let status = request.split(['/', ' ']).nth(2).unwrap_or_default();
                    let id = request.lines().find(|l| l.starts_with(ATTEMPT));
                    let id = id
                        .filter(|_| echoes)
                        .map_or(String::new(), |l| format!("{l}\r\n"));
                    // Bytes of no call, as a faulty engine may send them.
                    if status == "nameless" {
                        let text = "HTTP/1.1 200 x\r\ncontent-length: 2\r\n\r\n{}";
                        let _ = stream.write_all(text.as_bytes());
                        continue;
                    }
                    if status != "repeat" {
                        latest =
                            format!("HTTP/1.1 {status} x\r\n{id}content-length: 2\r\n\r\n{{}}");
                    }
                    if stream.write_all(latest.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, connections)
}

/// Makes calls to these paths, one after the other; the status of each answer. Those to `/repeat` and
/// above 200 are orders.
fn statuses(address: SocketAddr, paths: &[&'static str]) -> Vec<Option<u16>> {
    let client = EngineClient::start().unwrap();
    let status_of = |path: &&'static str| {
        let (sender, answers) = channel();
        client.submit(Call {
            request: CallRequest {
                address,
                path: (*path).into(),
                body: (*path != "/200").then(|| b"{}".to_vec()),
                server: "e1".into(),
            },
            on_answer: Box::new(move |answer| sender.send(answer).unwrap_or_default()),
        });
        let answer = answers.recv_timeout(TIMEOUT).expect("an answer");
        answer.map(|a| a.status)
    };
    paths.iter().map(status_of).collect()
}

/// Guards against a pass on two maps: an engine sends its answer to a report a second time, where the
/// answer to an order is expected that it carries out late, and the order counted as done.
#[googletest::test]
fn a_second_answer_to_an_earlier_call_is_no_answer() {
    let (address, connections) = repeating_engine(true);

    let statuses = statuses(address, &["/200", "/repeat", "/202", "/409"]);

    expect_that!(statuses, eq(&vec![Some(200), None, Some(202), Some(409)]));
    expect_that!(connections.load(Ordering::SeqCst), eq(2));
}

/// The same with an answer that names no call, from an engine that names it otherwise.
#[googletest::test]
fn an_answer_without_an_id_from_an_engine_that_echoes_ids_is_no_answer() {
    let (address, connections) = repeating_engine(true);

    let statuses = statuses(address, &["/200", "/nameless", "/202"]);

    expect_that!(statuses, eq(&vec![Some(200), None, Some(202)]));
    expect_that!(connections.load(Ordering::SeqCst), eq(2));
}

/// The same with an engine that does not say which call it answers: no order uses a connection on
/// which it has answered before. Reports go on using one.
#[googletest::test]
fn an_order_to_an_engine_that_names_no_call_has_its_own_connection() {
    let (address, connections) = repeating_engine(false);

    let statuses = statuses(address, &["/200", "/repeat", "/202", "/200", "/200"]);

    let answered = [Some(200), None, Some(202), Some(200), Some(200)];
    expect_that!(statuses, eq(&answered.to_vec()));
    expect_that!(connections.load(Ordering::SeqCst), eq(3));
}

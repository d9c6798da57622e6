//! Backend servers that send bytes without end: the connection breaks after a bounded number.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_serve::client::{self, Pool};
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Bytes that may be sent before the sender sees the end of the connection: what the client reads
/// without use, and the buffers of both sockets.
const MAX_SENT: usize = 8 << 20;
/// What an endless sender stops at.
const ENDLESS: usize = 64 << 20;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Answers one request with `start`, then sends `again` until the connection ends; says how many
/// bytes it sent.
fn endless(start: String, again: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        let again = again.repeat((16 << 10) / again.len());
        let mut count = 0;
        let mut written = stream.write_all(start.as_bytes());
        while written.is_ok() && count < ENDLESS {
            written = stream.write_all(again.as_bytes());
            count += again.len();
        }
        sender.send(count).unwrap();
    });
    (address, sent)
}

/// How an answer ended.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    NoHead,
    BrokenBody,
    Whole(usize),
}

/// Sends a request and reads the answer to its end.
fn exchange(address: SocketAddr) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let exchange = async {
        let mut connection = client::open(address).await.unwrap();
        let request = Request::new(Full::new(Bytes::new()));
        let Ok(answer) = connection.send(request).await else {
            return Outcome::NoHead;
        };
        let outcome = match answer.into_body().collect().await {
            Ok(body) => Outcome::Whole(body.to_bytes().len()),
            Err(_) => Outcome::BrokenBody,
        };
        let pool = Pool::default();
        pool.put_back(Duration::ZERO, connection, None);
        // The library's task reads what else arrives.
        tokio::time::sleep(Duration::from_millis(200)).await;
        outcome
    };
    let timeout = async { tokio::time::timeout(TIMEOUT, exchange).await.unwrap() };
    runtime.block_on(timeout)
}

fn check(start: &str, again: &'static str, expected: Outcome) {
    let (address, sent) = endless(start.to_string(), again);

    let outcome = exchange(address);

    expect_that!(outcome, eq(&expected), "{start:?}");
    expect_that!(
        sent.recv_timeout(TIMEOUT).unwrap(),
        lt(MAX_SENT),
        "{start:?}"
    );
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[googletest::test]
fn a_header_without_end_breaks_the_connection() {
    check("HTTP/1.1 200 OK\r\nx: ", "y", Outcome::NoHead);
}

#[googletest::test]
fn headers_without_end_break_the_connection() {
    check("HTTP/1.1 200 OK\r\n", "x: y\r\n", Outcome::NoHead);
}

#[googletest::test]
fn a_status_line_without_end_breaks_the_connection() {
    check("HTTP/1.1 200 ", "y", Outcome::NoHead);
}

/// Guards against interim answers that are read until the deadline.
#[googletest::test]
fn interim_answers_without_end_break_the_connection() {
    check("", "HTTP/1.1 100 Continue\r\n\r\n", Outcome::NoHead);
    check(
        "",
        "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
        Outcome::NoHead,
    );
}

#[googletest::test]
fn bytes_that_are_no_answer_break_the_connection() {
    check("", "\r\n", Outcome::NoHead);
    check("", "y", Outcome::NoHead);
}

/// Guards against the size of a chunk that is read until the deadline.
#[googletest::test]
fn the_size_of_a_chunk_without_end_breaks_the_connection() {
    check(CHUNKED, "0", Outcome::BrokenBody);
    check(&format!("{CHUNKED}5"), " ", Outcome::BrokenBody);
}

#[googletest::test]
fn chunk_extensions_without_end_break_the_connection() {
    check(&format!("{CHUNKED}5;x="), "y", Outcome::BrokenBody);
    check(&format!("{CHUNKED}5"), ";x=y", Outcome::BrokenBody);
}

#[googletest::test]
fn trailers_without_end_break_the_connection() {
    check(&format!("{CHUNKED}0\r\nx: "), "y", Outcome::BrokenBody);
    check(&format!("{CHUNKED}0\r\n"), "x: y\r\n", Outcome::BrokenBody);
}

/// Guards against a connection that is kept although its backend server sends on after the answer.
#[googletest::test]
fn surplus_after_a_whole_answer_closes_the_connection() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes";
    check(whole, "y", Outcome::Whole(3));
    check(whole, "HTTP/1.1 100 Continue\r\n\r\n", Outcome::Whole(3));
    check(
        whole,
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        Outcome::Whole(3),
    );
    check(
        &format!("{CHUNKED}3\r\nyes\r\n0\r\n\r\n"),
        "y",
        Outcome::Whole(3),
    );
}

/// Guards against a bound on what is no data that large answers reach.
#[googletest::test]
fn large_answers_are_read_whole() {
    let size = 24 << 20;
    let whole = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{}",
        "y".repeat(size)
    );
    let chunks = "1\r\ny\r\n".repeat(300_000);
    for (answer, length) in [
        (whole, size),
        (format!("{CHUNKED}{chunks}0\r\n\r\n"), 300_000),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4096]).unwrap();
            stream.write_all(answer.as_bytes()).unwrap();
        });

        expect_that!(exchange(address), eq(&Outcome::Whole(length)));
    }
}

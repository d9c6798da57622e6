//! Backend servers behind an agent whose answers end early: what a caller of an entry gets.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use testbed::{CallOutcome, Request, System, SystemSpec, send, wait_for_rows};

const SERVICE: &str = "kiosk-ctl";
const TIMEOUT: Duration = Duration::from_secs(10);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// What the backend server sends before it closes the connection, and whether it resets it.
const CUTS: [(&str, bool); 15] = [
    ("", false),
    ("HTTP/1.1 20", false),
    ("HTTP/1.1 200 OK\r\n", false),
    ("HTTP/1.1 200 OK\r\ncontent-length: 1", false),
    ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", false),
    ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", true),
    ("HTTP/1.1 100 Continue\r\n", false),
    ("HTTP/1.1 100 Continue\r\n\r\n", false),
    ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", false),
    ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", true),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort",
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        false,
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        false,
    ),
    ("HTTP/1.1 200 OK\r\n\r\n", false),
    ("HTTP/1.1 200 OK\r\n\r\nshort", true),
];

/// A backend server that answers each request with what `answer` holds, then closes.
struct CuttingServer {
    address: SocketAddr,
    answer: Arc<Mutex<(&'static str, bool)>>,
    requests: Arc<AtomicUsize>,
}

impl CuttingServer {
    fn start() -> CuttingServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = CuttingServer {
            address: listener.local_addr().unwrap(),
            answer: Arc::default(),
            requests: Arc::default(),
        };
        let (answer, requests) = (server.answer.clone(), server.requests.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                requests.fetch_add(1, Ordering::SeqCst);
                let (text, reset) = *answer.lock().unwrap();
                thread::spawn(move || write_cut(stream, text, reset));
            }
        });
        server
    }

    /// Announces itself to an agent until the test ends.
    fn announce_to(&self, agent: String) {
        let body = serde_json::json!({
            "name": "cutting", "service": SERVICE, "address": self.address.to_string(), "capacity": 4,
        });
        thread::spawn(move || {
            loop {
                let _ = ureq::post(format!("http://{agent}/v1/announce")).send(body.to_string());
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
    }
}

fn write_cut(mut stream: TcpStream, text: &str, reset: bool) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request);
    let _ = stream.write_all(text.as_bytes());
    if reset {
        // The agent reads what came before the reset.
        thread::sleep(Duration::from_millis(50));
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Guards against callers that take the beginning of an answer, or nothing, for the whole: the backend
/// server ends within the head or the body of its answer.
#[gtest]
fn an_answer_that_ends_early_is_never_complete() {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        plain: 1,
        ..SystemSpec::default()
    });
    system.start("e1");
    system.start("g1");
    let server = CuttingServer::start();
    server.announce_to(system.operator_addr("g1"));
    let serving = "show backends where backend = cutting and state = serving";
    for (n, (cut, reset)) in CUTS.into_iter().enumerate() {
        *server.answer.lock().unwrap() = (cut, reset);
        wait_for_rows(&system, "e1", serving, 1, TIMEOUT).unwrap();
        let before = server.requests.load(Ordering::SeqCst);

        let outcome = send(&Request {
            entry: system.caller_addr("e1"),
            service: SERVICE.into(),
            prompt: format!("q{n}"),
            key: None,
            tokens: 0,
            deadline_ms: Some(3_000),
        });

        let sent = server.requests.load(Ordering::SeqCst) - before;
        let incomplete = matches!(outcome, CallOutcome::MayHaveRun(_) | CallOutcome::Cut(_));
        expect_true!(incomplete, "{cut:?}, reset {reset}: {outcome:?}");
        expect_that!(sent, eq(1), "{cut:?}, reset {reset}");
    }
}

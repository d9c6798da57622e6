//! Backend servers that end under some requests, and come back as another start.

use super::{Message, PATHS, call, read_message};
use bn_platform::header::{ATTEMPT, SIGNATURE};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request whose body begins so ends each backend server that begins to run it.
pub(crate) const FATAL: &str = "fatal";
/// From the beginning of its run to the end of the backend server.
const RUN: Duration = Duration::from_millis(40);
/// From an end to the next start at the same address.
const BACK: Duration = Duration::from_millis(1_500);
/// Between two announcements.
const ANNOUNCE: Duration = Duration::from_millis(400);
/// A process that ends closes its connections and its listener one after the other: connections that
/// are opened in between are taken, and reset.
const LISTENS_ON: Duration = Duration::from_millis(30);
/// Between two looks for a connection.
const LOOK: Duration = Duration::from_millis(1);

/// What all backend servers together saw of fatal requests.
#[derive(Default)]
pub(crate) struct Record {
    /// When one arrived at a backend server.
    pub(crate) arrivals: Vec<Instant>,
    /// When a backend server ended.
    pub(crate) ends: Vec<Instant>,
}

/// One start of a backend server.
#[derive(Clone)]
struct Start {
    record: Arc<Mutex<Record>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

/// Runs one backend server after the other at one address, until the test ends. `control` is
/// where each announces itself.
pub(crate) fn run(name: &str, service: &str, control: SocketAddr, record: &Arc<Mutex<Record>>) {
    let (name, service, record) = (name.to_string(), service.to_string(), record.clone());
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    drop(listener);
    thread::spawn(move || {
        for start in 0.. {
            let id = format!("{name}-{start}");
            live(&id, &service, control, address, &record);
            thread::sleep(BACK);
        }
    });
}

fn live(
    id: &str,
    service: &str,
    control: SocketAddr,
    address: SocketAddr,
    record: &Arc<Mutex<Record>>,
) {
    let listener = TcpListener::bind(address).expect("listen");
    listener.set_nonblocking(true).expect("nonblocking");
    let start = Start {
        record: record.clone(),
        connections: Arc::default(),
        ended: Arc::default(),
    };
    let (mut due, mut sequence) = (Instant::now(), 0);
    while !start.ended.load(Ordering::Relaxed) {
        if Instant::now() >= due {
            due = Instant::now() + ANNOUNCE;
            sequence += 1;
            announce(id, service, control, address, sequence);
        }
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(LOOK);
            continue;
        };
        stream.set_nonblocking(false).expect("blocking");
        let kept = stream.try_clone().expect("clone");
        start.connections.lock().expect("connections").push(kept);
        let start = start.clone();
        thread::spawn(move || converse(stream, &start));
    }
    for connection in start.connections.lock().expect("connections").drain(..) {
        let _ = connection.shutdown(Shutdown::Both);
    }
    thread::sleep(LISTENS_ON);
}

fn announce(id: &str, service: &str, control: SocketAddr, address: SocketAddr, sequence: u64) {
    let head = format!("PUT {}{id} HTTP/1.1\r\nhost: x", PATHS.backends);
    let body = serde_json::json!({
        "service": service, "address": address, "zone": "d1", "slots": 8,
        "state": "ready", "sequence": sequence,
    });
    // The next announcement follows: a lost one changes nothing.
    thread::spawn(move || call(control, &head, &body.to_string()));
}

fn converse(mut stream: TcpStream, start: &Start) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_message(&mut reader, true) {
        let fatal = request.text().starts_with(FATAL);
        if fatal {
            let mut record = start.record.lock().expect("record");
            record.arrivals.push(Instant::now());
        }
        if say_head(&request, &mut stream).is_err() {
            return;
        }
        thread::sleep(RUN);
        if fatal {
            if !start.ended.swap(true, Ordering::Relaxed) {
                let mut record = start.record.lock().expect("record");
                record.ends.push(Instant::now());
            }
            return;
        }
        if say_events(&mut stream).is_err() {
            return;
        }
    }
}

fn say_head(request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let id = request.header(ATTEMPT);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT}: {id}\r\n{SIGNATURE}: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

fn say_events(stream: &mut TcpStream) -> std::io::Result<()> {
    for n in 1..=3 {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

//! Backend servers that terminate on some requests and start again as a new incarnation.

use super::addresses::free_address;
use super::{Message, PATHS, call, read_message};
use bn_platform::header::{ATTEMPT, PARTS, SIGNATURE};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request whose body starts with this text terminates each backend server that runs it.
pub(crate) const FATAL: &str = "fatal";
/// A request whose prompt has this part, not as the last one, does the same.
pub(crate) const FATAL_PART: &str = "bad0bad0";
/// A request whose body contains this text is answered without length or chunks: the answer ends
/// with its connection.
pub(crate) const UNFRAMED: &str = "unframed";
/// Time that a request runs; a fatal one then terminates the backend server.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Time from a termination to the next start at the same address.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// A terminating process closes its connections before its listener: connections opened in between
/// are accepted and reset.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(30);
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Arrivals of fatal requests and terminations, over all backend servers.
#[derive(Default)]
pub(crate) struct Record {
    /// Times at which a fatal request arrived at a backend server.
    pub(crate) arrivals: Vec<Instant>,
    /// Times at which a backend server terminated.
    pub(crate) terminations: Vec<Instant>,
}

/// One incarnation of a backend server.
#[derive(Clone)]
struct Incarnation {
    record: Arc<Mutex<Record>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    terminated: Arc<AtomicBool>,
}

/// Runs successive incarnations of a backend server at one address until the test ends. Each
/// announces itself at `control`.
pub(crate) fn run(name: &str, service: &str, control: SocketAddr, record: &Arc<Mutex<Record>>) {
    run_for(name, service, control, record, Duration::MAX);
}

/// The same, with incarnations that also terminate by themselves after `lifetime`.
pub(crate) fn run_for(
    name: &str,
    service: &str,
    control: SocketAddr,
    record: &Arc<Mutex<Record>>,
    lifetime: Duration,
) {
    let (name, service, record) = (name.to_string(), service.to_string(), record.clone());
    let address = free_address();
    thread::spawn(move || {
        for number in 0.. {
            let id = format!("{name}-{number}");
            run_incarnation(&id, &service, control, address, &record, lifetime);
            thread::sleep(RESTART_DELAY);
        }
    });
}

fn run_incarnation(
    id: &str,
    service: &str,
    control: SocketAddr,
    address: SocketAddr,
    record: &Arc<Mutex<Record>>,
    lifetime: Duration,
) {
    let started_at = Instant::now();
    let listener = TcpListener::bind(address).expect("listen");
    listener.set_nonblocking(true).expect("nonblocking");
    let incarnation = Incarnation {
        record: record.clone(),
        connections: Arc::default(),
        terminated: Arc::default(),
    };
    let (mut announce_at, mut sequence) = (Instant::now(), 0);
    while !incarnation.terminated.load(Ordering::Relaxed) && started_at.elapsed() < lifetime {
        if Instant::now() >= announce_at {
            announce_at = Instant::now() + ANNOUNCE_INTERVAL;
            sequence += 1;
            announce(id, service, control, address, sequence);
        }
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_POLL_INTERVAL);
            continue;
        };
        stream.set_nonblocking(false).expect("blocking");
        let handle = stream.try_clone().expect("clone");
        incarnation
            .connections
            .lock()
            .expect("connections")
            .push(handle);
        let incarnation = incarnation.clone();
        thread::spawn(move || handle_connection(stream, &incarnation));
    }
    for connection in incarnation
        .connections
        .lock()
        .expect("connections")
        .drain(..)
    {
        let _ = connection.shutdown(Shutdown::Both);
    }
    thread::sleep(LISTENER_CLOSE_DELAY);
}

fn announce(id: &str, service: &str, control: SocketAddr, address: SocketAddr, sequence: u64) {
    let head = format!("PUT {}{id} HTTP/1.1\r\nhost: x", PATHS.backends);
    let body = serde_json::json!({
        "service": service, "address": address, "zone": "d1", "slots": 8,
        "state": "ready", "sequence": sequence,
    });
    // A lost announcement does no harm, since they are repeated.
    thread::spawn(move || call(control, &head, &body.to_string()));
}

fn handle_connection(mut stream: TcpStream, incarnation: &Incarnation) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_message(&mut reader, true) {
        let fatal = is_fatal(&request);
        if fatal {
            let mut record = incarnation.record.lock().expect("record");
            record.arrivals.push(Instant::now());
        }
        if send_head(&request, &mut stream).is_err() {
            return;
        }
        thread::sleep(RUN_TIME);
        if fatal {
            if !incarnation.terminated.swap(true, Ordering::Relaxed) {
                let mut record = incarnation.record.lock().expect("record");
                record.terminations.push(Instant::now());
            }
            return;
        }
        if send_events(&request, &mut stream).is_err() || is_unframed(&request) {
            return;
        }
    }
}

fn is_fatal(request: &Message) -> bool {
    let shared = request.header(PARTS).rsplit_once(',');
    let names_part = |(parts, _): (&str, &str)| parts.contains(FATAL_PART);
    request.text().starts_with(FATAL) || shared.is_some_and(names_part)
}

fn is_unframed(request: &Message) -> bool {
    request.text().contains(UNFRAMED)
}

fn send_head(request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let id = request.header(ATTEMPT);
    let framing = match is_unframed(request) {
        true => "",
        false => "transfer-encoding: chunked\r\n",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT}: {id}\r\n{SIGNATURE}: s\r\n\
         content-type: text/event-stream\r\n{framing}\r\n"
    );
    stream.write_all(head.as_bytes())
}

fn send_events(request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let unframed = is_unframed(request);
    for n in 1..=3 {
        let event = format!("id: {n}\ndata: piece {n}\n\n");
        match unframed {
            true => stream.write_all(event.as_bytes())?,
            false => stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?,
        }
    }
    match unframed {
        true => Ok(()),
        false => stream.write_all(b"0\r\n\r\n"),
    }
}

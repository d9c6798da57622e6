//! Callers that do not read what is sent to them, with real sockets and a gateway process.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{ATTEMPT, RETRY_AFTER, SIGNATURE};
use fleet::scripts::{response_head, succeed, write_text};
use fleet::{Backend, Fleet, Message, request_head};
use googletest::prelude::*;
use nix::sys::signal::Signal::{SIGCONT, SIGSTOP};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SLOW_CALLERS: usize = 500;
const MEMORY_MB: u32 = 160;
/// Callers that connect concurrently.
const OPENERS: usize = 16;
/// Time without progress after which a caller is ended, and the time by which it has happened.
const MAX_STALL: Duration = Duration::from_secs(2);
const ENDED_WITHIN: Duration = Duration::from_secs(3);
/// Bound on the median time of the other callers' requests, the target of their route.
const OTHERS_WITHIN: Duration = Duration::from_millis(100);
/// Pace of an endless stream: all 500 at full speed would test the processor, not the memory.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
const EVENT_BYTES: usize = 16 << 10;
/// Size of plain answers; three of them fill the buffers of a gateway with 20 MB.
const ANSWER_BYTES: usize = 2_700_000;
const TIMEOUT: Duration = Duration::from_secs(15);

/// A system in which streams go to the same plain service as other requests; gateway 4 has limited
/// memory.
fn start(port_block: u8, memory_mb: u32, backend: &Backend) -> Fleet {
    let mut fleet = Fleet::start_unconfigured(port_block);
    fleet.kill("g4");
    fleet.kill("g5");
    fleet.run_gateway_with_memory(4, memory_mb);
    // The route's timeout must not end streams before their buffers are full on a busy machine.
    let plain_streams = fleet::document()
        .replace("\"service\": \"engines\"", "\"service\": \"plain\"")
        .replace("\"timeout-ms\": 8000", "\"timeout-ms\": 20000");
    fleet.commit_document(&plain_streams);
    fleet.wait("gateway", |f| f.ready(4));
    let announcement = serde_json::json!({
        "service": "plain", "address": backend.address, "zone": "d1", "slots": 4_000,
        "state": "ready", "sequence": 1,
    });
    let status = fleet.put_announcement(2, &backend.id, &announcement.to_string());
    assert_eq!(status, 200);
    let is_served = |f: &Fleet| f.send(4, "GET", "/look/1", "start").status() == 200;
    fleet.wait("backend server", is_served);
    fleet
}

fn send_request(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let head = request_head("GET", path, id, "key-1").replace(": 2000", ": 30000");
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    write!(stream, "{head}\r\ncontent-length: 0\r\n\r\n").unwrap();
    stream
}

fn event(number: usize) -> String {
    let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    format!("{:x}\r\n{event}\r\n", event.len())
}

fn write_stream_head(request: &Message, stream: &mut TcpStream) -> bool {
    let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let head = response_head(request, "200 OK", &format!("{SIGNATURE}: s\r\n{kind}"));
    write_text(stream, &format!("{head}\r\n"))
}

/// Times from the first event of each endless stream to the close of its connection.
type Lifetimes = Arc<Mutex<Vec<Duration>>>;

/// Answers `/draft/endless` with events until the connection is closed, once all slow callers have
/// the head of their answers, and other requests at once.
fn endless_streams(lifetimes: Lifetimes) -> Backend {
    let all_open = Barrier::new(SLOW_CALLERS);
    Backend::start("a", move |request, stream| {
        if !request.start_line.contains("/draft/endless") {
            return succeed(request, stream);
        }
        write_stream_head(request, stream);
        all_open.wait();
        let start = Instant::now();
        while write_text(stream, &event(0)) {
            thread::sleep(EVENT_INTERVAL);
        }
        lifetimes.lock().unwrap().push(start.elapsed());
        false
    })
}

/// Peak of the resident memory of a process in MB.
fn peak_memory_mb(process_id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kilobytes >> 10
}

/// Times without progress after which gateway 4 ended slow readers, from its log.
fn stalls(fleet: &Fleet) -> Vec<Duration> {
    let cuts = cuts(fleet).into_iter();
    cuts.filter_map(|l| Some(Duration::from_millis(l["stalled_ms"].as_u64()?)))
        .collect()
}

/// Log lines of the slow readers that gateway 4 ended.
fn cuts(fleet: &Fleet) -> Vec<serde_json::Value> {
    let text = std::fs::read_to_string(fleet.log_path("g4")).unwrap();
    let lines = text.lines().filter_map(|l| serde_json::from_str(l).ok());
    let is_cut = |l: &serde_json::Value| l["event"] == "stream_cut" && l["why"] == "slow reader";
    lines.filter(is_cut).collect()
}

/// Guards against a gateway that runs out of memory, or serves the other callers worse, since 500
/// callers do not read; and against backend servers that work on for them: nothing ended a caller
/// that made no progress, and nothing bounded what was buffered for all of them.
#[googletest::test]
fn callers_that_do_not_read_are_ended_and_others_served_as_before() {
    let lifetimes = Lifetimes::default();
    let backend = endless_streams(lifetimes.clone());
    let fleet = start(70, MEMORY_MB, &backend);
    let stop = AtomicBool::new(false);
    let (served, not_served) = (Mutex::new(Vec::new()), AtomicUsize::new(0));

    let slow = thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                let start = Instant::now();
                match fleet.send(4, "GET", "/look/1", "other").status() {
                    200 => served.lock().unwrap().push(start.elapsed()),
                    _ => _ = not_served.fetch_add(1, Ordering::Relaxed),
                }
            }
        });
        let callers = fleet.callers(4);
        let open = move |n| {
            let id = format!("slow-{n}");
            let stream = send_request(callers, "/draft/endless", &id);
            // A small buffer fills soon.
            let socket = SockRef::from(&stream);
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
            // A burst of all would overflow the backend server's listen queue.
            stream.peek(&mut [0]).unwrap();
            stream
        };
        let openers: Vec<_> = (0..OPENERS)
            .map(|first| {
                let numbers = (first..SLOW_CALLERS).step_by(OPENERS);
                scope.spawn(move || numbers.map(open).collect::<Vec<_>>())
            })
            .collect();
        let slow = openers.into_iter().flat_map(|o| o.join().unwrap());
        let slow: Vec<TcpStream> = slow.collect();
        let deadline = Instant::now() + TIMEOUT;
        while lifetimes.lock().unwrap().len() < SLOW_CALLERS && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::Relaxed);
        slow
    });

    // The lines are written after the connections are closed.
    fleet.wait("lines", |f| stalls(f).len() >= SLOW_CALLERS);
    let stalls = stalls(&fleet);
    let peak_mb = peak_memory_mb(fleet.process_id("g4"));
    let lifetimes = lifetimes.lock().unwrap().clone();
    let mut served = served.into_inner().unwrap();
    served.sort();
    let (count, median) = (served.len(), served[served.len() / 2]);
    println!(
        "peak {peak_mb} MB; {count} others in {median:?} to {:?}; closed after {:?} to {:?}",
        served.last(),
        lifetimes.iter().min(),
        lifetimes.iter().max()
    );
    expect_that!(peak_mb, le(u64::from(MEMORY_MB)));
    expect_that!(count, gt(100));
    expect_that!(median, le(OTHERS_WITHIN));
    expect_that!(not_served.into_inner(), eq(0));
    expect_that!(lifetimes.len(), eq(SLOW_CALLERS));
    expect_that!(lifetimes, each(ge(&MAX_STALL)));
    expect_that!(stalls.len(), eq(SLOW_CALLERS));
    expect_that!(stalls, each(all!(ge(&MAX_STALL), le(&ENDED_WITHIN))));
    let looks_complete = |mut stream: &TcpStream| {
        let mut received = Vec::new();
        let ended = stream.read_to_end(&mut received);
        ended.is_ok() && received.ends_with(b"0\r\n\r\n")
    };
    expect_that!(slow.iter().filter(|s| looks_complete(s)).count(), eq(0));
}

/// Guards against a caller that is ended although it goes on reading after a pause.
#[googletest::test]
fn a_caller_that_pauses_gets_its_whole_stream() {
    const EVENTS: usize = 300;
    let backend = Backend::start("a", |request, stream| {
        if !request.start_line.contains("/draft/") {
            return succeed(request, stream);
        }
        write_stream_head(request, stream)
            && (0..EVENTS).all(|n| write_text(stream, &event(n)))
            && write_text(stream, "0\r\n\r\n")
    });
    let fleet = start(71, MEMORY_MB, &backend);
    let mut caller = send_request(fleet.callers(4), "/draft/whole", "pausing");
    let mut received = vec![0; 1 << 20];
    for _ in 0..2 {
        // The pause itself is what is tested.
        thread::sleep(MAX_STALL * 3 / 5);
        caller.read_exact(&mut received).unwrap();
    }

    let mut rest = Vec::new();
    let mut buffer = [0; 16 << 10];
    while !rest.ends_with(b"0\r\n\r\n") {
        let length = caller.read(&mut buffer).unwrap_or(0);
        assert!(length > 0, "cut after {} more bytes", rest.len());
        rest.extend_from_slice(&buffer[..length]);
    }

    expect_that!(fleet.last_line("g4", "stream_cut"), eq(""));
}

/// Guards against a caller that is ended although it reads a large event all the time: the event
/// counted as taken when the connection got it, and the next one waited for longer than 2 s.
#[googletest::test]
fn a_caller_that_reads_large_events_slowly_gets_its_whole_stream() {
    const LARGE_EVENT_BYTES: usize = 900 << 10;
    // An event takes 4.5 s.
    const READ_INTERVAL: Duration = Duration::from_millis(80);
    let backend = Backend::start("a", |request, stream| {
        if !request.start_line.contains("/draft/") {
            return succeed(request, stream);
        }
        let data = "x".repeat(LARGE_EVENT_BYTES);
        let events = (0..3).map(|n| format!("id: {n}\ndata: {data}\n\n"));
        write_stream_head(request, stream)
            && events
                .into_iter()
                .all(|e| write_text(stream, &format!("{:x}\r\n{e}\r\n", e.len())))
            && write_text(stream, "0\r\n\r\n")
    });
    let fleet = start(74, MEMORY_MB, &backend);
    let mut caller = send_request(fleet.callers(4), "/draft/large", "large-events");

    let mut received = Vec::new();
    let mut buffer = [0; 16 << 10];
    while !received.ends_with(b"0\r\n\r\n") {
        let length = caller.read(&mut buffer).unwrap_or(0);
        assert!(length > 0, "cut after {} bytes", received.len());
        received.extend_from_slice(&buffer[..length]);
        // The pace itself is what is tested; one event at it is enough.
        if received.len() < LARGE_EVENT_BYTES {
            thread::sleep(READ_INTERVAL);
        }
    }

    expect_that!(fleet.last_line("g4", "stream_cut"), eq(""));
}

/// Guards against callers that are ended when the gateway process continues after it was stopped,
/// since the time of the stop counted as time without progress.
#[googletest::test]
fn a_stopped_gateway_ends_no_caller_when_it_continues() {
    const EVENTS: usize = 300;
    let backend = Backend::start("a", |request, stream| {
        if !request.start_line.contains("/draft/") {
            return succeed(request, stream);
        }
        write_stream_head(request, stream)
            && (0..EVENTS).all(|n| write_text(stream, &event(n)))
            && write_text(stream, "0\r\n\r\n")
    });
    let fleet = start(75, MEMORY_MB, &backend);
    let mut caller = send_request(fleet.callers(4), "/draft/whole", "stopped");
    let mut received = vec![0; 1 << 20];
    caller.read_exact(&mut received).unwrap();
    // Time in which all buffers fill up, so that data waits for the caller during the stop.
    thread::sleep(MAX_STALL / 5);
    fleet.signal("g4", SIGSTOP);
    // The duration of the stop is what is tested.
    thread::sleep(MAX_STALL * 3 / 2);
    fleet.signal("g4", SIGCONT);
    // Several checks of the gateway, so that the result does not depend on which comes first.
    thread::sleep(MAX_STALL / 5);

    let mut rest = Vec::new();
    let mut buffer = [0; 16 << 10];
    while !rest.ends_with(b"0\r\n\r\n") {
        let length = caller.read(&mut buffer).unwrap_or(0);
        assert!(length > 0, "cut after {} more bytes", rest.len());
        rest.extend_from_slice(&buffer[..length]);
    }

    expect_that!(fleet.last_line("g4", "stream_cut"), eq(""));
}

/// Guards against a caller that is ended without a line in the log since the gateway had already
/// received its whole stream.
#[googletest::test]
fn each_slow_reader_is_logged() {
    // From streams that fit into the sockets' buffers to one that the gateway cannot hold.
    const SIZES: std::ops::Range<usize> = 4..40;
    let backend = Backend::start("a", |request, stream| {
        let Some((_, size)) = request.start_line.split_once("/draft/") else {
            return succeed(request, stream);
        };
        let events: usize = size.split(' ').next().unwrap().parse().unwrap();
        write_stream_head(request, stream)
            && (0..events).all(|n| write_text(stream, &event(n)))
            && write_text(stream, "0\r\n\r\n")
    });
    let fleet = start(76, MEMORY_MB, &backend);
    let open = |size: usize| {
        let path = format!("/draft/{size}");
        let stream = send_request(fleet.callers(4), &path, &format!("slow-{size}"));
        let socket = SockRef::from(&stream);
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        (size, stream)
    };
    let callers: Vec<(usize, TcpStream)> = SIZES.map(open).collect();
    let is_logged = |f: &Fleet, size: usize| {
        let id = format!("slow-{size}");
        cuts(f).iter().any(|l| l["request"] == id.as_str())
    };
    // All began to wait at about the same time.
    fleet.wait("the end of the largest", |f| is_logged(f, SIZES.end - 1));

    let was_cut = |mut stream: TcpStream| {
        stream.set_read_timeout(Some(MAX_STALL / 10)).unwrap();
        let ended = stream.read_to_end(&mut Vec::new());
        ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
    };
    let cut: Vec<usize> = callers
        .into_iter()
        .filter_map(|(size, stream)| was_cut(stream).then_some(size))
        .collect();

    println!("cut, by number of events: {cut:?}");
    fleet.wait("lines", |f| cut.iter().all(|size| is_logged(f, *size)));
}

/// Guards against memory that grows with every large answer that nobody reads, and against requests
/// that wait for memory until their deadline instead of being refused at once.
#[googletest::test]
fn requests_are_refused_as_not_run_until_memory_is_free_again() {
    let backend = Backend::start("a", |request, stream| {
        if !request.start_line.contains("/large") {
            return succeed(request, stream);
        }
        let headers = format!("{SIGNATURE}: s\r\ncontent-length: {ANSWER_BYTES}\r\n");
        let head = response_head(request, "200 OK", &headers);
        write_text(stream, &format!("{head}\r\n{}", "x".repeat(ANSWER_BYTES)))
    });
    let fleet = start(72, 20, &backend);
    let slow: Vec<TcpStream> = (0..3)
        .map(|n| send_request(fleet.callers(4), "/look/large", &format!("large-{n}")))
        .collect();

    let refused = Mutex::new((String::new(), Message::default()));
    let numbers = AtomicUsize::new(0);
    fleet.wait("refusal", |f| {
        let id = format!("probe-{}", numbers.fetch_add(1, Ordering::Relaxed));
        let response = f.send(4, "GET", "/look/1", &id);
        let is_refused = response.status() == 503;
        *refused.lock().unwrap() = (id, response);
        is_refused
    });
    fleet.wait("free memory", |f| {
        f.send(4, "GET", "/look/1", "later").status() == 200
    });

    let (id, refused) = refused.into_inner().unwrap();
    let after: f64 = refused.header(RETRY_AFTER).parse().unwrap();
    expect_that!(refused.text(), contains_substring("not-run"));
    expect_that!(after, all!(gt(0.0), le(MAX_STALL.as_secs_f64())));
    let requests = backend.requests.lock().unwrap();
    let ran = |r: &&Message| r.header(ATTEMPT) == id;
    expect_that!(requests.iter().filter(ran).count(), eq(0));
    expect_that!(
        fleet.last_line("g4", "stream_cut"),
        contains_substring("slow reader")
    );
    drop(slow);
}

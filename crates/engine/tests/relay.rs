//! The relay between a coordinator's link and a scripted fake engine, on loopback.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../../net/tests/addresses/mod.rs"]
mod addresses;

use addresses::free_address;
use bn_conf::{Logging, Relay, Settings};
use bn_engine::compress_placements;
use bn_net::Net;
use bn_platform::header::EXPECT_SERVER;
use bn_trace::Lines;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswer, EngineAnswers, EngineAsk, EngineAsks, PrepareOrder};
use googletest::prelude::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);
const REPORT: &str = r#"{"stage":"both","group":{"name":"g","epoch":3,"rank":2,"state":"open"},
    "size":4,"step":812,"expert-map":{"version":7},"prepared":{"version":9},"pace":1.0}"#;

/// Answer of an engine by path and number of the request; `None` for no answer.
type Script = Box<dyn Fn(&str, usize) -> Option<(u16, &'static str)> + Send + Sync>;

/// Head and body of each request that an engine received.
type Received = Arc<Mutex<Vec<String>>>;

fn engine(script: Script) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (received, script): (Received, _) = (Received::default(), Arc::new(script));
    let record = received.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, script) = (record.clone(), script.clone());
            thread::spawn(move || serve_connection(stream, &record, &script));
        }
    });
    (address, received)
}

fn serve_connection(mut stream: TcpStream, record: &Received, script: &Script) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        let number = {
            let mut record = record.lock().unwrap();
            record.push(request.clone());
            record.len()
        };
        let path = request.split(' ').nth(1).unwrap_or_default();
        let Some((status, body)) = script(path, number) else {
            thread::sleep(TIMEOUT);
            return;
        };
        let length = body.len();
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if reader.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    let length = text.to_ascii_lowercase();
    let length = length.split("content-length: ").nth(1);
    let length = length.and_then(|l| l.split("\r\n").next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8_lossy(&body))
}

/// A relay beside `engine`, and the coordinator's end of the link to it.
struct Harness {
    relay: SocketAddr,
    net: Net,
    answers: Receiver<EngineAnswers>,
    handle: bn_engine::Handle,
}

impl Harness {
    fn new(engine: SocketAddr) -> Harness {
        let (relay, requester) = (free_address(), free_address());
        let settings = Settings {
            id: "r1".into(),
            domain: "d1".into(),
            inbox: relay,
            listen: relay,
            operators: free_address(),
            tls: None,
            log: Logging {
                level: "info".into(),
                json: true,
                events: None,
            },
            entry: None,
            control: None,
            agent: None,
            gateway: None,
            coordinator: None,
            relay: Some(Relay { engine }),
        };
        let lines = Lines::start("r1").unwrap();
        let handle = bn_engine::start(&settings, &Relay { engine }, lines).unwrap();
        let (sink, answers) = channel();
        let net = Net::open("c1", 1, requester, requester, move |envelope| {
            if let Some(Body::EngineAnswers(answer)) = envelope.body {
                sink.send(answer).unwrap_or_default();
            }
        });
        Harness {
            relay,
            net: net.unwrap(),
            answers,
            handle,
        }
    }

    fn send(&self, request: EngineAsk) {
        self.send_all(vec![(self.relay, request)], &[]);
    }

    /// Sends requests for several relays through this one.
    fn send_all(&self, requests: Vec<(SocketAddr, EngineAsk)>, map: &[u8]) {
        let addressed = requests.into_iter().map(|(relay, request)| EngineAsk {
            engine: "e1".into(),
            relay: relay.to_string(),
            ..request
        });
        let requests = EngineAsks {
            asks: addressed.collect(),
            map: map.into(),
        };
        self.net.send(self.relay, Body::EngineAsks(requests));
    }

    fn answers(&self) -> EngineAnswers {
        self.answers.recv_timeout(TIMEOUT).expect("an answer")
    }

    fn answer(&self) -> EngineAnswer {
        self.answers().answers.remove(0)
    }
}

fn poll(call: u64) -> EngineAsk {
    EngineAsk {
        call,
        counts: true,
        ..EngineAsk::default()
    }
}

fn order(call: u64) -> EngineAsk {
    EngineAsk {
        call,
        order: b"{\"operation\":\"prepare\"}".to_vec(),
        ..EngineAsk::default()
    }
}

fn answer_normally(path: &str, _: usize) -> Option<(u16, &'static str)> {
    match path.rsplit('/').next() {
        Some("report") => Some((200, REPORT)),
        Some("picked") => Some((200, r#"{"step":812,"epoch":3,"counts":[5,0,900]}"#)),
        _ => Some((202, "{}")),
    }
}

#[googletest::test]
fn poll_returns_the_report() {
    let (engine, received) = engine(Box::new(answer_normally));
    let harness = Harness::new(engine);

    harness.send(poll(41));
    let answer = harness.answer();

    let view = answer.view.unwrap();
    expect_that!((answer.call, answer.status), eq((41, 200)));
    expect_that!((view.rank, view.pass, view.map), eq((2, 812, 7)));
    expect_that!((view.prepared, view.armed), eq((Some(9), None)));
    let expected = format!("{EXPECT_SERVER}: e1");
    let has_server = |r: &String| r.to_ascii_lowercase().contains(&expected);
    expect_true!(received.lock().unwrap().iter().all(has_server));
}

/// Counts that grow with each query; the group's epoch changes with the third.
fn growing_counts(path: &str, number: usize) -> Option<(u16, &'static str)> {
    let counts = match number {
        0..=2 => r#"{"step":1,"epoch":3,"counts":[5,0,900]}"#,
        3..=4 => r#"{"step":2,"epoch":3,"counts":[5,4,1000]}"#,
        _ => r#"{"step":3,"epoch":4,"counts":[9,9,1009]}"#,
    };
    match path.ends_with("picked") {
        true => Some((200, counts)),
        false => answer_normally(path, number),
    }
}

/// Guards against a map chosen for the load of an hour ago: after a restart of a relay or an engine
/// there were no counts to compare with, or those of another epoch, and the counts since its start
/// were taken for recent ones.
#[googletest::test]
fn counts_are_reported_since_the_previous_poll() {
    let (engine, _) = engine(Box::new(growing_counts));
    let harness = Harness::new(engine);
    let counts = || {
        harness.send(poll(1));
        harness.answers().counts
    };

    let (first, second, new_epoch) = (counts(), counts(), counts());

    expect_that!(first, is_empty());
    expect_that!(second, eq(&vec![0, 4, 100]));
    expect_that!(new_epoch, is_empty());
}

#[googletest::test]
fn relay_forwards_requests_and_sums_counts() {
    let ((first, _), (second, _)) = (
        engine(Box::new(growing_counts)),
        engine(Box::new(growing_counts)),
    );
    let (harness, other) = (Harness::new(first), Harness::new(second));
    let requests = || vec![(harness.relay, poll(1)), (other.relay, poll(2))];
    harness.send_all(requests(), &[]);
    harness.answers();

    harness.send_all(requests(), &[]);
    let mut all = harness.answers();

    all.answers.sort_by_key(|a| a.call);
    let statuses: Vec<_> = all.answers.iter().map(|a| (a.call, a.status)).collect();
    expect_that!(statuses, eq(&vec![(1, 200), (2, 200)]));
    expect_that!(all.counts, eq(&vec![0, 8, 200]));
}

/// Guards against a group that is not balanced because of one failed instance: a forwarding relay
/// waited for all of the others, one of which was unreachable, and reported nothing.
#[googletest::test]
fn unreachable_relay_is_reported_in_time() {
    let (engine, _) = engine(Box::new(answer_normally));
    let harness = Harness::new(engine);
    let unreachable = free_address();
    let start = Instant::now();

    harness.send_all(vec![(harness.relay, poll(1)), (unreachable, poll(2))], &[]);
    let mut all = harness.answers();

    all.answers.sort_by_key(|a| a.call);
    let unanswered: Vec<_> = all.answers.iter().map(|a| (a.call, a.unheard)).collect();
    expect_that!(unanswered, eq(&vec![(1, false), (2, true)]));
    expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
}

#[googletest::test]
fn prepare_order_contains_the_map_of_the_message() {
    let (engine, received) = engine(Box::new(answer_normally));
    let harness = Harness::new(engine);
    let prepare = PrepareOrder {
        version: 4,
        epoch: 3,
        token: 77,
    };
    let request = EngineAsk {
        call: 1,
        prepare: Some(prepare),
        ..EngineAsk::default()
    };

    // Expert 0 on both ranks, 1 on the second, 2 on the first.
    let map = compress_placements(2, &[vec![vec![0, 1], vec![1], vec![0]]]).unwrap();

    harness.send_all(vec![(harness.relay, request)], &map);
    let answer = harness.answer();

    expect_that!(answer.status, eq(202));
    let received = received.lock().unwrap();
    for part in ["[[[0,2],[0,1]]]", "\"version\":4", "\"epoch\":3", ":77"] {
        expect_that!(received[0], contains_substring(part));
    }
}

#[googletest::test]
fn order_is_delivered_once_and_its_status_returned() {
    let (engine, received) = engine(Box::new(answer_normally));
    let harness = Harness::new(engine);

    harness.send(order(1));
    let answer = harness.answer();

    expect_that!((answer.call, answer.status), eq((1, 202)));
    let received = received.lock().unwrap();
    expect_that!(received.len(), eq(1));
    expect_that!(received[0], ends_with("{\"operation\":\"prepare\"}"));
}

/// Guards against a group that stalls for seconds: requests were served one at a time, so that an
/// order with a higher token waited behind one that the engine left unanswered.
#[googletest::test]
fn unanswered_order_does_not_block_others() {
    let silent_once = |_: &str, number: usize| (number > 1).then_some((200, "{}"));
    let (engine, _) = engine(Box::new(silent_once));
    let harness = Harness::new(engine);
    let start = Instant::now();

    harness.send(order(1));
    harness.send(order(2));
    let answers = [harness.answer(), harness.answer()].map(|a| (a.call, a.status));

    // Either order may reach the engine first; one of them is answered.
    let mut statuses = [answers[0].1, answers[1].1];
    statuses.sort_unstable();
    expect_that!(statuses, eq([0, 200]));
    expect_that!(start.elapsed(), lt(Duration::from_secs(2)));
}

#[googletest::test]
fn poll_for_copies_waits_until_they_are_complete() {
    const INCOMPLETE: &str = r#"{"group":{"name":"g","epoch":3,"rank":2,"state":"open"},"size":4,
        "step":812,"expert-map":{"version":7},"pace":1.0}"#;
    let complete_at_fourth =
        |_: &str, number: usize| Some((200, if number < 4 { INCOMPLETE } else { REPORT }));
    let (engine, received) = engine(Box::new(complete_at_fourth));
    let harness = Harness::new(engine);

    harness.send(EngineAsk {
        call: 1,
        copied: 9,
        ..EngineAsk::default()
    });
    let answer = harness.answer();

    expect_that!(answer.view.unwrap().prepared, some(eq(9)));
    expect_that!(received.lock().unwrap().len(), eq(4));
}

#[googletest::test]
fn relay_stops_on_request() {
    let (engine, _) = engine(Box::new(answer_normally));
    let harness = Harness::new(engine);

    (harness.handle.stopper())();

    expect_that!(harness.handle.wait(), eq(&Ok(())));
}

/// Guards against a relay that reads an engine's answer without end, and answers no further request.
#[googletest::test]
fn answers_without_end_are_reported_as_none() {
    for (start, again) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "y"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = listener.local_addr().unwrap();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let again = again.repeat(1_000);
                let mut written = stream.write_all(start.as_bytes());
                while written.is_ok() {
                    written = stream.write_all(again.as_bytes());
                }
            }
        });
        let harness = Harness::new(engine);

        harness.send(poll(1));
        harness.send(order(2));
        let mut answers = [harness.answer(), harness.answer()];
        answers.sort_by_key(|a| a.call);

        let statuses = answers.map(|a| (a.call, a.status, a.view.is_some()));
        expect_that!(statuses, eq([(1, 0, false), (2, 0, false)]), "{start:?}");
    }
}

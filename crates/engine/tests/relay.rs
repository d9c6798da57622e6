//! The relay between a coordinator's link and a scripted engine, on loopback.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_conf::{Logging, Relay, Settings};
use bn_engine::pack_places;
use bn_net::Net;
use bn_platform::header::EXPECT;
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

const WITHIN: Duration = Duration::from_secs(10);
const REPORT: &str = r#"{"stage":"both","group":{"name":"g","epoch":3,"rank":2,"state":"open"},
    "size":4,"step":812,"expert-map":{"version":7},"prepared":{"version":9},"pace":1.0}"#;

/// What an engine answers to a path; none: it stays silent.
type Script = Box<dyn Fn(&str, usize) -> Option<(u16, &'static str)> + Send + Sync>;

/// Head and body of each request that an engine got.
type Seen = Arc<Mutex<Vec<String>>>;

fn engine(script: Script) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, script): (Seen, _) = (Seen::default(), Arc::new(script));
    let record = seen.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, script) = (record.clone(), script.clone());
            thread::spawn(move || converse(stream, &record, &script));
        }
    });
    (address, seen)
}

fn converse(mut stream: TcpStream, record: &Seen, script: &Script) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        let number = {
            let mut record = record.lock().unwrap();
            record.push(request.clone());
            record.len()
        };
        let path = request.split(' ').nth(1).unwrap_or_default();
        let Some((status, body)) = script(path, number) else {
            thread::sleep(WITHIN);
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

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A relay beside `engine`, and a coordinator's end of the link to it.
struct Bed {
    relay: SocketAddr,
    net: Net,
    answers: Receiver<EngineAnswers>,
    handle: bn_engine::Handle,
}

impl Bed {
    fn new(engine: SocketAddr) -> Bed {
        let (relay, asker) = (free_port(), free_port());
        let settings = Settings {
            id: "r1".into(),
            domain: "d1".into(),
            inbox: relay,
            listen: relay,
            operators: free_port(),
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
        let net = Net::open("c1", 1, asker, asker, move |envelope| {
            if let Some(Body::EngineAnswers(answer)) = envelope.body {
                sink.send(answer).unwrap_or_default();
            }
        });
        Bed {
            relay,
            net: net.unwrap(),
            answers,
            handle,
        }
    }

    fn ask(&self, ask: EngineAsk) {
        self.ask_all(vec![(self.relay, ask)], &[]);
    }

    /// Asks several relays by way of this one.
    fn ask_all(&self, asks: Vec<(SocketAddr, EngineAsk)>, map: &[u8]) {
        let named = asks.into_iter().map(|(relay, ask)| EngineAsk {
            engine: "e1".into(),
            relay: relay.to_string(),
            ..ask
        });
        let asks = EngineAsks {
            asks: named.collect(),
            map: map.into(),
        };
        self.net.send(self.relay, Body::EngineAsks(asks));
    }

    fn answers(&self) -> EngineAnswers {
        self.answers.recv_timeout(WITHIN).expect("an answer")
    }

    fn answer(&self) -> EngineAnswer {
        self.answers().answers.remove(0)
    }
}

fn look(call: u64) -> EngineAsk {
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

fn sound(path: &str, _: usize) -> Option<(u16, &'static str)> {
    match path.rsplit('/').next() {
        Some("report") => Some((200, REPORT)),
        Some("picked") => Some((200, r#"{"step":812,"epoch":3,"counts":[5,0,900]}"#)),
        _ => Some((202, "{}")),
    }
}

#[googletest::test]
fn a_look_brings_the_report() {
    let (engine, seen) = engine(Box::new(sound));
    let bed = Bed::new(engine);

    bed.ask(look(41));
    let answer = bed.answer();

    let view = answer.view.unwrap();
    expect_that!((answer.call, answer.status), eq((41, 200)));
    expect_that!((view.rank, view.pass, view.map), eq((2, 812, 7)));
    expect_that!((view.prepared, view.armed), eq((Some(9), None)));
    let expected = format!("{EXPECT}: e1");
    let named = |r: &String| r.to_ascii_lowercase().contains(&expected);
    expect_true!(seen.lock().unwrap().iter().all(named));
}

/// Counts that grow with each time they are asked for; the group forms anew at the third.
fn counting(path: &str, number: usize) -> Option<(u16, &'static str)> {
    let counts = match number {
        0..=2 => r#"{"step":1,"epoch":3,"counts":[5,0,900]}"#,
        3..=4 => r#"{"step":2,"epoch":3,"counts":[5,4,1000]}"#,
        _ => r#"{"step":3,"epoch":4,"counts":[9,9,1009]}"#,
    };
    match path.ends_with("picked") {
        true => Some((200, counts)),
        false => sound(path, number),
    }
}

/// Symptom: a map is chosen for experts that were liked an hour ago. Sequence: a relay or an
/// engine starts anew; the counts since its start are taken for those of late. Cause: no
/// counts to compare with, or those of another forming.
#[googletest::test]
fn counts_are_told_since_the_look_before() {
    let (engine, _) = engine(Box::new(counting));
    let bed = Bed::new(engine);
    let counts = || {
        bed.ask(look(1));
        bed.answers().counts
    };

    let (first, second, formed_anew) = (counts(), counts(), counts());

    expect_that!(first, is_empty());
    expect_that!(second, eq(&vec![0, 4, 100]));
    expect_that!(formed_anew, is_empty());
}

#[googletest::test]
fn one_relay_asks_the_others_and_adds_up_their_counts() {
    let ((first, _), (second, _)) = (engine(Box::new(counting)), engine(Box::new(counting)));
    let (bed, other) = (Bed::new(first), Bed::new(second));
    let asks = || vec![(bed.relay, look(1)), (other.relay, look(2))];
    bed.ask_all(asks(), &[]);
    bed.answers();

    bed.ask_all(asks(), &[]);
    let mut all = bed.answers();

    all.answers.sort_by_key(|a| a.call);
    let told: Vec<_> = all.answers.iter().map(|a| (a.call, a.status)).collect();
    expect_that!(told, eq(&vec![(1, 200), (2, 200)]));
    expect_that!(all.counts, eq(&vec![0, 8, 200]));
}

/// Symptom: one dead machine keeps a group from being balanced. Sequence: a relay passes
/// asks on to others, one of which is gone. Cause: it waited for all, and said nothing.
#[googletest::test]
fn an_other_relay_that_is_gone_is_named_in_time() {
    let (engine, _) = engine(Box::new(sound));
    let bed = Bed::new(engine);
    let gone = free_port();
    let began = Instant::now();

    bed.ask_all(vec![(bed.relay, look(1)), (gone, look(2))], &[]);
    let mut all = bed.answers();

    all.answers.sort_by_key(|a| a.call);
    let unheard: Vec<_> = all.answers.iter().map(|a| (a.call, a.unheard)).collect();
    expect_that!(unheard, eq(&vec![(1, false), (2, true)]));
    expect_that!(began.elapsed(), lt(Duration::from_secs(2)));
}

#[googletest::test]
fn an_order_to_prepare_gets_the_map_that_stands_beside_it() {
    let (engine, seen) = engine(Box::new(sound));
    let bed = Bed::new(engine);
    let prepare = PrepareOrder {
        version: 4,
        epoch: 3,
        token: 77,
    };
    let ask = EngineAsk {
        call: 1,
        prepare: Some(prepare),
        ..EngineAsk::default()
    };

    // Expert 0 on both ranks, 1 on the second, 2 on the first.
    let map = pack_places(2, &[vec![vec![0, 1], vec![1], vec![0]]]).unwrap();

    bed.ask_all(vec![(bed.relay, ask)], &map);
    let answer = bed.answer();

    expect_that!(answer.status, eq(202));
    let seen = seen.lock().unwrap();
    for part in ["[[[0,2],[0,1]]]", "\"version\":4", "\"epoch\":3", ":77"] {
        expect_that!(seen[0], contains_substring(part));
    }
}

#[googletest::test]
fn an_order_is_handed_over_once_and_its_status_comes_back() {
    let (engine, seen) = engine(Box::new(sound));
    let bed = Bed::new(engine);

    bed.ask(order(1));
    let answer = bed.answer();

    expect_that!((answer.call, answer.status), eq((1, 202)));
    let seen = seen.lock().unwrap();
    expect_that!(seen.len(), eq(1));
    expect_that!(seen[0], ends_with("{\"operation\":\"prepare\"}"));
}

/// Symptom: a group stands still for seconds. Sequence: an engine leaves an order
/// unanswered; the next one, with a higher token, waits behind it. Cause: one ask at a time.
#[googletest::test]
fn an_order_without_an_answer_holds_nothing_up() {
    let silent_once = |_: &str, number: usize| (number > 1).then_some((200, "{}"));
    let (engine, _) = engine(Box::new(silent_once));
    let bed = Bed::new(engine);
    let began = Instant::now();

    bed.ask(order(1));
    bed.ask(order(2));
    let answers = [bed.answer(), bed.answer()].map(|a| (a.call, a.status));

    // Which of the two reaches the engine first is open; one of them is answered.
    let mut statuses = [answers[0].1, answers[1].1];
    statuses.sort_unstable();
    expect_that!(statuses, eq([0, 200]));
    expect_that!(began.elapsed(), lt(Duration::from_secs(2)));
}

#[googletest::test]
fn a_look_at_copies_waits_until_they_are_complete() {
    const YET: &str = r#"{"group":{"name":"g","epoch":3,"rank":2,"state":"open"},"size":4,
        "step":812,"expert-map":{"version":7},"pace":1.0}"#;
    let later = |_: &str, number: usize| Some((200, if number < 4 { YET } else { REPORT }));
    let (engine, seen) = engine(Box::new(later));
    let bed = Bed::new(engine);

    bed.ask(EngineAsk {
        call: 1,
        copied: 9,
        ..EngineAsk::default()
    });
    let answer = bed.answer();

    expect_that!(answer.view.unwrap().prepared, some(eq(9)));
    expect_that!(seen.lock().unwrap().len(), eq(4));
}

#[googletest::test]
fn it_ends_when_it_is_told_to() {
    let (engine, _) = engine(Box::new(sound));
    let bed = Bed::new(engine);

    (bed.handle.stopper())();

    expect_that!(bed.handle.wait(), eq(&Ok(())));
}

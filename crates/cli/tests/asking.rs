//! Backend servers that ask for fewer requests, over separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// The other tests of a fleet use the rest of it.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{LEAVING, LIMIT, NOT_RUN, RETRY_AFTER};
use fleet::Fleet;
use fleet::asking::{Answer, Arrival, Asked, Asker, ask_all, most_within};
use googletest::prelude::*;
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: [u8; 3] = [4, 5, 6];
/// Requests a second that the limited backend server names.
const RATE: f64 = 1.0;
/// Time after the first word within which all gateways must keep to it, and the span in which it is
/// then counted: the users' bound is one and a half times what the limit allows, and five.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = (1.5 * 4.0 * RATE) as usize + 5;

fn fleet_of_three(octet: u8) -> Fleet {
    let mut fleet = Fleet::start(octet);
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    fleet
}

/// Symptom: a backend server that names a limit of some requests a second is sent as many as
/// before, by all gateways together, for as long as it says so.
/// Sequence: it names the limit in each answer; the gateways go on choosing it as one of little load.
/// Cause: nobody read the word, and no gateway knew its part of what all together may send.
/// Evidence: each gateway sent 13 a second before the word and after it, and none wrote a line of it;
/// read and kept to by each gateway alone it would have been 3 a second in all.
#[googletest::test]
fn a_limit_that_a_backend_server_names_holds_over_all_gateways() {
    let fleet = fleet_of_three(42);
    let limited = |id: &str| Asker::start(id, |_| ("200 OK", format!("{LIMIT}: {RATE}\r\n")));
    let free = |id: &str| Asker::start(id, |_| ("200 OK", String::new()));
    let (plain, other) = (limited("plain-limited"), free("plain-free"));
    let (stream, next) = (limited("stream-limited"), free("stream-free"));
    for (server, service) in [(&plain, "plain"), (&other, "plain")] {
        fleet.announce(&server.backend, service, "ready", 1);
    }
    for server in [&stream, &next] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (gap, time) = (Duration::from_millis(40), Duration::from_secs(12));
    let looks = thread::scope(|s| {
        let looks = s.spawn(|| ask_all(&fleet, &GATEWAYS, ("GET", "/look/1"), gap, time));
        ask_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), gap, time);
        looks.join().unwrap()
    });

    for server in [&plain, &stream] {
        let arrivals = server.arrivals();
        let counted = arrivals[0].at + KNOWN_WITHIN;
        let later = arrivals.iter().map(|a| a.at).filter(|at| *at >= counted);
        let later: Vec<Instant> = later.collect();
        expect_that!(
            most_within(&later, SPAN),
            le(ALLOWED),
            "{}",
            server.backend.id
        );
        // It is used still, as far as it allows.
        expect_that!(later.len(), ge(2), "{}", server.backend.id);
    }
    let refused = looks.iter().filter(|a| a.answer.status() != 200);
    expect_that!(refused.count(), eq(0));
}

/// What an operator sees of limits.
fn shown_limits(fleet: &Fleet) -> serde_json::Value {
    let page = fleet.operators(1).to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
    let shown = command.args(["limits", "--at", &page]).output().unwrap();
    serde_json::from_slice(&shown.stdout).unwrap()
}

/// A limit goes on after its end, or binds who starts then: only few gateways hear of it themselves.
#[googletest::test]
fn a_limit_is_known_to_a_gateway_that_starts_and_ends_for_all() {
    let mut fleet = fleet_of_three(43);
    let named = Arc::new(AtomicBool::new(true));
    let names = named.clone();
    let server = Asker::start("limited", move |_| match names.load(Ordering::Relaxed) {
        true => ("200 OK", format!("{LIMIT}: {RATE}\r\n")),
        false => ("200 OK", String::new()),
    });
    let other = Asker::start("free", |_| ("200 OK", String::new()));
    for server in [&server, &other] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    let look = ("GET", "/look/1");
    let gap = Duration::from_millis(40);
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    fleet.kill("g6");
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    fleet.wait("list", |f| {
        f.addresses(4).contains(&f.callers(6).to_string())
    });
    let shown = shown_limits(&fleet);
    let started = server.arrivals().len();
    ask_all(&fleet, &[6], look, gap, Duration::from_secs(3));
    let of_started = server.arrivals().len() - started;
    named.store(false, Ordering::Relaxed);
    // Each of the three sends once in three seconds.
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(5));
    let ended = server.arrivals().len();
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));
    let of_all = server.arrivals().len() - ended;

    expect_that!(
        shown["backend_servers"][0]["id"].as_str(),
        some(eq("limited"))
    );
    expect_that!(
        shown["backend_servers"][0]["limit"].as_f64(),
        some(eq(RATE))
    );
    expect_that!(
        fleet.last_line("g6", "backend_server_limit"),
        contains_substring("limited")
    );
    // Its own part, and no first requests that nobody has told it not to send.
    expect_that!(of_started, le(2));
    expect_that!(of_all, ge(40));
}

/// Callers wait for a service of which all have named a limit, until their time is up.
#[googletest::test]
fn where_all_are_limited_callers_learn_at_once_when_to_come_back() {
    let fleet = fleet_of_three(44);
    let limited = |id: &str| Asker::start(id, |_| ("200 OK", format!("{LIMIT}: 0.2\r\n")));
    let servers = [limited("a"), limited("b")];
    for server in &servers {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    let (look, gap) = (("GET", "/look/1"), Duration::from_millis(100));
    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    let asked = ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    let (served, refused): (Vec<_>, Vec<_>) = asked.iter().partition(|a| a.answer.status() == 200);
    expect_that!(served.len(), le(4));
    for Asked { answer, .. } in refused {
        expect_that!(answer.status(), eq(503));
        let after: f64 = answer.header("retry-after").parse().unwrap();
        expect_that!(after, gt(0.0));
        expect_that!(answer.text(), contains_substring("not-run"));
    }
}

/// Time of rest that backend servers ask for, and how soon a gateway must keep to it: the users' bound,
/// with as many requests that may still come.
const REST: Duration = Duration::from_secs(3);
const KEPT_WITHIN: Duration = Duration::from_millis(500);
const LATE: usize = 2;

/// It turns a request away, and asks for rest.
fn rests() -> Answer {
    let more = format!("{NOT_RUN}: 1\r\n{RETRY_AFTER}: {}\r\n", REST.as_secs());
    ("503 Service Unavailable", more)
}

/// The same by one that may have run it.
fn fails_and_rests() -> Answer {
    let more = format!("{RETRY_AFTER}: {}\r\n", REST.as_secs());
    ("503 Service Unavailable", more)
}

/// Requests of a gateway that came to a backend server while this one wanted rest of it.
fn within_rest(arrivals: &[Arrival], gateway: u8) -> usize {
    let own = arrivals.iter().filter(|a| a.gateway == gateway);
    let times: Vec<Instant> = own.map(|a| a.at).collect();
    let Some(first) = times.first() else {
        return 0;
    };
    let (from, until) = (*first + KEPT_WITHIN, *first + REST);
    times.iter().filter(|t| **t > from && **t < until).count()
}

/// Symptom: most callers are refused while half of the backend servers are idle.
/// Sequence: some backend servers turn requests away and ask for rest; answering at once they have the
/// least load, so the next requests go to them as well, and are refused after two of them.
/// Cause: the time to come back that a backend server tells was never read.
/// Evidence: each gateway alike sent 24 to 39 requests into a rest of 3 s, from its first second to its
/// last; a gateway that kept to it in part, or late, would have sent fewer.
#[googletest::test]
fn a_backend_server_that_asks_for_rest_gets_nothing_until_its_end() {
    let fleet = fleet_of_three(45);
    let free = |id: &str| Asker::start(id, |_| ("200 OK", String::new()));
    let plain = Asker::start("plain-rests", |_| rests());
    let other = Asker::start("plain-fails", |_| fails_and_rests());
    let stream = Asker::start("stream-rests", |_| rests());
    let (plain_free, stream_free) = (free("plain-free"), free("stream-free"));
    for server in [&plain, &other, &plain_free] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    for server in [&stream, &stream_free] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (gap, time) = (Duration::from_millis(40), Duration::from_secs(5));
    // Until then a request may meet two that turn it away, which is all that its route allows.
    let known = Instant::now() + KEPT_WITHIN;
    let asked = thread::scope(|s| {
        let looks = s.spawn(|| ask_all(&fleet, &GATEWAYS, ("GET", "/look/1"), gap, time));
        let mut asked = ask_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), gap, time);
        asked.extend(looks.join().unwrap());
        asked
    });

    for server in [&plain, &other, &stream] {
        for gateway in GATEWAYS {
            let came = within_rest(&server.arrivals(), gateway);
            expect_that!(came, le(LATE), "{} from {gateway}", server.backend.id);
        }
    }
    let later = asked.iter().filter(|a| a.at >= known);
    let refused = later.filter(|a| a.answer.status() != 200);
    expect_that!(refused.count(), eq(0));
}

/// Symptom: backend servers that leave get requests for seconds after they have said so.
/// Sequence: it says that it leaves in each answer; what announces it comes late, or never.
/// Cause: only announcements were believed, not what it answers.
/// Evidence: 15 to 20 requests of each gateway came later than half a second after such an answer, as many
/// as before it.
#[googletest::test]
fn a_backend_server_that_says_in_an_answer_that_it_leaves_gets_nothing_more() {
    let fleet = fleet_of_three(46);
    let leaves = |id: &str| Asker::start(id, |_| ("200 OK", format!("{LEAVING}: 1\r\n")));
    let free = |id: &str| Asker::start(id, |_| ("200 OK", String::new()));
    let (plain, stream) = (leaves("plain-leaves"), leaves("stream-leaves"));
    let (plain_free, stream_free) = (free("plain-free"), free("stream-free"));
    for server in [&plain, &plain_free] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    for server in [&stream, &stream_free] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (gap, time) = (Duration::from_millis(40), Duration::from_secs(1));
    let all = |time| {
        thread::scope(|s| {
            s.spawn(|| ask_all(&fleet, &GATEWAYS, ("GET", "/look/1"), gap, time));
            ask_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), gap, time);
        });
    };
    all(time);
    // A later announcement that says nothing of it does not take it back.
    fleet.announce(&plain.backend, "plain", "ready", 2);
    fleet.announce(&stream.backend, "engines", "ready", 2);
    all(time);

    for server in [&plain, &stream] {
        for gateway in GATEWAYS {
            let arrivals = server.arrivals();
            let own = arrivals.iter().filter(|a| a.gateway == gateway);
            let own: Vec<Instant> = own.map(|a| a.at).collect();
            let late = own.iter().filter(|t| **t > own[0] + KEPT_WITHIN);
            expect_that!(late.count(), eq(0), "{} from {gateway}", server.backend.id);
        }
    }
}

/// Callers are held, or told to come back too soon or too late, while all of a service want rest; at the end
/// of it all of them come in the same instant.
#[googletest::test]
fn while_all_want_rest_callers_learn_when_it_ends() {
    let fleet = fleet_of_three(47);
    let began = Instant::now();
    let rested = Duration::from_secs(4);
    let server = Asker::start("rests", move |_| match began.elapsed() < rested {
        true => (
            "503 Service Unavailable",
            format!("{NOT_RUN}: 1\r\n{RETRY_AFTER}: 10\r\n"),
        ),
        false => ("200 OK", String::new()),
    });
    fleet.announce(&server.backend, "plain", "ready", 1);
    let (look, gap) = (("GET", "/look/1"), Duration::from_millis(50));

    ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_millis(300));
    let known = server.arrivals().len();
    let asked = ask_all(&fleet, &GATEWAYS, look, gap, Duration::from_secs(2));

    expect_that!(server.arrivals().len(), eq(known));
    for Asked { answer, .. } in &asked {
        expect_that!(answer.status(), eq(503));
        expect_that!(answer.text(), contains_substring("not-run"));
        let after: f64 = answer.header("retry-after").parse().unwrap();
        expect_that!(after, ge(6.0));
    }
    // Callers that were told at once asked as often as they meant to.
    expect_that!(asked.len(), ge(90));
}

/// A stand-in process, ended with the test.
struct StandIn(Child);

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Whoever tries what is described here finds that the stand-in does not play it.
#[googletest::test]
fn a_stand_in_names_a_limit_and_rests_as_it_is_told() {
    let fleet = Fleet::start(48);
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = free.local_addr().unwrap().to_string();
    drop(free);
    let control = fleet.control(1).to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
    let words = "fake --kind plain --name stand-in --service plain";
    command.args(words.split(' '));
    command.args(["--listen", &at, "--control", &control]);
    let _stand_in = StandIn(command.stdout(Stdio::null()).spawn().unwrap());
    let order = |order: &str, body: &str| {
        let done = ureq::post(format!("http://{at}/fake/{order}")).send(body);
        expect_true!(done.is_ok(), "{order}");
    };
    let served = |f: &Fleet| f.ask(4, "GET", "/look/1", "4-served").status() == 200;
    fleet.wait("stand-in", served);

    order("limit", "0.05");
    fleet.wait("limit", |f| {
        f.ask(4, "GET", "/look/1", "4-limit");
        shown_limits(f)["backend_servers"][0]["limit"].as_f64() == Some(0.05)
    });
    let limited = fleet.ask(4, "GET", "/look/1", "4-limited");
    order("limit", "");
    order("rest", "2");
    // Only a few requests are sent while it has named a limit; the other gateway has its own.
    fleet.wait("rest", |f| {
        f.ask(5, "GET", "/look/1", "5-rest");
        f.ask(4, "GET", "/look/1", "4-rest");
        !f.last_line("g4", "backend_server_asked")
            .contains("\"rest_ms\":null")
            || !f
                .last_line("g5", "backend_server_asked")
                .contains("\"rest_ms\":null")
    });

    expect_that!(limited.status(), eq(503));
    expect_that!(
        limited.text(),
        contains_substring("take no more requests now")
    );
}

/// A slip of a backend server takes it out of service, or the milder of two words holds.
#[googletest::test]
fn what_cannot_be_read_counts_as_not_said_and_of_two_words_the_stricter_holds() {
    let fleet = Fleet::start(49);
    let says = |id: &str, more: &'static str| Asker::start(id, |_| ("200 OK", more.into()));
    let garbage = "server-limit: -1\r\nserver-leaving: perhaps\r\nretry-after: 100\r\n";
    let garbled = says("garbled", garbage);
    let double = says("double", "server-limit: 50\r\nserver-limit: 0.05\r\n");
    fleet.announce(&garbled.backend, "engines", "ready", 1);
    fleet.announce(&double.backend, "plain", "ready", 1);
    let ask = |path, method| {
        let gap = Duration::from_millis(20);
        ask_all(&fleet, &[4], (method, path), gap, Duration::from_secs(1))
    };

    let drafts = ask("/draft/1", "POST");
    let line = fleet.last_line("g4", "backend_server_asked");
    ask("/look/1", "GET");

    let served = drafts.iter().filter(|a| a.answer.status() == 200).count();
    expect_that!(served, eq(drafts.len()));
    expect_that!(line, contains_substring("\"unread\":true"));
    expect_that!(line, contains_substring("\"rest_ms\":null"));
    expect_that!(
        shown_limits(&fleet)["backend_servers"][0]["limit"].as_f64(),
        some(eq(0.05))
    );
    expect_that!(double.arrivals().len(), le(3));
}

//! Backend servers that limit their request rate, request backoff or leave, in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use bn_platform::header::{LEAVING, LIMIT, NOT_RUN, RETRY_AFTER};
use fleet::Fleet;
use fleet::addresses::free_address;
use fleet::recording::{Arrival, Recorder, ResponseHead, TimedResponse, max_within, send_all};
use googletest::prelude::*;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: [u8; 3] = [4, 5, 6];
/// Requests per second in the limit that backend servers set.
const RATE: f64 = 1.0;
/// Time after the first response with the limit within which all gateways must obey it, and the
/// span over which requests are then counted. Users require at most 1.5 times the limit, plus five.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = (1.5 * 4.0 * RATE) as usize + 5;

fn start_three_gateways(port_block: u8) -> Fleet {
    let mut fleet = Fleet::start(port_block);
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    fleet
}

/// Guards against a backend server that sets a rate limit in each response and still receives as
/// many requests as before from all gateways together: they kept choosing it for its low load. The
/// header was not read, and no gateway knew its share of the total rate. Each gateway sent 13
/// requests per second before and after the limit, and none logged it; had each gateway obeyed it
/// on its own, the total would have been 3 per second.
#[googletest::test]
fn the_limit_of_a_backend_server_holds_over_all_gateways() {
    let fleet = start_three_gateways(42);
    let limited = |id: &str| Recorder::start(id, |_| ("200 OK", format!("{LIMIT}: {RATE}\r\n")));
    let free = |id: &str| Recorder::start(id, |_| ("200 OK", String::new()));
    let (plain, other) = (limited("plain-limited"), free("plain-free"));
    let (stream, next) = (limited("stream-limited"), free("stream-free"));
    for (server, service) in [(&plain, "plain"), (&other, "plain")] {
        fleet.announce(&server.backend, service, "ready", 1);
    }
    for server in [&stream, &next] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (interval, duration) = (Duration::from_millis(40), Duration::from_secs(12));
    let gets = thread::scope(|s| {
        let gets = s.spawn(|| send_all(&fleet, &GATEWAYS, ("GET", "/look/1"), interval, duration));
        send_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), interval, duration);
        gets.join().unwrap()
    });

    for server in [&plain, &stream] {
        let arrivals = server.arrivals();
        let counted = arrivals[0].at + KNOWN_WITHIN;
        let later = arrivals.iter().map(|a| a.at).filter(|at| *at >= counted);
        let later: Vec<Instant> = later.collect();
        expect_that!(
            max_within(&later, SPAN),
            le(ALLOWED),
            "{}",
            server.backend.id
        );
        // It still receives requests within its limit.
        expect_that!(later.len(), ge(2), "{}", server.backend.id);
    }
    let refused = gets.iter().filter(|r| r.response.status() != 200);
    expect_that!(refused.count(), eq(0));
}

/// Output of the operator command `limits`.
fn read_limits(fleet: &Fleet) -> serde_json::Value {
    let address = fleet.operators(1).to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
    let output = command.args(["limits", "--at", &address]).output().unwrap();
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Guards against a limit that persists after its end, or that a starting gateway does not obey,
/// since only few gateways receive it directly.
#[googletest::test]
fn a_limit_is_known_to_a_starting_gateway_and_ends_for_all() {
    let mut fleet = start_three_gateways(43);
    let is_limited = Arc::new(AtomicBool::new(true));
    let flag = is_limited.clone();
    let server = Recorder::start("limited", move |_| match flag.load(Ordering::Relaxed) {
        true => ("200 OK", format!("{LIMIT}: {RATE}\r\n")),
        false => ("200 OK", String::new()),
    });
    let other = Recorder::start("free", |_| ("200 OK", String::new()));
    for server in [&server, &other] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    let look = ("GET", "/look/1");
    let interval = Duration::from_millis(40);
    send_all(&fleet, &GATEWAYS, look, interval, Duration::from_secs(2));

    fleet.kill("g6");
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    fleet.wait("list", |f| {
        f.addresses(4).contains(&f.callers(6).to_string())
    });
    let limits = read_limits(&fleet);
    let started_count = server.arrivals().len();
    send_all(&fleet, &[6], look, interval, Duration::from_secs(3));
    let from_started = server.arrivals().len() - started_count;
    is_limited.store(false, Ordering::Relaxed);
    // Each of the three gateways sends one request in three seconds.
    send_all(&fleet, &GATEWAYS, look, interval, Duration::from_secs(5));
    let ended_count = server.arrivals().len();
    send_all(&fleet, &GATEWAYS, look, interval, Duration::from_secs(2));
    let from_all = server.arrivals().len() - ended_count;

    expect_that!(
        limits["backend_servers"][0]["id"].as_str(),
        some(eq("limited"))
    );
    expect_that!(
        limits["backend_servers"][0]["limit"].as_f64(),
        some(eq(RATE))
    );
    expect_that!(
        fleet.last_line("g6", "backend_server_limit"),
        contains_substring("limited")
    );
    // The started gateway sends its own share, and no initial requests in ignorance of the limit.
    expect_that!(from_started, le(2));
    expect_that!(from_all, ge(40));
}

/// Guards against callers waiting until their deadline when all backend servers have set a limit.
#[googletest::test]
fn when_all_are_limited_callers_are_told_at_once_when_to_retry() {
    let fleet = start_three_gateways(44);
    let limited = |id: &str| Recorder::start(id, |_| ("200 OK", format!("{LIMIT}: 0.2\r\n")));
    let servers = [limited("a"), limited("b")];
    for server in &servers {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    let (look, interval) = (("GET", "/look/1"), Duration::from_millis(100));
    send_all(&fleet, &GATEWAYS, look, interval, Duration::from_secs(2));

    let responses = send_all(&fleet, &GATEWAYS, look, interval, Duration::from_secs(2));

    let (served, refused): (Vec<_>, Vec<_>) =
        responses.iter().partition(|r| r.response.status() == 200);
    expect_that!(served.len(), le(4));
    for TimedResponse { response, .. } in refused {
        expect_that!(response.status(), eq(503));
        let after: f64 = response.header("retry-after").parse().unwrap();
        expect_that!(after, gt(0.0));
        expect_that!(response.text(), contains_substring("not-run"));
    }
}

/// Backoff that backend servers request, the time within which a gateway must obey it, and the
/// number of requests that may still arrive after that: the bounds that users require.
const BACKOFF: Duration = Duration::from_secs(3);
const OBEYED_WITHIN: Duration = Duration::from_millis(500);
const MAX_LATE: usize = 2;

/// Rejects a request without running it, and requests backoff.
fn reject_and_back_off() -> ResponseHead {
    let headers = format!("{NOT_RUN}: 1\r\n{RETRY_AFTER}: {}\r\n", BACKOFF.as_secs());
    ("503 Service Unavailable", headers)
}

/// Fails a request that may have run, and requests backoff.
fn fail_and_back_off() -> ResponseHead {
    let headers = format!("{RETRY_AFTER}: {}\r\n", BACKOFF.as_secs());
    ("503 Service Unavailable", headers)
}

/// Number of requests of a gateway that arrived while it should have backed off.
fn during_backoff(arrivals: &[Arrival], gateway: u8) -> usize {
    let own = arrivals.iter().filter(|a| a.gateway == gateway);
    let times: Vec<Instant> = own.map(|a| a.at).collect();
    let Some(first) = times.first() else {
        return 0;
    };
    let (from, until) = (*first + OBEYED_WITHIN, *first + BACKOFF);
    times.iter().filter(|t| **t > from && **t < until).count()
}

/// Guards against most callers being rejected while half of the backend servers are idle. Some
/// reject requests and request backoff; as they respond at once they have the least load, so the
/// next requests go to them too, and fail once two of them reject. The retry time was never read:
/// each gateway sent 24 to 39 requests during a backoff of 3 s, from its first second to its last;
/// a gateway that obeyed it in part, or late, would have sent fewer.
#[googletest::test]
fn a_backend_server_that_requests_backoff_receives_nothing_until_its_end() {
    let fleet = start_three_gateways(45);
    let free = |id: &str| Recorder::start(id, |_| ("200 OK", String::new()));
    let plain = Recorder::start("plain-rests", |_| reject_and_back_off());
    let other = Recorder::start("plain-fails", |_| fail_and_back_off());
    let stream = Recorder::start("stream-rests", |_| reject_and_back_off());
    let (plain_free, stream_free) = (free("plain-free"), free("stream-free"));
    for server in [&plain, &other, &plain_free] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    for server in [&stream, &stream_free] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (interval, duration) = (Duration::from_millis(40), Duration::from_secs(5));
    // Before that, two of them may reject a request, which is as many attempts as its route allows.
    let obeyed_by = Instant::now() + OBEYED_WITHIN;
    let responses = thread::scope(|s| {
        let gets = s.spawn(|| send_all(&fleet, &GATEWAYS, ("GET", "/look/1"), interval, duration));
        let mut responses = send_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), interval, duration);
        responses.extend(gets.join().unwrap());
        responses
    });

    for server in [&plain, &other, &stream] {
        for gateway in GATEWAYS {
            let late = during_backoff(&server.arrivals(), gateway);
            expect_that!(late, le(MAX_LATE), "{} from {gateway}", server.backend.id);
        }
    }
    let later = responses.iter().filter(|r| r.sent_at >= obeyed_by);
    let refused = later.filter(|r| r.response.status() != 200);
    expect_that!(refused.count(), eq(0));
}

/// Guards against leaving backend servers that receive requests for seconds after they said so in
/// each response, with the announcement late or missing: only announcements were taken into
/// account, not responses. 15 to 20 requests of each gateway arrived more than half a second after
/// such a response, as many as before it.
#[googletest::test]
fn a_backend_server_that_signals_leaving_in_a_response_receives_nothing_more() {
    let fleet = start_three_gateways(46);
    let leaves = |id: &str| Recorder::start(id, |_| ("200 OK", format!("{LEAVING}: 1\r\n")));
    let free = |id: &str| Recorder::start(id, |_| ("200 OK", String::new()));
    let (plain, stream) = (leaves("plain-leaves"), leaves("stream-leaves"));
    let (plain_free, stream_free) = (free("plain-free"), free("stream-free"));
    for server in [&plain, &plain_free] {
        fleet.announce(&server.backend, "plain", "ready", 1);
    }
    for server in [&stream, &stream_free] {
        fleet.announce(&server.backend, "engines", "ready", 1);
    }

    let (interval, duration) = (Duration::from_millis(40), Duration::from_secs(1));
    let all = |duration| {
        thread::scope(|s| {
            s.spawn(|| send_all(&fleet, &GATEWAYS, ("GET", "/look/1"), interval, duration));
            send_all(&fleet, &GATEWAYS, ("POST", "/draft/1"), interval, duration);
        });
    };
    all(duration);
    // A later announcement that does not mention leaving does not revoke it.
    fleet.announce(&plain.backend, "plain", "ready", 2);
    fleet.announce(&stream.backend, "engines", "ready", 2);
    all(duration);

    for server in [&plain, &stream] {
        for gateway in GATEWAYS {
            let arrivals = server.arrivals();
            let own = arrivals.iter().filter(|a| a.gateway == gateway);
            let own: Vec<Instant> = own.map(|a| a.at).collect();
            let late = own.iter().filter(|t| **t > own[0] + OBEYED_WITHIN);
            expect_that!(late.count(), eq(0), "{} from {gateway}", server.backend.id);
        }
    }
}

/// Guards against callers being held, or told to retry too soon or too late, while all backend
/// servers of a service request backoff, and then all retrying at the same instant.
#[googletest::test]
fn while_all_request_backoff_callers_are_told_when_it_ends() {
    let fleet = start_three_gateways(47);
    let start = Instant::now();
    let backoff = Duration::from_secs(4);
    let server = Recorder::start("rests", move |_| match start.elapsed() < backoff {
        true => (
            "503 Service Unavailable",
            format!("{NOT_RUN}: 1\r\n{RETRY_AFTER}: 10\r\n"),
        ),
        false => ("200 OK", String::new()),
    });
    fleet.announce(&server.backend, "plain", "ready", 1);
    let (look, interval) = (("GET", "/look/1"), Duration::from_millis(50));

    send_all(
        &fleet,
        &GATEWAYS,
        look,
        interval,
        Duration::from_millis(300),
    );
    let arrived = server.arrivals().len();
    let responses = send_all(&fleet, &GATEWAYS, look, interval, Duration::from_secs(2));

    expect_that!(server.arrivals().len(), eq(arrived));
    for TimedResponse { response, .. } in &responses {
        expect_that!(response.status(), eq(503));
        expect_that!(response.text(), contains_substring("not-run"));
        let after: f64 = response.header("retry-after").parse().unwrap();
        expect_that!(after, ge(6.0));
    }
    // Callers that are rejected at once keep to their sending interval.
    expect_that!(responses.len(), ge(90));
}

/// A fake backend server process, killed when dropped.
struct FakeServer(Child);

impl Drop for FakeServer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against fake backend servers that cannot reproduce limits and backoff.
#[googletest::test]
fn a_fake_backend_server_sets_a_limit_and_backoff_on_command() {
    let fleet = Fleet::start(48);
    let address = free_address().to_string();
    let control = fleet.control(1).to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
    let args = "fake --kind plain --name stand-in --service plain";
    command.args(args.split(' '));
    command.args(["--listen", &address, "--control", &control]);
    let _fake_server = FakeServer(command.stdout(Stdio::null()).spawn().unwrap());
    let post = |path: &str, body: &str| {
        let response = ureq::post(format!("http://{address}/fake/{path}")).send(body);
        expect_true!(response.is_ok(), "{path}");
    };
    let is_served = |f: &Fleet| f.send(4, "GET", "/look/1", "4-served").status() == 200;
    fleet.wait("fake backend server", is_served);

    post("limit", "0.05");
    fleet.wait("limit", |f| {
        f.send(4, "GET", "/look/1", "4-limit");
        read_limits(f)["backend_servers"][0]["limit"].as_f64() == Some(0.05)
    });
    let limited = fleet.send(4, "GET", "/look/1", "4-limited");
    post("limit", "");
    post("rest", "2");
    // Few requests are sent while a limit is set; the other gateway has its own share.
    fleet.wait("rest", |f| {
        f.send(5, "GET", "/look/1", "5-rest");
        f.send(4, "GET", "/look/1", "4-rest");
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

/// Guards against malformed headers that take a backend server out of service, and against the
/// weaker of two values taking effect.
#[googletest::test]
fn malformed_headers_are_ignored_and_the_stricter_of_two_values_holds() {
    let fleet = Fleet::start(49);
    let start =
        |id: &str, headers: &'static str| Recorder::start(id, |_| ("200 OK", headers.into()));
    let malformed = "server-limit: -1\r\nserver-leaving: perhaps\r\nretry-after: 100\r\n";
    let invalid = start("garbled", malformed);
    let duplicate = start("double", "server-limit: 50\r\nserver-limit: 0.05\r\n");
    fleet.announce(&invalid.backend, "engines", "ready", 1);
    fleet.announce(&duplicate.backend, "plain", "ready", 1);
    let send = |path, method| {
        let interval = Duration::from_millis(20);
        send_all(
            &fleet,
            &[4],
            (method, path),
            interval,
            Duration::from_secs(1),
        )
    };

    let drafts = send("/draft/1", "POST");
    let line = fleet.last_line("g4", "backend_server_asked");
    send("/look/1", "GET");

    let served = drafts.iter().filter(|r| r.response.status() == 200).count();
    expect_that!(served, eq(drafts.len()));
    expect_that!(line, contains_substring("\"unread\":true"));
    expect_that!(line, contains_substring("\"rest_ms\":null"));
    expect_that!(
        read_limits(&fleet)["backend_servers"][0]["limit"].as_f64(),
        some(eq(0.05))
    );
    expect_that!(duplicate.arrivals().len(), le(3));
}

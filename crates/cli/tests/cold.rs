//! A cold backend server that several gateways send requests to, in separate processes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

// Other test targets use the rest of this module.
#[allow(dead_code)]
mod fleet;

use fleet::Fleet;
use fleet::recording::{Recorder, send_all};
use googletest::prelude::*;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const GATEWAYS: [u8; 3] = [4, 5, 6];
/// Requests a second that the document allows a cold backend server.
const BOUND: u64 = 12;
const COLD_MS: u64 = 4_000;

/// A fake backend server process, killed when dropped.
struct FakeServer {
    child: Child,
    address: SocketAddr,
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl FakeServer {
    /// Starts a backend server that announces itself as cold.
    fn start(fleet: &Fleet) -> FakeServer {
        // No gateway has this number.
        let address = fleet.callers(9);
        let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
        command.args("fake --kind plain --name stand-in --service plain".split(' '));
        command.args(["--listen", &address.to_string()]);
        command.args(["--control", &fleet.control(1).to_string()]);
        command.args(["--cold-ms", &COLD_MS.to_string()]);
        let child = command.stdout(Stdio::null()).spawn().unwrap();
        FakeServer { child, address }
    }

    fn command(&self, name: &str, body: &str) -> String {
        let url = format!("http://{}/fake/{name}", self.address);
        let mut response = ureq::post(url).send(body).unwrap();
        response.body_mut().read_to_string().unwrap()
    }

    /// Requests of the latest cold period: in total, and the most within a second.
    fn cold_arrivals(&self) -> (u64, u64) {
        let counts = self.command("cold-arrivals", "");
        let counts: serde_json::Value = serde_json::from_str(&counts).unwrap();
        let count = |name: &str| counts[name].as_u64().unwrap();
        (count("total"), count("max_in_second"))
    }
}

/// Guards against gateways that together send a cold backend server more requests than it can
/// handle: it looks idle, and each of them prefers it.
#[googletest::test]
fn a_cold_backend_server_gets_no_more_than_its_bound() {
    let mut fleet = Fleet::start(137);
    let plain = "\"name\": \"plain\",";
    let terms = format!("{plain} \"cold-start-s\": 4, \"cold-per-s\": {BOUND},");
    let document = fleet::document().replace(plain, &terms);
    fleet.commit_document(&document.replace("\"version\": 7", "\"version\": 8"));
    fleet.run_gateway(6);
    fleet.wait("third gateway", |f| f.ready(6));
    let in_force = |f: &Fleet, n| {
        let line = f.last_line(&format!("g{n}"), "document_in_force");
        line.contains("\"version\":8")
    };
    fleet.wait("document", |f| GATEWAYS.iter().all(|n| in_force(f, *n)));
    let listed = |f: &Fleet, n: &u8| f.addresses(4).contains(&f.callers(*n).to_string());
    fleet.wait("list", |f| GATEWAYS.iter().all(|n| listed(f, n)));
    let free = Recorder::start("free", |_| ("200 OK", String::new()));
    // With fewer slots it is the second choice.
    let announcement = serde_json::json!({
        "service": "plain", "address": free.backend.address, "zone": "d1", "slots": 2,
        "state": "ready", "sequence": 1,
    });
    let announcement = announcement.to_string();
    let mut record = bn_platform::parse_announcement("free", announcement.as_bytes()).unwrap();
    record.cold_left = Some(Duration::ZERO);
    let announcement = bn_platform::encode_announcement(&record).unwrap();
    fleet.put_announcement(2, "free", &String::from_utf8(announcement).unwrap());
    let knows = |f: &Fleet, n| {
        let line = f.last_line(&format!("g{n}"), "backend_server");
        line.contains("\"free\"")
    };
    fleet.wait("free", |f| GATEWAYS.iter().all(|n| knows(f, *n)));
    let (look, interval) = (("GET", "/look/1"), Duration::from_millis(40));
    let load = |fleet: &Fleet| {
        let time = Duration::from_millis(COLD_MS + 1_500);
        send_all(fleet, &GATEWAYS, look, interval, time)
    };

    let server = FakeServer::start(&fleet);
    let mut responses = load(&fleet);
    let announced = server.cold_arrivals();
    let learnt = fleet.last_line("g4", "backend_server_cold");
    server.command("cold", &COLD_MS.to_string());
    responses.extend(load(&fleet));
    let answered = server.cold_arrivals();

    // Each of the three gateways may send one request in 1.1 s: two fifths of the bound, rounded
    // down, are theirs. They were put on the list just before the first period and wait for 2 s.
    for ((total, max), least) in [(announced, BOUND / 4), (answered, BOUND * 3 / 4)] {
        expect_that!(max, le(BOUND));
        expect_that!(total, ge(least));
    }
    expect_that!(learnt, contains_substring("stand-in"));
    expect_that!(
        fleet.last_line("g4", "backend_server_cold"),
        contains_substring("\"source\":\"answered\"")
    );
    let refused = responses.iter().filter(|r| r.response.status() != 200);
    expect_that!(refused.count(), eq(0));
}

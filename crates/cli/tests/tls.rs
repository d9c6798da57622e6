//! Keys travel by TLS where a certificate is set: callers and operators get in with it,
//! and nothing is answered in the clear.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use testbed::{System, SystemSpec};

const WITHIN: Duration = Duration::from_secs(20);

fn ctl(system: &System, with_ca: bool, text: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
    if with_ca {
        command.arg("--ca").arg(system.certificate());
    }
    command
        .args(["ctl", "--at", &system.operator_address("e1"), text])
        .output()
        .unwrap()
}

/// One entry with a certificate, ready for commands.
fn system() -> System {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        tls: true,
        ..SystemSpec::default()
    });
    system.start("e1");
    let start = Instant::now();
    // The entry is listed once it holds a lease.
    while !String::from_utf8_lossy(&ctl(&system, true, "show entries").stdout).contains("e1") {
        assert!(start.elapsed() < WITHIN, "not ready");
        std::thread::sleep(Duration::from_millis(50));
    }
    system
}

#[gtest]
fn operators_and_callers_connect_by_tls() {
    let system = system();

    let shown = ctl(&system, true, "show entries");
    let demo = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
        .arg("--ca")
        .arg(system.certificate())
        .args([
            "bench",
            "load",
            "--ask",
            &system.caller_address("e1"),
            "--rate",
            "5",
            "--seconds",
            "1",
        ])
        .output()
        .unwrap();

    expect_that!(
        String::from_utf8_lossy(&shown.stdout),
        contains_substring("e1")
    );
    // Without a backend server every request is refused, by TLS.
    expect_that!(
        String::from_utf8_lossy(&demo.stdout),
        contains_substring("not-run (503)")
    );
}

/// Symptom: a key can be read on the wire. Sequence: a caller or operator connects
/// without TLS, or trusts nobody. Cause: the port still answers in the clear.
#[gtest]
fn nothing_is_answered_in_the_clear() {
    let system = system();

    let plain = ctl(&system, false, "show entries");
    let mut stream = TcpStream::connect(system.caller_address("e1")).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    stream
        .write_all(b"GET /v1/addresses HTTP/1.1\r\nHost: e1\r\n\r\n")
        .unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);

    expect_false!(plain.status.success());
    expect_that!(
        String::from_utf8_lossy(&answer),
        not(contains_substring("HTTP/1.1 200"))
    );
}

//! Where a certificate is configured, callers and operators connect over TLS and plaintext
//! connections are not answered, so that keys are always encrypted.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use testbed::{System, SystemSpec};

const TIMEOUT: Duration = Duration::from_secs(20);

fn ctl(system: &System, with_ca: bool, text: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"));
    if with_ca {
        command.arg("--ca").arg(system.certificate());
    }
    command
        .args(["ctl", "--at", &system.operator_addr("e1"), text])
        .output()
        .unwrap()
}

/// Starts one entry with a certificate and waits until it accepts commands.
fn system() -> System {
    let mut system = System::new(SystemSpec {
        entries: 1,
        control: 1,
        tls: true,
        ..SystemSpec::default()
    });
    system.start("e1");
    let start = Instant::now();
    // The entry is listed as soon as it holds a lease.
    while !String::from_utf8_lossy(&ctl(&system, true, "show entries").stdout).contains("e1") {
        assert!(
            start.elapsed() < TIMEOUT,
            "entry not ready within {TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    system
}

#[gtest]
fn operators_and_callers_connect_over_tls() {
    let system = system();

    let listing = ctl(&system, true, "show entries");
    let bench = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
        .arg("--ca")
        .arg(system.certificate())
        .args([
            "bench",
            "load",
            "--ask",
            &system.caller_addr("e1"),
            "--rate",
            "5",
            "--seconds",
            "1",
        ])
        .output()
        .unwrap();

    expect_that!(
        String::from_utf8_lossy(&listing.stdout),
        contains_substring("e1")
    );
    // There is no backend server, so every request is refused, over TLS.
    expect_that!(
        String::from_utf8_lossy(&bench.stdout),
        contains_substring("not-run (503)")
    );
}

/// Guards against keys that can be read on the network: a caller or operator connects without TLS,
/// or trusts no certificate, and the port still answers in plaintext.
#[gtest]
fn plaintext_connections_are_not_answered() {
    let system = system();

    let plain = ctl(&system, false, "show entries");
    let mut stream = TcpStream::connect(system.caller_addr("e1")).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
        .write_all(b"GET /v1/addresses HTTP/1.1\r\nHost: e1\r\n\r\n")
        .unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);

    expect_false!(plain.status.success());
    expect_that!(
        String::from_utf8_lossy(&response),
        not(contains_substring("HTTP/1.1 200"))
    );
}

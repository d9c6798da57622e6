//! Tests of `losses`, which counts late and refused requests in log files.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use googletest::prelude::*;
use std::process::Command;
use tempfile::TempDir;

const LOG: &str = r#"{"ms":1000,"process":"g","event":"started"}
{"ms":1500,"process":"g","event":"stream_whole","in_time":true,"first_ms":90,"longest_pause_ms":60}
{"ms":1600,"process":"g","event":"stream_whole","in_time":false,"first_ms":90,"longest_pause_ms":160}
{"ms":1700,"process":"g","event":"stream_whole","in_time":false,"first_ms":900,"longest_pause_ms":60}
{"ms":1800,"process":"g","event":"stream_whole","in_time":false,"first_ms":900,"longest_pause_ms":60,"came_back":true}
{"ms":1900,"process":"g","event":"stream_whole","in_time":false,"first_ms":900,"longest_pause_ms":130,"target_ms":1000,"max_pause_ms":120}
   3.5 g {"ms":3500,"process":"g","event":"refused","why":"all are full"}
{"ms":3600,"process":"c","event":"hold_found","number":7}
{"ms":3700,"process":"g","event":"ref"#;

#[googletest::test]
fn losses_are_counted_by_time_and_cause() {
    let directory = TempDir::new().unwrap();
    let file = directory.path().join("g.log");
    std::fs::write(&file, LOG).unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
        .arg("losses")
        .arg(&file)
        .output()
        .unwrap();

    let text = String::from_utf8(output.stdout).unwrap();
    let normalized = |text: &str| {
        let single_spaced = |l: &str| l.split_whitespace().collect::<Vec<_>>().join(" ");
        text.lines().map(single_spaced).collect::<Vec<_>>()
    };
    let rows = normalized(&text);
    let (windows, totals) = rows.split_at(rows.iter().position(|r| r == "in all").unwrap());
    expect_that!(windows[0].as_str(), starts_with("0.0 s 4 #"));
    expect_that!(windows[4].as_str(), starts_with("2.0 s 2 #"));
    expect_that!(
        totals[1..].to_vec(),
        unordered_elements_are![
            // By its route's own target, the first event of the last one is in time.
            eq("2 late: a pause"),
            eq("1 late: first event"),
            eq("1 late: came back"),
            eq("1 refused: all are full"),
            eq("1 group: hold_found"),
        ]
    );
}

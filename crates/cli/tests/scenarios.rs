//! Runs every file of `tests/scenarios` as a test of its own. Few at a time: each is
//! a system of a dozen processes, and leases are a matter of real time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use libtest_mimic::{Arguments, Trial};
use std::fs;
use std::path::Path;

const AT_A_TIME: usize = 3;

fn main() {
    let mut args = Arguments::from_args();
    args.test_threads = args.test_threads.or(Some(AT_A_TIME));
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .flatten()
        .map(|entry| entry.path())
        .collect();
    files.sort();
    let trial = |path: std::path::PathBuf| {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        Trial::test(name, move || testbed::run(&path).map_err(Into::into))
    };
    libtest_mimic::run(&args, files.into_iter().map(trial).collect()).exit();
}

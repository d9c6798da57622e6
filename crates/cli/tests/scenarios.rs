//! Runs every file of `tests/scenarios` as a separate test. Only a few run in parallel: each starts
//! about a dozen processes, and leases depend on real time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod testbed;

use libtest_mimic::{Arguments, Trial};
use std::fs;
use std::path::Path;

const MAX_PARALLEL: usize = 3;

fn main() {
    let mut args = Arguments::from_args();
    args.test_threads = args.test_threads.or(Some(MAX_PARALLEL));
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = fs::read_dir(directory)
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

//! Cost of a digest by the size of the body, and of the verdict on a request with three parts while
//! the table is full: `cargo bench -p bn-quarantine`.

use bn_quarantine::{Start, Table, part_digest};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Body sizes in bytes: empty, a usual prompt, a long one, the largest that deployments allow.
const BODY_SIZES: [usize; 4] = [0, 1_000, 64 << 10, 4 << 20];
/// Bytes hashed per size.
const HASHED_BYTES: usize = 256 << 20;

/// Parts with a case; the first ones are refused.
const CASES: u64 = 4_096;
const REFUSED: u64 = 64;
const VERDICTS: u32 = 100_000;

fn main() {
    print_digests();
    print_verdicts();
}

/// Harmless parts, and a refused one: what else may be the cause of its terminations is looked up.
fn print_verdicts() {
    let mut table = Table::default();
    for id in 0..CASES {
        let sole_trial = id < REFUSED;
        for number in 0..3 {
            let id_text = format!("{id}-{number}");
            let start = Start {
                id: id_text,
                start_time: 0,
            };
            table.add_termination(Duration::ZERO, part_digest("s", id), &start, sole_trial);
        }
    }
    for (what, first) in [("no case", CASES), ("a refused part", 0)] {
        let start = Instant::now();
        for _ in 0..VERDICTS {
            let parts = [first, CASES + 1, CASES + 2];
            let digests = parts.map(|id| part_digest(black_box("s"), id));
            black_box(table.verdict(digests));
        }
        let per_verdict = start.elapsed().as_secs_f64() * 1e6 / f64::from(VERDICTS);
        println!("verdict on three parts, {what}: {per_verdict:.2} us");
    }
}

fn print_digests() {
    for size in BODY_SIZES {
        let body = vec![7; size];
        let rounds = HASHED_BYTES / size.max(1_000);
        let start = Instant::now();
        for _ in 0..rounds {
            let parts: [&[u8]; 4] = [b"account", b"POST", b"/draft/1", &body];
            black_box(bn_quarantine::digest(black_box(&parts)));
        }
        let per_digest = start.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        println!("body of {size} bytes: {per_digest:.2} us");
    }
}

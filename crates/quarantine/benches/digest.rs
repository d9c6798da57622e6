//! Cost of a digest by the size of the body: `cargo bench -p bn-quarantine`.

use std::hint::black_box;
use std::time::Instant;

/// Body sizes in bytes: empty, a usual prompt, a long one, the largest that deployments allow.
const BODY_SIZES: [usize; 4] = [0, 1_000, 64 << 10, 4 << 20];
/// Bytes hashed per size.
const HASHED_BYTES: usize = 256 << 20;

fn main() {
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

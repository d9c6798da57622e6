//! What a digest costs, by the size of a body: `cargo bench -p bn-quarantine`.

use std::hint::black_box;
use std::time::Instant;

/// Bodies in bytes: none, a usual prompt, a long one, the largest that deployments allow.
const SIZES: [usize; 4] = [0, 1_000, 64 << 10, 4 << 20];
/// Bytes hashed for each figure.
const BYTES: usize = 256 << 20;

fn main() {
    for size in SIZES {
        let body = vec![7; size];
        let rounds = BYTES / size.max(1_000);
        let began = Instant::now();
        for _ in 0..rounds {
            let parts: [&[u8]; 4] = [b"account", b"POST", b"/draft/1", &body];
            black_box(bn_quarantine::digest(black_box(&parts)));
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / rounds as f64;
        println!("body of {size} bytes: {each:.2} us");
    }
}

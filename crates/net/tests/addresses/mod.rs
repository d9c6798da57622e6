//! Addresses for listeners of a test process that no other process is given.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port handed out. All ports lie below the kernel's ephemeral range (from 32768), so no
/// outgoing connection and no bind to port 0 takes one of them.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// An address with an unused port, on a loopback address derived from the process id, which is
/// unique among running processes.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port <= LAST_PORT, "all ports are used");
    // Process ids have at most 22 bits; 127.128.0.0 to 127.191.255.255 is used by nothing else here.
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 128 | (high & 63), middle, low], port))
}

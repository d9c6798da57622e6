//! Resource usage of this process, from `/proc` (Linux).

use std::fs;

/// Clock ticks per second in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;
/// Fields of `/proc/self/stat` after the process name, from 0: user and system time.
const UTIME_FIELD: usize = 11;
const STIME_FIELD: usize = 12;

/// CPU time and memory of this process.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ProcessUsage {
    /// CPU time in seconds, user and system.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage; values that the system does not provide are zero.
pub fn process_usage() -> ProcessUsage {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<u64>().ok());
    ProcessUsage {
        cpu_seconds: (ticks(UTIME_FIELD) + ticks(STIME_FIELD)) / TICKS_PER_SECOND,
        resident_bytes: pages.unwrap_or(0) * PAGE_BYTES,
    }
}

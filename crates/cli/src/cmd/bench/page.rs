//! Reads counters from the metrics page of a process.

use crate::error::CliResult;
use crate::http;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Counters of one process at one point in time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counters {
    pub(crate) cpu_seconds: f64,
    pub(crate) resident_bytes: f64,
    pub(crate) sent_bytes: f64,
    pub(crate) received_bytes: f64,
}

/// Reads the metrics page at an operators' address.
pub(crate) fn read(address: &str) -> CliResult<Counters> {
    let text = http::get(&http::url(address, "/metrics"), TIMEOUT)?.text;
    let value = |name: &str| {
        let line = text.lines().find(|l| l.split(' ').next() == Some(name));
        line.and_then(|l| l.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0.0)
    };
    Ok(Counters {
        cpu_seconds: value("process_cpu_seconds"),
        resident_bytes: value("process_resident_bytes"),
        sent_bytes: value("link_bytes"),
        received_bytes: value("link_received_bytes"),
    })
}

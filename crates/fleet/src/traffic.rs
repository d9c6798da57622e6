//! Counts of the messages that processes send and receive.

use std::time::Duration;

/// Messages and bytes of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Messages, sent and received.
    pub messages: u64,
    /// Their encoded bytes, without the overhead of the transport.
    pub bytes: u64,
}

/// Traffic of the busiest process of a role over some time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TrafficRate {
    /// Messages per second, sent and received.
    pub messages: f64,
    /// Bytes per second.
    pub bytes: f64,
}

impl Traffic {
    pub(crate) fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Highest rate of any of these processes over `time`, messages and bytes separately.
pub(crate) fn peak_rate(counts: impl Iterator<Item = Traffic>, time: Duration) -> TrafficRate {
    let seconds = time.as_secs_f64();
    counts.fold(TrafficRate::default(), |max, t| TrafficRate {
        messages: max.messages.max(t.messages as f64 / seconds),
        bytes: max.bytes.max(t.bytes as f64 / seconds),
    })
}

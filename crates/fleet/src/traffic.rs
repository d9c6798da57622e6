//! Counts of what processes send and receive.

use std::time::Duration;

/// Messages and bytes of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Messages, sent and received.
    pub messages: u64,
    /// Bytes of them, without what the transport adds.
    pub bytes: u64,
}

/// The busiest process of a role over some time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Messages a second, sent and received.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
}

impl Tally {
    pub(crate) fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// The most that one of these processes had over that time.
pub(crate) fn busiest(tallies: impl Iterator<Item = Tally>, time: Duration) -> Load {
    let seconds = time.as_secs_f64();
    tallies.fold(Load::default(), |most, t| Load {
        messages: most.messages.max(t.messages as f64 / seconds),
        bytes: most.bytes.max(t.bytes as f64 / seconds),
    })
}

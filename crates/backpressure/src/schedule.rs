//! When a gateway that is one of the senders may send its next request.

use std::time::Duration;

/// A gateway that becomes one of the senders waits this long before it sends: the previous sender
/// may not have received the change yet. Twice the time that a change takes to reach the gateways.
pub(crate) const JOIN_DELAY: Duration = Duration::from_secs(2);

/// Whether, and how often, this gateway may send.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Schedule {
    /// Interval between two requests; `None` if only others send.
    pub(crate) interval: Option<Duration>,
    /// When the next request may be sent.
    next_at: Duration,
}

impl Schedule {
    /// Changes the interval; `false` if it stays the same. A gateway that becomes a sender first
    /// sends at a random time within an interval from `earliest` on.
    pub(crate) fn set_interval(
        &mut self,
        earliest: Duration,
        interval: Option<Duration>,
        draw: f64,
    ) -> bool {
        match (self.interval, interval) {
            (before, after) if before == after => return false,
            (Some(before), Some(interval)) => {
                self.next_at = self.next_at.saturating_sub(before) + interval
            }
            (None, Some(interval)) => {
                self.next_at = self.next_at.max(earliest + interval.mul_f64(draw));
            }
            (_, None) => {}
        }
        self.interval = interval;
        true
    }

    /// When the next request may be sent; `None` if only others send.
    pub(crate) fn next_send_at(&self) -> Option<Duration> {
        self.interval.map(|_| self.next_at)
    }

    pub(crate) fn on_sent(&mut self, now: Duration) {
        self.next_at = now + self.interval.unwrap_or_default();
    }
}

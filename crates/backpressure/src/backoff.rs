//! The rest that a backend server wants of one gateway.

use std::time::Duration;

/// Longest rest that is kept, however long a backend server wants it: one that never answers again because
/// of a slip is asked once an hour.
const LONGEST: Duration = Duration::from_secs(3_600);
/// Gateways that were turned away together come back spread over this part of the rest, and at the most
/// over this time.
const SPREAD: f64 = 0.1;
const MOST_SPREAD: Duration = Duration::from_millis(300);
/// After the rest one request goes there, and the next after this time: until one was taken, more would be
/// turned away as those before.
const TRY_GAP: Duration = Duration::from_millis(500);

/// A rest, until a request was answered that was sent after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rest {
    asked_at: Duration,
    until: Duration,
}

impl Rest {
    /// A backend server wants this long a rest now; `draw` is a number in `0..1`. None where it wants none.
    pub fn asked(now: Duration, time: Duration, draw: f64) -> Option<Rest> {
        let time = time.min(LONGEST);
        let spread = time.mul_f64(SPREAD).min(MOST_SPREAD).mul_f64(draw);
        let rest = Rest {
            asked_at: now,
            until: now + time + spread,
        };
        (!time.is_zero()).then_some(rest)
    }

    /// The same or a later end, where another answer wants it: answers overtake each other, and a rest that
    /// was asked for holds.
    pub fn and(self, other: Rest) -> Rest {
        Rest {
            asked_at: self.asked_at.max(other.asked_at),
            until: self.until.max(other.until),
        }
    }

    /// When the next request may go.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// A request goes there to find out whether more may.
    pub(crate) fn tried(&mut self, now: Duration) {
        self.until = self.until.max(now + TRY_GAP);
    }

    /// An answer that asks for none ends it, if its request was sent after the rest was asked for.
    pub(crate) fn is_over(&self, sent: Duration) -> bool {
        sent > self.asked_at
    }
}

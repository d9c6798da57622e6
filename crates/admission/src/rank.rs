//! Order of requests by urgency.

use crate::Priority;

/// Number of priorities that queues distinguish; less urgent ones count as the last.
const PRIORITIES: Priority = 10;

/// Urgency of a request: its priority first, and within one priority requests that can still be in
/// time before late ones. A retry is therefore never placed behind a less urgent newcomer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rank {
    /// Its level on a ranked service, otherwise the priority of its account or route.
    pub priority: Priority,
    /// It can no longer be in time.
    pub late: bool,
}

impl Rank {
    /// Position in a queue whose highest values go first.
    pub fn queue_priority(self) -> u32 {
        2 * PRIORITIES.saturating_sub(self.priority) + u32::from(!self.late)
    }

    /// The rank of requests with this position in a queue.
    pub fn from_queue_priority(position: u32) -> Rank {
        Rank {
            priority: PRIORITIES.saturating_sub(position / 2),
            late: position.is_multiple_of(2),
        }
    }

    /// Capacity is reserved for first attempts of priorities below this value.
    pub(crate) fn reserve_below(self) -> Priority {
        self.priority.saturating_add(u32::from(self.late))
    }
}

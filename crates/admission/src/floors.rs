//! Minimum share of the starts for less urgent requests that wait.

use crate::Priority;
use indexmap::IndexMap;

/// Minimum ratio of a priority's starts per arrival to the starts per arrival of all requests. Below
/// 0.25 a priority counts as starved; the margin covers requests that are refused before their turn.
const MIN_START_RATIO: f64 = 0.3;
/// Bounds of [`starts_per_turn`].
pub(crate) const MIN_STARTS_PER_TURN: f64 = 4.0;
const MAX_STARTS_PER_TURN: f64 = 32.0;

/// Counts the starts since each priority's last one.
#[derive(Debug, Clone, Default)]
pub struct Floors {
    skipped: IndexMap<Priority, u32>,
}

impl Floors {
    /// Records a start of a request.
    pub fn record_start(&mut self, priority: Priority) {
        self.skipped.insert(priority, 0);
        for (other, skipped) in &mut self.skipped {
            if *other > priority {
                *skipped = skipped.saturating_add(1);
            }
        }
    }

    /// Makes a priority known, so that starts of others count from now on.
    pub fn record_waiting(&mut self, priority: Priority) {
        self.skipped.entry(priority).or_insert(0);
    }

    /// Of these priorities with waiting requests, the one whose turn it is regardless of the
    /// reserve. `share` returns a priority's share of all arrivals.
    pub fn due(&self, waiting: &[Priority], share: impl Fn(Priority) -> f64) -> Option<Priority> {
        let overdue = |p: &&Priority| {
            let skipped = self.skipped.get(*p).copied().unwrap_or(0);
            f64::from(skipped) + 1.0 >= starts_per_turn(share(**p))
        };
        waiting.iter().filter(overdue).max().copied()
    }
}

/// Number of starts of which one goes to a priority with this share of all arrivals. A constant
/// would take more from urgent requests than a rare priority needs.
pub(crate) fn starts_per_turn(share: f64) -> f64 {
    let share = if share.is_finite() {
        share.clamp(0.0, 1.0)
    } else {
        0.0
    };
    (1.0 / (MIN_START_RATIO * share)).clamp(MIN_STARTS_PER_TURN, MAX_STARTS_PER_TURN)
}

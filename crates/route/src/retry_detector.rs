//! Telling callers that ask for the first time from those that come back.
//!
//! A caller that was refused or cut off asks again with less time left; it cannot be in time
//! any more, so that a place is better given to one that still can. Nothing in a request says
//! which it is. But the callers of a route wait for about the same time, give or take a
//! seventh, and who is refused is told to come back after a second or more: whoever has much
//! less left than the most that was seen of late has asked before. The route's timeout does
//! not tell, nor does a narrow margin: where few are refused, most of those so labelled would be
//! callers that wait a little less.

use indexmap::IndexMap;
use std::time::Duration;

/// Time for which the longest wait of a route is remembered at least, and twice that at
/// most: routes get other callers with new documents.
const REMEMBERED: Duration = Duration::from_secs(10);
/// Part of the longest wait that a first try has at least: callers of a route differ by a seventh.
/// Those told to come back soon may have more left than that, and are missed.
const FRESH: f64 = 0.84;

#[derive(Debug, Clone, Copy, Default)]
struct Longest {
    began: Duration,
    now: Duration,
    before: Duration,
}

/// The longest waits that callers announced of late, by route.
#[derive(Debug, Clone, Default)]
pub struct Patience(IndexMap<String, Longest>);

impl Patience {
    /// A caller of `route` waits for `wait` more; whether it has asked before.
    pub fn came_back(&mut self, now: Duration, route: &str, wait: Duration) -> bool {
        let longest = match self.0.get_mut(route) {
            Some(longest) => longest,
            None => self.0.entry(route.into()).or_default(),
        };
        if now >= longest.began + REMEMBERED {
            let idle = now >= longest.began + 2 * REMEMBERED;
            longest.before = if idle { Duration::ZERO } else { longest.now };
            longest.now = Duration::ZERO;
            longest.began = now;
        }
        longest.now = longest.now.max(wait);
        wait < longest.now.max(longest.before).mul_f64(FRESH)
    }
}

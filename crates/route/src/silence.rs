//! Backend servers that owe answers and send nothing.
//!
//! An instance that stands still keeps its connections: its kernel accepts and acknowledges requests
//! that no process reads. Such a backend server has the fewest requests in flight once its callers
//! have left, so it attracts all others until it is known to be silent.

use crate::fleet::Fleet;
use crate::server::{Server, StartTime};
use std::time::Duration;

/// Signs of life of one backend server, as seen by this gateway.
#[derive(Debug, Clone, Default)]
pub(crate) struct Signs {
    /// Since when it has owed an answer without interruption.
    owed_since: Option<Duration>,
    /// When something was last received from it.
    heard_at: Option<Duration>,
    /// It counts as silent.
    silent: bool,
}

impl Signs {
    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.owed_since.get_or_insert(now);
    }

    pub(crate) fn record_idle(&mut self) {
        self.owed_since = None;
    }

    /// Time for which it has owed an answer and sent nothing.
    fn silence(&self, now: Duration) -> Duration {
        // Nothing received counts as received long ago.
        let heard_at = self.heard_at.unwrap_or_default();
        let since = self.owed_since.map(|owed| owed.max(heard_at));
        since.map_or(Duration::ZERO, |s| now.saturating_sub(s))
    }
}

impl Fleet {
    /// Records that something was received from this start of a backend server; `true` if it counted
    /// as silent.
    pub fn record_heard(&mut self, now: Duration, id: &str, start_time: StartTime) -> bool {
        let server = self.servers.get_mut(id);
        let Some(server) = server.filter(|s| s.start_time == start_time) else {
            return false;
        };
        server.signs.heard_at = Some(now);
        std::mem::take(&mut server.signs.silent)
    }

    /// When something was last received from a backend server.
    pub fn heard_at(&self, id: &str) -> Option<Duration> {
        self.servers.get(id)?.signs.heard_at
    }

    /// Whether most of the other backend servers of the service that owe answers have sent nothing
    /// for half of `timeout` either: the whole service pauses, or nothing reaches this gateway.
    pub fn is_silence_common(&self, now: Duration, id: &str, timeout: Duration) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let owes = |s: &&Server| s.id != *id && s.signs.owed_since.is_some();
        let (mut owing, mut silent) = (0, 0);
        for other in self.in_service(&server.service).filter(owes) {
            owing += 1;
            silent += u32::from(other.signs.silence(now) >= timeout / 2);
        }
        2 * silent > owing
    }

    /// Records that a backend server owes an answer that is overdue: others are preferred until
    /// something is received from it. Returns `false` if it counted as silent before.
    pub fn mark_silent(&mut self, id: &str) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|s| !std::mem::replace(&mut s.signs.silent, true))
    }

    /// Whether this start of a backend server counts as silent.
    pub fn is_silent(&self, id: &str, start_time: StartTime) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|s| s.start_time == start_time && s.signs.silent)
    }
}

/// Leaves out silent backend servers, and those that have owed an answer for `doubt_after` without
/// sending anything.
pub(crate) fn without_silent<'a>(
    now: Duration,
    servers: &[&'a Server],
    doubt_after: Duration,
) -> Vec<&'a Server> {
    let is_avoided = |s: &Server| s.signs.silent || s.signs.silence(now) >= doubt_after;
    let kept = servers.iter().copied().filter(|s| !is_avoided(s));
    kept.collect()
}

//! Trials of suspects: the leader lets one at a time run in the whole fleet.
//!
//! Copies of a request arrive at several gateways at once. If each of them tried it, a request that
//! terminates backend servers would terminate as many more as there are gateways before the first
//! one is known.

use crate::Digest;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest time for which a trial blocks others, whatever its gateway asks: the gateway may be
/// gone.
const MAX_TRIAL: Duration = Duration::from_secs(30);
/// Grace period after a trial without a complete response, for the report that its backend server
/// terminated. A probe takes at most 0.6 s (two connections of 0.25 s, and 0.1 s for the first to
/// prove stable), the report some milliseconds.
const GRACE: Duration = Duration::from_millis(800);

/// For how long requests with several suspects are not tried: those with one of them say more, and
/// end no backend server if theirs is harmless.
const JOINT_DELAY: Duration = Duration::from_secs(1);
/// How long it is known that a suspect was asked for.
const ASK_RETENTION: Duration = Duration::from_secs(10);

/// The running trials, and the suspects that were asked for.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    /// When each stops blocking others.
    running: IndexMap<Digest, Duration>,
    /// First time that each suspect was asked for.
    asked: IndexMap<Digest, Duration>,
    /// Trials of several suspects, and until when terminations are blamed on them.
    joint: Vec<(Vec<Digest>, Duration)>,
}

impl Trials {
    /// Whether a trial of one suspect may run now; it takes at most `time`.
    pub fn grant(&mut self, now: Duration, digest: Digest, time: Duration) -> bool {
        self.grant_all(now, &[digest], time, false)
    }

    /// Whether a trial of a request with these suspects may run now; it takes at most `time`. One of
    /// several that were tried before needs no delay: it tells which of them is harmless.
    pub fn grant_all(
        &mut self,
        now: Duration,
        digests: &[Digest],
        time: Duration,
        tried: bool,
    ) -> bool {
        self.running.retain(|_, until| *until > now);
        self.asked.retain(|_, at| now < *at + ASK_RETENTION);
        self.joint.retain(|(_, until)| *until > now);
        let mut joint_at = now;
        for digest in digests {
            let asked_at = *self.asked.entry(*digest).or_insert(now);
            joint_at = joint_at.max(asked_at + JOINT_DELAY);
        }
        let too_early = digests.len() > 1 && !tried && now < joint_at;
        if too_early || digests.iter().any(|d| self.running.contains_key(d)) {
            return false;
        }
        let until = now + time.min(MAX_TRIAL) + GRACE;
        self.running.extend(digests.iter().map(|d| (*d, until)));
        if digests.len() > 1 {
            self.joint.push((digests.to_vec(), until));
        }
        true
    }

    /// The suspects of a trial of several, all of which were at a termination under `digests`.
    pub fn joint_of(&self, digests: &[Digest]) -> Option<&[Digest]> {
        let is_there = |set: &[Digest]| set.iter().all(|d| digests.contains(d));
        let found = self.joint.iter().find(|(set, _)| is_there(set));
        found.map(|(set, _)| set.as_slice())
    }

    /// A trial is over. Without a complete response, the next one waits for the report of a
    /// termination.
    pub fn finish(&mut self, now: Duration, digest: Digest, complete: bool) {
        if complete {
            self.running.swap_remove(&digest);
            self.asked.swap_remove(&digest);
        } else if let Some(until) = self.running.get_mut(&digest) {
            *until = (*until).min(now + GRACE);
        }
    }
}

//! Trials of suspects: the leader lets one at a time run in the whole fleet.
//!
//! Copies of a request arrive at several gateways at once. If each of them tried it, a request that
//! terminates backend servers would terminate as many more as there are gateways before the first
//! one is known.

use crate::{Digest, Kind, all_shared};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for which a trial blocks others, whatever its gateway asks: the gateway may be
/// gone.
const MAX_TRIAL: Duration = Duration::from_secs(30);
/// The same for a shared attribute: it is decided as an answer begins, and many requests wait.
const MAX_SHARED_TRIAL: Duration = Duration::from_secs(1);
/// Grace period after a trial without a complete response, for the report that its backend server
/// terminated. A probe takes at most 0.6 s (two connections of 0.25 s, and 0.1 s for the first to
/// prove stable), the report some milliseconds.
const GRACE: Duration = Duration::from_millis(800);

/// For how long requests with several suspects are not tried: those with one of them say more, and
/// end no backend server if theirs is harmless.
const JOINT_DELAY: Duration = Duration::from_secs(1);
/// How long it is known that a suspect was asked for.
const ASK_RETENTION: Duration = Duration::from_secs(10);

/// A trial of one suspect, alone or with others.
#[derive(Debug, Clone)]
struct Running {
    /// The gateway, by its inbox, if it is not this process.
    holder: Option<SocketAddr>,
    /// When it stops blocking others.
    until: Duration,
}

/// The running trials, and the suspects that were asked for.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    running: IndexMap<Digest, Running>,
    /// First time that each suspect was asked for.
    asked: IndexMap<Digest, Duration>,
    /// Trials of several shared suspects, and until when terminations are blamed on them.
    joint: Vec<(Vec<Digest>, Duration)>,
}

impl Trials {
    /// Whether a trial of one suspect may run now; it takes at most `time`.
    pub fn grant(&mut self, now: Duration, digest: Digest, time: Duration) -> bool {
        self.grant_all(now, None, &[digest], time, false)
    }

    /// Whether a trial of a request with these suspects may run now; it takes at most `time`. One of
    /// several that were tried before needs no delay: it tells which of them is harmless. A `holder`
    /// asks again only if it has no trial: the grant was lost.
    pub fn grant_all(
        &mut self,
        now: Duration,
        holder: Option<SocketAddr>,
        digests: &[Digest],
        time: Duration,
        tried: bool,
    ) -> bool {
        self.running.retain(|_, r| r.until > now);
        self.asked.retain(|_, at| now < *at + ASK_RETENTION);
        self.joint.retain(|(_, until)| *until > now);
        let mut joint_at = now;
        for digest in digests {
            let asked_at = *self.asked.entry(*digest).or_insert(now);
            joint_at = joint_at.max(asked_at + JOINT_DELAY);
        }
        let too_early = digests.len() > 1 && !tried && now < joint_at;
        let is_elsewhere = |d: &Digest| {
            let running = self.running.get(d);
            running.is_some_and(|r| holder.is_none() || r.holder != holder)
        };
        if too_early || digests.iter().any(is_elsewhere) {
            return false;
        }
        let until = |max: Duration| now + time.min(max) + GRACE;
        for digest in digests {
            let max = match Kind::of(*digest).is_shared() {
                true => MAX_SHARED_TRIAL,
                false => MAX_TRIAL,
            };
            let until = until(max);
            self.running.insert(*digest, Running { holder, until });
        }
        if digests.len() > 1 && all_shared(digests) {
            self.joint.push((digests.to_vec(), until(MAX_SHARED_TRIAL)));
        }
        true
    }

    /// Whether a trial of some of these runs.
    pub fn is_running(&self, now: Duration, digests: &[Digest]) -> bool {
        let running = digests.iter().filter_map(|d| self.running.get(d));
        running.into_iter().any(|r| r.until > now)
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
        } else if let Some(running) = self.running.get_mut(&digest) {
            running.until = running.until.min(now + GRACE);
        }
    }
}

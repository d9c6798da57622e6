//! How a gateway gets a trial of suspects: from the leader, or from itself where no leader answers.
//!
//! A request with suspects of its own waits for the leader, however long there is none. What many
//! requests share must not: a gateway that is cut off would refuse all of them for as long as that
//! lasts. It tries them itself then, one at a time.

use crate::{Digest, Kind, Trials};
use indexmap::IndexMap;
use std::time::Duration;

/// Interval between two questions of a gateway about the same shared suspects.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// A leader that has not answered for this long is absent: elections take half of it.
const ABSENT_AFTER: Duration = Duration::from_secs(1);
/// Gateways poll coordinators at least each second: if none answers for this long, there is no leader
/// here either.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// What a gateway does with a request that has suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskStep {
    /// Another request here is on trial, or has just asked: this one waits.
    Hold,
    /// Asks the leader for a trial and waits for the answer.
    AskLeader,
    /// Sends it as a trial of this gateway, and asks the leader only to notice its return.
    TryHere,
    /// Waits as `Hold`, and asks the leader only to notice its return.
    HoldHere,
}

/// The questions of a gateway for trials.
#[derive(Debug, Clone, Default)]
pub struct Asks {
    /// When it last asked about each set of shared suspects.
    asked: IndexMap<Digest, Duration>,
    /// Since when no question was answered.
    unanswered_since: Option<Duration>,
    /// Trials of this gateway.
    trials: Trials,
}

impl Asks {
    /// What to do with a request that has these suspects; `tried` as in [`Trials::grant_all`].
    pub fn next_step(
        &mut self,
        now: Duration,
        suspects: &[Digest],
        time: Duration,
        tried: bool,
    ) -> AskStep {
        if self.trials.is_running(now, suspects) {
            return AskStep::Hold;
        }
        if !all_shared(suspects) {
            return AskStep::AskLeader;
        }
        self.asked.retain(|_, at| now < *at + ASK_INTERVAL);
        let set = suspects.iter().fold(0, |set, digest| set ^ digest);
        if self.asked.contains_key(&set) {
            return AskStep::Hold;
        }
        self.asked.insert(set, now);
        let is_absent = |since: Duration| now >= since + ABSENT_AFTER;
        match self.unanswered_since.is_some_and(is_absent) {
            false => AskStep::AskLeader,
            true if self.trials.grant_all(now, None, suspects, time, tried) => AskStep::TryHere,
            true => AskStep::HoldHere,
        }
    }

    /// The leader granted a trial.
    pub fn on_granted(&mut self, now: Duration, suspects: &[Digest], time: Duration) {
        self.trials.grant_all(now, None, suspects, time, true);
    }

    /// The leader answered.
    pub fn on_answer(&mut self) {
        self.unanswered_since = None;
    }

    /// A question of the time `asked_at` was not answered.
    pub fn on_timeout(&mut self, asked_at: Duration) {
        self.unanswered_since.get_or_insert(asked_at);
    }

    /// The last message of any coordinator came at the time `heard_at`.
    pub fn on_poll(&mut self, now: Duration, heard_at: Duration) {
        if now >= heard_at + SILENT_AFTER {
            self.unanswered_since.get_or_insert(heard_at);
        }
    }

    /// A trial is over; `harmless` if it has shown that.
    pub fn finish(&mut self, now: Duration, digest: Digest, harmless: bool) {
        self.trials.finish(now, digest, harmless);
    }
}

/// Whether all of these attributes are shared by requests that differ.
pub fn all_shared(digests: &[Digest]) -> bool {
    digests.iter().all(|d| Kind::of(*d).is_shared())
}

//! Leader side of a switch: prepare it on all ranks, commit it to the log at a step beyond every
//! granted step, then continue granting. Ranks run only granted steps, so a rank that missed the
//! commit stalls and never mixes maps.

use crate::rank::{Order, OrderKind, RankReport};
use crate::{RankId, Step, Version};
use indexmap::IndexMap;
use std::time::Duration;

/// A rank that has not reported for this long is considered dead.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// A switch that is not prepared on all ranks within this time is cancelled.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(20);
/// A proposal that has not been applied from the log within this time is repeated.
const PROPOSE_RETRY: Duration = Duration::from_secs(1);

/// State of a group as committed to the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CommittedState {
    /// Version of the current map.
    pub version: Version,
    /// First step of that version.
    pub first_step: Step,
    /// The map in text form.
    pub map: String,
    /// The map that operators or the policy want next, with its version. No other map ever had this
    /// version number, so a prepared map cannot be mistaken for another.
    pub pending: Option<(Version, String)>,
    /// Upper bound, kept in the log, of the steps that any leader may have granted. Ranks and
    /// leaders forget what was granted when they die.
    pub reserved_until: Step,
    /// Ranks of the group.
    pub ranks: u32,
}

/// What the leader has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the agent of a rank.
    Send(RankId, Order),
    /// Propose to the log that the pending version takes effect at this step.
    Commit {
        /// The version.
        version: Version,
        /// Its first step.
        from: Step,
    },
    /// Propose to the log that steps below this one may be granted.
    Reserve {
        /// First step that must not be granted.
        until: Step,
    },
    /// Propose to the log that the pending map is cancelled.
    Cancel {
        /// The version.
        version: Version,
        /// Reason for the cancellation.
        reason: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Steady,
    /// Start time of the preparation.
    Preparing(Duration),
    /// First step of the new version, and when it was last proposed.
    Committing(Step, Duration),
}

/// One group, as seen by the leader of one term.
#[derive(Debug, Clone)]
pub struct Coordinator {
    fence: u64,
    /// Number of steps granted ahead of the slowest rank.
    window: Step,
    committed: CommittedState,
    phase: Phase,
    reports: IndexMap<RankId, (Duration, RankReport)>,
    /// End of the furthest grant by this leader.
    granted: Step,
    /// When a reservation was last proposed.
    reserved_at: Option<Duration>,
}

impl Coordinator {
    /// Creates the coordinator of a leader with this fencing token, which grants steps up to
    /// `window` ahead of the slowest rank.
    pub fn new(fence: u64, window: Step, committed: CommittedState) -> Coordinator {
        let (phase, reports) = (Phase::Steady, IndexMap::new());
        Coordinator {
            fence,
            window,
            committed,
            phase,
            reports,
            granted: 0,
            reserved_at: None,
        }
    }

    /// Adopts the state now committed to the log.
    pub fn update_committed(&mut self, committed: CommittedState) {
        let same_map = (committed.version, &committed.pending)
            == (self.committed.version, &self.committed.pending);
        if !same_map {
            self.phase = Phase::Steady;
        }
        if committed.reserved_until > self.committed.reserved_until {
            self.reserved_at = None;
        }
        self.committed = committed;
    }

    /// Records a rank's report and returns the actions that follow from it.
    pub fn on_report(&mut self, now: Duration, rank: RankId, report: RankReport) -> Vec<Action> {
        let was_incomplete = !self.all_present(now);
        self.reports.insert(rank, (now, report));
        let mut actions = self.advance(now);
        // Ranks that reported earlier were granted nothing while this one was missing, and their
        // next report may be up to a second away.
        let ranks: Vec<RankId> = match was_incomplete && self.all_present(now) {
            true => self.reports.keys().copied().collect(),
            false => vec![rank],
        };
        for rank in ranks {
            actions.extend(self.orders_for(now, rank));
        }
        actions
    }

    /// Advances time.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        actions.extend(self.reserve(now));
        actions
    }

    /// Reserves further steps before the granted ones run out, but not while a commit is pending:
    /// the next version starts at the end of what was reserved before it.
    fn reserve(&mut self, now: Duration) -> Option<Action> {
        let (_, slowest) = self.slowest().filter(|_| self.all_present(now))?;
        let too_soon = self.reserved_at.is_some_and(|at| now < at + PROPOSE_RETRY);
        let enough = slowest + self.window + self.window / 2 <= self.committed.reserved_until;
        if enough || too_soon || matches!(self.phase, Phase::Committing(..)) {
            return None;
        }
        self.reserved_at = Some(now);
        Some(Action::Reserve {
            until: slowest + self.window * 2,
        })
    }

    /// The slowest rank, which limits the whole group, and its next step.
    pub fn slowest(&self) -> Option<(RankId, Step)> {
        let steps = self.reports.iter().map(|(rank, (_, r))| (*rank, r.next));
        steps.min_by_key(|(_, next)| *next)
    }

    fn advance(&mut self, now: Duration) -> Vec<Action> {
        let Some(version) = self.committed.pending.as_ref().map(|(v, _)| *v) else {
            return Vec::new();
        };
        match self.phase {
            Phase::Steady => {
                self.phase = Phase::Preparing(now);
                Vec::new()
            }
            Phase::Preparing(since) => self.prepare(now, since, version),
            Phase::Committing(from, at) if now >= at + PROPOSE_RETRY => {
                self.phase = Phase::Committing(from, now);
                vec![Action::Commit { version, from }]
            }
            Phase::Committing(..) => Vec::new(),
        }
    }

    fn prepare(&mut self, now: Duration, since: Duration, version: Version) -> Vec<Action> {
        // A report with this leader's fencing token shows that the rank no longer accepts grants of
        // an earlier leader. Only then is the granted step that it reports final.
        let acked = |r: &RankReport| r.prepared == version && r.fence == self.fence;
        // A rank that missed the last switch would run its steps on the previous map, and could no
        // longer detect that once grants of this switch arrive.
        let ready = |r: &RankReport| acked(r) && r.version == self.committed.version;
        let all = self.all_present(now) && self.reports.values().all(|(_, r)| ready(r));
        if all {
            let granted = self
                .reports
                .values()
                .map(|(_, r)| r.granted)
                .max()
                .unwrap_or(0);
            let from = granted.max(self.granted).max(self.committed.reserved_until);
            self.phase = Phase::Committing(from, now);
            return vec![Action::Commit { version, from }];
        }
        let rank_lost = now > since + REPORT_TIMEOUT && !self.all_present(now);
        let reason = match () {
            () if rank_lost => "a rank fell silent before the commit",
            () if now > since + PREPARE_TIMEOUT => "not prepared everywhere in time",
            () => return Vec::new(),
        };
        vec![Action::Cancel {
            version,
            reason: reason.into(),
        }]
    }

    fn all_present(&self, now: Duration) -> bool {
        let is_recent = |(at, _): &&(Duration, RankReport)| now <= *at + REPORT_TIMEOUT;
        self.reports.values().filter(is_recent).count() == self.committed.ranks as usize
    }

    /// Orders for one rank. Grants continue while it prepares: loading does not pause the group.
    fn orders_for(&mut self, now: Duration, rank: RankId) -> Vec<Action> {
        let Some((_, report)) = self.reports.get(&rank).cloned() else {
            return Vec::new();
        };
        let mut kinds = Vec::new();
        if let (Some((version, map)), Phase::Preparing(_)) = (&self.committed.pending, &self.phase)
            && (report.prepared != *version || report.fence != self.fence)
        {
            let (version, map) = (*version, map.clone());
            kinds.push(OrderKind::Prepare { version, map });
        }
        if let Some(until) = self.grant_limit(now) {
            self.granted = self.granted.max(until);
            let (version, from) = (self.committed.version, self.committed.first_step);
            kinds.push(OrderKind::Grant {
                version,
                from,
                until,
                map: match report.version == self.committed.version {
                    true => String::new(),
                    false => self.committed.map.clone(),
                },
            });
        }
        let order = |kind| Order {
            fence: self.fence,
            incarnation: report.incarnation,
            kind,
        };
        kinds
            .into_iter()
            .map(|kind| Action::Send(rank, order(kind)))
            .collect()
    }

    /// First step that must not be granted: a window past the slowest rank, but never past a step
    /// at which another version may start.
    fn grant_limit(&self, now: Duration) -> Option<Step> {
        if !self.all_present(now) {
            return None;
        }
        let (_, slowest) = self.slowest()?;
        let until = (slowest + self.window).min(self.committed.reserved_until);
        Some(match self.phase {
            Phase::Committing(from, _) => until.min(from),
            _ => until,
        })
    }
}

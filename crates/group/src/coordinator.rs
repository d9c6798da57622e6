//! The leader's end of a switch: prepare on all ranks, commit to the log at a step
//! beyond every step granted, grant on. Ranks run what is granted and no further, so
//! one that missed the commit stalls and never mixes maps.

use crate::rank::{Order, OrderKind, RankReport};
use crate::{RankId, Step, Version};
use indexmap::IndexMap;
use std::time::Duration;

/// A rank that has not reported for this long is taken for dead.
const SILENCE: Duration = Duration::from_secs(3);
/// A switch that is not prepared everywhere by then is given up.
const PREPARE_WITHIN: Duration = Duration::from_secs(20);
/// A commit that has not come back from the log is proposed again.
const AGAIN: Duration = Duration::from_secs(1);

/// What the log says of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settled {
    /// Version of the map in force.
    pub version: Version,
    /// Its first step.
    pub from: Step,
    /// The map, as text.
    pub map: String,
    /// The map that operators or the policy want next, with its version: a number
    /// that no other map had, so that what is prepared cannot be mistaken.
    pub wanted: Option<(Version, String)>,
    /// Steps that may have been granted, by any leader: a bound in the log. Ranks and
    /// leaders forget what was granted when they die.
    pub reserved: Step,
    /// Ranks of the group.
    pub ranks: u32,
}

/// What the leader must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to a rank's agent.
    Send(RankId, Order),
    /// Propose to the log: the wanted version holds from this step on.
    Commit {
        /// The version.
        version: Version,
        /// Its first step.
        from: Step,
    },
    /// Propose to the log: steps below this one may be granted from now on.
    Reserve {
        /// First step that may not.
        until: Step,
    },
    /// Propose to the log that the wanted map is given up.
    Cancel {
        /// The version.
        version: Version,
        /// Why.
        reason: String,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Steady,
    /// Since when.
    Preparing(Duration),
    /// First step of the new version; when it was proposed last.
    Committing(Step, Duration),
}

/// One group, at the leader of one term.
#[derive(Debug, Clone)]
pub struct Coordinator {
    fence: u64,
    /// Steps granted ahead of the slowest rank.
    window: Step,
    settled: Settled,
    phase: Phase,
    reports: IndexMap<RankId, (Duration, RankReport)>,
    /// Highest step bound that this leader granted.
    granted: Step,
    /// When a reservation was proposed last.
    reserved_at: Option<Duration>,
}

impl Coordinator {
    /// The coordinator of a leader with this fencing number, which lets ranks run
    /// `window` steps ahead of the slowest.
    pub fn new(fence: u64, window: Step, settled: Settled) -> Coordinator {
        let (phase, reports) = (Phase::Steady, IndexMap::new());
        Coordinator {
            fence,
            window,
            settled,
            phase,
            reports,
            granted: 0,
            reserved_at: None,
        }
    }

    /// Takes what the log says now.
    pub fn settle(&mut self, settled: Settled) {
        let same_map =
            (settled.version, &settled.wanted) == (self.settled.version, &self.settled.wanted);
        if !same_map {
            self.phase = Phase::Steady;
        }
        if settled.reserved > self.settled.reserved {
            self.reserved_at = None;
        }
        self.settled = settled;
    }

    /// Takes a rank's report; answers with what it needs.
    pub fn report(&mut self, now: Duration, rank: RankId, report: RankReport) -> Vec<Action> {
        let waited = !self.all_present(now);
        self.reports.insert(rank, (now, report));
        let mut actions = self.advance(now);
        // Ranks that reported earlier were given nothing while this one was missing;
        // their next report may be a second away.
        let ranks: Vec<RankId> = match waited && self.all_present(now) {
            true => self.reports.keys().copied().collect(),
            false => vec![rank],
        };
        for rank in ranks {
            actions.extend(self.orders_for(now, rank));
        }
        actions
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.advance(now);
        actions.extend(self.reserve(now));
        actions
    }

    /// Asks for more steps in good time, but not while a commit is on its way: the next
    /// version starts at what was reserved before it.
    fn reserve(&mut self, now: Duration) -> Option<Action> {
        let (_, slowest) = self.slowest().filter(|_| self.all_present(now))?;
        let early = self.reserved_at.is_some_and(|at| now < at + AGAIN);
        let enough = slowest + self.window + self.window / 2 <= self.settled.reserved;
        if enough || early || matches!(self.phase, Phase::Committing(..)) {
            return None;
        }
        self.reserved_at = Some(now);
        Some(Action::Reserve {
            until: slowest + self.window * 2,
        })
    }

    /// The rank that holds the group back, and its next step.
    pub fn slowest(&self) -> Option<(RankId, Step)> {
        let steps = self.reports.iter().map(|(rank, (_, r))| (*rank, r.next));
        steps.min_by_key(|(_, next)| *next)
    }

    fn advance(&mut self, now: Duration) -> Vec<Action> {
        let Some(version) = self.settled.wanted.as_ref().map(|(v, _)| *v) else {
            return Vec::new();
        };
        match self.phase {
            Phase::Steady => {
                self.phase = Phase::Preparing(now);
                Vec::new()
            }
            Phase::Preparing(since) => self.prepare(now, since, version),
            Phase::Committing(from, at) if now >= at + AGAIN => {
                self.phase = Phase::Committing(from, now);
                vec![Action::Commit { version, from }]
            }
            Phase::Committing(..) => Vec::new(),
        }
    }

    fn prepare(&mut self, now: Duration, since: Duration, version: Version) -> Vec<Action> {
        // A report under this leader's own number says that the rank takes no more
        // grants of an earlier leader: only then is what it has granted final.
        let acked = |r: &RankReport| r.prepared == version && r.fence == self.fence;
        // A rank that missed the last switch would run its steps on the one before
        // it, and not notice once this one's grants reach it.
        let ready = |r: &RankReport| acked(r) && r.version == self.settled.version;
        let all = self.all_present(now) && self.reports.values().all(|(_, r)| ready(r));
        if all {
            let granted = self
                .reports
                .values()
                .map(|(_, r)| r.granted)
                .max()
                .unwrap_or(0);
            let from = granted.max(self.granted).max(self.settled.reserved);
            self.phase = Phase::Committing(from, now);
            return vec![Action::Commit { version, from }];
        }
        let lost = now > since + SILENCE && !self.all_present(now);
        let reason = match () {
            () if lost => "a rank fell silent before the commit",
            () if now > since + PREPARE_WITHIN => "not prepared everywhere in time",
            () => return Vec::new(),
        };
        vec![Action::Cancel {
            version,
            reason: reason.into(),
        }]
    }

    fn all_present(&self, now: Duration) -> bool {
        let heard = |(at, _): &&(Duration, RankReport)| now <= *at + SILENCE;
        self.reports.values().filter(heard).count() == self.settled.ranks as usize
    }

    /// Orders for one rank: steps to run on, also while it prepares, so that the
    /// group does not pause for the loading.
    fn orders_for(&mut self, now: Duration, rank: RankId) -> Vec<Action> {
        let Some((_, report)) = self.reports.get(&rank).cloned() else {
            return Vec::new();
        };
        let mut kinds = Vec::new();
        if let (Some((version, map)), Phase::Preparing(_)) = (&self.settled.wanted, &self.phase)
            && (report.prepared != *version || report.fence != self.fence)
        {
            let (version, map) = (*version, map.clone());
            kinds.push(OrderKind::Prepare { version, map });
        }
        if let Some(until) = self.horizon(now) {
            self.granted = self.granted.max(until);
            let (version, from) = (self.settled.version, self.settled.from);
            kinds.push(OrderKind::Grant {
                version,
                from,
                until,
                map: match report.version == self.settled.version {
                    true => String::new(),
                    false => self.settled.map.clone(),
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

    /// How far ranks may run: a window past the slowest, never past a step at which
    /// another version may start.
    fn horizon(&self, now: Duration) -> Option<Step> {
        if !self.all_present(now) {
            return None;
        }
        let (_, slowest) = self.slowest()?;
        let until = (slowest + self.window).min(self.settled.reserved);
        Some(match self.phase {
            Phase::Committing(from, _) => until.min(from),
            _ => until,
        })
    }
}

//! Switches the expert map of a lock-step group whose ranks receive orders over a network that may
//! lose answers and deliver orders late.
//!
//! Without precautions, an `arm` order whose answer was lost may be carried out on one rank seconds
//! later, after the other ranks dropped that switch. A forward pass then runs on two maps, which
//! shows only much later as wrong tokens. Two rules prevent this:
//!
//! - No rank is armed for a pass before another order holds the group at that pass. The group
//!   continues only once every rank has confirmed that it is armed, or every rank that it is not.
//! - Every order carries a fencing token higher than all before it. An order without an answer is
//!   repeated with a higher token until an answer arrives; the lost one can then only be refused.
//!
//! A pass takes as long as its busiest rank, which has several times the mean load if the map does
//! not follow demand.
//!
//! A new leader fences every rank before it polls any, so that an old leader that does not know of
//! it can no longer change anything. A switch that the old leader left unfinished is rolled back
//! under the hold that is still in force.

mod calls;
mod planning;
mod polling;
mod switching;
mod types;

pub use types::{
    Call, Command, EngineId, EngineReport, EngineRequest, Pass, Reply, Shape, SwitchEvent,
};

use crate::Version;
use crate::demand::Demand;
use crate::map::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between polls of the group. Demand changes within a second, and until the map follows,
/// every stream in flight is late.
const POLL_INTERVAL: Duration = Duration::from_millis(350);
/// Interval while every report is fresh and counts are free: two to three passes, in which enough
/// tokens are counted.
const FRESH_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Interval while the group is incomplete or another leader is active.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(600);
/// Interval while a rank is absent. The group reopens some hundred milliseconds after the rank
/// returns, and every pass on the initial map is slow.
const ABSENT_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum attempts of a query, or of an order that may be abandoned.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts at a fresh report through a rank's relay, for a leader that takes over a group.
const FRESH_ATTEMPTS: u32 = 3;
/// Maximum attempts of an order to prepare. The group is not stalled meanwhile, and restarting the
/// switch takes longer.
const PREPARE_ATTEMPTS: u32 = 8;
/// Minimum passes from the last reported one to a switch. Reports are two to three passes old, and
/// arming takes a fraction of a pass. Lost answers to orders delay arming, so a switch is scheduled
/// further ahead by the time that the last ones took: a group waiting at the hold makes every
/// stream in flight late.
const MIN_AHEAD: Pass = 4;
/// The same with fresh reports: the pass after the current one.
const FRESH_MIN_AHEAD: Pass = 2;
/// Assumed duration of a pass before any was measured, and the bounds of plausible measurements.
const DEFAULT_PASS: Duration = Duration::from_millis(80);
const MIN_PASS: Duration = Duration::from_millis(30);
const MAX_PASS: Duration = Duration::from_millis(300);
/// A version that is never used, since terms start at 1. An order to disarm it changes nothing,
/// whereas engines refuse version 0.
const NO_VERSION: Version = 1;
/// Maximum number of passes ahead at which a switch is scheduled.
const MAX_AHEAD: Pass = 60;
/// Versions and tokens reserved per term. Each term of the log has a single leader, so none of them
/// is ever used twice.
const PER_TERM: u64 = 1 << 20;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Idle(Duration),
    /// First reports: which engines form the group, and in which epoch.
    Discover,
    Fence,
    /// Looks for a hold of an earlier leader immediately after fencing.
    CheckHold,
    AwaitReports(Duration),
    Poll,
    /// Queries which experts each rank holds, if an earlier leader chose the map.
    ListExperts,
    Count,
    Prepare,
    AwaitCopies(Duration),
    PollCopies,
    Hold,
    Arm,
    /// Renews the hold of an earlier leader, or one whose state is unknown.
    RenewHold,
    RollBack,
    Go,
}

/// Outstanding queries or orders, by engine.
#[derive(Debug, Clone, Default)]
struct Round {
    pending: IndexMap<EngineId, (u64, u32)>,
    replies: IndexMap<EngineId, Reply>,
    /// Call that asks another rank whether the group still exists.
    probe: Option<u64>,
}

/// A switch in progress.
#[derive(Debug, Clone, Default)]
struct Switch {
    version: Version,
    map: Arc<ExpertMap>,
    pass: Pass,
    holder: EngineId,
    started: Duration,
    /// When the order to hold was sent.
    hold_sent: Duration,
    /// Set once every rank is armed: the switch will take effect.
    all_armed: bool,
}

/// Numbers that a controller has used in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UsedNumbers {
    /// Call ids.
    pub calls: u64,
    /// Fencing tokens.
    pub tokens: u64,
    /// Map versions.
    pub versions: u64,
}

impl UsedNumbers {
    /// The larger of each pair of numbers.
    #[must_use]
    pub fn max(self, other: UsedNumbers) -> UsedNumbers {
        UsedNumbers {
            calls: self.calls.max(other.calls),
            tokens: self.tokens.max(other.tokens),
            versions: self.versions.max(other.versions),
        }
    }
}

/// Switches the maps of one group on behalf of one leader.
#[derive(Debug, Clone)]
pub struct SwitchController {
    shape: Shape,
    term: u64,
    calls: u64,
    tokens: u64,
    versions: u64,
    /// Additional passes ahead, after a switch was scheduled too close.
    extra_ahead: Pass,
    /// Time that the hold and arming every rank take.
    arm_time: Duration,
    /// Duration of a pass, and when the last pass was observed.
    pass_time: Duration,
    last_pass: Option<(Duration, Pass)>,
    /// Engines that this leader has fenced before.
    fenced: Vec<EngineId>,
    phase: Phase,
    round: Round,
    registered: Vec<EngineId>,
    /// Registered engines that form the group.
    engines: Vec<EngineId>,
    reports: IndexMap<EngineId, EngineReport>,
    /// Whether the reports show what is prepared and armed since the ranks were fenced.
    reports_current: bool,
    epoch: u64,
    /// The map in use with its version, if its content is known.
    map: Option<(Version, Arc<ExpertMap>)>,
    last_counts: IndexMap<EngineId, Vec<u64>>,
    /// Demand for each expert.
    demand: Demand,
    /// Imbalance of the map that the last search found.
    last_imbalance: f64,
    /// Number of polls known to the last search.
    last_search_polls: f64,
    switch: Switch,
    events: Vec<SwitchEvent>,
    /// Slowdowns as last reported, rounded, and changes not yet reported.
    reported_slowdowns: IndexMap<EngineId, u32>,
    slowdown_updates: Vec<(EngineId, u32)>,
}

impl SwitchController {
    /// Creates the controller of a term's leader. It does nothing else until all ranks are fenced.
    pub fn new(term: u64, shape: Shape) -> SwitchController {
        SwitchController {
            shape,
            term,
            // Replies to an earlier controller in the same process must not match any call.
            calls: term * PER_TERM,
            tokens: 0,
            versions: 0,
            extra_ahead: 0,
            arm_time: Duration::ZERO,
            pass_time: DEFAULT_PASS,
            last_pass: None,
            fenced: Vec::new(),
            phase: Phase::Idle(Duration::ZERO),
            round: Round::default(),
            registered: Vec::new(),
            engines: Vec::new(),
            reports: IndexMap::new(),
            reports_current: false,
            epoch: 0,
            map: None,
            last_counts: IndexMap::new(),
            demand: Demand::new(),
            last_imbalance: 1.0,
            last_search_polls: 0.0,
            switch: Switch::default(),
            events: Vec::new(),
            reported_slowdowns: IndexMap::new(),
            slowdown_updates: Vec::new(),
        }
    }

    /// Starts with ranks that have just reported, without querying them again.
    pub fn start(&mut self, now: Duration, members: IndexMap<EngineId, EngineReport>) -> Vec<Call> {
        self.registered = members.keys().cloned().collect();
        let replies = members.into_iter().map(|(e, r)| (e, Reply::Report(r)));
        self.on_discovered(now, replies.collect())
    }

    /// Whether the known ranks may be out of date, since something failed.
    pub fn needs_discovery(&self) -> bool {
        self.registered.is_empty()
    }

    /// Changed slowdowns of the ranks, rounded. Gateways use them for placing requests.
    pub fn take_slowdowns(&mut self) -> Vec<(EngineId, u32)> {
        std::mem::take(&mut self.slowdown_updates)
    }

    /// Number of ranks in the group, as far as known.
    pub fn rank_count(&self) -> usize {
        self.engines.len()
    }

    /// Numbers used for calls, tokens and versions so far.
    pub fn used_numbers(&self) -> UsedNumbers {
        UsedNumbers {
            calls: self.calls,
            tokens: self.tokens,
            versions: self.versions,
        }
    }

    /// Continues above the numbers of other controllers of the same term. Ranks that change groups
    /// have seen those tokens and versions and would refuse lower ones.
    pub fn skip_past(&mut self, used: UsedNumbers) {
        self.calls = self.calls.max(used.calls);
        self.tokens = self.tokens.max(used.tokens);
        self.versions = self.versions.max(used.versions);
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<SwitchEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether the next call of [`SwitchController::tick`] does something.
    pub fn is_due(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Idle(until) | Phase::AwaitReports(until) | Phase::AwaitCopies(until) => {
                now >= until
            }
            _ => false,
        }
    }

    /// Advances time; `engines` are the registered ones.
    pub fn tick(&mut self, now: Duration, engines: &[EngineId]) -> Vec<Call> {
        match self.phase {
            Phase::Idle(until) if now >= until && !engines.is_empty() => {
                let known = self.registered == engines;
                match known {
                    true => self.request_all(Phase::Poll, EngineRequest::Poll),
                    // New engines may still be under another leader's orders.
                    false => self.discover(engines),
                }
            }
            Phase::AwaitReports(until) if now >= until => {
                self.request_all(Phase::Poll, EngineRequest::Report)
            }
            Phase::AwaitCopies(until) if now >= until => self.poll_copies(),
            _ => Vec::new(),
        }
    }

    /// Processes the reply to a call.
    pub fn reply(&mut self, now: Duration, call: u64, reply: Reply) -> Vec<Call> {
        if self.round.probe == Some(call) {
            return self.on_probe_reply(now, &reply);
        }
        let found = self.round.pending.iter().find(|(_, (c, _))| *c == call);
        let Some((engine, attempt)) = found.map(|(e, (_, t))| (e.clone(), *t)) else {
            return Vec::new();
        };
        let limit = self.attempt_limit();
        // Another attempt through the relay is quick. Waiting until an old report must have been
        // superseded takes several times as long, and a group that was left held is stalled.
        let stale =
            matches!(&reply, Reply::Report(r) if !r.fresh) && self.phase == Phase::CheckHold;
        if stale && attempt < FRESH_ATTEMPTS {
            return self.repeat(&engine, attempt + 1);
        }
        if matches!(reply, Reply::Silent | Reply::Odd) && limit.is_none_or(|l| attempt < l) {
            let mut calls = self.repeat(&engine, attempt + 1);
            if limit.is_none() && attempt.is_multiple_of(MAX_ATTEMPTS) {
                calls.extend(self.probe_other_rank(&engine));
            }
            return calls;
        }
        self.round.pending.shift_remove(&engine);
        self.round.replies.insert(engine, reply);
        match self.round.pending.is_empty() {
            true => self.on_round_complete(now),
            false => Vec::new(),
        }
    }

    /// A rank that does not answer may have crashed. The group then forms again, which clears every
    /// hold and arm and leaves nothing to finish; a report of any other rank shows this.
    fn probe_other_rank(&mut self, silent: &EngineId) -> Option<Call> {
        let other = self.engines.iter().find(|e| *e != silent)?.clone();
        self.calls += 1;
        let call = self.calls;
        self.round.probe = Some(call);
        Some(Call {
            id: call,
            engine: other,
            attempt: 1,
            request: EngineRequest::Report,
        })
    }

    fn on_probe_reply(&mut self, now: Duration, reply: &Reply) -> Vec<Call> {
        self.round.probe = None;
        match reply {
            Reply::Report(r) if r.epoch != self.epoch || !r.open => {
                self.round = Round::default();
                self.record_event("group_changed", r.epoch);
                self.wait_for_ranks(now)
            }
            _ => Vec::new(),
        }
    }

    /// Maximum attempts of a call in this phase. Orders to arm, roll back or go are repeated
    /// without limit, since the group may be stalled until they are answered. So is fencing: a hold
    /// may have been left behind, and with a third of the answers lost, one of many ranks fails any
    /// bounded number of attempts.
    fn attempt_limit(&self) -> Option<u32> {
        match self.phase {
            Phase::RollBack | Phase::Go | Phase::Arm | Phase::RenewHold | Phase::Fence => None,
            Phase::Prepare => Some(PREPARE_ATTEMPTS),
            _ => Some(MAX_ATTEMPTS),
        }
    }

    fn on_round_complete(&mut self, now: Duration) -> Vec<Call> {
        let replies = std::mem::take(&mut self.round.replies);
        match self.phase {
            Phase::Discover => self.on_discovered(now, replies),
            Phase::Fence => self.on_fenced(now, &replies),
            Phase::CheckHold => self.on_hold_checked(now, replies),
            Phase::Poll => self.on_polled(now, replies),
            Phase::ListExperts => self.on_experts_listed(now, &replies),
            Phase::Count => self.on_counts(now, &replies),
            Phase::Prepare => self.on_prepared(now, &replies),
            Phase::PollCopies => self.on_copies_polled(now, replies),
            Phase::Hold => self.on_held(now, &replies),
            Phase::Arm => self.on_armed(now, &replies),
            Phase::RenewHold => self.on_hold_renewed(now, &replies),
            Phase::RollBack => self.on_rolled_back(now, &replies),
            Phase::Go => self.on_released(now),
            Phase::Idle(_) | Phase::AwaitReports(_) | Phase::AwaitCopies(_) => Vec::new(),
        }
    }

    fn wait_until(&mut self, until: Duration) -> Vec<Call> {
        self.phase = Phase::Idle(until);
        Vec::new()
    }

    /// Waits until the next poll.
    fn wait_for_poll(&mut self, now: Duration) -> Vec<Call> {
        let interval = if self.all_fresh() {
            FRESH_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.wait_until(now + interval)
    }

    fn all_fresh(&self) -> bool {
        !self.reports.is_empty() && self.reports.values().all(|r| r.fresh)
    }

    fn poll_copies(&mut self) -> Vec<Call> {
        self.request_all(
            Phase::PollCopies,
            EngineRequest::ReportWhenCopied(self.switch.version),
        )
    }

    /// Restarts, with fencing, after an interval.
    fn restart(&mut self, now: Duration) -> Vec<Call> {
        self.registered.clear();
        self.wait_until(now + RECOVERY_INTERVAL)
    }

    /// The group is incomplete: a rank is or was absent. If polling is cheap, the controller polls
    /// as often as for a healthy group.
    fn wait_for_ranks(&mut self, now: Duration) -> Vec<Call> {
        let fresh = self.reports.values().filter(|r| r.fresh).count();
        let free = 2 * fresh > self.reports.len();
        self.registered.clear();
        self.wait_until(
            now + if free {
                ABSENT_POLL_INTERVAL
            } else {
                RECOVERY_INTERVAL
            },
        )
    }

    fn abandon(&mut self, now: Duration, reason: &'static str) -> Vec<Call> {
        self.record_event(reason, self.switch.version);
        self.restart(now)
    }

    fn record_event(&mut self, event: &'static str, number: u64) {
        self.events.push(SwitchEvent {
            event,
            number,
            skew: None,
            max_slowdown: None,
        });
    }
}

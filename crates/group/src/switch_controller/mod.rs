//! Switching the expert map of a lock-step group whose ranks are ordered over a network
//! that loses answers and carries orders out late.
//!
//! What goes wrong otherwise: an `arm` whose answer was lost is carried out seconds later
//! on one rank, after the others dropped that switch, and a pass runs on two maps. One
//! would notice wrong tokens, long after. Two rules prevent it:
//!
//! - No rank is armed for a pass before another order holds the group at that pass, and
//!   the group goes on only when every rank has confirmed that it is armed, or every rank
//!   that it is not.
//! - Every order carries a fencing token above all before it. An order without an answer
//!   is repeated with a higher one until an answer comes: from then on the lost one can
//!   only be refused.
//!
//! Gain: a pass lasts as long as its busiest rank takes, which has several times the mean where the map
//! does not follow demand.
//!
//! A new leader fences every rank before it looks at any: an old leader that does not
//! know of it can do nothing from then on. What it left half done is undone under the
//! hold that still stands.

mod calls;
mod planning;
mod polling;
mod switching;
mod types;

pub use types::{Ask, Call, Command, EngineId, Note, Pass, Reply, Shape, View};

use crate::Version;
use crate::demand::Demand;
use crate::map::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Between two looks at the group. What is in demand moves within a second, and until the
/// map follows every stream in flight is late.
const REST: Duration = Duration::from_millis(350);
/// The same where every report is fresh and counts are free: two to three passes, in which
/// enough tokens are counted.
const FRESH_REST: Duration = Duration::from_millis(150);
/// Rest where the group is not whole, or another leads.
const LONG_REST: Duration = Duration::from_millis(600);
/// Rest while a rank is away: the group opens some hundred milliseconds after it is back, and every
/// pass on the first map is slow.
const AWAY_REST: Duration = Duration::from_millis(150);
/// Tries of a question or of an order that may be given up.
const TRIES: u32 = 4;
/// Tries of a look at a rank from beside it, by a leader that found the group as another left it.
const FRESH_TRIES: u32 = 3;
/// Tries of an order to prepare: nothing stands still meanwhile, and a switch that is begun
/// anew takes longer.
const PREPARE_TRIES: u32 = 8;
/// Least passes ahead of the last one reported at which a switch is set: reports are two
/// to three passes old, and arming takes a part of one. Where answers to orders are lost
/// it takes longer, and the switch is set further ahead by what the last ones took: a
/// group that waits at the hold makes every stream in flight late.
const AHEAD: Pass = 4;
/// The same where reports are fresh: the pass after the one that is under way.
const FRESH_AHEAD: Pass = 2;
/// Time of a pass before any was seen, and the bounds of what is believed.
const PASS: Duration = Duration::from_millis(80);
const SHORTEST_PASS: Duration = Duration::from_millis(30);
const LONGEST_PASS: Duration = Duration::from_millis(300);
/// A version that is never used, since terms begin at 1: an order to disarm it changes
/// nothing. Engines refuse 0.
const NO_VERSION: Version = 1;
/// Most passes ahead at which a switch is set.
const FURTHEST: Pass = 60;
/// Versions and tokens of one term: terms are those of the log, one leader each, so that
/// neither is ever used twice.
const PER_TERM: u64 = 1 << 20;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Rest(Duration),
    /// First reports: who forms the group, in which epoch.
    Meet,
    Fence,
    /// A hold of an earlier leader is looked for at once.
    Early,
    Lag(Duration),
    Survey,
    /// Which experts each rank holds, where an earlier leader chose them.
    List,
    Count,
    Prepare,
    CopyWait(Duration),
    CopyLook,
    Hold,
    Arm,
    /// The hold of an earlier leader, or one that was lost from sight, is renewed.
    Rehold,
    Undo,
    Go,
}

/// Questions or orders that are out, by engine.
#[derive(Debug, Clone, Default)]
struct Round {
    out: IndexMap<EngineId, (u64, u32)>,
    back: IndexMap<EngineId, Reply>,
    /// Call that asks another rank whether the group still stands.
    check: Option<u64>,
}

/// A switch under way.
#[derive(Debug, Clone, Default)]
struct Switch {
    version: Version,
    map: Arc<ExpertMap>,
    pass: Pass,
    holder: EngineId,
    began: Duration,
    /// When the hold was ordered.
    ordered: Duration,
    /// Set when every rank is armed: the switch will hold.
    sure: bool,
}

/// Numbers that a pilot has used in its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Used {
    /// Calls.
    pub calls: u64,
    /// Fencing tokens.
    pub tokens: u64,
    /// Versions of maps.
    pub versions: u64,
}

impl Used {
    /// The highest of both.
    #[must_use]
    pub fn or(self, other: Used) -> Used {
        Used {
            calls: self.calls.max(other.calls),
            tokens: self.tokens.max(other.tokens),
            versions: self.versions.max(other.versions),
        }
    }
}

/// The switching of one group by one leader.
#[derive(Debug, Clone)]
pub struct Pilot {
    shape: Shape,
    term: u64,
    calls: u64,
    tokens: u64,
    versions: u64,
    /// More passes ahead, after a switch was set too near.
    further: Pass,
    /// Time that a hold and arming every rank take.
    arming: Duration,
    /// Time of a pass, and when which pass was seen last.
    pass_time: Duration,
    seen: Option<(Duration, Pass)>,
    /// Engines that this leader has fenced before.
    fenced: Vec<EngineId>,
    phase: Phase,
    round: Round,
    registered: Vec<EngineId>,
    /// Those of them that form the group.
    engines: Vec<EngineId>,
    views: IndexMap<EngineId, View>,
    /// The views tell what is prepared and armed since the ranks were fenced.
    current: bool,
    epoch: u64,
    /// The map in use, where its content is known, with its version.
    map: Option<(Version, Arc<ExpertMap>)>,
    counted: IndexMap<EngineId, Vec<u64>>,
    /// What is asked of each expert.
    demand: Demand,
    /// Lag of the map that the last search found.
    reached: f64,
    /// Looks that it knew of.
    searched: f64,
    switch: Switch,
    notes: Vec<Note>,
    /// Paces as they were told, in steps, and those that are not told yet.
    paced: IndexMap<EngineId, u32>,
    repaced: Vec<(EngineId, u32)>,
}

impl Pilot {
    /// Begins for the leader of a term. Until every rank is fenced nothing else is done.
    pub fn new(term: u64, shape: Shape) -> Pilot {
        Pilot {
            shape,
            term,
            // Replies to calls of the pilot before, in the same process, must fit none.
            calls: term * PER_TERM,
            tokens: 0,
            versions: 0,
            further: 0,
            arming: Duration::ZERO,
            pass_time: PASS,
            seen: None,
            fenced: Vec::new(),
            phase: Phase::Rest(Duration::ZERO),
            round: Round::default(),
            registered: Vec::new(),
            engines: Vec::new(),
            views: IndexMap::new(),
            current: false,
            epoch: 0,
            map: None,
            counted: IndexMap::new(),
            demand: Demand::new(),
            reached: 1.0,
            searched: 0.0,
            switch: Switch::default(),
            notes: Vec::new(),
            paced: IndexMap::new(),
            repaced: Vec::new(),
        }
    }

    /// Begins with ranks that reported just now, without asking them again.
    pub fn begin(&mut self, now: Duration, members: IndexMap<EngineId, View>) -> Vec<Call> {
        self.registered = members.keys().cloned().collect();
        let back = members.into_iter().map(|(e, v)| (e, Reply::View(v)));
        self.met(now, back.collect())
    }

    /// The ranks may not be those that were known: something was in the way.
    pub fn is_unsure(&self) -> bool {
        self.registered.is_empty()
    }

    /// Paces of the ranks in steps, where they changed: gateways place by them.
    pub fn take_paces(&mut self) -> Vec<(EngineId, u32)> {
        std::mem::take(&mut self.repaced)
    }

    /// Ranks that form the group, as far as is known.
    pub fn ranks(&self) -> usize {
        self.engines.len()
    }

    /// How far calls, tokens and versions have gone.
    pub fn used(&self) -> Used {
        Used {
            calls: self.calls,
            tokens: self.tokens,
            versions: self.versions,
        }
    }

    /// Goes on above what other pilots of the same term used: ranks that change groups have seen
    /// their tokens and versions, and would refuse lower ones.
    pub fn go_above(&mut self, used: Used) {
        self.calls = self.calls.max(used.calls);
        self.tokens = self.tokens.max(used.tokens);
        self.versions = self.versions.max(used.versions);
    }

    /// What happened since the last call.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// The next call of [`Pilot::tick`] does something.
    pub fn is_due(&self, now: Duration) -> bool {
        match self.phase {
            Phase::Rest(until) | Phase::Lag(until) | Phase::CopyWait(until) => now >= until,
            _ => false,
        }
    }

    /// Lets time pass; `engines` are those that are registered now.
    pub fn tick(&mut self, now: Duration, engines: &[EngineId]) -> Vec<Call> {
        match self.phase {
            Phase::Rest(until) if now >= until && !engines.is_empty() => {
                let known = self.registered == engines;
                match known {
                    true => self.ask_all(Phase::Survey, Ask::Look),
                    // New ones may be under another leader's orders still.
                    false => self.meet(engines),
                }
            }
            Phase::Lag(until) if now >= until => self.ask_all(Phase::Survey, Ask::Report),
            Phase::CopyWait(until) if now >= until => self.look_at_copies(),
            _ => Vec::new(),
        }
    }

    /// Takes the reply to a call.
    pub fn reply(&mut self, now: Duration, call: u64, reply: Reply) -> Vec<Call> {
        if self.round.check == Some(call) {
            return self.checked(now, &reply);
        }
        let found = self.round.out.iter().find(|(_, (c, _))| *c == call);
        let Some((engine, tries)) = found.map(|(e, (_, t))| (e.clone(), *t)) else {
            return Vec::new();
        };
        let bound = self.bound();
        // A try to look from beside a rank is soon over; waiting until an old report must have passed
        // takes several times as long, for which a group that was left held stands still.
        let old = matches!(&reply, Reply::View(v) if !v.fresh) && self.phase == Phase::Early;
        if old && tries < FRESH_TRIES {
            return self.again(&engine, tries + 1);
        }
        if matches!(reply, Reply::Silent | Reply::Odd) && bound.is_none_or(|b| tries < b) {
            let mut calls = self.again(&engine, tries + 1);
            if bound.is_none() && tries.is_multiple_of(TRIES) {
                calls.extend(self.check(&engine));
            }
            return calls;
        }
        self.round.out.shift_remove(&engine);
        self.round.back.insert(engine, reply);
        match self.round.out.is_empty() {
            true => self.next(now),
            false => Vec::new(),
        }
    }

    /// A rank that stays silent may have crashed. Then the group forms anew, which clears
    /// every hold and arm, and nothing is left to be settled; any other rank tells.
    fn check(&mut self, silent: &EngineId) -> Option<Call> {
        let other = self.engines.iter().find(|e| *e != silent)?.clone();
        self.calls += 1;
        let call = self.calls;
        self.round.check = Some(call);
        Some(Call {
            call,
            engine: other,
            tries: 1,
            ask: Ask::Report,
        })
    }

    fn checked(&mut self, now: Duration, reply: &Reply) -> Vec<Call> {
        self.round.check = None;
        match reply {
            Reply::View(v) if v.epoch != self.epoch || !v.open => {
                self.round = Round::default();
                self.note("group_changed", v.epoch);
                self.away(now)
            }
            _ => Vec::new(),
        }
    }

    /// Tries of a call in this phase. An order to arm, to undo or to go on is never
    /// given up: the group may stand still until it is answered. Nor is fencing: a hold may
    /// have been left behind, and where a third of the answers is lost one of many ranks
    /// fails every bounded number of tries.
    fn bound(&self) -> Option<u32> {
        match self.phase {
            Phase::Undo | Phase::Go | Phase::Arm | Phase::Rehold | Phase::Fence => None,
            Phase::Prepare => Some(PREPARE_TRIES),
            _ => Some(TRIES),
        }
    }

    fn next(&mut self, now: Duration) -> Vec<Call> {
        let back = std::mem::take(&mut self.round.back);
        match self.phase {
            Phase::Meet => self.met(now, back),
            Phase::Fence => self.fenced(now, &back),
            Phase::Early => self.looked_early(now, back),
            Phase::Survey => self.surveyed(now, back),
            Phase::List => self.listed(now, &back),
            Phase::Count => self.counted(now, &back),
            Phase::Prepare => self.prepared(now, &back),
            Phase::CopyLook => self.copied(now, back),
            Phase::Hold => self.held(now, &back),
            Phase::Arm => self.armed(now, &back),
            Phase::Rehold => self.reheld(now, &back),
            Phase::Undo => self.undone(now, &back),
            Phase::Go => self.gone(now),
            Phase::Rest(_) | Phase::Lag(_) | Phase::CopyWait(_) => Vec::new(),
        }
    }

    fn rest(&mut self, until: Duration) -> Vec<Call> {
        self.phase = Phase::Rest(until);
        Vec::new()
    }

    /// Until the next look.
    fn rest_a_while(&mut self, now: Duration) -> Vec<Call> {
        let rest = if self.all_fresh() { FRESH_REST } else { REST };
        self.rest(now + rest)
    }

    fn all_fresh(&self) -> bool {
        !self.views.is_empty() && self.views.values().all(|v| v.fresh)
    }

    fn look_at_copies(&mut self) -> Vec<Call> {
        self.ask_all(Phase::CopyLook, Ask::Copied(self.switch.version))
    }

    /// Something is in the way: all begins anew after a while, with fencing.
    fn unwell(&mut self, now: Duration) -> Vec<Call> {
        self.registered.clear();
        self.rest(now + LONG_REST)
    }

    /// The group is not whole: a rank is away, or was. Where looking costs nothing, it is looked for as
    /// often as at a group that is well.
    fn away(&mut self, now: Duration) -> Vec<Call> {
        let fresh = self.views.values().filter(|v| v.fresh).count();
        let free = 2 * fresh > self.views.len();
        self.registered.clear();
        self.rest(now + if free { AWAY_REST } else { LONG_REST })
    }

    fn give_up(&mut self, now: Duration, why: &'static str) -> Vec<Call> {
        self.note(why, self.switch.version);
        self.unwell(now)
    }

    fn note(&mut self, event: &'static str, number: u64) {
        self.notes.push(Note {
            event,
            number,
            skew: None,
            pace: None,
        });
    }
}

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
//! A new leader fences every rank before it looks at any: an old leader that does not
//! know of it can do nothing from then on. What it left half done is undone under the
//! hold that still stands.

use crate::Version;
use crate::map::ExpertMap;
use crate::spread::{Limits, lag, spread};
use indexmap::IndexMap;
use std::time::Duration;

/// Id of a rank's engine, one start of it.
pub type EngineId = String;
/// Number of a pass of the whole group.
pub type Pass = u64;

/// Between two looks at the group. What is in demand moves within a second, and until the
/// map follows every stream in flight is late.
const REST: Duration = Duration::from_millis(350);
/// Rest where the group is not whole, or another leads.
const LONG_REST: Duration = Duration::from_millis(600);
/// Reports describe the past: by some hundred milliseconds. After an order, and after
/// fencing, so long passes before one is believed.
const LAG: Duration = Duration::from_millis(700);
/// Between two looks whether copies are complete.
const COPY_LOOK: Duration = Duration::from_millis(100);
/// Usual age of a report: completed copies show so much later.
const REPORT_AGE: Duration = Duration::from_millis(220);
/// Copies that take longer than this are given up; nothing is armed yet then.
const COPY_WITHIN: Duration = Duration::from_secs(6);
/// Tries of a question or of an order that may be given up.
const TRIES: u32 = 4;
/// Least passes ahead of the last one reported at which a switch is set: reports are two
/// to three passes old, and arming takes a part of one. Where answers to orders are lost
/// it takes longer, and the switch is set further ahead by what the last ones took: a
/// group that waits at the hold makes every stream in flight late.
const AHEAD: Pass = 4;
/// Time of a pass before any was seen, and the bounds of what is believed.
const PASS: Duration = Duration::from_millis(80);
const SHORTEST_PASS: Duration = Duration::from_millis(30);
const LONGEST_PASS: Duration = Duration::from_millis(300);
/// What is remembered of the time that arming took, from one switch to the next.
const REMEMBERED: f64 = 0.8;
/// More of them after a pass turned out begun already.
const FURTHER: Pass = 3;
const FURTHEST: Pass = 60;
/// Ranks whose counts are read. Requests are spread over ranks whatever they are about, so
/// that a few ranks tell what all of them choose; reading from another machine is paid
/// for and makes the group pause: with 12 of 72 ranks 0.37 of the credit were earned, with
/// 3 of them 0.72, on a quiet day each.
const SAMPLE: usize = 3;
/// Weight of the newest counts in the estimate of loads.
const ALPHA: f64 = 0.8;
/// A new map must lower the busiest rank by this part of the mean.
const LEAST_GAIN: f64 = 0.12;
/// Tokens counted in a window below which nothing is concluded.
const FEWEST: u64 = 2_000;
/// A version that is never used, since terms begin at 1: an order to disarm it changes
/// nothing. Engines refuse 0.
const NO_VERSION: Version = 1;
/// Versions and tokens of one term: terms are those of the log, one leader each, so that
/// neither is ever used twice.
const PER_TERM: u64 = 1 << 20;

/// What a rank reports.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    /// Group it belongs to.
    pub group: String,
    /// Number of the group's forming.
    pub epoch: u64,
    /// Its rank.
    pub rank: u32,
    /// The group runs.
    pub open: bool,
    /// Ranks of the group.
    pub size: u32,
    /// Last pass begun.
    pub pass: Pass,
    /// Version of the map in use.
    pub map: Version,
    /// Version that is copied completely.
    pub prepared: Option<Version>,
    /// Version armed.
    pub armed: Option<Version>,
    /// Pass before which it holds the group.
    pub held: Option<Pass>,
    /// Time that it takes for the same work in hundredths of a sound rank's; 0: not told.
    pub pace: u32,
}

/// An order to a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Copy what the map needs.
    Prepare(Version, ExpertMap),
    /// Switch to the version as the pass begins.
    Arm(Version, Pass),
    /// Do not switch to the version.
    Disarm(Version),
    /// Do not begin the pass.
    Hold(Pass),
    /// Begin it after all.
    Go(Pass),
}

/// What is asked of a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// Its report.
    Report,
    /// Its counts of chosen experts.
    Counts,
    /// The experts that it holds.
    List,
    /// An order, in an epoch, with a fencing token.
    Order(Command, u64, u64),
}

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number, for the reply.
    pub call: u64,
    /// Which engine.
    pub engine: EngineId,
    /// What to ask.
    pub ask: Ask,
}

/// What came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A report.
    View(View),
    /// Epoch, and counts by set and expert in one list.
    Counts(u64, Vec<u64>),
    /// Version of the map in use, and this rank's experts by set.
    List(Version, Vec<Vec<u32>>),
    /// The order holds.
    Done,
    /// The order does not fit the rank's state or epoch.
    Conflict,
    /// The rank has seen a higher token: another leads.
    Fenced,
    /// Another answer, or one that cannot be read.
    Odd,
    /// Nothing came, or nobody was there.
    Silent,
}

/// Something worth a line.
#[derive(Debug, Clone, PartialEq)]
pub struct Note {
    /// What happened.
    pub event: &'static str,
    /// Version or pass that it is about.
    pub number: u64,
    /// Busiest rank over mean rank before and after, where it was computed.
    pub skew: Option<(f64, f64)>,
}

/// Shape of a group's experts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Sets of layers.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts of a set on one rank at most.
    pub places: usize,
    /// Experts of a set that may be new to a rank in one switch.
    pub spare: usize,
    /// Time that a rank takes to copy one expert.
    pub copy: Duration,
}

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
    map: ExpertMap,
    pass: Pass,
    holder: EngineId,
    began: Duration,
    /// When the hold was ordered.
    ordered: Duration,
    /// Set when every rank is armed: the switch will hold.
    sure: bool,
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
    epoch: u64,
    /// The map in use, where its content is known, with its version.
    map: Option<(Version, ExpertMap)>,
    counted: IndexMap<EngineId, Vec<u64>>,
    loads: Vec<Vec<f64>>,
    switch: Switch,
    notes: Vec<Note>,
}

impl Pilot {
    /// Begins for the leader of a term. Until every rank is fenced nothing else is done.
    pub fn new(term: u64, shape: Shape) -> Pilot {
        Pilot {
            shape,
            term,
            calls: 0,
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
            epoch: 0,
            map: None,
            counted: IndexMap::new(),
            loads: Vec::new(),
            switch: Switch::default(),
            notes: Vec::new(),
        }
    }

    /// What happened since the last call.
    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Lets time pass; `engines` are those that are registered now.
    pub fn tick(&mut self, now: Duration, engines: &[EngineId]) -> Vec<Call> {
        match self.phase {
            Phase::Rest(until) if now >= until && !engines.is_empty() => {
                let known = self.registered == engines;
                match known {
                    true => self.ask_all(Phase::Survey, Ask::Report),
                    // New ones may be under another leader's orders still.
                    false => self.meet(engines),
                }
            }
            Phase::Lag(until) if now >= until => self.ask_all(Phase::Survey, Ask::Report),
            Phase::CopyWait(until) if now >= until => self.ask_all(Phase::CopyLook, Ask::Report),
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
        let ask = Ask::Report;
        let engine = other;
        Some(Call { call, engine, ask })
    }

    fn checked(&mut self, now: Duration, reply: &Reply) -> Vec<Call> {
        self.round.check = None;
        match reply {
            Reply::View(v) if v.epoch != self.epoch || !v.open => {
                self.round = Round::default();
                self.note("group_changed", v.epoch);
                self.unwell(now)
            }
            _ => Vec::new(),
        }
    }

    /// Tries of a call in this phase. An order to arm, to undo or to go on is never
    /// given up: the group may stand still until it is answered.
    fn bound(&self) -> Option<u32> {
        match self.phase {
            Phase::Undo | Phase::Go | Phase::Arm | Phase::Rehold => None,
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

    /// Begins with the engines that are registered now.
    fn meet(&mut self, engines: &[EngineId]) -> Vec<Call> {
        self.registered = engines.to_vec();
        self.engines = engines.to_vec();
        self.ask_all(Phase::Meet, Ask::Report)
    }

    /// First reports tell who forms the group. Others that are registered may be dead, or
    /// not yet part of it. Then each rank gets an order that means nothing: it makes
    /// lost ones with lower tokens void.
    fn met(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        self.engines = self.views.keys().cloned().collect();
        let Some(epoch) = self.whole() else {
            return self.unwell(now);
        };
        if epoch != self.epoch {
            // A new forming knows no order: it starts with map 0.
            self.map = None;
            self.counted.clear();
        }
        self.epoch = epoch;
        self.order_all(Phase::Fence, |_| Command::Disarm(NO_VERSION))
    }

    fn fenced(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        if !back.values().all(|r| matches!(r, Reply::Done)) {
            return self.unwell(now);
        }
        // An engine that this leader fenced before keeps every other leader out: none can
        // fence the whole group, and none gives an order before that. So nothing foreign
        // is hidden by the age of reports.
        let known = self.engines.iter().any(|e| self.fenced.contains(e));
        self.fenced = self.engines.clone();
        if known {
            return self.ask_all(Phase::Survey, Ask::Report);
        }
        self.ask_all(Phase::Early, Ask::Report)
    }

    /// A group that an earlier leader left held stands still: this cannot wait until
    /// reports are sure to be new. It need not, since the hold is renewed first, and what
    /// is prepared, and so could be armed, was reported before anything was armed.
    fn looked_early(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        if self.whole() != Some(self.epoch) {
            return self.unwell(now);
        }
        if let Some(calls) = self.renew_found_hold() {
            return calls;
        }
        self.phase = Phase::Lag(now + LAG);
        Vec::new()
    }

    fn renew_found_hold(&mut self) -> Option<Vec<Call>> {
        let held = |(e, v): (&EngineId, &View)| Some((e.clone(), v.held?));
        let (holder, pass) = self.views.iter().find_map(held)?;
        self.note("hold_found", pass);
        self.switch = Switch {
            holder,
            pass,
            ..Switch::default()
        };
        Some(self.order_holder(Phase::Rehold, Command::Hold(pass)))
    }

    /// Something is in the way: all begins anew after a while, with fencing.
    fn unwell(&mut self, now: Duration) -> Vec<Call> {
        self.registered.clear();
        self.rest(now + LONG_REST)
    }

    fn surveyed(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        let Some(epoch) = self.whole() else {
            return self.unwell(now);
        };
        if epoch != self.epoch {
            return self.unwell(now);
        }
        if let Some(calls) = self.renew_found_hold() {
            return calls;
        }
        if self.views.values().any(|v| v.armed.is_some()) {
            // The pass is still to come; an idle group makes none.
            return self.rest(now + REST);
        }
        self.clock_passes(now);
        match self.map_in_use() {
            // The group has just formed: what was in demand before still is, and every
            // pass on map 0 is slow.
            Some(true) if self.map_is_first() && !self.loads.is_empty() => match self.better() {
                Some(map) => self.prepare(now, map),
                None => self.ask_some(),
            },
            Some(true) => self.ask_some(),
            Some(false) => self.ask_all(Phase::List, Ask::List),
            None => self.rest(now + REST),
        }
    }

    /// All ranks of one open group, each once: their epoch.
    fn whole(&self) -> Option<u64> {
        let first = self.views.values().next()?;
        let mut ranks: Vec<u32> = self.views.values().map(|v| v.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let alike = |v: &View| v.open && v.epoch == first.epoch && v.group == first.group;
        let all = self.views.len() == self.engines.len()
            && ranks.len() == first.size as usize
            && ranks.len() == self.views.len();
        (all && self.views.values().all(alike)).then_some(first.epoch)
    }

    /// Whether the content of the map in use is known; none where reports differ, since
    /// they were made at different times around a switch.
    fn map_in_use(&mut self) -> Option<bool> {
        let mut versions = self.views.values().map(|v| v.map);
        let version = versions.next()?;
        if versions.any(|v| v != version) {
            return None;
        }
        if version == 0 {
            let shape = self.shape;
            let even = ExpertMap::even(shape.sets, shape.experts, self.views.len());
            self.map = Some((0, even));
        }
        Some(self.map.as_ref().is_some_and(|(v, _)| *v == version))
    }

    fn map_is_first(&self) -> bool {
        self.map.as_ref().is_some_and(|(version, _)| *version == 0)
    }

    fn listed(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        let Shape { sets, experts, .. } = self.shape;
        let mut layers = vec![vec![Vec::new(); experts]; sets];
        let mut version = None;
        for (engine, reply) in back {
            let (Reply::List(v, held), Some(view)) = (reply, self.views.get(engine)) else {
                return self.unwell(now);
            };
            if version.is_some_and(|known| known != *v) {
                return self.unwell(now);
            }
            version = Some(*v);
            for (layer, experts) in layers.iter_mut().zip(held) {
                for expert in experts {
                    if let Some(holders) = layer.get_mut(*expert as usize) {
                        holders.push(view.rank);
                    }
                }
            }
        }
        let everywhere = layers.iter().flatten().all(|holders| !holders.is_empty());
        let Some(version) = version.filter(|_| everywhere) else {
            return self.unwell(now);
        };
        self.map = Some((version, ExpertMap { layers }));
        self.ask_some()
    }

    fn counted(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        let Some(fresh) = self.take_counts(back) else {
            return self.rest(now + REST);
        };
        let mut estimate = crate::Estimate {
            layers: std::mem::take(&mut self.loads),
        };
        estimate.update(&fresh, ALPHA);
        self.loads = estimate.layers;
        match self.better() {
            Some(map) => self.prepare(now, map),
            None => self.rest(now + REST),
        }
    }

    /// What was chosen since the last look, over all ranks, by set and expert.
    fn take_counts(&mut self, back: &IndexMap<EngineId, Reply>) -> Option<Vec<Vec<f64>>> {
        let Shape { sets, experts, .. } = self.shape;
        let mut sums = vec![0u64; sets * experts];
        let mut complete = true;
        for (engine, reply) in back {
            let Reply::Counts(epoch, counts) = reply else {
                return None;
            };
            if *epoch != self.epoch || counts.len() != sums.len() {
                return None;
            }
            match self.counted.insert(engine.clone(), counts.clone()) {
                Some(before) => {
                    let pairs = counts.iter().zip(&before);
                    for (sum, (new, old)) in sums.iter_mut().zip(pairs) {
                        *sum += new.saturating_sub(*old);
                    }
                }
                None => complete = false,
            }
        }
        if !complete || sums.iter().sum::<u64>() < FEWEST {
            return None;
        }
        let layers = sums.chunks(experts.max(1));
        Some(
            layers
                .map(|l| l.iter().map(|n| *n as f64).collect())
                .collect(),
        )
    }

    fn better(&mut self) -> Option<ExpertMap> {
        let (_, map) = self.map.as_ref()?;
        let paces = self.paces();
        let limits = Limits {
            ranks: self.views.len(),
            places: self.shape.places,
            spare: self.shape.spare,
            paces: &paces,
        };
        let next = spread(map, &self.loads, limits);
        let (before, after) = (
            lag(map, &self.loads, limits),
            lag(&next, &self.loads, limits),
        );
        let pays = before - after >= LEAST_GAIN;
        self.notes.push(Note {
            event: if pays { "map_better" } else { "map_kept" },
            number: self.map.as_ref().map_or(0, |(v, _)| *v),
            skew: Some((before, after)),
        });
        pays.then_some(next)
    }

    /// Pace of each rank, by rank.
    fn paces(&self) -> Vec<f64> {
        let mut paces = vec![1.0; self.views.len()];
        for view in self.views.values().filter(|v| v.pace > 0) {
            if let Some(pace) = paces.get_mut(view.rank as usize) {
                *pace = f64::from(view.pace) / 100.0;
            }
        }
        paces
    }

    fn prepare(&mut self, now: Duration, map: ExpertMap) -> Vec<Call> {
        self.versions += 1;
        let version = self.term * PER_TERM + self.versions;
        self.switch = Switch {
            version,
            map: map.clone(),
            began: now,
            ..Switch::default()
        };
        self.order_all(Phase::Prepare, |_| Command::Prepare(version, map.clone()))
    }

    fn prepared(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        if !back.values().all(|r| matches!(r, Reply::Done)) {
            return self.give_up(now, "prepare_refused");
        }
        let copies = self
            .map
            .as_ref()
            .map_or(0, |(_, map)| most_new(map, &self.switch.map));
        let copying = self.shape.copy * copies as u32;
        self.phase = Phase::CopyWait(now + REPORT_AGE + copying);
        Vec::new()
    }

    fn copied(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        if self.whole() != Some(self.epoch) {
            return self.give_up(now, "group_changed");
        }
        let version = self.switch.version;
        if !self.views.values().all(|v| v.prepared == Some(version)) {
            if now >= self.switch.began + COPY_WITHIN {
                return self.give_up(now, "copies_late");
            }
            self.phase = Phase::CopyWait(now + COPY_LOOK);
            return Vec::new();
        }
        let last = self.views.values().map(|v| v.pass).max().unwrap_or(0);
        self.switch.pass = last + self.ahead();
        self.switch.ordered = now;
        // Any rank may hold the group.
        let holder = self.engines.first().cloned().unwrap_or_default();
        self.switch.holder = holder;
        self.order_holder(Phase::Hold, Command::Hold(self.switch.pass))
    }

    fn held(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        let pass = self.switch.pass;
        match back.values().next() {
            Some(Reply::Done) => {
                let version = self.switch.version;
                self.order_all(Phase::Arm, |_| Command::Arm(version, pass))
            }
            // The pass has begun already: nothing was armed, so nothing is lost.
            Some(Reply::Conflict) => {
                self.further = (self.further + FURTHER).min(FURTHEST);
                self.note("hold_late", pass);
                self.phase = Phase::CopyWait(now);
                Vec::new()
            }
            // It may be held: only what surely lifts it may follow.
            _ => self.order_holder(Phase::Go, Command::Go(pass)),
        }
    }

    /// Passes ahead of the last one reported at which a switch is set.
    fn ahead(&self) -> Pass {
        let needed = (REPORT_AGE + self.arming).as_secs_f64() / self.pass_time.as_secs_f64();
        (needed.ceil() as Pass + 1).clamp(AHEAD, FURTHEST) + self.further
    }

    /// Learns the time of a pass from two surveys.
    fn clock_passes(&mut self, now: Duration) {
        let pass = self.views.values().map(|v| v.pass).max().unwrap_or(0);
        if let Some((then, before)) = self.seen
            && pass > before
        {
            let passes = u32::try_from(pass - before).unwrap_or(u32::MAX);
            let time = now.saturating_sub(then) / passes;
            self.pass_time = time.clamp(SHORTEST_PASS, LONGEST_PASS);
        }
        self.seen = Some((now, pass));
    }

    fn armed(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        if back.values().all(|r| matches!(r, Reply::Done)) {
            self.switch.sure = true;
            let took = now.saturating_sub(self.switch.ordered);
            self.arming = took.max(self.arming.mul_f64(REMEMBERED));
            return self.order_holder(Phase::Go, Command::Go(self.switch.pass));
        }
        self.note("arm_refused", self.switch.version);
        self.undo()
    }

    fn reheld(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        match back.values().next() {
            Some(Reply::Done) => self.undo(),
            // The pass has begun, or the group formed anew: there is no hold any more.
            _ => self.unwell(now),
        }
    }

    fn undo(&mut self) -> Vec<Call> {
        let versions: IndexMap<EngineId, Version> = self
            .engines
            .iter()
            .map(|e| (e.clone(), self.to_disarm(e)))
            .collect();
        self.order_all(Phase::Undo, |e| {
            Command::Disarm(versions.get(e).copied().unwrap_or(NO_VERSION))
        })
    }

    /// What a rank may be armed with: this leader's switch, or else what it reported as
    /// armed or prepared.
    fn to_disarm(&self, engine: &EngineId) -> Version {
        if self.switch.version > 0 {
            return self.switch.version;
        }
        let view = self.views.get(engine);
        view.and_then(|v| v.armed.or(v.prepared))
            .unwrap_or(NO_VERSION)
    }

    fn undone(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        // Another leader has fenced some rank: it finds the hold and ends it. To go on
        // here could mix maps, since this one cannot tell what is armed there.
        if back.values().any(|r| matches!(r, Reply::Fenced)) {
            return self.unwell(now);
        }
        self.order_holder(Phase::Go, Command::Go(self.switch.pass))
    }

    fn gone(&mut self, now: Duration) -> Vec<Call> {
        let (version, sure) = (self.switch.version, self.switch.sure);
        self.note(
            if sure {
                "map_switched"
            } else {
                "switch_undone"
            },
            version,
        );
        if sure {
            self.further = 0;
            // Known from here on. A later switch that is undone must not replace it.
            self.map = Some((version, self.switch.map.clone()));
        }
        self.rest(now + REST)
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
        });
    }

    fn ask_all(&mut self, phase: Phase, ask: Ask) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let engines = self.engines.clone();
        let calls = engines.into_iter().map(|e| self.call(e, ask.clone(), 1));
        calls.collect()
    }

    /// Asks the sampled ranks for counts.
    fn ask_some(&mut self) -> Vec<Call> {
        self.phase = Phase::Count;
        self.round = Round::default();
        let engines: Vec<_> = self.engines.iter().take(SAMPLE).cloned().collect();
        let calls = engines.into_iter().map(|e| self.call(e, Ask::Counts, 1));
        calls.collect()
    }

    fn order_all(&mut self, phase: Phase, command: impl Fn(&EngineId) -> Command) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let engines = self.engines.clone();
        let order = |e: EngineId| {
            let command = command(&e);
            self.order(e, command, 1)
        };
        engines.into_iter().map(order).collect()
    }

    fn order_holder(&mut self, phase: Phase, command: Command) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let holder = self.switch.holder.clone();
        vec![self.order(holder, command, 1)]
    }

    fn order(&mut self, engine: EngineId, command: Command, tries: u32) -> Call {
        self.tokens += 1;
        let token = self.term * PER_TERM + self.tokens;
        let ask = Ask::Order(command, self.epoch, token);
        self.call(engine, ask, tries)
    }

    fn call(&mut self, engine: EngineId, ask: Ask, tries: u32) -> Call {
        self.calls += 1;
        let call = self.calls;
        self.round.out.insert(engine.clone(), (call, tries));
        Call { call, engine, ask }
    }

    /// The same once more, an order with a higher token.
    fn again(&mut self, engine: &EngineId, tries: u32) -> Vec<Call> {
        let engine = engine.clone();
        let (version, pass) = (self.switch.version, self.switch.pass);
        let command = match self.phase {
            Phase::Prepare => Command::Prepare(version, self.switch.map.clone()),
            Phase::Hold | Phase::Rehold => Command::Hold(pass),
            Phase::Arm => Command::Arm(version, pass),
            Phase::Undo => Command::Disarm(self.to_disarm(&engine)),
            Phase::Go => Command::Go(pass),
            Phase::Fence => Command::Disarm(NO_VERSION),
            Phase::List => return vec![self.call(engine, Ask::List, tries)],
            Phase::Count => return vec![self.call(engine, Ask::Counts, tries)],
            _ => return vec![self.call(engine, Ask::Report, tries)],
        };
        vec![self.order(engine, command, tries)]
    }
}

fn views(back: IndexMap<EngineId, Reply>) -> IndexMap<EngineId, View> {
    let views = back.into_iter().filter_map(|(e, r)| match r {
        Reply::View(view) => Some((e, view)),
        _ => None,
    });
    views.collect()
}

/// Most experts, over all sets, that a change of map brings new to one rank.
fn most_new(old: &ExpertMap, new: &ExpertMap) -> usize {
    let mut counts: IndexMap<u32, usize> = IndexMap::new();
    let pairs = old.layers.iter().flatten().zip(new.layers.iter().flatten());
    for (before, after) in pairs {
        for rank in after.iter().filter(|r| !before.contains(r)) {
            *counts.entry(*rank).or_default() += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}

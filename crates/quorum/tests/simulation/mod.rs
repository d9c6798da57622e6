//! Replicas under a random schedule of faults: a manual clock that runs at another
//! rate at each replica, a network that delays, loses, doubles and reorders, disks
//! that keep what was synced. The checks run after every step.

use bn_quorum::{
    Change, Entry, Index, JoinAsk, Member, Members, Message, Payload, Quorum, Restored, Role,
    Setup, Snapshot, Term, Timing, Upkeep,
};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::TestCaseError;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Replicas of random schedules.
const REPLICAS: usize = 3;
const STEP: Duration = Duration::from_millis(10);
const SETTLE_STEPS: usize = 1500;
/// Entries that stay in memory behind a snapshot, as with coordinators: others get the snapshot.
const KEPT: u64 = 3;

/// One event of a schedule.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Time passes, in steps of 10 ms.
    Run(u16),
    /// A command goes to whoever says it leads.
    Propose,
    /// Power off; with `true`, between deciding and syncing.
    Crash(usize, bool),
    /// Power on.
    Start(usize),
    /// Silent cut, both ways.
    Cut(usize),
    /// Silent cut, outgoing only.
    Mute(usize),
    /// Silent cut between two only, so that a third hears both.
    CutPair(usize, usize),
    /// All cuts end; what was held is delivered late.
    Heal,
    /// One message in so many is lost, and as many are doubled.
    Lose(u8),
    /// The disk is emptied and the replica starts again; only where no other repair
    /// is under way, since two empty disks of three are more than was promised.
    Empty(usize),
    /// A snapshot is taken.
    Compact(usize),
}

pub(crate) fn schedules() -> impl Strategy<Value = (u64, Vec<Action>)> {
    let who = 0..REPLICAS;
    let action = prop_oneof![
        8 => (1u16..150).prop_map(Action::Run),
        6 => Just(Action::Propose),
        2 => (who.clone(), any::<bool>()).prop_map(|(i, b)| Action::Crash(i, b)),
        3 => who.clone().prop_map(Action::Start),
        2 => who.clone().prop_map(Action::Cut),
        1 => who.clone().prop_map(Action::Mute),
        3 => (who.clone(), who.clone()).prop_map(|(a, b)| Action::CutPair(a, b)),
        2 => Just(Action::Heal),
        1 => (0u8..30).prop_map(Action::Lose),
        2 => who.clone().prop_map(Action::Empty),
        1 => who.prop_map(Action::Compact),
    ];
    (any::<u64>(), proptest::collection::vec(action, 10..80))
}

#[derive(Default)]
struct Disk {
    identity: u64,
    restored: Restored,
}

struct Flight {
    at: Duration,
    from: usize,
    to: usize,
    parcel: Parcel,
}

#[derive(Clone)]
enum Parcel {
    Quorum(Message),
    Join(JoinAsk),
}

/// How many replicas there are, and what they know of each other at first.
#[derive(Clone, Copy)]
pub(crate) struct Size {
    pub(crate) replicas: usize,
    /// The first so many form the log, and are all that any knows at its start.
    pub(crate) seeds: usize,
    /// Losses that the log has to bear at once.
    pub(crate) losses: usize,
    pub(crate) timing: Timing,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            replicas: REPLICAS,
            seeds: REPLICAS,
            losses: 1,
            timing: Timing::default(),
        }
    }
}

pub(crate) struct World {
    size: Size,
    rng: SmallRng,
    now: Duration,
    rates: Vec<f64>,
    running: Vec<Option<Quorum>>,
    upkeep: Vec<Upkeep>,
    disks: Vec<Disk>,
    flights: Vec<Flight>,
    cut: HashSet<(usize, usize)>,
    loss: u8,
    proposed: u64,
    leaders: HashMap<Term, usize>,
    committed: BTreeMap<Index, Entry>,
    /// Highest index that a leader acknowledged to a client.
    acked: Index,
    /// Changes of members that leaders began.
    pub(crate) changes: Vec<Change>,
}

pub(crate) fn play(seed: u64, actions: &[Action]) -> Result<(), TestCaseError> {
    let mut world = World::new(seed);
    world.run(200)?;
    for action in actions {
        world.act(action)?;
    }
    world.settle()
}

fn name(i: usize) -> String {
    format!("c{i}")
}

fn number(name: &str) -> usize {
    name.trim_start_matches('c').parse().unwrap()
}

impl World {
    pub(crate) fn new(seed: u64) -> World {
        World::of(Size::default(), seed)
    }

    pub(crate) fn of(size: Size, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all = 0..size.replicas;
        let rates = all.clone().map(|_| rng.random_range(0.92..1.08)).collect();
        let mut world = World {
            size,
            rng,
            now: Duration::ZERO,
            rates,
            running: all.clone().map(|_| None).collect(),
            upkeep: all
                .clone()
                .map(|i| Upkeep::new(&name(i), size.losses))
                .collect(),
            disks: all.clone().map(|_| Disk::default()).collect(),
            flights: Vec::new(),
            cut: HashSet::new(),
            loss: 0,
            proposed: 0,
            leaders: HashMap::new(),
            committed: BTreeMap::new(),
            acked: 0,
            changes: Vec::new(),
        };
        let first = Snapshot {
            members: world.first_members(),
            ..Snapshot::default()
        };
        for i in all {
            world.disks[i].identity = world.rng.random::<u64>() | 1;
            if i < size.seeds {
                world.disks[i].restored.snapshot = Some(first.clone());
            }
            world.start(i);
        }
        world
    }

    fn first_members(&self) -> Members {
        let member = |n: usize| {
            let member = Member {
                identity: 0,
                address: name(n),
                voter: true,
            };
            (name(n), member)
        };
        (0..self.size.seeds).map(member).collect()
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.size.replicas
    }

    pub(crate) fn clock(&self, i: usize) -> Duration {
        self.now.mul_f64(self.rates[i])
    }

    fn start(&mut self, i: usize) {
        let setup = Setup {
            id: name(i),
            identity: self.disks[i].identity,
            first: Members::new(),
            timing: self.size.timing,
            seed: self.rng.random(),
        };
        let restored = self.disks[i].restored.clone();
        self.running[i] = Some(Quorum::new(setup, restored, self.clock(i)));
        self.upkeep[i] = Upkeep::new(&name(i), self.size.losses);
    }

    pub(crate) fn act(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match *action {
            Action::Run(steps) => self.run(usize::from(steps))?,
            Action::Propose => self.propose()?,
            Action::Crash(i, unsynced) => {
                if !unsynced {
                    self.flush(i)?;
                }
                self.running[i] = None;
            }
            Action::Start(i) if self.running[i].is_none() => self.start(i),
            Action::Start(_) => {}
            Action::Cut(i) => self.cut_all(i, true),
            Action::Mute(i) => self.cut_all(i, false),
            Action::CutPair(a, b) => self.cut.extend([(a, b), (b, a)]),
            Action::Heal => self.cut.clear(),
            Action::Lose(percent) => self.loss = percent,
            Action::Empty(i) if self.repaired() => self.empty(i),
            Action::Empty(_) => {}
            Action::Compact(i) => self.compact(i),
        }
        Ok(())
    }

    /// Empties a disk, whatever else is under way.
    pub(crate) fn empty(&mut self, i: usize) {
        let identity = self.rng.random::<u64>() | 1;
        self.disks[i] = Disk {
            identity,
            ..Disk::default()
        };
        self.start(i);
    }

    /// Who leads: under its lease, where there are leases.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leased = !self.size.timing.lease.is_zero();
        let leads = |i: &usize| {
            let now = self.clock(*i);
            self.running[*i].as_ref().is_some_and(|q| match leased {
                true => q.may_grant(now),
                false => q.role() == Role::Leader && q.is_current(now, Duration::ZERO),
            })
        };
        let term = |i: &usize| self.running[*i].as_ref().map(Quorum::term);
        self.all().filter(leads).max_by_key(term)
    }

    /// All that run vote, and all of them agree on it.
    pub(crate) fn all_vote(&self) -> bool {
        let running = || self.all().filter(|i| self.running[*i].is_some());
        let votes = |q: &Quorum, i: usize| {
            let me = q.members().get(&name(i));
            me.is_some_and(|m| m.voter && m.identity == self.disks[i].identity)
        };
        let agrees = |i: usize| {
            let q = self.running[i].as_ref();
            q.is_some_and(|q| q.members_settled() && running().all(|j| votes(q, j)))
        };
        self.leader().is_some() && running().all(agrees)
    }

    /// Steps of 10 ms until all that run vote; `most` where that takes longer.
    pub(crate) fn steps_until_all_vote(&mut self, most: usize) -> usize {
        let steps = (0..most).take_while(|_| !self.all_vote() && self.run(1).is_ok());
        steps.count()
    }

    /// The replica, where it runs.
    pub(crate) fn replica(&mut self, i: usize) -> &mut Quorum {
        self.running[i].as_mut().unwrap()
    }

    /// Highest index that a leader acknowledged.
    pub(crate) fn acked(&self) -> Index {
        self.acked
    }

    fn cut_all(&mut self, i: usize, both: bool) {
        for other in self.all().filter(|o| *o != i) {
            self.cut.insert((i, other));
            if both {
                self.cut.insert((other, i));
            }
        }
    }

    /// Every voter that the latest leader counts on still has the disk it counts on.
    pub(crate) fn repaired(&self) -> bool {
        let leader = self
            .running
            .iter()
            .flatten()
            .filter(|q| q.role() == Role::Leader);
        let Some(leader) = leader.max_by_key(|q| q.term()) else {
            return false;
        };
        let members = leader.members();
        let held =
            |(id, m): (&String, &Member)| m.voter && m.identity == self.disks[number(id)].identity;
        leader.members_settled() && members.len() == self.size.replicas && members.iter().all(held)
    }

    pub(crate) fn propose(&mut self) -> Result<(), TestCaseError> {
        self.proposed += 1;
        let command = self.proposed.to_le_bytes().to_vec();
        for i in self.all() {
            if let Some(q) = self.running[i].as_mut() {
                let _ = q.propose(command.clone());
            }
            self.flush(i)?;
        }
        Ok(())
    }

    fn compact(&mut self, i: usize) {
        let Some(q) = self.running[i].as_mut() else {
            return;
        };
        let index = q.commit();
        let state = index.to_le_bytes().to_vec();
        if let Some(snapshot) = q.compact_keeping(index, state, KEPT) {
            let disk = &mut self.disks[i].restored;
            disk.entries.retain(|e| e.index > index);
            disk.snapshot = Some(snapshot);
        }
    }

    pub(crate) fn run(&mut self, steps: usize) -> Result<(), TestCaseError> {
        for _ in 0..steps {
            self.now += STEP;
            self.deliver()?;
            for i in self.all() {
                let now = self.clock(i);
                if let Some(q) = self.running[i].as_mut() {
                    q.tick(now);
                }
                self.flush(i)?;
                self.repair(i);
                self.flush(i)?;
            }
            self.check_leases()?;
        }
        Ok(())
    }

    fn deliver(&mut self) -> Result<(), TestCaseError> {
        let (now, cut) = (self.now, self.cut.clone());
        let ready = |f: &Flight| f.at <= now && !cut.contains(&(f.from, f.to));
        let (due, held) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(ready);
        self.flights = held;
        let due: Vec<Flight> = due;
        for f in due {
            let at = self.clock(f.to);
            match (self.running[f.to].as_mut(), f.parcel) {
                (Some(q), Parcel::Quorum(message)) => q.receive(at, &name(f.from), message),
                (Some(q), Parcel::Join(ask)) => {
                    if let Some((to, ask)) = self.upkeep[f.to].on_ask(q, ask) {
                        self.post(f.to, number(&to), Parcel::Join(ask));
                    }
                }
                (None, _) => {}
            }
            self.flush(f.to)?;
        }
        Ok(())
    }

    /// Syncs, then sends, then applies, as the contract asks.
    fn flush(&mut self, i: usize) -> Result<(), TestCaseError> {
        let Some(q) = self.running[i].as_mut() else {
            return Ok(());
        };
        let out = q.take();
        let (role, term) = (q.role(), q.term());
        let disk = &mut self.disks[i].restored;
        if let Some(hard) = out.hard {
            disk.hard = hard;
        }
        if let Some(snapshot) = out.snapshot {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
        if let Some(from) = out.cut_from {
            disk.entries.retain(|e| e.index < from);
        }
        disk.entries.extend(out.append);
        for (to, message) in out.messages {
            self.post(i, number(&to), Parcel::Quorum(message));
        }
        for entry in out.committed {
            self.check_commit(entry, role == Role::Leader)?;
        }
        if role == Role::Leader {
            let leader = *self.leaders.entry(term).or_insert(i);
            if leader != i {
                return fail(format!("term {term} has leaders {leader} and {i}"));
            }
        }
        Ok(())
    }

    fn post(&mut self, from: usize, to: usize, parcel: Parcel) {
        let copies = match self.rng.random_range(0..100u8) {
            n if n < self.loss => 0,
            n if n < self.loss.saturating_mul(2) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(1..40));
            let at = self.now + delay;
            self.flights.push(Flight {
                at,
                from,
                to,
                parcel: parcel.clone(),
            });
        }
    }

    /// What a coordinator does about the members.
    fn repair(&mut self, i: usize) {
        let now = self.clock(i);
        let Some(q) = self.running[i].as_mut() else {
            return;
        };
        let turn = self.upkeep[i].turn(now, q);
        self.changes.extend(turn.change);
        let Some(ask) = turn.ask else {
            return;
        };
        // All that this one knows: the members, where it knows any, and the seeds.
        let members = q.members().keys().map(|id| number(id));
        let mut known: Vec<usize> = members.chain(0..self.size.seeds).collect();
        known.sort_unstable();
        known.dedup();
        for to in known.into_iter().filter(|to| *to != i) {
            self.post(i, to, Parcel::Join(ask.clone()));
        }
    }

    fn check_commit(&mut self, entry: Entry, at_leader: bool) -> Result<(), TestCaseError> {
        let index = entry.index;
        if at_leader {
            self.acked = self.acked.max(index);
        }
        let first = self
            .committed
            .entry(index)
            .or_insert_with(|| entry.clone())
            .clone();
        if first != entry {
            return fail(format!(
                "index {index}: committed {first:?}, then {entry:?}"
            ));
        }
        Ok(())
    }

    fn check_leases(&self) -> Result<(), TestCaseError> {
        let holds = |i: &usize| {
            self.running[*i]
                .as_ref()
                .is_some_and(|q| q.may_grant(self.clock(*i)))
        };
        let holders: Vec<_> = self.all().filter(holds).collect();
        if holders.len() > 1 {
            return fail(format!("leases overlap: {holders:?} at {:?}", self.now));
        }
        Ok(())
    }

    /// All faults end; everything acknowledged must be everywhere.
    pub(crate) fn settle(&mut self) -> Result<(), TestCaseError> {
        self.cut.clear();
        self.loss = 0;
        for i in self.all() {
            if self.running[i].is_none() {
                self.start(i);
            }
        }
        self.run(SETTLE_STEPS)?;
        self.propose()?;
        self.run(100)?;
        for i in self.all() {
            let reached = self.running[i].as_ref().map_or(0, Quorum::commit);
            if reached <= self.acked.saturating_sub(1) {
                return fail(format!(
                    "replica {i} has {reached}, acknowledged {}",
                    self.acked
                ));
            }
        }
        let commands = self.committed.values();
        let kept = commands
            .filter(|e| matches!(e.payload, Payload::Command(_)))
            .count();
        if kept == 0 {
            return fail("the last command was not committed".into());
        }
        Ok(())
    }
}

fn fail(what: String) -> Result<(), TestCaseError> {
    Err(TestCaseError::fail(what))
}

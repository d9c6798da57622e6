//! Simulates replicas under a random schedule of faults: a manual clock with a different rate at
//! each replica, a network that delays, loses, duplicates and reorders messages, and disks that
//! keep what was synced. The checks run after every step.

use bn_quorum::{
    Change, Entry, Index, JoinRequest, Member, Members, Membership, Message, Payload, Replica,
    ReplicaConfig, Restored, Role, Snapshot, Term, Timing,
};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::TestCaseError;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Replicas in random schedules.
const REPLICAS: usize = 3;
const STEP: Duration = Duration::from_millis(10);
const SETTLE_STEPS: usize = 1500;
/// Steps for which a replica that stops waits at most until it no longer votes, 3 s.
const LEAVE_STEPS: usize = 300;
/// Entries kept in memory behind a snapshot, as in coordinators: replicas that lack earlier ones
/// get the snapshot.
const RETAINED_ENTRIES: u64 = 3;

/// One event of a schedule.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Run this many steps of 10 ms.
    Run(u16),
    /// Propose a command to each replica that considers itself the leader.
    Propose,
    /// Power off; with `true`, before the pending output is synced.
    Crash(usize, bool),
    /// Power on.
    Start(usize),
    /// Stop as planned: a voter leaves the log first, if it can soon.
    Stop(usize),
    /// Silently partition one replica from all others, both ways.
    Isolate(usize),
    /// Silently block one replica's outgoing messages only.
    BlockOutgoing(usize),
    /// Silently partition two replicas from each other, so that a third still reaches both.
    PartitionPair(usize, usize),
    /// End all partitions; messages held back are delivered late.
    Heal,
    /// Lose this percentage of messages and duplicate as many.
    PacketLoss(u8),
    /// Empty the disk and restart the replica; only if no more disks are lost at once than the log is
    /// designed to survive.
    WipeDisk(usize),
    /// Take a snapshot.
    Compact(usize),
}

pub(crate) fn schedules(replicas: usize) -> impl Strategy<Value = (u64, Vec<Action>)> {
    let replica = 0..replicas;
    let action = prop_oneof![
        8 => (1u16..150).prop_map(Action::Run),
        6 => Just(Action::Propose),
        2 => (replica.clone(), any::<bool>()).prop_map(|(i, b)| Action::Crash(i, b)),
        3 => replica.clone().prop_map(Action::Start),
        1 => replica.clone().prop_map(Action::Stop),
        2 => replica.clone().prop_map(Action::Isolate),
        1 => replica.clone().prop_map(Action::BlockOutgoing),
        3 => (replica.clone(), replica.clone()).prop_map(|(a, b)| Action::PartitionPair(a, b)),
        2 => Just(Action::Heal),
        1 => (0u8..30).prop_map(Action::PacketLoss),
        2 => replica.clone().prop_map(Action::WipeDisk),
        1 => replica.prop_map(Action::Compact),
    ];
    (any::<u64>(), proptest::collection::vec(action, 10..80))
}

#[derive(Default)]
struct Disk {
    identity: u64,
    restored: Restored,
}

struct InFlight {
    at: Duration,
    from: usize,
    to: usize,
    packet: Packet,
}

#[derive(Clone)]
enum Packet {
    Quorum(Message),
    Join(JoinRequest),
}

/// Number of replicas, and what they know of each other at the start.
#[derive(Clone, Copy)]
pub(crate) struct ClusterConfig {
    pub(crate) replicas: usize,
    /// Number of initial members, the only ones that any replica knows at its start.
    pub(crate) seeds: usize,
    /// Simultaneous losses that the log must tolerate.
    pub(crate) losses: usize,
    pub(crate) timing: Timing,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            replicas: REPLICAS,
            seeds: REPLICAS,
            losses: 1,
            timing: Timing::default(),
        }
    }
}

pub(crate) struct Simulation {
    config: ClusterConfig,
    rng: SmallRng,
    now: Duration,
    clock_rates: Vec<f64>,
    running: Vec<Option<Replica>>,
    membership: Vec<Membership>,
    disks: Vec<Disk>,
    in_flight: Vec<InFlight>,
    blocked: HashSet<(usize, usize)>,
    loss_percent: u8,
    proposed: u64,
    leaders: HashMap<Term, usize>,
    committed: BTreeMap<Index, Entry>,
    /// Highest index that a leader acknowledged to a client.
    acked: Index,
    /// Membership changes that leaders started.
    pub(crate) changes: Vec<Change>,
    /// Replicas that lost their disk and have not voted since.
    wiped: HashSet<usize>,
}

pub(crate) fn run_schedule(
    config: ClusterConfig,
    seed: u64,
    actions: &[Action],
) -> Result<(), TestCaseError> {
    let mut sim = Simulation::with_config(config, seed);
    sim.run(200)?;
    for action in actions {
        sim.apply(action)?;
    }
    sim.settle()
}

fn name(i: usize) -> String {
    format!("c{i}")
}

fn number(name: &str) -> usize {
    name.trim_start_matches('c').parse().unwrap()
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Simulation {
        Simulation::with_config(ClusterConfig::default(), seed)
    }

    pub(crate) fn with_config(config: ClusterConfig, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all = 0..config.replicas;
        let clock_rates = all.clone().map(|_| rng.random_range(0.92..1.08)).collect();
        let mut sim = Simulation {
            config,
            rng,
            now: Duration::ZERO,
            clock_rates,
            running: all.clone().map(|_| None).collect(),
            membership: all
                .clone()
                .map(|i| Membership::new(&name(i), config.losses))
                .collect(),
            disks: all.clone().map(|_| Disk::default()).collect(),
            in_flight: Vec::new(),
            blocked: HashSet::new(),
            loss_percent: 0,
            proposed: 0,
            leaders: HashMap::new(),
            committed: BTreeMap::new(),
            acked: 0,
            changes: Vec::new(),
            wiped: HashSet::new(),
        };
        let first = Snapshot {
            members: sim.first_members(),
            ..Snapshot::default()
        };
        for i in all {
            sim.disks[i].identity = sim.rng.random::<u64>() | 1;
            if i < config.seeds {
                sim.disks[i].restored.snapshot = Some(first.clone());
            }
            sim.start(i);
        }
        sim
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
        Members::new(
            (0..self.config.seeds).map(member).collect(),
            self.config.losses,
        )
    }

    fn all(&self) -> std::ops::Range<usize> {
        0..self.config.replicas
    }

    pub(crate) fn clock(&self, i: usize) -> Duration {
        self.now.mul_f64(self.clock_rates[i])
    }

    fn start(&mut self, i: usize) {
        let config = ReplicaConfig {
            id: name(i),
            identity: self.disks[i].identity,
            initial_members: Members::default(),
            timing: self.config.timing,
            seed: self.rng.random(),
        };
        let restored = self.disks[i].restored.clone();
        self.running[i] = Some(Replica::new(config, restored, self.clock(i)));
        self.membership[i] = Membership::new(&name(i), self.config.losses);
    }

    pub(crate) fn apply(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match *action {
            Action::Run(steps) => self.run(usize::from(steps))?,
            Action::Propose => self.propose()?,
            Action::Crash(i, unsynced) => {
                if !unsynced {
                    self.process_output(i)?;
                }
                self.running[i] = None;
            }
            Action::Start(i) if self.running[i].is_none() => self.start(i),
            Action::Start(_) => {}
            Action::Stop(i) => self.stop(i)?,
            Action::Isolate(i) => self.block_all(i, true),
            Action::BlockOutgoing(i) => self.block_all(i, false),
            Action::PartitionPair(a, b) => self.blocked.extend([(a, b), (b, a)]),
            Action::Heal => self.blocked.clear(),
            Action::PacketLoss(percent) => self.loss_percent = percent,
            Action::WipeDisk(i) if self.may_lose_disk(i) => self.wipe_disk(i),
            Action::WipeDisk(_) => {}
            Action::Compact(i) => self.compact(i),
        }
        Ok(())
    }

    /// Empties a disk and restarts its replica, regardless of other repairs in progress.
    pub(crate) fn wipe_disk(&mut self, i: usize) {
        let identity = self.rng.random::<u64>() | 1;
        self.disks[i] = Disk {
            identity,
            ..Disk::default()
        };
        self.wiped.insert(i);
        self.start(i);
    }

    /// Whether no more disks are lost at once than the log tolerates: one that was emptied stays lost
    /// until its replica votes again.
    fn may_lose_disk(&mut self, i: usize) -> bool {
        let leader = self.leader().and_then(|l| self.running[l].as_ref());
        let Some(leader) = leader.filter(|q| q.voters_identified()) else {
            return false;
        };
        let votes = |n: &usize| {
            let member = leader.members().get(&name(*n));
            member.is_some_and(|m| m.voter && m.identity == self.disks[*n].identity)
        };
        let back: Vec<usize> = self.wiped.iter().copied().filter(votes).collect();
        self.wiped.retain(|n| !back.contains(n));
        self.wiped.contains(&i) || self.wiped.len() < self.config.losses
    }

    /// Ends a replica as planned, as a coordinator does.
    fn stop(&mut self, i: usize) -> Result<(), TestCaseError> {
        self.membership[i].leave();
        for _ in 0..LEAVE_STEPS {
            let may_end = |q| self.membership[i].may_end(q);
            if self.running[i].as_ref().is_none_or(may_end) {
                break;
            }
            self.run(1)?;
        }
        self.process_output(i)?;
        self.running[i] = None;
        Ok(())
    }

    /// The leader: if leases are used, the one that holds the lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leased = !self.config.timing.lease.is_zero();
        let leads = |i: &usize| {
            let now = self.clock(*i);
            self.running[*i].as_ref().is_some_and(|q| match leased {
                true => q.holds_lease(now),
                false => q.role() == Role::Leader && q.is_current(now, Duration::ZERO),
            })
        };
        let term = |i: &usize| self.running[*i].as_ref().map(Replica::term);
        self.all().filter(leads).max_by_key(term)
    }

    /// Whether all running replicas are voters, and all of them agree on it.
    pub(crate) fn all_vote(&self) -> bool {
        let running = || self.all().filter(|i| self.running[*i].is_some());
        let votes = |q: &Replica, i: usize| {
            let me = q.members().get(&name(i));
            me.is_some_and(|m| m.voter && m.identity == self.disks[i].identity)
        };
        let agrees = |i: usize| {
            let q = self.running[i].as_ref();
            q.is_some_and(|q| q.members_committed() && running().all(|j| votes(q, j)))
        };
        self.leader().is_some() && running().all(agrees)
    }

    /// Steps of 10 ms until all running replicas are voters; `max_steps` if that takes longer.
    pub(crate) fn steps_until_all_vote(&mut self, max_steps: usize) -> usize {
        let steps = (0..max_steps).take_while(|_| !self.all_vote() && self.run(1).is_ok());
        steps.count()
    }

    /// Whether all running replicas have everything that was acknowledged.
    pub(crate) fn all_have_acknowledged(&self) -> bool {
        let running = self.running.iter().flatten();
        running.into_iter().all(|q| q.commit() >= self.acked)
    }

    /// The running replica `i`.
    pub(crate) fn replica(&mut self, i: usize) -> &mut Replica {
        self.running[i].as_mut().unwrap()
    }

    /// Highest index that a leader acknowledged.
    pub(crate) fn acked(&self) -> Index {
        self.acked
    }

    fn block_all(&mut self, i: usize, both: bool) {
        for other in self.all().filter(|o| *o != i) {
            self.blocked.insert((i, other));
            if both {
                self.blocked.insert((other, i));
            }
        }
    }

    /// Whether the latest leader's members are committed, and all replicas are voters among them
    /// with the disks that it knows.
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
        let intact =
            |(id, m): (&String, &Member)| m.voter && m.identity == self.disks[number(id)].identity;
        leader.members_committed()
            && members.len() == self.config.replicas
            && members.iter().all(intact)
    }

    pub(crate) fn propose(&mut self) -> Result<(), TestCaseError> {
        self.proposed += 1;
        let command = self.proposed.to_le_bytes().to_vec();
        for i in self.all() {
            if let Some(q) = self.running[i].as_mut() {
                let _ = q.propose(command.clone());
            }
            self.process_output(i)?;
        }
        Ok(())
    }

    fn compact(&mut self, i: usize) {
        let Some(q) = self.running[i].as_mut() else {
            return;
        };
        let index = q.commit();
        let state = index.to_le_bytes().to_vec();
        if let Some(snapshot) = q.compact_keeping(index, state, RETAINED_ENTRIES) {
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
                self.process_output(i)?;
                self.tick_membership(i);
                self.process_output(i)?;
            }
            self.check_leases()?;
        }
        Ok(())
    }

    fn deliver(&mut self) -> Result<(), TestCaseError> {
        let (now, blocked) = (self.now, self.blocked.clone());
        let ready = |f: &InFlight| f.at <= now && !blocked.contains(&(f.from, f.to));
        let (due, held) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(ready);
        self.in_flight = held;
        let due: Vec<InFlight> = due;
        for f in due {
            let at = self.clock(f.to);
            match (self.running[f.to].as_mut(), f.packet) {
                (Some(q), Packet::Quorum(message)) => q.receive(at, &name(f.from), message),
                (Some(q), Packet::Join(request)) => {
                    if let Some((to, request)) =
                        self.membership[f.to].on_join_request(at, q, request)
                    {
                        self.send(f.to, number(&to), Packet::Join(request));
                    }
                }
                (None, _) => {}
            }
            self.process_output(f.to)?;
        }
        Ok(())
    }

    /// Syncs, then sends, then applies, as [`Output`] requires.
    fn process_output(&mut self, i: usize) -> Result<(), TestCaseError> {
        let Some(q) = self.running[i].as_mut() else {
            return Ok(());
        };
        let out = q.take_output();
        let (role, term) = (q.role(), q.term());
        let disk = &mut self.disks[i].restored;
        if let Some(hard) = out.hard {
            disk.hard = hard;
        }
        if let Some(snapshot) = out.snapshot {
            disk.entries.clear();
            disk.snapshot = Some(snapshot);
        }
        if let Some(from) = out.truncate_from {
            disk.entries.retain(|e| e.index < from);
        }
        disk.entries.extend(out.append);
        for (to, message) in out.messages {
            self.send(i, number(&to), Packet::Quorum(message));
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

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        let copies = match self.rng.random_range(0..100u8) {
            n if n < self.loss_percent => 0,
            n if n < self.loss_percent.saturating_mul(2) => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(1..40));
            let at = self.now + delay;
            self.in_flight.push(InFlight {
                at,
                from,
                to,
                packet: packet.clone(),
            });
        }
    }

    /// Manages the membership as a coordinator does.
    fn tick_membership(&mut self, i: usize) {
        let now = self.clock(i);
        let Some(q) = self.running[i].as_mut() else {
            return;
        };
        let output = self.membership[i].tick(now, q);
        self.changes.extend(output.change);
        let Some(request) = output.join_request else {
            return;
        };
        // All replicas known to this one: the members, if it knows any, and the seeds.
        let members = q.members().keys().map(|id| number(id));
        let mut known: Vec<usize> = members.chain(0..self.config.seeds).collect();
        known.sort_unstable();
        known.dedup();
        for to in known.into_iter().filter(|to| *to != i) {
            self.send(i, to, Packet::Join(request.clone()));
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
                .is_some_and(|q| q.holds_lease(self.clock(*i)))
        };
        let holders: Vec<_> = self.all().filter(holds).collect();
        if holders.len() > 1 {
            return fail(format!("leases overlap: {holders:?} at {:?}", self.now));
        }
        Ok(())
    }

    /// Ends all faults and checks that every replica gets everything acknowledged.
    pub(crate) fn settle(&mut self) -> Result<(), TestCaseError> {
        self.blocked.clear();
        self.loss_percent = 0;
        for i in self.all() {
            if self.running[i].is_none() {
                self.start(i);
            }
        }
        self.run(SETTLE_STEPS)?;
        self.propose()?;
        self.run(100)?;
        for i in self.all() {
            let reached = self.running[i].as_ref().map_or(0, Replica::commit);
            if reached <= self.acked.saturating_sub(1) {
                return fail(format!(
                    "replica {i} has committed up to {reached}, acknowledged up to {}",
                    self.acked
                ));
            }
        }
        let commands = self.committed.values();
        let count = commands
            .filter(|e| matches!(e.payload, Payload::Command(_)))
            .count();
        if count == 0 {
            return fail("no command was committed".into());
        }
        Ok(())
    }
}

fn fail(message: String) -> Result<(), TestCaseError> {
    Err(TestCaseError::fail(message))
}

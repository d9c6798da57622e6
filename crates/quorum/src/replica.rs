//! The replica: its state, the passing of time, and what every role does with a
//! message. Elections are in `votes`, leading is in `leader`.

use crate::leader::Lead;
use crate::log::Log;
use crate::model::{
    Entry, HardState, Index, Kind, MemberId, Members, Message, Output, Payload, Restored, Role,
    Setup, Snapshot, Term,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Entries kept in memory behind a snapshot, for followers and leases that lag.
const KEPT: u64 = 512;

/// Part of an election's time between two trials of a replica that has not heard of a leader
/// since its start: mostly all have just started, there is no leader to wait for, and until there is
/// one no process can be told the configuration. Trials change nothing.
///
/// The time grows by as much with each trial in a row, up to the usual one: on busy instances votes
/// take longer than a short trial lasts, and replicas would depose each other.
const FRESH_PART: f64 = 0.2;
/// What a replica waits of a lease that another clock measures: clocks that differ by 8 in 100
/// either way must not let two leaders hold one.
const DRIFT: f64 = 1.2;

/// One replica. Times are durations since any fixed start of a monotonic clock.
#[derive(Debug)]
pub struct Quorum {
    pub(crate) setup: Setup,
    pub(crate) hard: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) members: Members,
    pub(crate) members_index: Index,
    pub(crate) snapshot: Snapshot,
    /// When an election is due.
    pub(crate) due: Duration,
    /// Trials and campaigns that others might have voted in since a leader was heard.
    pub(crate) campaigns: u32,
    /// A trial of its own ended for that of another since a leader was heard.
    pub(crate) gave_way: bool,
    /// When the leader, or this replica's own start, was last heard.
    pub(crate) heard: Duration,
    /// It has not heard of a leader since its start.
    pub(crate) fresh: bool,
    /// When it last held all that a leader had committed by then.
    pub(crate) current: Option<Duration>,
    pub(crate) votes: Vec<MemberId>,
    pub(crate) lead: Lead,
    pub(crate) out: Output,
    rng: SmallRng,
}

impl Quorum {
    /// Starts a replica from what its disk holds.
    pub fn new(setup: Setup, restored: Restored, now: Duration) -> Quorum {
        let snapshot = restored.snapshot.unwrap_or_else(|| first_snapshot(&setup));
        let log = Log::new((snapshot.index, snapshot.term), restored.entries);
        let mut quorum = Quorum {
            rng: SmallRng::seed_from_u64(setup.seed),
            hard: restored.hard,
            role: Role::Follower,
            leader: None,
            commit: snapshot.index,
            members: Members::new(),
            members_index: 0,
            snapshot,
            due: now,
            campaigns: 0,
            gave_way: false,
            // A voter that restarted may have acknowledged a lease round just
            // before; by counting its start as hearing from the leader it waits
            // that lease out before it votes for another.
            heard: now,
            fresh: true,
            current: None,
            votes: Vec::new(),
            lead: Lead::default(),
            out: Output::default(),
            log,
            setup,
        };
        quorum.adopt_members();
        quorum.rest(now);
        quorum.due += quorum.silence();
        quorum
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        match self.role {
            Role::Leader => self.lead_on(now),
            _ if now >= self.due && self.may_campaign() => self.campaign(now, true),
            _ => {}
        }
    }

    /// Takes a message from another replica.
    pub fn receive(&mut self, now: Duration, from: &str, message: Message) {
        let trial = matches!(
            message.kind,
            Kind::VoteAsk { trial: true, .. }
                | Kind::VoteAnswer {
                    trial: true,
                    granted: true
                }
        );
        if let Kind::VoteAsk {
            trial,
            last_index,
            last_term,
        } = message.kind
        {
            return self.on_vote_ask(now, from, message.term, trial, (last_index, last_term));
        }
        if message.term > self.hard.term && !trial {
            self.follow(now, message.term, None);
        }
        match message.kind {
            Kind::VoteAnswer { trial, granted } => {
                self.on_vote_answer(now, from, &message, trial, granted);
            }
            _ if message.term < self.hard.term => self.refuse(from, &message.kind),
            Kind::AppendAsk {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.hear(now, message.term, from);
                self.on_append(from, (prev_index, prev_term), entries, commit, round);
                self.note_current(now, commit);
            }
            Kind::Snapshot(snapshot) => {
                self.hear(now, message.term, from);
                self.on_snapshot(from, snapshot);
            }
            Kind::AppendAnswer {
                accepted,
                index,
                round,
            } => {
                self.on_append_answer(now, from, message.identity, accepted, index, round);
            }
            Kind::VoteAsk { .. } => {}
        }
    }

    /// Takes what has to be done since the last call.
    pub fn take(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// Tells the replica that `state` is the applied state at `index`; returns the
    /// snapshot to store. Memory then keeps only some entries behind it.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) -> Option<Snapshot> {
        self.compact_keeping(index, state, KEPT)
    }

    /// As [`Quorum::compact`], with the number of entries that stay in memory.
    pub fn compact_keeping(&mut self, index: Index, state: Vec<u8>, kept: u64) -> Option<Snapshot> {
        if index > self.commit || index <= self.snapshot.index {
            return None;
        }
        let term = self.log.term(index)?;
        let members = self.members_at(index);
        self.snapshot = Snapshot {
            index,
            term,
            members,
            state,
        };
        self.log
            .compact(index.saturating_sub(kept).max(self.log.first() - 1));
        Some(self.snapshot.clone())
    }

    /// Committed entries after `index`; `None` where some are no longer held.
    pub fn committed_after(&self, index: Index) -> Option<&[Entry]> {
        (index + 1 >= self.log.first()).then(|| self.log.range(index + 1, self.commit))
    }

    /// All entries after `index` that are held, committed or not.
    pub fn held_after(&self, index: Index) -> &[Entry] {
        self.log.range(index + 1, self.log.last().0)
    }

    /// What it is.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Last committed index it knows.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Last index of its log.
    pub fn last_index(&self) -> Index {
        self.log.last().0
    }

    /// The members in use: the latest in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Its members, as far as it knows them, name it under its own identity.
    pub fn is_member(&self) -> bool {
        let me = self.members.get(&self.setup.id);
        me.is_some_and(|m| m.identity == 0 || m.identity == self.setup.identity)
    }

    /// The members in use are committed. Until then a repair is not complete: if the
    /// leader is lost too, the learner it promoted may still count for nothing.
    pub fn members_settled(&self) -> bool {
        self.members_index <= self.commit
    }

    /// Whether all that was committed until `within` ago is known here to be committed. What a disk
    /// holds after a restart may be older, and its newest entries may count or not: only a leader's
    /// word tells, once an entry of its own term is committed.
    pub fn is_current(&self, now: Duration, within: Duration) -> bool {
        let led = self.role == Role::Leader && self.knows_all() && self.heard_by_quorum(now);
        led || self.current.is_some_and(|at| now < at + within)
    }

    /// Its own id.
    pub fn id(&self) -> &MemberId {
        &self.setup.id
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn send(&mut self, to: &str, kind: Kind) {
        let message = Message {
            term: self.hard.term,
            identity: self.setup.identity,
            kind,
        };
        self.out.messages.push((to.into(), message));
    }

    /// Becomes a follower in `term`.
    pub(crate) fn follow(&mut self, now: Duration, term: Term, leader: Option<&str>) {
        if term > self.hard.term {
            self.set_hard(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader.map(Into::into);
        self.votes.clear();
        self.rest(now);
    }

    pub(crate) fn set_hard(&mut self, term: Term, vote: Option<MemberId>) {
        self.hard = HardState { term, vote };
        self.out.hard = Some(self.hard.clone());
    }

    /// Sets the next election a random time ahead. A replica that has not heard of a leader
    /// since its start tries more often: mostly all of them have just started.
    pub(crate) fn rest(&mut self, now: Duration) {
        let base = match self.fresh {
            true => {
                let part = FRESH_PART * f64::from(self.campaigns + 1);
                self.setup.timing.election.mul_f64(part.min(1.0))
            }
            false => self.setup.timing.election,
        };
        self.due = now + base + base.mul_f64(self.rng.random::<f64>());
    }

    /// Silence after which this replica votes: after its start, the longest lease that it may
    /// have acknowledged before.
    pub(crate) fn silence(&self) -> Duration {
        match self.fresh {
            true => self.setup.timing.lease.mul_f64(DRIFT),
            false => self.setup.timing.election,
        }
    }

    /// Adds an entry to the log in memory and to the output.
    pub(crate) fn append(&mut self, entry: Entry) {
        let changes = matches!(entry.payload, Payload::Members(_));
        self.out.append.push(entry.clone());
        self.log.push(entry);
        if changes {
            self.adopt_members();
        }
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        let index = index.min(self.log.last().0);
        if index <= self.commit {
            return;
        }
        self.out
            .committed
            .extend_from_slice(self.log.range(self.commit + 1, index));
        self.commit = index;
    }

    fn hear(&mut self, now: Duration, term: Term, leader: &str) {
        self.heard = now;
        self.campaigns = 0;
        self.gave_way = false;
        self.fresh = false;
        self.follow(now, term, Some(leader));
    }

    /// The leader said what is committed. That covers all there was before it led only once an entry
    /// of its term is among it.
    fn note_current(&mut self, now: Duration, commit: Index) {
        if self.commit >= commit && self.log.term(self.commit) == Some(self.hard.term) {
            self.current = Some(now);
        }
    }

    /// Tells an old leader of the newer term.
    fn refuse(&mut self, from: &str, kind: &Kind) {
        if let Kind::AppendAsk { round, .. } = kind {
            let index = self.log.last().0;
            self.send(
                from,
                Kind::AppendAnswer {
                    accepted: false,
                    index,
                    round: *round,
                },
            );
        }
    }

    fn on_append(
        &mut self,
        from: &str,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let known = self.log.term(prev_index);
        // What a snapshot covers is committed and so matches any leader's log.
        let covered = prev_index < self.log.first() - 1;
        if !covered && known != Some(prev_term) {
            let index = self
                .log
                .last()
                .0
                .min(prev_index.saturating_sub(1))
                .max(self.commit);
            return self.send(
                from,
                Kind::AppendAnswer {
                    accepted: false,
                    index,
                    round,
                },
            );
        }
        let mut last = prev_index;
        for entry in entries {
            last = entry.index;
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                _ if entry.index < self.log.first() => continue,
                Some(_) => self.cut(entry.index),
                None => {}
            }
            self.append(entry);
        }
        self.commit_to(commit.min(last));
        self.send(
            from,
            Kind::AppendAnswer {
                accepted: true,
                index: last,
                round,
            },
        );
    }

    /// Voids entries that another leader appended and never committed.
    fn cut(&mut self, from: Index) {
        self.log.cut(from);
        self.out.append.retain(|e| e.index < from);
        let earlier = self.out.cut_from.unwrap_or(from);
        self.out.cut_from = Some(earlier.min(from));
        self.adopt_members();
    }

    fn on_snapshot(&mut self, from: &str, snapshot: Snapshot) {
        let index = snapshot.index;
        if index > self.commit {
            self.log.restore(&snapshot);
            self.commit = index;
            self.snapshot = snapshot.clone();
            self.out = Output {
                hard: self.out.hard.take(),
                ..Output::default()
            };
            self.out.snapshot = Some(snapshot);
            self.adopt_members();
        }
        let index = self.commit;
        self.send(
            from,
            Kind::AppendAnswer {
                accepted: true,
                index,
                round: 0,
            },
        );
    }

    fn adopt_members(&mut self) {
        let (index, members) = match self.log.members() {
            Some((index, members)) => (index, members.clone()),
            None => (self.snapshot.index, self.snapshot.members.clone()),
        };
        (self.members_index, self.members) = (index, members);
    }

    fn members_at(&self, index: Index) -> Members {
        let held = self.log.range(self.log.first(), index).iter().rev();
        let mut named = held.filter_map(|e| match &e.payload {
            Payload::Members(m) => Some(m.clone()),
            _ => None,
        });
        named
            .next()
            .unwrap_or_else(|| self.snapshot.members.clone())
    }
}

fn first_snapshot(setup: &Setup) -> Snapshot {
    Snapshot {
        members: setup.first.clone(),
        ..Snapshot::default()
    }
}

//! A replica of the log: its state, its timers, and the message handling common to all roles.
//! Elections are in `votes`, the leader's part is in `leader`.

use crate::leader::LeaderState;
use crate::log::Log;
use crate::members::{LostIdentities, Reached, quorum_value, same_quorums, voters_identified};
use crate::model::{
    Entry, HardState, Identity, Index, Kind, MemberId, Members, Message, Output, Payload,
    ReplicaConfig, Restored, Role, Snapshot, Term,
};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Entries retained in memory behind a snapshot, for lagging followers and leases.
const RETAINED_ENTRIES: u64 = 512;

/// Fraction of the election timeout between two pre-votes of a replica that has seen no leader
/// since its start: usually all replicas have just started, there is no leader to wait for, and
/// until one is elected no process can get the configuration. A pre-vote changes no state.
///
/// The interval grows by this fraction with each consecutive pre-vote, up to the regular timeout:
/// on busy instances votes take longer than a short pre-vote, and replicas would depose each other.
const STARTUP_FACTOR: f64 = 0.2;
/// Factor by which a replica extends a lease that is measured by another clock: with clocks up to
/// 8 % fast or slow, two leaders must not hold a lease at once.
const DRIFT_FACTOR: f64 = 1.2;

/// A replica of the log. Times are durations since an arbitrary fixed start of a monotonic clock.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) hard: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) members: Members,
    pub(crate) members_index: Index,
    /// The members before the latest change, if that one is not confirmed.
    earlier_members: Option<Members>,
    /// Identities of voters that others have shown to be gone.
    pub(crate) lost: LostIdentities,
    /// Those known when the current campaign began; in a pre-vote, those found in it, too.
    pub(crate) lost_before_votes: LostIdentities,
    pub(crate) snapshot: Snapshot,
    /// Time of the next election.
    pub(crate) election_due: Duration,
    /// Pre-votes and campaigns that others may have voted in, since the last contact with a leader.
    pub(crate) campaigns: u32,
    /// Whether it has ended a pre-vote in favor of another's since the last contact with a leader.
    pub(crate) yielded: bool,
    /// Time of the last message from a leader, or of this replica's start.
    pub(crate) last_contact: Duration,
    /// No message from a leader has been received since the start.
    pub(crate) leader_unseen: bool,
    /// When it last had all entries that a leader had committed by then.
    pub(crate) current_at: Option<Duration>,
    /// Who voted, under which identity.
    pub(crate) votes: Vec<(MemberId, Identity)>,
    pub(crate) leading: LeaderState,
    pub(crate) output: Output,
    rng: SmallRng,
}

impl Replica {
    /// Starts a replica from the state restored from disk.
    pub fn new(config: ReplicaConfig, restored: Restored, now: Duration) -> Replica {
        let snapshot = restored.snapshot.unwrap_or_else(|| first_snapshot(&config));
        let log = Log::new((snapshot.index, snapshot.term), restored.entries);
        let mut replica = Replica {
            rng: SmallRng::seed_from_u64(config.seed),
            hard: restored.hard,
            role: Role::Follower,
            leader: None,
            commit: snapshot.index,
            members: Members::default(),
            members_index: 0,
            earlier_members: None,
            lost: LostIdentities::new(),
            lost_before_votes: LostIdentities::new(),
            snapshot,
            election_due: now,
            campaigns: 0,
            yielded: false,
            // A restarted voter may have acknowledged a lease round just before. Counting the
            // start as contact with the leader makes it wait that lease out before it votes.
            last_contact: now,
            leader_unseen: true,
            current_at: None,
            votes: Vec::new(),
            leading: LeaderState::default(),
            output: Output::default(),
            log,
            config,
        };
        replica.refresh_members();
        replica.reset_election_timer(now);
        replica.election_due += replica.quiet_period();
        replica
    }

    /// Runs the timers due at `now`.
    pub fn tick(&mut self, now: Duration) {
        match self.role {
            Role::Leader => self.leader_tick(now),
            _ if now >= self.election_due && self.votes() => self.campaign(now, true),
            _ => {}
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Duration, from: &str, message: Message) {
        let pre_vote = matches!(
            message.kind,
            Kind::VoteRequest { pre_vote: true, .. }
                | Kind::VoteResponse {
                    pre_vote: true,
                    granted: true
                }
        );
        if let Kind::VoteRequest {
            pre_vote,
            last_index,
            last_term,
        } = message.kind
        {
            return self.on_vote_request(
                now,
                from,
                message.term,
                pre_vote,
                (last_index, last_term),
            );
        }
        if message.term > self.hard.term && !pre_vote {
            self.become_follower(now, message.term, None);
        }
        match message.kind {
            Kind::VoteResponse { pre_vote, granted } => {
                self.on_vote_response(now, from, &message, pre_vote, granted);
            }
            _ if message.term < self.hard.term => self.reject_stale(from, &message.kind),
            Kind::AppendRequest {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.record_leader_contact(now, message.term, from);
                self.on_append_request(from, (prev_index, prev_term), entries, commit, round);
                self.update_current(now, commit);
            }
            Kind::Snapshot(snapshot) => {
                self.record_leader_contact(now, message.term, from);
                self.on_snapshot(from, snapshot);
            }
            Kind::AppendResponse {
                accepted,
                index,
                round,
            } => {
                self.on_append_response(now, from, message.identity, accepted, index, round);
            }
            Kind::VoteRequest { .. } => {}
        }
    }

    /// Returns the output accumulated since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Makes `state`, the applied state at `index`, the snapshot, and returns it to be stored.
    /// Only some entries before it stay in memory.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) -> Option<Snapshot> {
        self.compact_keeping(index, state, RETAINED_ENTRIES)
    }

    /// Like [`Replica::compact`], keeping `keep` entries before `index` in memory.
    pub fn compact_keeping(&mut self, index: Index, state: Vec<u8>, keep: u64) -> Option<Snapshot> {
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
            .compact(index.saturating_sub(keep).max(self.log.first() - 1));
        Some(self.snapshot.clone())
    }

    /// Committed entries after `index`; `None` if some of them are no longer in memory.
    pub fn committed_after(&self, index: Index) -> Option<&[Entry]> {
        (index + 1 >= self.log.first()).then(|| self.log.range(index + 1, self.commit))
    }

    /// All entries after `index` that are in memory, committed or not.
    pub fn entries_after(&self, index: Index) -> &[Entry] {
        self.log.range(index + 1, self.log.last().0)
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader, as far as this replica knows.
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Last index of its log.
    pub fn last_index(&self) -> Index {
        self.log.last().0
    }

    /// The members in effect: the latest in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether the members in effect, as known here, include this replica under its own identity or
    /// an unknown one.
    pub fn is_member(&self) -> bool {
        let me = self.members.get(&self.config.id);
        me.is_some_and(|m| m.identity == 0 || m.identity == self.config.identity)
    }

    /// Whether the members in effect, as known here, list this replica as a voter.
    pub fn votes(&self) -> bool {
        self.is_member() && self.members.get(&self.config.id).is_some_and(|m| m.voter)
    }

    /// Whether the members in effect are committed, and confirmed for those that may not know it.
    /// Until then a repair is not complete: if the leader is lost too, the learner it promoted may
    /// still not count.
    pub fn members_committed(&self) -> bool {
        self.members_index <= self.commit && !self.change_unconfirmed()
    }

    /// Whether everything committed until `within` ago is known here to be committed. The disk may
    /// hold an older state after a restart, and its newest entries may or may not be committed:
    /// only a leader's message shows this, once an entry of the leader's own term is committed.
    pub fn is_current(&self, now: Duration, within: Duration) -> bool {
        let led =
            self.role == Role::Leader && self.term_committed() && self.has_quorum_contact(now);
        led || self.current_at.is_some_and(|at| now < at + within)
    }

    /// Voters of which this replica knows that their disk was emptied, with the identity that is
    /// gone: a quorum of an even number of voters may leave out one of them.
    pub fn lost_identities(&self) -> &IndexMap<MemberId, Identity> {
        &self.lost
    }

    /// Its own id.
    pub fn id(&self) -> &MemberId {
        &self.config.id
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn send(&mut self, to: &str, kind: Kind) {
        let message = Message {
            term: self.hard.term,
            identity: self.config.identity,
            kind,
        };
        self.output.messages.push((to.into(), message));
    }

    /// Becomes a follower in `term`.
    pub(crate) fn become_follower(&mut self, now: Duration, term: Term, leader: Option<&str>) {
        if term > self.hard.term {
            self.set_hard_state(term, None);
        }
        self.role = Role::Follower;
        self.leader = leader.map(Into::into);
        self.votes.clear();
        self.reset_election_timer(now);
    }

    pub(crate) fn set_hard_state(&mut self, term: Term, vote: Option<MemberId>) {
        self.hard = HardState { term, vote };
        self.output.hard = Some(self.hard.clone());
    }

    /// Schedules the next election after a random timeout, which is shorter while no leader has
    /// been seen since the start: usually all replicas have just started.
    pub(crate) fn reset_election_timer(&mut self, now: Duration) {
        let base = match self.leader_unseen {
            true => {
                let part = STARTUP_FACTOR * f64::from(self.campaigns + 1);
                self.config.timing.election.mul_f64(part.min(1.0))
            }
            false => self.config.timing.election,
        };
        self.election_due = now + base + base.mul_f64(self.rng.random::<f64>());
    }

    /// Time without contact to a leader after which this replica votes: after its start, the
    /// longest lease that it may have acknowledged before.
    pub(crate) fn quiet_period(&self) -> Duration {
        match self.leader_unseen {
            true => self.config.timing.lease.mul_f64(DRIFT_FACTOR),
            false => self.config.timing.election,
        }
    }

    /// Adds an entry to the log in memory and to the output.
    pub(crate) fn append(&mut self, entry: Entry) {
        let changes = matches!(entry.payload, Payload::Members(_));
        self.output.append.push(entry.clone());
        self.log.push(entry);
        if changes {
            self.refresh_members();
        }
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        let index = index.min(self.log.last().0);
        if index <= self.commit {
            return;
        }
        self.output
            .committed
            .extend_from_slice(self.log.range(self.commit + 1, index));
        self.commit = index;
    }

    fn record_leader_contact(&mut self, now: Duration, term: Term, leader: &str) {
        self.last_contact = now;
        self.campaigns = 0;
        self.yielded = false;
        self.leader_unseen = false;
        self.become_follower(now, term, Some(leader));
    }

    /// Handles the leader's commit index. It covers everything committed before this leader's term
    /// only once it includes an entry of that term.
    fn update_current(&mut self, now: Duration, commit: Index) {
        if self.commit >= commit && self.log.term(self.commit) == Some(self.hard.term) {
            self.current_at = Some(now);
        }
    }

    /// Answers a deposed leader with the newer term.
    fn reject_stale(&mut self, from: &str, kind: &Kind) {
        if let Kind::AppendRequest { round, .. } = kind {
            let index = self.log.last().0;
            self.send(
                from,
                Kind::AppendResponse {
                    accepted: false,
                    index,
                    round: *round,
                },
            );
        }
    }

    fn on_append_request(
        &mut self,
        from: &str,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let known = self.log.term(prev_index);
        // Entries covered by a snapshot are committed, and so match any leader's log.
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
                Kind::AppendResponse {
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
                Some(_) => self.truncate(entry.index),
                None => {}
            }
            self.append(entry);
        }
        self.commit_to(commit.min(last));
        self.send(
            from,
            Kind::AppendResponse {
                accepted: true,
                index: last,
                round,
            },
        );
    }

    /// Discards entries that another leader appended and never committed.
    fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.output.append.retain(|e| e.index < from);
        let earlier = self.output.truncate_from.unwrap_or(from);
        self.output.truncate_from = Some(earlier.min(from));
        self.refresh_members();
    }

    fn on_snapshot(&mut self, from: &str, snapshot: Snapshot) {
        let index = snapshot.index;
        if self.log.term(index) == Some(snapshot.term) {
            // The entries after it may be acknowledged: they stay.
            self.commit_to(index);
        } else if index > self.commit {
            self.log.restore(&snapshot);
            self.commit = index;
            self.snapshot = snapshot.clone();
            self.output = Output {
                hard: self.output.hard.take(),
                ..Output::default()
            };
            self.output.snapshot = Some(snapshot);
            self.refresh_members();
        }
        let index = self.commit;
        self.send(
            from,
            Kind::AppendResponse {
                accepted: true,
                index,
                round: 0,
            },
        );
    }

    /// The lists of members that must each agree. Until a change is known to be committed these are
    /// two: whoever does not know of it still counts by the earlier one, in which a quorum may leave
    /// out an emptied voter and so need not share a voter with each quorum of the new one.
    pub(crate) fn deciding_lists(&self) -> Vec<&Members> {
        let earlier = self.earlier_members.as_ref();
        let earlier = earlier.filter(|_| self.members_index > self.commit);
        std::iter::once(&self.members).chain(earlier).collect()
    }

    /// The highest value that a quorum of each list has reached, by what a voter of a list has.
    pub(crate) fn agreed_value(
        &self,
        lost: &LostIdentities,
        reached: impl Fn(&Members, &MemberId) -> Reached,
    ) -> u64 {
        let lists = self.deciding_lists().into_iter();
        let values = lists.map(|members| quorum_value(members, lost, |id| reached(members, id)));
        values.min().unwrap_or(0)
    }

    /// Whether the latest change of members has no second entry yet that confirms it. A replica that
    /// restarts does not know what is committed, and counts by both lists without one.
    pub(crate) fn change_unconfirmed(&self) -> bool {
        self.earlier_members.is_some()
    }

    fn refresh_members(&mut self) {
        let covered = self.snapshot.index;
        let later = self.log.members().filter(|(index, _)| *index > covered);
        let mut lists = later.chain([(covered, &self.snapshot.members)]);
        let latest = lists.next().map(|(index, m)| (index, m.clone()));
        let earlier = lists.next().map(|(_, m)| m.clone());
        if let Some(latest) = latest {
            (self.members_index, self.members) = latest;
        }
        // A quorum of a list with unknown identities is all of its voters, and so shares one with
        // any quorum.
        self.earlier_members =
            earlier.filter(|m| voters_identified(m) && !same_quorums(m, &self.members));
    }

    fn members_at(&self, index: Index) -> Members {
        let entries = self.log.range(self.log.first(), index).iter().rev();
        let mut lists = entries.filter_map(|e| match &e.payload {
            Payload::Members(m) => Some(m.clone()),
            _ => None,
        });
        lists
            .next()
            .unwrap_or_else(|| self.snapshot.members.clone())
    }
}

fn first_snapshot(config: &ReplicaConfig) -> Snapshot {
    Snapshot {
        members: config.initial_members.clone(),
        ..Snapshot::default()
    }
}

//! The leader: replication with flow control, the lease, check-quorum, and membership changes one
//! at a time.

use crate::members::{
    Progress, Reached, identity_matches, record_loss, voters_identified, with_demoted,
    with_learner, without,
};
use crate::model::{
    Entry, Identity, Index, Kind, Member, MemberId, MemberStatus, Members, Payload, Role,
};
use crate::replica::Replica;
use crate::{Error, Result};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum entries in one message.
const MAX_BATCH_ENTRIES: u64 = 256;
/// Maximum entries sent to a follower and not yet acknowledged.
const MAX_IN_FLIGHT: u64 = 2048;
/// Maximum bytes of commands in one message; a larger first command is sent all the same.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Rounds without progress after which messages are assumed lost and retransmitted. A follower
/// needs several rounds to receive and sync a large command; retransmitting it every round would
/// saturate the link.
const RETRANSMIT_ROUNDS: u64 = 4;
/// Minimum rounds between two snapshots to a follower.
const SNAPSHOT_ROUNDS: u64 = 5;
/// Rounds without a response after which a member is reported as silent.
const SILENT_ROUNDS: u64 = 3;
/// Recent rounds whose start times are kept, for the lease.
const ROUND_HISTORY: usize = 64;

/// State that only a leader has.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    pub(crate) progress: IndexMap<MemberId, Progress>,
    /// Number and start time of each recent round.
    rounds: VecDeque<(u64, Duration)>,
    round: u64,
    /// Round in which this leader last learned that a voter's identity is lost: answers to later
    /// ones come from voters that were not lost until then.
    loss_round: u64,
    /// Replicas that are about to end: they are not made voters.
    leaving: Vec<MemberId>,
    /// Losses that the members must tolerate, once they are set.
    max_losses: Option<usize>,
    /// Time of the next round.
    round_due: Duration,
    /// When this replica was elected.
    since: Duration,
    /// Index of the first entry of this leader's term.
    first_index: Index,
}

impl Replica {
    /// Appends a command and returns its index. Fails if this replica is not the leader.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index> {
        self.ensure_leader()?;
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Adds a learner; it becomes a voter as soon as it has all entries.
    pub fn add_learner(&mut self, id: &str, address: &str) -> Result<Index> {
        self.ensure_can_change()?;
        let members = with_learner(&self.members, id, address)?;
        Ok(self.append_as_leader(Payload::Members(members)))
    }

    /// Makes a voter a learner. It votes again as soon as it has all entries, under the identity of
    /// the disk it then has.
    pub fn demote(&mut self, id: &str) -> Result<Index> {
        self.ensure_can_change()?;
        let members = with_demoted(&self.members, id)?;
        Ok(self.append_as_leader(Payload::Members(members)))
    }

    /// Removes a member.
    pub fn remove(&mut self, id: &str) -> Result<Index> {
        self.ensure_can_change()?;
        let members = without(&self.members, id)?;
        Ok(self.append_as_leader(Payload::Members(members)))
    }

    /// Sets which replicas are about to end.
    pub(crate) fn set_leaving(&mut self, leaving: Vec<MemberId>) {
        self.leading.leaving = leaving;
    }

    /// Sets how many losses the members must tolerate.
    pub(crate) fn set_max_losses(&mut self, losses: usize) {
        self.leading.max_losses = Some(losses);
    }

    /// Until when this replica may act as the only leader, judged by time alone.
    pub fn lease_until(&self) -> Option<Duration> {
        if self.role != Role::Leader {
            return None;
        }
        let state = &self.leading;
        let round = self.agreed_round();
        let start = state.rounds.iter().find(|(r, _)| *r == round);
        start.map(|(_, at)| *at + self.config.timing.lease)
    }

    /// Whether this replica leads under a valid lease and knows everything that was ever committed.
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.term_committed() && self.lease_until().is_some_and(|until| now < until)
    }

    /// For a leader: whether an entry of its own term is committed, and with it all earlier ones.
    pub(crate) fn term_committed(&self) -> bool {
        self.commit >= self.leading.first_index
    }

    /// Starts a round at once and returns its number. Once [`Replica::confirmed_round`] reaches it,
    /// a majority has followed this leader after this call, so the committed entries include
    /// everything committed when the call was made. No clock is involved, so this also holds for a
    /// process that was suspended. `None` if this replica is not the leader or does not yet know
    /// everything that was ever committed.
    pub fn start_round(&mut self, now: Duration) -> Option<u64> {
        if self.role != Role::Leader || !self.term_committed() {
            return None;
        }
        self.leading.round_due = now;
        self.leader_tick(now);
        (self.role == Role::Leader).then_some(self.leading.round)
    }

    /// The latest round that a majority has answered; 0 if this replica is not the leader.
    pub fn confirmed_round(&self) -> u64 {
        match self.role {
            Role::Leader => self.agreed_round(),
            _ => 0,
        }
    }

    /// Status of each member; empty if this replica is not the leader.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let status = |id: &MemberId| {
            let seen = self.leading.progress.get(id).map_or(0, |p| p.identity);
            let me = *id == self.config.id;
            MemberStatus {
                id: id.clone(),
                synced: self.matched_of(id),
                // Before its first response nothing is known about its identity.
                identity_matches: me || seen == 0 || identity_matches(&self.members, id, seen),
                silent: self.is_silent(id),
            }
        };
        self.members.keys().map(status).collect()
    }

    fn is_silent(&self, id: &MemberId) -> bool {
        let round = self.leading.progress.get(id).map_or(0, |p| p.round);
        let missed = self.leading.round.saturating_sub(round);
        *id != self.config.id && missed > SILENT_ROUNDS
    }

    pub(crate) fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.config.id.clone());
        let first_index = self.log.last().0 + 1;
        self.leading = LeaderState {
            since: now,
            first_index,
            round_due: now,
            ..LeaderState::default()
        };
        self.append_as_leader(Payload::Empty);
        self.leader_tick(now);
    }

    pub(crate) fn leader_tick(&mut self, now: Duration) {
        if !self.has_quorum_contact(now) {
            let term = self.hard.term;
            return self.become_follower(now, term, None);
        }
        if now < self.leading.round_due {
            return;
        }
        let state = &mut self.leading;
        state.round_due = now + self.config.timing.heartbeat;
        state.round += 1;
        state.rounds.push_back((state.round, now));
        if state.rounds.len() > ROUND_HISTORY {
            state.rounds.pop_front();
        }
        for id in self.other_members() {
            self.rewind_if_stalled(&id);
            self.replicate(&id, true);
        }
        self.identify_and_promote();
        self.advance_commit();
    }

    pub(crate) fn on_append_response(
        &mut self,
        now: Duration,
        from: &str,
        identity: u64,
        accepted: bool,
        index: Index,
        round: u64,
    ) {
        if self.role != Role::Leader || !self.members.contains_key(from) {
            return;
        }
        let last = self.log.last().0;
        let progress = self.progress_of(from);
        if progress.identity != identity {
            *progress = Progress {
                identity,
                next: progress.next,
                recorded_round: progress.recorded_round,
                ..Progress::default()
            };
        }
        progress.round = progress.round.max(round);
        if progress.round > progress.recorded_round {
            self.record_lost_identity(from, identity);
        }
        let progress = self.progress_of(from);
        if accepted {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).min(last + 1);
        }
        self.advance_commit();
        self.replicate(from, false);
        if self.leading.round_due <= now {
            self.leader_tick(now);
        }
    }

    fn ensure_leader(&self) -> Result<()> {
        let leader = self.leader.clone();
        (self.role == Role::Leader)
            .then_some(())
            .ok_or(Error::NotLeader { leader })
    }

    /// Membership changes are made one at a time, and only after an entry of this term is
    /// committed: otherwise two leaders could count majorities that do not overlap.
    fn ensure_can_change(&self) -> Result<()> {
        self.ensure_leader()?;
        let ready = self.members_index <= self.commit && self.commit >= self.leading.first_index;
        ready.then_some(()).ok_or(Error::ChangeUnderWay)
    }

    fn append_as_leader(&mut self, payload: Payload) -> Index {
        let index = self.log.last().0 + 1;
        self.append(Entry {
            index,
            term: self.hard.term,
            payload,
        });
        for id in self.other_members() {
            self.replicate(&id, false);
        }
        self.advance_commit();
        index
    }

    /// Records identities that were unknown and promotes learners that have synced all entries and
    /// are still there: one that has ended may have synced everything before.
    /// Until then learners do not count, so that losing a second instance right after a repair
    /// loses no entry.
    ///
    /// The identities of the initial voters are recorded all at once. If they were recorded one by
    /// one, a disk lost in between would leave a voter that is known but gone beside one that is
    /// unknown: all must agree then, one never can, and the system never starts again.
    fn identify_and_promote(&mut self) {
        if self.ensure_can_change().is_err() {
            return;
        }
        let last = self.log.last().0;
        let seen = |id: &MemberId| match self.leading.progress.get(id) {
            _ if *id == self.config.id => self.config.identity,
            Some(p) => p.identity,
            None => 0,
        };
        let unknown = |m: &Member| m.voter && m.identity == 0;
        let leaves = |id: &MemberId| self.leading.leaving.contains(id);
        let mut next = self.members.clone();
        if next.values().any(unknown) {
            let all_seen = next.iter().all(|(id, m)| !unknown(m) || seen(id) != 0);
            for (id, member) in next.iter_mut().filter(|(_, m)| all_seen && unknown(m)) {
                member.identity = seen(id);
            }
        } else if let Some((id, member)) = next
            .iter_mut()
            .filter(|(id, m)| m.identity == 0 && !leaves(id) && !self.is_silent(id))
            .find(|(id, _)| seen(id) != 0 && self.matched_of(id) == last)
        {
            member.identity = seen(id);
            member.voter = true;
        } else {
            next.losses = self.leading.max_losses.unwrap_or(next.losses);
        }
        if next != self.members {
            self.mark_recorded(&next);
            self.append_as_leader(Payload::Members(next));
        }
    }

    /// Confirms the latest change of members as soon as it is committed.
    fn confirm_change(&mut self) {
        if self.change_unconfirmed() && self.ensure_can_change().is_ok() {
            self.append_as_leader(Payload::Members(self.members.clone()));
        }
    }

    /// Notes in which round identities are recorded.
    fn mark_recorded(&mut self, next: &Members) {
        let round = self.leading.round;
        let identity_of = |id: &MemberId| self.members.get(id).map_or(0, |m| m.identity);
        let recorded = next.iter().filter(|(id, m)| m.identity != identity_of(id));
        let ids: Vec<MemberId> = recorded.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.progress_of(&id).recorded_round = round;
        }
    }

    /// Records that a voter answers under another identity than the one known for it.
    fn record_lost_identity(&mut self, from: &str, identity: Identity) {
        let mut lost = std::mem::take(&mut self.lost);
        let mut learned = false;
        for members in self.deciding_lists() {
            learned |= record_loss(&mut lost, members, from, identity);
        }
        self.lost = lost;
        if learned {
            self.leading.loss_round = self.leading.round;
        }
    }

    /// Whether the identities of all voters are known. Before that nothing should be acknowledged:
    /// a voter that lost its disk could not be detected.
    pub fn voters_identified(&self) -> bool {
        self.members_index <= self.commit && voters_identified(&self.members)
    }

    /// Whether a majority has responded recently. A leader without responses from a majority for
    /// twice `Timing::election` steps down: it may be the one that is partitioned.
    pub(crate) fn has_quorum_contact(&self, now: Duration) -> bool {
        let round = self.agreed_round();
        let start = self.leading.rounds.iter().find(|(r, _)| *r == round);
        let at = start.map_or(self.leading.since, |(_, at)| (*at).max(self.leading.since));
        now < at + self.config.timing.election * 2
    }

    fn advance_commit(&mut self) {
        let index = self.agreed_index();
        // Only entries of the current term are committed by counting; earlier ones follow.
        if self.log.term(index) == Some(self.hard.term) && index > self.commit {
            self.commit_to(index);
            self.confirm_change();
            if self.members_committed() && !self.votes() {
                for id in self.other_members() {
                    self.replicate(&id, true);
                }
                self.role = Role::Follower;
                self.leader = None;
            }
        }
    }

    fn replicate(&mut self, id: &str, heartbeat: bool) {
        let (last, commit, round) = (self.log.last().0, self.commit, self.leading.round);
        let progress = self.progress_of(id).clone();
        let full = progress.next > progress.matched + MAX_IN_FLIGHT;
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_snapshot(id, heartbeat);
        };
        // Entries in flight are not sent again with each heartbeat.
        let in_flight = heartbeat && progress.next > progress.matched + 1;
        let to = if full || in_flight {
            prev_index
        } else {
            last.min(prev_index + MAX_BATCH_ENTRIES)
        };
        let entries = prefix_within(self.log.range(progress.next, to), MAX_BATCH_BYTES).to_vec();
        let to = prev_index + entries.len() as Index;
        if entries.is_empty() && !heartbeat {
            return;
        }
        self.progress_of(id).next = to.max(prev_index) + 1;
        self.send(
            id,
            Kind::AppendRequest {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            },
        );
    }

    /// Sends at most one snapshot every few rounds: it is large, and the follower must sync it.
    fn send_snapshot(&mut self, id: &str, heartbeat: bool) {
        let round = self.leading.round;
        let sent = self.progress_of(id).snapshot_round;
        let due = sent.is_none_or(|at| round >= at + SNAPSHOT_ROUNDS);
        if heartbeat && due && self.snapshot.index > 0 {
            self.progress_of(id).snapshot_round = Some(round);
            let snapshot = self.snapshot.clone();
            self.progress_of(id).next = snapshot.index + 1;
            self.send(id, Kind::Snapshot(snapshot));
        }
    }

    /// Messages may be lost: entries that made no progress for some rounds are sent again.
    fn rewind_if_stalled(&mut self, id: &str) {
        let progress = self.progress_of(id);
        let no_progress =
            progress.matched == progress.prev_matched && progress.next > progress.matched + 1;
        progress.stalled = if no_progress { progress.stalled + 1 } else { 0 };
        if progress.stalled >= RETRANSMIT_ROUNDS {
            progress.next = progress.matched + 1;
            progress.stalled = 0;
        }
        progress.prev_matched = progress.matched;
    }

    fn progress_of(&mut self, id: &str) -> &mut Progress {
        let next = self.log.last().0 + 1;
        let new = || Progress {
            next,
            ..Progress::default()
        };
        self.leading.progress.entry(id.into()).or_insert_with(new)
    }

    fn other_members(&self) -> Vec<MemberId> {
        self.members
            .keys()
            .filter(|id| **id != self.config.id)
            .cloned()
            .collect()
    }

    fn matched_of(&self, id: &MemberId) -> Index {
        if *id == self.config.id {
            return self.log.last().0;
        }
        self.leading.progress.get(id).map_or(0, |p| p.matched)
    }

    /// The latest round that a quorum has answered.
    fn agreed_round(&self) -> u64 {
        self.agreed_value(&self.lost, |members, id| {
            self.reached_by(members, id, |p| p.round, self.leading.round)
        })
    }

    /// The last index that a quorum has synced.
    fn agreed_index(&self) -> Index {
        self.agreed_value(&self.lost, |members, id| {
            self.reached_by(members, id, |p| p.matched, self.log.last().0)
        })
    }

    /// What a voter of a list has reached, if its identity is the one in that list; `own` is what
    /// this leader has.
    fn reached_by(
        &self,
        members: &Members,
        id: &MemberId,
        value: impl Fn(&Progress) -> u64,
        own: u64,
    ) -> Reached {
        if *id == self.config.id {
            let counts = identity_matches(members, id, self.config.identity);
            return Reached::at_any_time(if counts { own } else { 0 });
        }
        let progress = self.leading.progress.get(id);
        let progress = progress.filter(|p| identity_matches(members, id, p.identity));
        let any_time = progress.map_or(0, &value);
        let answered = progress.is_some_and(|p| p.round > self.leading.loss_round);
        Reached {
            any_time,
            since_loss: if answered { any_time } else { 0 },
        }
    }
}

/// The first entries with at most `max_bytes` of commands, but at least one entry.
fn prefix_within(entries: &[Entry], max_bytes: usize) -> &[Entry] {
    let size = |e: &Entry| match &e.payload {
        Payload::Command(bytes) => bytes.len(),
        Payload::Empty | Payload::Members(_) => 0,
    };
    let mut sum = 0;
    let fits = |e: &Entry| {
        sum += size(e);
        sum <= max_bytes
    };
    let count = entries.iter().map(fits).take_while(|f| *f).count();
    entries.get(..count.max(1)).unwrap_or(entries)
}

//! Leading: replication with flow control, the lease, check-quorum, and changes of
//! members one at a time.

use crate::members::{Progress, genuine, reached, with_demoted, with_learner, without};
use crate::model::{Entry, Index, Kind, Member, MemberId, Payload, Role, Standing};
use crate::replica::Quorum;
use crate::{Error, Result};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Entries in one message at most.
const BATCH: u64 = 256;
/// Entries sent to a follower and not yet answered at most.
const WINDOW: u64 = 2048;
/// Bytes of commands in one message, beyond the first command.
const BATCH_BYTES: usize = 256 << 10;
/// Rounds without progress after which messages count as lost and are sent again. A
/// follower needs some rounds to receive and sync a large command; to send it again every
/// round fills the link until nothing gets through.
const STUCK_ROUNDS: u64 = 4;
/// Rounds between two snapshots to one follower.
const SNAPSHOT_ROUNDS: u64 = 5;
/// Rounds without an answer after which a member counts as silent.
const SILENT_ROUNDS: u64 = 3;
/// Rounds remembered for the lease.
const ROUNDS: usize = 64;

/// What only a leader keeps.
#[derive(Debug, Default)]
pub(crate) struct Lead {
    pub(crate) progress: IndexMap<MemberId, Progress>,
    /// Start of each recent round.
    rounds: VecDeque<(u64, Duration)>,
    round: u64,
    /// Next round due.
    due: Duration,
    /// When it was elected.
    since: Duration,
    /// Index of its first entry.
    first: Index,
}

impl Quorum {
    /// Appends a command where this replica leads; returns its index.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index> {
        self.must_lead()?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Adds a member that only learns; it votes as soon as it has everything.
    pub fn add(&mut self, id: &str, address: &str) -> Result<Index> {
        self.may_change()?;
        let members = with_learner(&self.members, id, address)?;
        Ok(self.append_own(Payload::Members(members)))
    }

    /// Makes a voter a learner. It votes again as soon as it has everything, with the disk it then has.
    pub fn demote(&mut self, id: &str) -> Result<Index> {
        self.may_change()?;
        let members = with_demoted(&self.members, id)?;
        Ok(self.append_own(Payload::Members(members)))
    }

    /// Removes a member.
    pub fn remove(&mut self, id: &str) -> Result<Index> {
        self.may_change()?;
        let members = without(&self.members, id)?;
        Ok(self.append_own(Payload::Members(members)))
    }

    /// Until when this replica may act as the only leader, as far as time goes.
    pub fn lease_until(&self) -> Option<Duration> {
        if self.role != Role::Leader {
            return None;
        }
        let lead = &self.lead;
        let round = reached(&self.members, |id| self.round_of(id));
        let start = lead.rounds.iter().find(|(r, _)| *r == round);
        start.map(|(_, at)| *at + self.setup.timing.lease)
    }

    /// It leads under a valid lease and knows all that was ever committed.
    pub fn may_grant(&self, now: Duration) -> bool {
        self.knows_all() && self.lease_until().is_some_and(|until| now < until)
    }

    /// As the leader: an entry of its own term is committed, and with it all there was before.
    pub(crate) fn knows_all(&self) -> bool {
        self.commit >= self.lead.first
    }

    /// Begins a round at once and returns its number. Once [`Quorum::round_reached`] is
    /// at it, a majority has followed this leader after this call: what is committed
    /// then is the newest there was when the call was made. No clock is involved, so
    /// it holds for a process that was suspended too. `None`: it does not lead, or does
    /// not yet know all that was ever committed.
    pub fn begin_round(&mut self, now: Duration) -> Option<u64> {
        if self.role != Role::Leader || !self.knows_all() {
            return None;
        }
        self.lead.due = now;
        self.lead_on(now);
        (self.role == Role::Leader).then_some(self.lead.round)
    }

    /// The latest round that a majority answered; 0 where this replica does not lead.
    pub fn round_reached(&self) -> u64 {
        match self.role {
            Role::Leader => reached(&self.members, |id| self.round_of(id)),
            _ => 0,
        }
    }

    /// How each member stands. Empty where this replica does not lead.
    pub fn standings(&self) -> Vec<Standing> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let standing = |id: &MemberId| {
            let seen = self.lead.progress.get(id).map_or(0, |p| p.identity);
            let me = *id == self.setup.id;
            let round = self.lead.progress.get(id).map_or(0, |p| p.answered);
            let missed = self.lead.round.saturating_sub(round);
            Standing {
                id: id.clone(),
                synced: self.matched_of(id),
                // Nothing heard of it yet says nothing of its identity.
                genuine: me || seen == 0 || genuine(&self.members, id, seen),
                silent: !me && missed > SILENT_ROUNDS,
            }
        };
        self.members.keys().map(standing).collect()
    }

    pub(crate) fn start_leading(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.setup.id.clone());
        let first = self.log.last().0 + 1;
        self.lead = Lead {
            since: now,
            first,
            due: now,
            ..Lead::default()
        };
        self.append_own(Payload::Empty);
        self.lead_on(now);
    }

    pub(crate) fn lead_on(&mut self, now: Duration) {
        if !self.heard_by_quorum(now) {
            let term = self.hard.term;
            return self.follow(now, term, None);
        }
        if now < self.lead.due {
            return;
        }
        let lead = &mut self.lead;
        lead.due = now + self.setup.timing.heartbeat;
        lead.round += 1;
        lead.rounds.push_back((lead.round, now));
        if lead.rounds.len() > ROUNDS {
            lead.rounds.pop_front();
        }
        for id in self.others() {
            self.rewind_if_stuck(&id);
            self.replicate(&id, true);
        }
        self.settle_members();
        self.advance();
    }

    pub(crate) fn on_append_answer(
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
        let counts = genuine(&self.members, from, identity);
        let last = self.log.last().0;
        let progress = self.progress_of(from);
        if progress.identity != identity {
            *progress = Progress {
                identity,
                next: progress.next,
                ..Progress::default()
            };
        }
        progress.answered = progress.answered.max(round);
        if counts {
            progress.round = progress.round.max(round);
        }
        if accepted {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (index + 1).min(last + 1);
        }
        self.advance();
        self.replicate(from, false);
        if self.lead.due <= now {
            self.lead_on(now);
        }
    }

    fn must_lead(&self) -> Result<()> {
        let leader = self.leader.clone();
        (self.role == Role::Leader)
            .then_some(())
            .ok_or(Error::NotLeader { leader })
    }

    /// One change at a time, and only after an entry of this term is committed:
    /// otherwise two leaders could count majorities that do not overlap.
    fn may_change(&self) -> Result<()> {
        self.must_lead()?;
        let settled = self.members_index <= self.commit && self.commit >= self.lead.first;
        settled.then_some(()).ok_or(Error::ChangeUnderWay)
    }

    fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last().0 + 1;
        self.append(Entry {
            index,
            term: self.hard.term,
            payload,
        });
        for id in self.others() {
            self.replicate(&id, false);
        }
        self.advance();
        index
    }

    /// Pins identities that were unknown and promotes learners that have synced
    /// everything. Until then they count for nothing, so that losing a second
    /// instance right after a repair loses no entry.
    ///
    /// The first voters are pinned all at once. One by one, a disk that is lost between
    /// two of them leaves a voter that is known and gone beside one that is unknown:
    /// then all must agree and one never can, and the system never starts again.
    fn settle_members(&mut self) {
        if self.may_change().is_err() {
            return;
        }
        let last = self.log.last().0;
        let seen = |id: &MemberId| match self.lead.progress.get(id) {
            _ if *id == self.setup.id => self.setup.identity,
            Some(p) => p.identity,
            None => 0,
        };
        let unknown = |m: &Member| m.voter && m.identity == 0;
        let mut next = self.members.clone();
        if next.values().any(unknown) {
            let all_seen = next.iter().all(|(id, m)| !unknown(m) || seen(id) != 0);
            for (id, member) in next.iter_mut().filter(|(_, m)| all_seen && unknown(m)) {
                member.identity = seen(id);
            }
        } else if let Some((id, member)) = next
            .iter_mut()
            .find(|(id, m)| m.identity == 0 && seen(id) != 0 && self.matched_of(id) == last)
        {
            member.identity = seen(id);
            member.voter = true;
        }
        if next != self.members {
            self.append_own(Payload::Members(next));
        }
    }

    /// All voters are known by their identities. Before that nothing should be promised:
    /// a lost disk could not be told from the voter that had it.
    pub fn formed(&self) -> bool {
        let unknown = |m: &Member| m.voter && m.identity == 0;
        self.members_settled() && !self.members.values().any(unknown)
    }

    /// A leader that a majority has not answered for an election's time steps down:
    /// it may be the one that is cut off.
    pub(crate) fn heard_by_quorum(&self, now: Duration) -> bool {
        let round = reached(&self.members, |id| self.round_of(id));
        let start = self.lead.rounds.iter().find(|(r, _)| *r == round);
        let at = start.map_or(self.lead.since, |(_, at)| (*at).max(self.lead.since));
        now < at + self.setup.timing.election * 2
    }

    fn advance(&mut self) {
        let index = reached(&self.members, |id| self.counted_match(id));
        // Only entries of the own term commit by counting; older ones follow.
        if self.log.term(index) == Some(self.hard.term) && index > self.commit {
            self.commit_to(index);
            let gone =
                self.members_index <= self.commit && !self.members.contains_key(&self.setup.id);
            if gone {
                for id in self.others() {
                    self.replicate(&id, true);
                }
                self.role = Role::Follower;
                self.leader = None;
            }
        }
    }

    fn replicate(&mut self, id: &str, heartbeat: bool) {
        let (last, commit, round) = (self.log.last().0, self.commit, self.lead.round);
        let progress = self.progress_of(id).clone();
        let full = progress.next > progress.matched + WINDOW;
        let prev_index = progress.next.saturating_sub(1);
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.send_snapshot(id, heartbeat);
        };
        // What is out already is not sent along with every heartbeat.
        let out = heartbeat && progress.next > progress.matched + 1;
        let to = if full || out {
            prev_index
        } else {
            last.min(prev_index + BATCH)
        };
        let entries = first_bytes(self.log.range(progress.next, to), BATCH_BYTES).to_vec();
        let to = prev_index + entries.len() as Index;
        if entries.is_empty() && !heartbeat {
            return;
        }
        self.progress_of(id).next = to.max(prev_index) + 1;
        self.send(
            id,
            Kind::AppendAsk {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            },
        );
    }

    /// Once in some rounds at most: a snapshot is large, and the follower must sync it.
    fn send_snapshot(&mut self, id: &str, heartbeat: bool) {
        let round = self.lead.round;
        let sent = self.progress_of(id).snapshot;
        let due = sent.is_none_or(|at| round >= at + SNAPSHOT_ROUNDS);
        if heartbeat && due && self.snapshot.index > 0 {
            self.progress_of(id).snapshot = Some(round);
            let snapshot = self.snapshot.clone();
            self.progress_of(id).next = snapshot.index + 1;
            self.send(id, Kind::Snapshot(snapshot));
        }
    }

    /// Messages may be lost: what made no progress for some rounds is sent again.
    fn rewind_if_stuck(&mut self, id: &str) {
        let progress = self.progress_of(id);
        let still = progress.matched == progress.before && progress.next > progress.matched + 1;
        progress.stuck = if still { progress.stuck + 1 } else { 0 };
        if progress.stuck >= STUCK_ROUNDS {
            progress.next = progress.matched + 1;
            progress.stuck = 0;
        }
        progress.before = progress.matched;
    }

    fn progress_of(&mut self, id: &str) -> &mut Progress {
        let next = self.log.last().0 + 1;
        let fresh = || Progress {
            next,
            ..Progress::default()
        };
        self.lead.progress.entry(id.into()).or_insert_with(fresh)
    }

    fn others(&self) -> Vec<MemberId> {
        self.members
            .keys()
            .filter(|id| **id != self.setup.id)
            .cloned()
            .collect()
    }

    fn matched_of(&self, id: &MemberId) -> Index {
        if *id == self.setup.id {
            return self.log.last().0;
        }
        self.lead.progress.get(id).map_or(0, |p| p.matched)
    }

    /// What counts towards a commit: only a genuine member's synced entries.
    fn counted_match(&self, id: &MemberId) -> Index {
        let seen = self.lead.progress.get(id).map_or(0, |p| p.identity);
        if *id != self.setup.id && !genuine(&self.members, id, seen) {
            return 0;
        }
        self.matched_of(id)
    }

    fn round_of(&self, id: &MemberId) -> u64 {
        if *id == self.setup.id {
            return self.lead.round;
        }
        self.lead.progress.get(id).map_or(0, |p| p.round)
    }
}

/// The first entries, up to so many bytes of commands, but one at least.
fn first_bytes(entries: &[Entry], most: usize) -> &[Entry] {
    let size = |e: &Entry| match &e.payload {
        Payload::Command(bytes) => bytes.len(),
        Payload::Empty | Payload::Members(_) => 0,
    };
    let mut sum = 0;
    let fits = |e: &Entry| {
        sum += size(e);
        sum <= most
    };
    let count = entries.iter().map(fits).take_while(|f| *f).count();
    entries.get(..count.max(1)).unwrap_or(entries)
}

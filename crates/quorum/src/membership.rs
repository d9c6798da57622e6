//! Membership of the log: a voter that no longer takes part becomes a learner, and each learner
//! becomes a voter as soon as it has all entries.
//!
//! A voter that stays absent, or restarts with an empty disk, is made a learner, not removed: the
//! leader keeps replicating to it, so that it counts again soon after it is back, and the others
//! still know it. One that was removed all the same notices the missing contact: any replica
//! without contact to a leader sends a join request, even if its own log lists it as a member, and
//! the replicas that receive the request forward it to the leader.
//!
//! A voter that is about to end requests to leave in the same way, and is made a learner if the others
//! still tolerate the losses that they must. Otherwise it would count until its silence is noticed,
//! although an instance that is replaced as planned leaves at any time.

use crate::model::{MemberId, Role};
use crate::replica::Replica;
use indexmap::IndexMap;
use std::time::Duration;

/// Interval between join requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time without contact to a leader after which a replica sends join requests: two election
/// timeouts, so that replicas whose leader failed elect another one first.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which a request to leave holds: one whose process starts again within it votes later.
const LEAVE_HOLD: Duration = Duration::from_secs(1);
/// Silence after which a voter no longer counts: well below the time that the successor of a replaced
/// instance is given until the next one may be lost. One that returns votes again within a second.
const DEMOTE_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a learner is removed: instances replaced at another address never come back,
/// and each costs the leader its heartbeats.
const REMOVE_AFTER: Duration = Duration::from_secs(120);

/// A replica's request to become a member, or to vote no longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JoinRequest {
    /// The replica that wants to join.
    pub id: MemberId,
    /// Address for messages to it.
    pub address: String,
    /// The current identity of its data directory.
    pub identity: u64,
    /// The request was forwarded by a replica that received it.
    pub forwarded: bool,
    /// The replica is about to end.
    pub leaving: bool,
}

/// Why a member was demoted or removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// Its disk does not have the identity recorded for the member.
    IdentityChanged,
    /// It has been silent for too long.
    Absent,
    /// It is about to end.
    Leaving,
}

/// A membership change that the leader started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A replica that sent a join request is a learner now.
    Added(MemberId),
    /// A voter is a learner now.
    Demoted(MemberId, ChangeReason),
    /// A learner is no longer a member.
    Removed(MemberId, ChangeReason),
}

/// Actions after a tick.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MembershipOutput {
    /// Send this to all replicas that this one knows of.
    pub join_request: Option<JoinRequest>,
    /// A change that this leader has started.
    pub change: Option<Change>,
}

/// A replica's state between ticks for managing the membership.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    /// Simultaneous losses that the log must tolerate.
    max_losses: usize,
    /// Address for messages to this replica.
    address: String,
    next_request: Duration,
    /// Address of each replica that sent a join request.
    join_requests: IndexMap<MemberId, String>,
    /// When each replica that is about to end last said so.
    leave_requests: IndexMap<MemberId, Duration>,
    /// This replica is about to end.
    leaving: bool,
    /// Since when each silent member has been silent.
    silent_since: IndexMap<MemberId, Duration>,
}

impl Membership {
    /// For the replica at `address`; the log must tolerate `max_losses` simultaneous losses.
    pub fn new(address: &str, max_losses: usize) -> Membership {
        Membership {
            max_losses,
            address: address.into(),
            ..Membership::default()
        }
    }

    /// Requests that this replica votes no longer, as it is about to end.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_request = Duration::ZERO;
    }

    /// Whether a replica that leaves may end without being missed: it no longer votes, or the others
    /// would not tolerate the losses that they must without its vote.
    pub fn may_end(&self, replica: &Replica) -> bool {
        replica.members_committed() && !(replica.votes() && self.has_spare_voter(replica))
    }

    /// Records the request on the leader; otherwise returns it with the member to forward it to.
    /// Only a leader can add the sender, which may not know the leader if its disk is empty.
    pub fn on_join_request(
        &mut self,
        now: Duration,
        replica: &Replica,
        join: JoinRequest,
    ) -> Option<(MemberId, JoinRequest)> {
        if replica.role() == Role::Leader {
            if join.leaving {
                self.leave_requests.insert(join.id, now);
            } else if !replica.members().contains_key(&join.id) {
                self.join_requests.insert(join.id, join.address);
            }
            return None;
        }
        let leader = replica
            .leader()
            .filter(|l| !join.forwarded && **l != join.id)?;
        let forwarded = JoinRequest {
            forwarded: true,
            ..join
        };
        Some((leader.clone(), forwarded))
    }

    /// Starts at most one change on the leader; returns join requests on any other replica.
    pub fn tick(&mut self, now: Duration, replica: &mut Replica) -> MembershipOutput {
        if replica.role() == Role::Leader {
            let change = self.next_change(now, replica);
            return MembershipOutput {
                join_request: None,
                change,
            };
        }
        self.silent_since.clear();
        self.join_requests.clear();
        self.leave_requests.clear();
        MembershipOutput {
            join_request: self.join_request(now, replica),
            change: None,
        }
    }

    fn join_request(&mut self, now: Duration, replica: &Replica) -> Option<JoinRequest> {
        let no_leader = now >= replica.last_contact + NO_LEADER_TIMEOUT;
        let due = match self.leaving {
            true => replica.votes(),
            false => !replica.is_member() || no_leader,
        };
        if !due || now < self.next_request {
            return None;
        }
        self.next_request = now + JOIN_INTERVAL;
        Some(JoinRequest {
            id: replica.id().clone(),
            address: self.address.clone(),
            identity: replica.config.identity,
            forwarded: false,
            leaving: self.leaving,
        })
    }

    fn next_change(&mut self, now: Duration, replica: &mut Replica) -> Option<Change> {
        self.update_silent(now, replica);
        self.set_policy(now, replica);
        if let Some((id, why)) = self.find_demotion(now, replica) {
            replica.demote(&id).ok()?;
            return Some(Change::Demoted(id, why));
        }
        if let Some(id) = self.find_removal(now, replica) {
            replica.remove(&id).ok()?;
            return Some(Change::Removed(id, ChangeReason::Absent));
        }
        let members = replica.members();
        self.join_requests.retain(|id, _| !members.contains_key(id));
        let (id, address) = self.join_requests.first()?;
        replica.add_learner(id, address).ok()?;
        Some(Change::Added(id.clone()))
    }

    /// Replicas that leave are not made voters again while they are still there, and quorums are as
    /// large as the losses ask for.
    fn set_policy(&mut self, now: Duration, replica: &mut Replica) {
        if self.leaving {
            self.leave_requests.insert(replica.id().clone(), now);
        }
        self.leave_requests.retain(|_, at| now < *at + LEAVE_HOLD);
        replica.set_max_losses(self.max_losses);
        replica.set_leaving(self.leave_requests.keys().cloned().collect());
    }

    /// Whether the losses that must be tolerated still are with one voter less.
    fn has_spare_voter(&self, replica: &Replica) -> bool {
        let voters = replica.members().values().filter(|m| m.voter).count();
        voters > 2 * self.max_losses + 1
    }

    fn update_silent(&mut self, now: Duration, replica: &Replica) {
        let statuses = replica.member_statuses();
        let silent: Vec<_> = statuses.iter().filter(|s| s.silent).collect();
        let is_silent = |id: &MemberId| silent.iter().any(|s| s.id == *id);
        self.silent_since.retain(|id, _| is_silent(id));
        for status in silent {
            let since = self.silent_since.entry(status.id.clone());
            since.or_insert(now);
        }
    }

    /// A voter whose disk was emptied is demoted at once: counted as the old voter, it could lose
    /// what it had acknowledged. One that leaves or stays absent is demoted only while the remaining
    /// voters still tolerate `max_losses`.
    fn find_demotion(&self, now: Duration, replica: &Replica) -> Option<(MemberId, ChangeReason)> {
        let statuses = replica.member_statuses();
        if let Some(changed) = statuses.iter().find(|s| !s.identity_matches) {
            return Some((changed.id.clone(), ChangeReason::IdentityChanged));
        }
        if !self.has_spare_voter(replica) {
            return None;
        }
        let votes = |id: &&MemberId| replica.members().get(*id).is_some_and(|m| m.voter);
        if let Some(id) = self.leave_requests.keys().find(votes) {
            return Some((id.clone(), ChangeReason::Leaving));
        }
        let absent = self.find_silent(now, DEMOTE_AFTER, replica, true);
        absent.map(|id| (id, ChangeReason::Absent))
    }

    fn find_removal(&self, now: Duration, replica: &Replica) -> Option<MemberId> {
        self.find_silent(now, REMOVE_AFTER, replica, false)
    }

    /// A voter, or a learner if `voter` is false, that has been silent for at least `min_time`.
    fn find_silent(
        &self,
        now: Duration,
        min_time: Duration,
        replica: &Replica,
        voter: bool,
    ) -> Option<MemberId> {
        let votes = |id| replica.members().get(id).is_some_and(|m| m.voter);
        let mut silent = self.silent_since.iter();
        let found = silent.find(|(id, since)| now >= **since + min_time && votes(*id) == voter);
        found.map(|(id, _)| id.clone())
    }
}

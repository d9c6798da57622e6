//! Types of the replicated log.

use indexmap::IndexMap;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

/// Id of a member.
pub type MemberId = String;
/// Random number stored in a data directory, never 0.
pub type Identity = u64;
/// Election number; a term has at most one leader.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;

/// A member of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// That of its data directory; 0 if not yet known. A member whose directory was emptied has a
    /// different one, and its votes no longer count.
    pub identity: Identity,
    /// Address for messages to it.
    pub address: String,
    /// Whether it votes and counts towards commits; otherwise it is a learner.
    pub voter: bool,
}

/// All members by id, and how many of them may be lost at once.
///
/// The number is a part of the log, as the size of a quorum depends on it: replicas with different
/// settings would count different quorums.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Members {
    list: IndexMap<MemberId, Member>,
    /// Simultaneous losses that must be tolerated.
    pub losses: usize,
}

impl Members {
    /// These members, of which `losses` may be lost at once.
    pub fn new(list: IndexMap<MemberId, Member>, losses: usize) -> Members {
        Members { list, losses }
    }
}

impl Deref for Members {
    type Target = IndexMap<MemberId, Member>;

    fn deref(&self) -> &Self::Target {
        &self.list
    }
}

impl DerefMut for Members {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.list
    }
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// A new leader's first entry.
    Empty,
    /// A command, opaque to the log.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// State that must be synced before a vote or a response is sent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The candidate this replica voted for in that term.
    pub vote: Option<MemberId>,
}

/// The applied state at an index.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that index.
    pub members: Members,
    /// The state, opaque to the log.
    pub state: Vec<u8>,
}

/// State read from disk at the start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Restored {
    /// Last synced hard state.
    pub hard: HardState,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Timing parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between a leader's rounds.
    pub heartbeat: Duration,
    /// Minimum time without contact to a leader before an election; the maximum is twice this.
    pub election: Duration,
    /// Length of a leader's lease from the start of an answered round; below `election`, so that
    /// clocks may drift apart by the difference.
    pub lease: Duration,
}

impl Timing {
    /// For instances with a twentieth of a core or more, where a heartbeat may be handled tens of
    /// milliseconds late, and for a log whose lease is not used: reads are confirmed by a round,
    /// orders carry a token. An election starts after nearly four heartbeats, since everything that
    /// a failed leader was responsible for is stalled until the next one is elected. Without a
    /// lease to wait out, replicas that all start together vote at once.
    pub const NO_LEASE: Timing = Timing {
        heartbeat: Duration::from_millis(120),
        election: Duration::from_millis(450),
        lease: Duration::ZERO,
    };
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(600),
            lease: Duration::from_millis(450),
        }
    }
}

/// Configuration of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaConfig {
    /// Id of this replica.
    pub id: MemberId,
    /// Its identity, from the data directory.
    pub identity: u64,
    /// The initial voters, for a log that does not exist yet.
    pub initial_members: Members,
    /// Timing parameters.
    pub timing: Timing,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// Status of a member, as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Id of the member.
    pub id: MemberId,
    /// Last index known to be synced there.
    pub synced: Index,
    /// Its data directory has the identity recorded for the member.
    pub identity_matches: bool,
    /// It has not responded for several rounds.
    pub silent: bool,
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, as a voter or a learner.
    Follower,
    /// Requests pre-votes, without starting a new term.
    Trial,
    /// Requests votes in a new term.
    Candidate,
    /// Leads its term.
    Leader,
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Sender's term; in a pre-vote, the term it would start.
    pub term: Term,
    /// Sender's identity.
    pub identity: u64,
    /// Content.
    pub kind: Kind,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Requests a vote.
    VoteRequest {
        /// Pre-vote: changes no state.
        pre_vote: bool,
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Grants or denies a vote.
    VoteResponse {
        /// Response to a pre-vote.
        pre_vote: bool,
        /// The vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat.
    AppendRequest {
        /// Index before the first entry.
        prev_index: Index,
        /// Term at that index.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Round of the leader's lease.
        round: u64,
    },
    /// Response to an append request.
    AppendResponse {
        /// Entries match and are synced.
        accepted: bool,
        /// Last index that matches, or the one to retry from.
        index: Index,
        /// Round of the request.
        round: u64,
    },
    /// Snapshot in place of entries that the leader no longer has.
    Snapshot(Snapshot),
}

/// Actions after a step, in this order: store and sync, send, apply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Output {
    /// Store this term and vote.
    pub hard: Option<HardState>,
    /// Store this snapshot in place of the whole log, then restore the state from it.
    pub snapshot: Option<Snapshot>,
    /// Discard stored entries from this index on.
    pub truncate_from: Option<Index>,
    /// Append these entries.
    pub append: Vec<Entry>,
    /// Send these messages.
    pub messages: Vec<(MemberId, Message)>,
    /// Apply these entries.
    pub committed: Vec<Entry>,
}

impl Output {
    /// Whether something must be stored before the messages are sent.
    pub fn must_store(&self) -> bool {
        self.hard.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.append.is_empty()
    }
}

//! The types of the agreement.

use indexmap::IndexMap;
use std::time::Duration;

/// Id of a member.
pub type MemberId = String;
/// Number of an election; one leader a term.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;

/// A member of the log's group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Random number kept in the data folder; 0: not yet known. A member whose
    /// folder was emptied has another one, and its votes no longer count.
    pub identity: u64,
    /// Where its messages go.
    pub address: String,
    /// It votes and counts; otherwise it only learns.
    pub voter: bool,
}

/// All members by id.
pub type Members = IndexMap<MemberId, Member>;

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// A new leader's first entry.
    Empty,
    /// A command, opaque here.
    Command(Vec<u8>),
    /// The members from here on.
    Members(Members),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// What must be synced before a vote or an answer leaves.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub vote: Option<MemberId>,
}

/// The applied state up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members at that index.
    pub members: Members,
    /// The state, opaque here.
    pub state: Vec<u8>,
}

/// What the disk gave back at the start.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Restored {
    /// Last synced hard state.
    pub hard: HardState,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// Durations of the agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Between a leader's rounds.
    pub heartbeat: Duration,
    /// Shortest silence before an election; the longest is twice this.
    pub election: Duration,
    /// A leader's lease from the start of an answered round; below `election`, so
    /// that clocks may run apart by the difference.
    pub lease: Duration,
}

impl Timing {
    /// For instances with a twentieth of a core or more, where a heartbeat may be handled tens of
    /// milliseconds late, and for a log under whose lease nothing is done: reads are confirmed by a
    /// round, orders carry a token. An election begins after nearly four heartbeats, since whatever
    /// a dead leader held stands still until the next one leads. Without a lease to wait out,
    /// replicas that all start together vote at once.
    pub const UNLEASED: Timing = Timing {
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

/// What a replica is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This replica.
    pub id: MemberId,
    /// Its number from the data folder.
    pub identity: u64,
    /// The first voters, for a log that was never formed.
    pub first: Members,
    /// Durations.
    pub timing: Timing,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// How a member stands, as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// The member.
    pub id: MemberId,
    /// Last index known to be synced there.
    pub synced: Index,
    /// Its data folder is the one that is counted on.
    pub genuine: bool,
    /// It has not answered for some rounds.
    pub silent: bool,
}

/// What a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows, or only learns.
    Follower,
    /// Asks whether it could win, without a new term.
    Trial,
    /// Asks for votes in a new term.
    Candidate,
    /// Leads.
    Leader,
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Sender's term; of a trial, the term it would take.
    pub term: Term,
    /// Sender's number.
    pub identity: u64,
    /// Content.
    pub kind: Kind,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Ask for a vote.
    VoteAsk {
        /// Pre-vote: changes nothing.
        trial: bool,
        /// Last index of the candidate's log.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// A vote, or none.
    VoteAnswer {
        /// Answer to a pre-vote.
        trial: bool,
        /// The vote is given.
        granted: bool,
    },
    /// Entries, or a heartbeat.
    AppendAsk {
        /// Index before the entries.
        prev_index: Index,
        /// Its term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Committed at the leader.
        commit: Index,
        /// Round of the leader's lease.
        round: u64,
    },
    /// What a follower made of it.
    AppendAnswer {
        /// Entries match and are synced.
        accepted: bool,
        /// Last index that matches, or where to try next.
        index: Index,
        /// Round echoed.
        round: u64,
    },
    /// State in place of entries that the leader no longer has.
    Snapshot(Snapshot),
}

/// What to do after a step, in this order: store and sync, send, apply.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Output {
    /// Store this term and vote.
    pub hard: Option<HardState>,
    /// Store this snapshot in place of the whole log, then restore from it.
    pub snapshot: Option<Snapshot>,
    /// Void the entries from here on.
    pub cut_from: Option<Index>,
    /// Append these.
    pub append: Vec<Entry>,
    /// Send these.
    pub messages: Vec<(MemberId, Message)>,
    /// Apply these.
    pub committed: Vec<Entry>,
}

impl Output {
    /// Something has to be stored before messages leave.
    pub fn must_store(&self) -> bool {
        self.hard.is_some()
            || self.snapshot.is_some()
            || self.cut_from.is_some()
            || !self.append.is_empty()
    }
}

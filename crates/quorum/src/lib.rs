//! A leader-based replicated log, written as a pure state machine: it is given inputs and the
//! time, and returns what to store, send and apply. It uses no thread, socket, disk or clock. The
//! caller must store and sync an [`Output`] before it sends the messages of that same output.

mod leader;
mod log;
mod members;
mod membership;
mod model;
mod replica;
mod votes;
mod wire;

pub use membership::{Change, ChangeReason, JoinRequest, Membership, MembershipOutput};
pub use model::{
    Entry, HardState, Identity, Index, Kind, Member, MemberId, MemberStatus, Members, Message,
    Output, Payload, ReplicaConfig, Restored, Role, Snapshot, Term, Timing,
};
pub use replica::Replica;

use snafu::Snafu;

/// Why a proposal was rejected. Nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// This replica is not the leader.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// The last membership change, or the first entry of the leader's term, is not committed yet.
    #[snafu(display("a membership change is in progress"))]
    ChangeUnderWay,
    /// The membership change is invalid.
    #[snafu(display("{reason}"))]
    Member {
        /// Why it is invalid.
        reason: String,
    },
}

/// Result of a proposal.
pub type Result<T, E = Error> = std::result::Result<T, E>;

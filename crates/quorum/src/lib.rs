//! Agreement on one log: a leader-based replicated log as a pure step function.
//! Inputs and the time go in; what to store, send and apply comes out. No thread,
//! socket, disk or clock inside. The caller must store and sync an [`Output`]
//! before it sends the messages of that same output.

mod leader;
mod log;
mod members;
mod membership;
mod model;
mod replica;
mod votes;
mod wire;

pub use membership::{Change, JoinAsk, Reason, Turn, Upkeep};
pub use model::{
    Entry, HardState, Index, Kind, Member, MemberId, Members, Message, Output, Payload, Restored,
    Role, Setup, Snapshot, Standing, Term, Timing,
};
pub use replica::Quorum;

use snafu::Snafu;

/// Why a proposal was not taken. Nothing was appended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Another replica leads, as far as this one knows.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// Who leads, where known.
        leader: Option<MemberId>,
    },
    /// The last change of members is not committed yet.
    #[snafu(display("a change of members is under way"))]
    ChangeUnderWay,
    /// The change names a member wrongly.
    #[snafu(display("{reason}"))]
    Member {
        /// What is wrong.
        reason: String,
    },
}

/// Result of a proposal.
pub type Result<T, E = Error> = std::result::Result<T, E>;

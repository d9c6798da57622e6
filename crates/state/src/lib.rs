//! State machine of the control log: the committed configuration. Every replica applies the same
//! commands in the same order and therefore holds the same state.

mod apply;
mod model;
mod tables;
mod wire;

pub use apply::{Command, LEADER_OPERATOR, digest};
pub use model::{
    Account, AccountId, BackendId, CommandRecord, Entry, EntryId, Group, GroupId, Priority,
    Revision, Service, ServiceId, State,
};
pub use tables::config_table;
pub use wire::InvalidState;

use snafu::Snafu;

/// Why a command was rejected. None of it was applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The text does not parse.
    #[snafu(display("{source}"))]
    Syntax {
        /// Position and reason.
        source: bn_query::Error,
    },
    /// A statement is invalid; the first such one is reported.
    #[snafu(display("statement {position}: {reason}"))]
    Statement {
        /// Position in the command, from 1.
        position: usize,
        /// Why it is invalid.
        reason: String,
    },
    /// The number belongs to another command.
    #[snafu(display("number {number} was taken by operator {winner:?} at revision {revision}"))]
    NumberTaken {
        /// The number.
        number: u64,
        /// Operator whose command has it.
        winner: String,
        /// Log index of that command.
        revision: Revision,
    },
    /// The number is below all recorded ones: whether it was applied is unknown.
    #[snafu(display("number {number} is too old to check; use one above {floor}"))]
    TooOld {
        /// The number.
        number: u64,
        /// The lowest recorded number.
        floor: u64,
    },
    /// The outcome of an earlier submission of the same command.
    #[snafu(display("{reason}"))]
    Replayed {
        /// Reason of the first rejection.
        reason: String,
    },
}

/// Result of applying a command.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

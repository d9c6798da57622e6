//! The operator language: parses a command into statements and evaluates `show` over rows.
//! The effect of the other statements is defined in `bn-state`.

mod ast;
mod table;

pub use ast::{
    CompareOp, Condition, DrainTarget, ObjectKind, Setting, Show, SortOrder, Statement, parse,
};
pub use table::{Cell, Row, Table, select};

use snafu::Snafu;

/// Why a command or a query was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text does not match the grammar.
    #[snafu(display("line {line}, column {column}: {reason}"))]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What was expected there.
        reason: String,
    },
    /// A query names a column that the table does not have.
    #[snafu(display("no column {column:?}; there are: {known}"))]
    UnknownColumn {
        /// The requested name.
        column: String,
        /// The existing names.
        known: String,
    },
}

/// Result of parsing or selecting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The operator language: parsing a command into statements, and running `show`
//! over rows. What the statements mean is `bn-state`'s.

mod ast;
mod table;

pub use ast::{Compare, Condition, Kind, Order, Place, Setting, Show, Statement, parse};
pub use table::{Cell, Row, Table, select};

use snafu::Snafu;

/// Why a command or a query was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text does not follow the grammar.
    #[snafu(display("line {line}, column {column}: {reason}"))]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What was expected there.
        reason: String,
    },
    /// A query names a column that the table lacks.
    #[snafu(display("no column {column:?}; there are: {known}"))]
    Column {
        /// The name asked for.
        column: String,
        /// The names there are.
        known: String,
    },
}

/// Result of parsing or selecting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

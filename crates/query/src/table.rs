//! Tables, and evaluation of `show` over them.

use crate::{CompareOp, Condition, Error, Result, Show, SortOrder};
use std::cmp::Ordering;
use std::fmt;

/// One value of a row.
#[derive(Debug, Clone, PartialEq)]
pub enum Cell {
    /// Text.
    Text(String),
    /// A number; integers print without a decimal point.
    Number(f64),
    /// Prints as `yes` or `no`.
    Bool(bool),
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cell::Text(t) => f.write_str(t),
            Cell::Number(n) if n.fract() == 0.0 => write!(f, "{n:.0}"),
            Cell::Number(n) => write!(f, "{n:.2}"),
            Cell::Bool(b) => write!(f, "{}", if *b { "yes" } else { "no" }),
        }
    }
}

impl From<&str> for Cell {
    fn from(t: &str) -> Cell {
        Cell::Text(t.into())
    }
}

impl From<String> for Cell {
    fn from(t: String) -> Cell {
        Cell::Text(t)
    }
}

impl From<f64> for Cell {
    fn from(n: f64) -> Cell {
        Cell::Number(n)
    }
}

impl From<bool> for Cell {
    fn from(b: bool) -> Cell {
        Cell::Bool(b)
    }
}

/// Cells in the order of the table's columns.
pub type Row = Vec<Cell>;

/// Column names and rows.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Row>,
}

impl Table {
    /// An empty table with these columns.
    pub fn new(columns: &[&str]) -> Table {
        Table {
            columns: columns.iter().map(|c| (*c).into()).collect(),
            rows: Vec::new(),
        }
    }

    fn column_index(&self, name: &str) -> Result<usize> {
        let found = self
            .columns
            .iter()
            .position(|c| c.eq_ignore_ascii_case(name));
        found.ok_or_else(|| Error::UnknownColumn {
            column: name.into(),
            known: self.columns.join(", "),
        })
    }
}

/// Applies the filter, sort order, limit and columns of a query to `table`.
pub fn select(show: &Show, mut table: Table) -> Result<Table> {
    for condition in &show.filter {
        let i = table.column_index(&condition.column)?;
        table
            .rows
            .retain(|r| r.get(i).is_some_and(|c| matches(c, condition)));
    }
    if let Some(SortOrder { column, descending }) = &show.order {
        let i = table.column_index(column)?;
        table.rows.sort_by(|a, b| match (a.get(i), b.get(i)) {
            (Some(a), Some(b)) if *descending => compare(b, a),
            (Some(a), Some(b)) => compare(a, b),
            _ => Ordering::Equal,
        });
    }
    if let Some(limit) = show.limit {
        table.rows.truncate(limit);
    }
    if show.columns.is_empty() {
        return Ok(table);
    }
    let indexes = show
        .columns
        .iter()
        .map(|c| table.column_index(c))
        .collect::<Result<Vec<_>>>()?;
    let project = |r: &Row| indexes.iter().filter_map(|i| r.get(*i).cloned()).collect();
    Ok(Table {
        columns: show.columns.clone(),
        rows: table.rows.iter().map(project).collect(),
    })
}

fn compare(a: &Cell, b: &Cell) -> Ordering {
    match (a, b) {
        (Cell::Number(a), Cell::Number(b)) => a.total_cmp(b),
        (a, b) => a.to_string().cmp(&b.to_string()),
    }
}

fn matches(cell: &Cell, condition: &Condition) -> bool {
    let operand = match (cell, condition.value.parse::<f64>()) {
        (Cell::Number(_), Ok(n)) => Cell::Number(n),
        _ => Cell::Text(condition.value.clone()),
    };
    let ordering = compare(cell, &operand);
    match condition.compare {
        CompareOp::Equal => ordering == Ordering::Equal,
        CompareOp::NotEqual => ordering != Ordering::Equal,
        CompareOp::Less => ordering == Ordering::Less,
        CompareOp::LessOrEqual => ordering != Ordering::Greater,
        CompareOp::Greater => ordering == Ordering::Greater,
        CompareOp::GreaterOrEqual => ordering != Ordering::Less,
        CompareOp::Contains => cell.to_string().contains(&condition.value),
    }
}

//! Statements of the operator language and their parser.

use crate::{Error, Result};
use pest::Parser;
use pest::error::LineColLocation;
use pest::iterators::Pair;

#[derive(pest_derive::Parser)]
#[grammar = "grammar.pest"]
struct Grammar;

/// Kind of object that `create`, `alter` and `drop` apply to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// A service, of engines or plain.
    Service,
    /// A client account.
    Account,
    /// An entry instance.
    Entry,
    /// A lock-step group of engines.
    Group,
    /// A voter of the control log.
    Member,
}

/// Kind of target that `drain` and `undrain` apply to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainTarget {
    /// A backend server.
    Backend,
    /// An entry instance.
    Entry,
}

/// `name=value` of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Left of the equals sign.
    pub name: String,
    /// Right of it, without quotes.
    pub value: String,
}

/// A comparison operator in `where`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompareOp {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `~`: contains
    Contains,
}

/// One condition of `where`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Column name.
    pub column: String,
    /// Comparison operator.
    pub compare: CompareOp,
    /// Value to compare with.
    pub value: String,
}

/// `sort by`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortOrder {
    /// Column name.
    pub column: String,
    /// Sort in descending order.
    pub descending: bool,
}

/// A `show` query.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Show {
    /// Table name, such as `backends`.
    pub table: String,
    /// Selected columns; empty: all.
    pub columns: Vec<String>,
    /// Conditions, all of which must hold.
    pub filter: Vec<Condition>,
    /// Sort order.
    pub order: Option<SortOrder>,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Query; changes nothing.
    Show(Show),
    /// Add an object.
    Create(ObjectKind, String, Vec<Setting>),
    /// Change an object.
    Alter(ObjectKind, String, Vec<Setting>),
    /// Remove an object.
    Drop(ObjectKind, String),
    /// Stop new work there.
    Drain(DrainTarget, String),
    /// Accept new work again.
    Undrain(DrainTarget, String),
    /// Change the expert map of a group.
    Switch(String, Vec<Setting>),
}

/// Parses all statements of a command.
pub fn parse(text: &str) -> Result<Vec<Statement>> {
    let mut pairs = Grammar::parse(Rule::program, text).map_err(|e| syntax_error(&e))?;
    let program = pairs.next().map(Pair::into_inner);
    let statements = program
        .into_iter()
        .flatten()
        .filter(|p| p.as_rule() == Rule::statement);
    Ok(statements
        .filter_map(|p| p.into_inner().next())
        .map(statement)
        .collect())
}

fn syntax_error(error: &pest::error::Error<Rule>) -> Error {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(start) | LineColLocation::Span(start, _) => start,
    };
    Error::Syntax {
        line,
        column,
        reason: error.variant.message().into_owned(),
    }
}

fn statement(pair: Pair<'_, Rule>) -> Statement {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    let mut next = || parts.next();
    match rule {
        Rule::show => {
            let table = next().map(text).unwrap_or_default();
            Statement::Show(show(table, parts))
        }
        Rule::create => {
            let (kind, name) = (object_kind(next()), next().map(text).unwrap_or_default());
            Statement::Create(kind, name, parts.map(setting).collect())
        }
        Rule::alter => {
            let (kind, name) = (object_kind(next()), next().map(text).unwrap_or_default());
            Statement::Alter(kind, name, parts.map(setting).collect())
        }
        Rule::drop => Statement::Drop(object_kind(next()), next().map(text).unwrap_or_default()),
        Rule::drain => Statement::Drain(target(next()), next().map(text).unwrap_or_default()),
        Rule::undrain => Statement::Undrain(target(next()), next().map(text).unwrap_or_default()),
        _ => {
            let name = next().map(text).unwrap_or_default();
            Statement::Switch(name, parts.map(setting).collect())
        }
    }
}

fn text(pair: Pair<'_, Rule>) -> String {
    pair.as_str().to_string()
}

fn object_kind(pair: Option<Pair<'_, Rule>>) -> ObjectKind {
    match pair
        .map(text)
        .unwrap_or_default()
        .to_ascii_lowercase()
        .as_str()
    {
        "service" => ObjectKind::Service,
        "account" => ObjectKind::Account,
        "entry" => ObjectKind::Entry,
        "group" => ObjectKind::Group,
        _ => ObjectKind::Member,
    }
}

fn target(pair: Option<Pair<'_, Rule>>) -> DrainTarget {
    match pair
        .map(text)
        .unwrap_or_default()
        .to_ascii_lowercase()
        .as_str()
    {
        "backend" => DrainTarget::Backend,
        _ => DrainTarget::Entry,
    }
}

fn setting(pair: Pair<'_, Rule>) -> Setting {
    let mut parts = pair.into_inner();
    let name = parts.next().map(text).unwrap_or_default();
    Setting {
        name,
        value: parts.next().map(value).unwrap_or_default(),
    }
}

fn value(pair: Pair<'_, Rule>) -> String {
    pair.as_str().trim_matches('"').to_string()
}

fn show(table: String, parts: pest::iterators::Pairs<'_, Rule>) -> Show {
    let mut show = Show {
        table,
        ..Show::default()
    };
    for part in parts {
        match part.as_rule() {
            Rule::columns => show.columns = part.into_inner().map(text).collect(),
            Rule::filter => show.filter = part.into_inner().map(condition).collect(),
            Rule::order => show.order = Some(sort_order(part)),
            _ => {
                show.limit = part
                    .into_inner()
                    .next()
                    .and_then(|n| n.as_str().parse().ok())
            }
        }
    }
    show
}

fn condition(pair: Pair<'_, Rule>) -> Condition {
    let mut parts = pair.into_inner();
    let column = parts.next().map(text).unwrap_or_default();
    let compare = match parts.next().map(text).unwrap_or_default().as_str() {
        "!=" => CompareOp::NotEqual,
        "<" => CompareOp::Less,
        "<=" => CompareOp::LessOrEqual,
        ">" => CompareOp::Greater,
        ">=" => CompareOp::GreaterOrEqual,
        "~" => CompareOp::Contains,
        _ => CompareOp::Equal,
    };
    Condition {
        column,
        compare,
        value: parts.next().map(value).unwrap_or_default(),
    }
}

fn sort_order(pair: Pair<'_, Rule>) -> SortOrder {
    let mut parts = pair.into_inner();
    let column = parts.next().map(text).unwrap_or_default();
    let descending = parts
        .next()
        .is_some_and(|d| d.as_str().eq_ignore_ascii_case("desc"));
    SortOrder { column, descending }
}

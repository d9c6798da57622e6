//! Statements and their parser.

use crate::{Error, Result};
use pest::Parser;
use pest::error::LineColLocation;
use pest::iterators::Pair;

#[derive(pest_derive::Parser)]
#[grammar = "grammar.pest"]
struct Grammar;

/// What `create`, `alter` and `drop` work on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A service: engines or a plain one.
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

/// What `drain` works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// A backend server.
    Backend,
    /// An entry instance.
    Entry,
}

/// `name=value` of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Left of the sign.
    pub name: String,
    /// Right of it, quotes removed.
    pub value: String,
}

/// A comparison in `where`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Compare {
    /// `=`
    Equal,
    /// `!=`
    Differs,
    /// `<`
    Below,
    /// `<=`
    AtMost,
    /// `>`
    Above,
    /// `>=`
    AtLeast,
    /// `~`: contains
    Contains,
}

/// One condition of `where`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Column name.
    pub column: String,
    /// How to compare.
    pub compare: Compare,
    /// With what.
    pub value: String,
}

/// `sort by`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Column name.
    pub column: String,
    /// Largest first.
    pub descending: bool,
}

/// A query.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Show {
    /// The table, such as `backends`.
    pub table: String,
    /// Columns wanted; none: all.
    pub columns: Vec<String>,
    /// All must hold.
    pub filter: Vec<Condition>,
    /// How to sort.
    pub order: Option<Order>,
    /// Rows at most.
    pub limit: Option<usize>,
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Ask; changes nothing.
    Show(Show),
    /// Add one.
    Create(Kind, String, Vec<Setting>),
    /// Change one.
    Alter(Kind, String, Vec<Setting>),
    /// Remove one.
    Drop(Kind, String),
    /// No new work there.
    Drain(Place, String),
    /// Work again.
    Undrain(Place, String),
    /// Change the expert map of a group.
    Switch(String, Vec<Setting>),
}

/// Parses a command whole.
pub fn parse(text: &str) -> Result<Vec<Statement>> {
    let mut pairs = Grammar::parse(Rule::program, text).map_err(|e| syntax(&e))?;
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

fn syntax(error: &pest::error::Error<Rule>) -> Error {
    let (line, column) = match error.line_col {
        LineColLocation::Pos(at) | LineColLocation::Span(at, _) => at,
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
            let (kind, name) = (kind(next()), next().map(text).unwrap_or_default());
            Statement::Create(kind, name, parts.map(setting).collect())
        }
        Rule::alter => {
            let (kind, name) = (kind(next()), next().map(text).unwrap_or_default());
            Statement::Alter(kind, name, parts.map(setting).collect())
        }
        Rule::drop => Statement::Drop(kind(next()), next().map(text).unwrap_or_default()),
        Rule::drain => Statement::Drain(place(next()), next().map(text).unwrap_or_default()),
        Rule::undrain => Statement::Undrain(place(next()), next().map(text).unwrap_or_default()),
        _ => {
            let name = next().map(text).unwrap_or_default();
            Statement::Switch(name, parts.map(setting).collect())
        }
    }
}

fn text(pair: Pair<'_, Rule>) -> String {
    pair.as_str().to_string()
}

fn kind(pair: Option<Pair<'_, Rule>>) -> Kind {
    match pair
        .map(text)
        .unwrap_or_default()
        .to_ascii_lowercase()
        .as_str()
    {
        "service" => Kind::Service,
        "account" => Kind::Account,
        "entry" => Kind::Entry,
        "group" => Kind::Group,
        _ => Kind::Member,
    }
}

fn place(pair: Option<Pair<'_, Rule>>) -> Place {
    match pair
        .map(text)
        .unwrap_or_default()
        .to_ascii_lowercase()
        .as_str()
    {
        "backend" => Place::Backend,
        _ => Place::Entry,
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
            Rule::order => show.order = Some(order(part)),
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
        "!=" => Compare::Differs,
        "<" => Compare::Below,
        "<=" => Compare::AtMost,
        ">" => Compare::Above,
        ">=" => Compare::AtLeast,
        "~" => Compare::Contains,
        _ => Compare::Equal,
    };
    Condition {
        column,
        compare,
        value: parts.next().map(value).unwrap_or_default(),
    }
}

fn order(pair: Pair<'_, Rule>) -> Order {
    let mut parts = pair.into_inner();
    let column = parts.next().map(text).unwrap_or_default();
    let descending = parts
        .next()
        .is_some_and(|d| d.as_str().eq_ignore_ascii_case("desc"));
    Order { column, descending }
}

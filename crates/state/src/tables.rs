//! The committed configuration as tables for `show`.

use crate::model::State;
use bn_query::Table;

/// The table `name` of the committed configuration; `None` if there is no such table.
pub fn config_table(state: &State, name: &str) -> Option<Table> {
    match name {
        "services" => Some(services(state)),
        "accounts" => Some(accounts(state)),
        "entries" => Some(entries(state)),
        "groups" => Some(groups(state)),
        "drained" => Some(drained(state)),
        "commands" => Some(commands(state)),
        _ => None,
    }
}

fn services(state: &State) -> Table {
    let mut t = Table::new(&[
        "service",
        "engine",
        "repeatable",
        "skew_weight",
        "move_weight",
    ]);
    t.rows.extend(state.services.iter().map(|(name, s)| {
        vec![
            name.clone().into(),
            s.engine.into(),
            s.repeatable.into(),
            s.skew_weight.into(),
            s.move_weight.into(),
        ]
    }));
    t
}

fn accounts(state: &State) -> Table {
    let mut t = Table::new(&["account", "rate", "share", "top"]);
    t.rows.extend(state.accounts.iter().map(|(name, a)| {
        vec![
            name.clone().into(),
            a.rate.into(),
            f64::from(a.share).into(),
            a.max_priority.name().into(),
        ]
    }));
    t
}

fn entries(state: &State) -> Table {
    let mut t = Table::new(&["entry", "domain", "callers", "inbox", "drained"]);
    t.rows.extend(state.entries.iter().map(|(name, e)| {
        vec![
            name.clone().into(),
            e.domain.clone().into(),
            e.callers.to_string().into(),
            e.inbox.to_string().into(),
            e.drained.into(),
        ]
    }));
    t
}

fn groups(state: &State) -> Table {
    let columns = [
        "group", "service", "ranks", "layers", "experts", "version", "step", "wanted",
    ];
    let mut t = Table::new(&columns);
    t.rows.extend(state.groups.iter().map(|(name, g)| {
        let (layers, experts) = g.map.shape();
        let pending = g.pending.as_ref().map_or(0, |(version, _)| *version);
        vec![
            name.clone().into(),
            g.service.clone().into(),
            f64::from(g.ranks).into(),
            (layers as f64).into(),
            (experts as f64).into(),
            (g.map_version as f64).into(),
            (g.map_step as f64).into(),
            (pending as f64).into(),
        ]
    }));
    t
}

fn drained(state: &State) -> Table {
    let mut t = Table::new(&["backend"]);
    t.rows
        .extend(state.drained.iter().map(|b| vec![b.clone().into()]));
    t
}

fn commands(state: &State) -> Table {
    let mut t = Table::new(&["number", "operator", "revision", "outcome"]);
    t.rows
        .extend(state.command_records.iter().map(|(number, c)| {
            let outcome = c.refusal.clone().unwrap_or_else(|| "accepted".into());
            vec![
                (*number as f64).into(),
                c.operator.clone().into(),
                (c.revision as f64).into(),
                outcome.into(),
            ]
        }));
    t
}

//! Operator commands at this entry: queries are answered from its own state; commands are sent to
//! the leader and retried until their outcome is known.

use super::{Entry, Event};
use crate::pages::{Handler, error};
use bn_query::{Cell, Show, Statement, Table, select};
use bn_state::{Command, config_table};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Outcome, Proposal};
use crossbeam::channel::{Sender, bounded};
use serde_json::{Value, json};
use std::time::Duration;

/// Time that the command endpoint waits for an outcome.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Interval after which a proposal without an outcome is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Tables that only the leader can provide.
const LEADER_TABLES: [&str; 2] = ["members", "leases"];

/// An operator's command and the channel for its outcome: status and JSON.
pub(crate) struct Call {
    command: Command,
    answer: Sender<(u16, String)>,
}

/// A call that waits for an answer from the leader.
pub(crate) struct OpenCall {
    call: Call,
    due: Duration,
    until: Duration,
}

/// Handler of the command endpoint, `POST /v1/command`.
pub(crate) fn command_page(channel: Sender<Event>) -> Handler {
    Box::new(move |method, path, body| {
        if (method, path) != ("POST", "/v1/command") {
            return None;
        }
        let command = match parse_command(body) {
            Ok(command) => command,
            Err(reason) => return Some((400, error(&reason))),
        };
        let (answer, outcome) = bounded(1);
        if channel
            .try_send(Event::Command(Call { command, answer }))
            .is_err()
        {
            return Some((503, error("this entry is overloaded; nothing was done")));
        }
        let pending = || {
            (
                504,
                error("no outcome yet; send the same command again to learn it"),
            )
        };
        Some(outcome.recv_timeout(TIMEOUT).unwrap_or_else(|_| pending()))
    })
}

fn parse_command(body: &[u8]) -> Result<Command, String> {
    let value: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    let text = |name: &str| {
        let field = value.get(name).and_then(Value::as_str);
        field
            .map(String::from)
            .ok_or_else(|| format!("{name}: give a text"))
    };
    let number = value.get("number").and_then(Value::as_u64);
    Ok(Command {
        operator: text("operator")?,
        number: number.ok_or("number: give a whole number")?,
        token: text("token")?,
        text: text("text")?,
    })
}

impl Entry {
    pub(super) fn on_command(&mut self, call: Call) {
        let statements = match bn_query::parse(&call.command.text) {
            Ok(statements) => statements,
            Err(e) => return call.respond(400, error(&e.to_string())),
        };
        if let [Statement::Show(show)] = &statements[..]
            && !LEADER_TABLES.contains(&show.table.as_str())
        {
            let (status, text) = self.show(show);
            return call.respond(status, text);
        }
        let now = self.now();
        let number = self.next_id();
        let open = OpenCall {
            call,
            due: now,
            until: now + TIMEOUT,
        };
        self.calls.insert(number, open);
        self.retry_calls(now);
    }

    /// Sends open calls to the current leader. The number and token of a command make repeated
    /// delivery idempotent.
    pub(super) fn retry_calls(&mut self, now: Duration) {
        self.calls.retain(|_, open| now < open.until);
        let Some(target) = self.lease.target() else {
            return;
        };
        for (number, open) in &mut self.calls {
            if now >= open.due {
                open.due = now + RESEND_INTERVAL;
                let command = Some((&open.call.command).into());
                let proposal = Proposal {
                    call: *number,
                    command,
                };
                self.common.net.send(target, Body::Proposal(proposal));
            }
        }
    }

    pub(super) fn on_outcome(&mut self, outcome: Outcome) {
        if outcome.redirect {
            return;
        }
        let Some(open) = self.calls.remove(&outcome.call) else {
            return;
        };
        if !outcome.table.is_empty() {
            return open.call.respond(200, outcome.table);
        }
        let status = if outcome.accepted { 200 } else { 409 };
        let text = json!({
            "accepted": outcome.accepted, "in_force": outcome.in_force,
            "revision": outcome.revision, "reason": outcome.reason,
        });
        open.call.respond(status, text.to_string());
    }

    fn show(&self, show: &Show) -> (u16, String) {
        let table = match show.table.as_str() {
            "backends" => Some(self.backends_table()),
            "lease" => Some(self.lease_table()),
            name => config_table(&self.state, name),
        };
        let known = "services, accounts, entries, groups, drained, commands, backends, lease, members, leases";
        let Some(table) = table else {
            return (
                400,
                error(&format!("no table {:?}; there are: {known}", show.table)),
            );
        };
        match select(show, table) {
            Ok(table) => (200, table_json(&table)),
            Err(e) => (400, error(&e.to_string())),
        }
    }

    /// This entry's own lease, which the leader may list while the grant is still in transit.
    fn lease_table(&self) -> Table {
        let now = self.now();
        let mut t = Table::new(&["entry", "held", "left_ms", "revision", "fence"]);
        t.rows.push(vec![
            self.common.id.clone().into(),
            self.lease.valid(now).into(),
            (self.lease.left(now).as_millis() as f64).into(),
            (self.state.revision as f64).into(),
            (self.lease.fence as f64).into(),
        ]);
        t
    }

    fn backends_table(&self) -> Table {
        let now = self.now();
        let mut t = Table::new(&[
            "backend",
            "service",
            "group",
            "rank",
            "domain",
            "state",
            "load",
            "capacity",
            "tokens",
            "silent_ms",
        ]);
        t.rows.extend(self.router.backends.iter().map(|(id, b)| {
            let r = &b.report;
            let serving = self
                .router
                .in_service(now, &r.service)
                .any(|(i, _)| i == id);
            let state = match () {
                () if serving => "serving",
                () if self.state.drained.contains(id) => "drained",
                () if r.leaving => "leaving",
                () if !r.healthy => "unhealthy",
                () if b.health.is_ejected(now) => "ejected",
                () => "silent",
            };
            vec![
                id.clone().into(),
                r.service.clone().into(),
                r.group.clone().into(),
                f64::from(r.rank).into(),
                r.domain.clone().into(),
                state.into(),
                b.load().into(),
                f64::from(r.capacity).into(),
                (r.tokens as f64).into(),
                (now.saturating_sub(b.reported_at).as_millis() as f64).into(),
            ]
        }));
        t
    }
}

impl Call {
    fn respond(&self, status: u16, text: String) {
        let _ = self.answer.try_send((status, text));
    }
}

/// Formats a table as JSON: column names and rows of values.
pub(crate) fn table_json(table: &Table) -> String {
    let cell = |c: &Cell| match c {
        Cell::Text(t) => json!(t),
        Cell::Number(n) => json!(n),
        Cell::Bool(b) => json!(b),
    };
    let rows: Vec<Vec<Value>> = table
        .rows
        .iter()
        .map(|r| r.iter().map(cell).collect())
        .collect();
    json!({ "columns": table.columns, "rows": rows }).to_string()
}

//! Conversions between the domain types and the wire messages.

use crate::apply::Command;
use crate::model::{Account, CommandRecord, Entry, Group, Priority, Service, State};
use bn_group::ExpertMap;
use bn_wire::messages as wire;
use snafu::Snafu;
use std::net::SocketAddr;

/// A stored state with an invalid address or expert map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("stored state has an invalid address or expert map"))]
pub struct InvalidState;

fn parse_address(text: &str) -> Result<SocketAddr, InvalidState> {
    text.parse().map_err(|_| InvalidState)
}

impl From<&Command> for wire::Command {
    fn from(c: &Command) -> Self {
        wire::Command {
            operator: c.operator.clone(),
            number: c.number,
            token: c.token.clone(),
            text: c.text.clone(),
        }
    }
}

impl From<wire::Command> for Command {
    fn from(c: wire::Command) -> Self {
        Command {
            operator: c.operator,
            number: c.number,
            token: c.token,
            text: c.text,
        }
    }
}

impl From<u32> for Priority {
    fn from(n: u32) -> Self {
        match n {
            0 => Priority::Batch,
            1 => Priority::Normal,
            _ => Priority::Urgent,
        }
    }
}

impl From<&State> for wire::State {
    fn from(s: &State) -> Self {
        wire::State {
            revision: s.revision,
            services: s.services.iter().map(service_to_wire).collect(),
            accounts: s.accounts.iter().map(account_to_wire).collect(),
            entries: s.entries.iter().map(entry_to_wire).collect(),
            groups: s.groups.iter().map(group_to_wire).collect(),
            drained: s.drained.iter().cloned().collect(),
            seen: s.command_records.iter().map(record_to_wire).collect(),
            claim_epoch: s.claim_epoch,
            members: s.members.iter().map(member_to_wire).collect(),
        }
    }
}

impl TryFrom<wire::State> for State {
    type Error = InvalidState;

    fn try_from(s: wire::State) -> Result<Self, InvalidState> {
        let entries = s
            .entries
            .into_iter()
            .map(entry_from_wire)
            .collect::<Result<_, _>>()?;
        Ok(State {
            revision: s.revision,
            services: s.services.into_iter().map(service_from_wire).collect(),
            accounts: s.accounts.into_iter().map(account_from_wire).collect(),
            entries,
            groups: s
                .groups
                .into_iter()
                .map(group_from_wire)
                .collect::<Result<_, _>>()?,
            drained: s.drained.into_iter().collect(),
            command_records: s.seen.into_iter().map(record_from_wire).collect(),
            claim_epoch: s.claim_epoch,
            members: s
                .members
                .into_iter()
                .map(member_from_wire)
                .collect::<Result<_, _>>()?,
        })
    }
}

fn service_to_wire((name, s): (&String, &Service)) -> wire::Service {
    wire::Service {
        name: name.clone(),
        engine: s.engine,
        repeatable: s.repeatable,
        skew_weight: s.skew_weight,
        move_weight: s.move_weight,
    }
}

fn service_from_wire(s: wire::Service) -> (String, Service) {
    let service = Service {
        engine: s.engine,
        repeatable: s.repeatable,
        skew_weight: s.skew_weight,
        move_weight: s.move_weight,
    };
    (s.name, service)
}

fn account_to_wire((name, a): (&String, &Account)) -> wire::Account {
    wire::Account {
        name: name.clone(),
        key_hash: a.key_hash.clone(),
        rate: a.rate,
        share: a.share,
        top: a.max_priority as u32,
    }
}

fn account_from_wire(a: wire::Account) -> (String, Account) {
    let account = Account {
        key_hash: a.key_hash,
        rate: a.rate,
        share: a.share,
        max_priority: a.top.into(),
    };
    (a.name, account)
}

fn entry_to_wire((name, e): (&String, &Entry)) -> wire::Entry {
    wire::Entry {
        name: name.clone(),
        domain: e.domain.clone(),
        callers: e.callers.to_string(),
        inbox: e.inbox.to_string(),
        drained: e.drained,
    }
}

fn entry_from_wire(e: wire::Entry) -> Result<(String, Entry), InvalidState> {
    let entry = Entry {
        domain: e.domain,
        callers: parse_address(&e.callers)?,
        inbox: parse_address(&e.inbox)?,
        drained: e.drained,
    };
    Ok((e.name, entry))
}

fn group_to_wire((name, g): (&String, &Group)) -> wire::Group {
    let pending = g.pending.as_ref();
    wire::Group {
        name: name.clone(),
        service: g.service.clone(),
        ranks: g.ranks,
        map_version: g.map_version,
        map_step: g.map_step,
        map: g.map.to_string(),
        wanted_version: pending.map_or(0, |(version, _)| *version),
        wanted_map: pending.map(|(_, map)| map.to_string()).unwrap_or_default(),
        versions: g.last_version,
        reserved: g.reserved_until,
    }
}

fn group_from_wire(g: wire::Group) -> Result<(String, Group), InvalidState> {
    let parse_map = |text: &str| ExpertMap::parse(text).map_err(|_| InvalidState);
    let pending = match g.wanted_version {
        0 => None,
        version => Some((version, parse_map(&g.wanted_map)?)),
    };
    let group = Group {
        service: g.service,
        ranks: g.ranks,
        map_version: g.map_version,
        map_step: g.map_step,
        map: parse_map(&g.map)?,
        pending,
        last_version: g.versions,
        reserved_until: g.reserved,
    };
    Ok((g.name, group))
}

fn record_to_wire((number, c): (&u64, &CommandRecord)) -> wire::Seen {
    wire::Seen {
        operator: c.operator.clone(),
        number: *number,
        token: c.token.clone(),
        digest: c.digest.clone(),
        revision: c.revision,
        refusal: c.refusal.clone().unwrap_or_default(),
    }
}

fn record_from_wire(s: wire::Seen) -> (u64, CommandRecord) {
    let record = CommandRecord {
        operator: s.operator,
        token: s.token,
        digest: s.digest,
        revision: s.revision,
        refusal: (!s.refusal.is_empty()).then_some(s.refusal),
    };
    (s.number, record)
}

fn member_to_wire((name, inbox): (&String, &SocketAddr)) -> wire::Wish {
    wire::Wish {
        name: name.clone(),
        inbox: inbox.to_string(),
    }
}

fn member_from_wire(w: wire::Wish) -> Result<(String, SocketAddr), InvalidState> {
    Ok((w.name, parse_address(&w.inbox)?))
}

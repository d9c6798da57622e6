//! Conversions between the domain types and the schema's.

use crate::apply::Command;
use crate::model::{Account, Entry, Group, Priority, Seen, Service, State};
use bn_group::ExpertMap;
use bn_wire::messages as wire;
use snafu::Snafu;
use std::net::SocketAddr;

/// A stored state that holds no address or no map where one is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the state is malformed"))]
pub struct Malformed;

fn address(text: &str) -> Result<SocketAddr, Malformed> {
    text.parse().map_err(|_| Malformed)
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
            services: s.services.iter().map(service_out).collect(),
            accounts: s.accounts.iter().map(account_out).collect(),
            entries: s.entries.iter().map(entry_out).collect(),
            groups: s.groups.iter().map(group_out).collect(),
            drained: s.drained.iter().cloned().collect(),
            seen: s.seen.iter().map(seen_out).collect(),
            claim_epoch: s.claim_epoch,
            members: s.members.iter().map(wish_out).collect(),
        }
    }
}

impl TryFrom<wire::State> for State {
    type Error = Malformed;

    fn try_from(s: wire::State) -> Result<Self, Malformed> {
        let entries = s
            .entries
            .into_iter()
            .map(entry_in)
            .collect::<Result<_, _>>()?;
        Ok(State {
            revision: s.revision,
            services: s.services.into_iter().map(service_in).collect(),
            accounts: s.accounts.into_iter().map(account_in).collect(),
            entries,
            groups: s
                .groups
                .into_iter()
                .map(group_in)
                .collect::<Result<_, _>>()?,
            drained: s.drained.into_iter().collect(),
            seen: s.seen.into_iter().map(seen_in).collect(),
            claim_epoch: s.claim_epoch,
            members: s
                .members
                .into_iter()
                .map(wish_in)
                .collect::<Result<_, _>>()?,
        })
    }
}

fn service_out((name, s): (&String, &Service)) -> wire::Service {
    wire::Service {
        name: name.clone(),
        engine: s.engine,
        repeatable: s.repeatable,
        skew_weight: s.skew_weight,
        move_weight: s.move_weight,
    }
}

fn service_in(s: wire::Service) -> (String, Service) {
    let service = Service {
        engine: s.engine,
        repeatable: s.repeatable,
        skew_weight: s.skew_weight,
        move_weight: s.move_weight,
    };
    (s.name, service)
}

fn account_out((name, a): (&String, &Account)) -> wire::Account {
    wire::Account {
        name: name.clone(),
        key_hash: a.key_hash.clone(),
        rate: a.rate,
        share: a.share,
        top: a.top as u32,
    }
}

fn account_in(a: wire::Account) -> (String, Account) {
    let account = Account {
        key_hash: a.key_hash,
        rate: a.rate,
        share: a.share,
        top: a.top.into(),
    };
    (a.name, account)
}

fn entry_out((name, e): (&String, &Entry)) -> wire::Entry {
    wire::Entry {
        name: name.clone(),
        domain: e.domain.clone(),
        callers: e.callers.to_string(),
        inbox: e.inbox.to_string(),
        drained: e.drained,
    }
}

fn entry_in(e: wire::Entry) -> Result<(String, Entry), Malformed> {
    let entry = Entry {
        domain: e.domain,
        callers: address(&e.callers)?,
        inbox: address(&e.inbox)?,
        drained: e.drained,
    };
    Ok((e.name, entry))
}

fn group_out((name, g): (&String, &Group)) -> wire::Group {
    let wanted = g.wanted.as_ref();
    wire::Group {
        name: name.clone(),
        service: g.service.clone(),
        ranks: g.ranks,
        map_version: g.map_version,
        map_step: g.map_step,
        map: g.map.to_string(),
        wanted_version: wanted.map_or(0, |(version, _)| *version),
        wanted_map: wanted.map(|(_, map)| map.to_string()).unwrap_or_default(),
        versions: g.versions,
        reserved: g.reserved,
    }
}

fn group_in(g: wire::Group) -> Result<(String, Group), Malformed> {
    let read = |text: &str| ExpertMap::parse(text).map_err(|_| Malformed);
    let wanted = match g.wanted_version {
        0 => None,
        version => Some((version, read(&g.wanted_map)?)),
    };
    let group = Group {
        service: g.service,
        ranks: g.ranks,
        map_version: g.map_version,
        map_step: g.map_step,
        map: read(&g.map)?,
        wanted,
        versions: g.versions,
        reserved: g.reserved,
    };
    Ok((g.name, group))
}

fn seen_out((number, s): (&u64, &Seen)) -> wire::Seen {
    wire::Seen {
        operator: s.operator.clone(),
        number: *number,
        token: s.token.clone(),
        digest: s.digest.clone(),
        revision: s.revision,
        refusal: s.refusal.clone().unwrap_or_default(),
    }
}

fn seen_in(s: wire::Seen) -> (u64, Seen) {
    let seen = Seen {
        operator: s.operator,
        token: s.token,
        digest: s.digest,
        revision: s.revision,
        refusal: (!s.refusal.is_empty()).then_some(s.refusal),
    };
    (s.number, seen)
}

fn wish_out((name, inbox): (&String, &SocketAddr)) -> wire::Wish {
    wire::Wish {
        name: name.clone(),
        inbox: inbox.to_string(),
    }
}

fn wish_in(w: wire::Wish) -> Result<(String, SocketAddr), Malformed> {
    Ok((w.name, address(&w.inbox)?))
}

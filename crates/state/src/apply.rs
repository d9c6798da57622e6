//! Applying commands: numbered, whole or not at all.

use crate::model::{Account, Entry, Group, Priority, Revision, Seen, Service, State};
use crate::{Refusal, Result};
use bn_group::ExpertMap;
use bn_query::{Kind, Place, Setting, Statement};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::str::FromStr;

/// Operator of the leader's own commands. They carry no number: each names the version
/// it settles, so a second one finds nothing to settle.
pub const LEADER: &str = "control";
/// Commands remembered for resends.
const REMEMBERED: usize = 10_000;
const MOST_LAYERS: u32 = 256;
/// Client accounts start with this rate, in requests a second.
const DEFAULT_RATE: f64 = 1000.0;

/// A numbered command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Who sends it.
    pub operator: String,
    /// Unique among all commands; a race for one number has one winner.
    pub number: u64,
    /// Tells a resend from another command.
    pub token: String,
    /// Statements of the operator language.
    pub text: String,
}

/// SHA-256 of a text, hexadecimal.
pub fn digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

impl State {
    /// Applies the command that stands at `index` of the log. A resend gets the
    /// first outcome; what fails changes nothing but the revision.
    pub fn apply(&mut self, index: Revision, command: &Command) -> Result<Revision> {
        self.revision = index;
        if command.operator == LEADER {
            return self.attempt(command).map(|()| index);
        }
        if let Some(outcome) = self.earlier(command) {
            return outcome;
        }
        let outcome = self.attempt(command);
        let refusal = outcome.as_ref().err().map(ToString::to_string);
        self.remember(index, command, refusal);
        outcome.map(|()| index)
    }

    /// The outcome that the command's number already decides, if any. The leader
    /// asks before it proposes, so that a resend costs no log entry.
    pub fn earlier(&self, command: &Command) -> Option<Result<Revision>> {
        let number = command.number;
        if let Some(seen) = self.seen.get(&number) {
            let same = seen.token == command.token && seen.digest == digest(&command.text);
            let winner = seen.operator.clone();
            return Some(match &seen.refusal {
                _ if !same => Err(Refusal::Taken {
                    number,
                    winner,
                    revision: seen.revision,
                }),
                Some(reason) => Err(Refusal::Again {
                    reason: reason.clone(),
                }),
                None => Ok(seen.revision),
            });
        }
        // Below the lowest number remembered a resend cannot be told from a new
        // command; running it could undo what came after it.
        let floor = self
            .seen
            .keys()
            .next()
            .copied()
            .filter(|_| self.seen.len() >= REMEMBERED)?;
        (number < floor).then_some(Err(Refusal::TooOld { number, floor }))
    }

    fn remember(&mut self, revision: Revision, command: &Command, refusal: Option<String>) {
        let seen = Seen {
            operator: command.operator.clone(),
            token: command.token.clone(),
            digest: digest(&command.text),
            revision,
            refusal,
        };
        self.seen.insert(command.number, seen);
        while self.seen.len() > REMEMBERED {
            self.seen.pop_first();
        }
    }

    fn attempt(&mut self, command: &Command) -> Result<()> {
        let statements =
            bn_query::parse(&command.text).map_err(|source| Refusal::Syntax { source })?;
        // What was seen is large and no statement touches it: it is not copied.
        let seen = std::mem::take(&mut self.seen);
        let mut next = self.clone();
        self.seen = seen;
        let leads = command.operator == LEADER;
        for (i, statement) in statements.iter().enumerate() {
            let at = |reason| Refusal::Statement {
                position: i + 1,
                reason,
            };
            // An operator's commit at a step of his own would mix maps.
            need(leads || !is_leaders(statement), "only the leader says this").map_err(at)?;
            next.statement(statement).map_err(at)?;
        }
        if !next.entries.keys().eq(self.entries.keys()) {
            next.claim_epoch = self.revision;
        }
        next.seen = std::mem::take(&mut self.seen);
        *self = next;
        Ok(())
    }

    fn statement(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Show(_) => Err("show changes nothing: ask it on its own".into()),
            Statement::Create(kind, name, sets) => self.create(*kind, name, sets),
            Statement::Alter(kind, name, sets) => self.alter(*kind, name, sets),
            Statement::Drop(kind, name) => self.drop_one(*kind, name),
            Statement::Drain(place, name) => self.drain(*place, name, true),
            Statement::Undrain(place, name) => self.drain(*place, name, false),
            Statement::Switch(name, sets) => self.switch(name, sets),
        }
    }

    fn create(&mut self, kind: Kind, name: &str, sets: &[Setting]) -> Result<(), String> {
        let there = match kind {
            Kind::Service => self.services.contains_key(name),
            Kind::Account => self.accounts.contains_key(name),
            Kind::Entry => self.entries.contains_key(name),
            Kind::Group => self.groups.contains_key(name),
            Kind::Member => self.members.contains_key(name),
        };
        if there {
            return Err(format!("{name} exists already"));
        }
        match kind {
            Kind::Service => {
                let mut s = Service {
                    engine: false,
                    repeatable: true,
                    skew_weight: 1.0,
                    move_weight: 1.0,
                };
                set_service(&mut s, sets)?;
                self.services.insert(name.into(), s);
            }
            Kind::Account => {
                let mut a = Account {
                    key_hash: String::new(),
                    rate: DEFAULT_RATE,
                    share: 1,
                    top: Priority::Normal,
                };
                set_account(&mut a, sets)?;
                need(
                    !a.key_hash.is_empty(),
                    "an account needs key=... or key_hash=...",
                )?;
                let taken = self.account_by_hash(&a.key_hash).map(|(n, _)| n.clone());
                need(taken.is_none(), "this key is another account's")?;
                self.accounts.insert(name.into(), a);
            }
            Kind::Entry => {
                let e = Entry {
                    domain: wanted(sets, "domain")?,
                    callers: wanted(sets, "callers")?,
                    inbox: wanted(sets, "inbox")?,
                    drained: false,
                };
                known(sets, &["domain", "callers", "inbox"])?;
                self.entries.insert(name.into(), e);
            }
            Kind::Member => {
                known(sets, &["inbox"])?;
                self.members.insert(name.into(), wanted(sets, "inbox")?);
            }
            Kind::Group => self.create_group(name, sets)?,
        }
        Ok(())
    }

    fn create_group(&mut self, name: &str, sets: &[Setting]) -> Result<(), String> {
        known(sets, &["service", "ranks", "experts", "layers"])?;
        let service: String = wanted(sets, "service")?;
        let ranks: u32 = wanted(sets, "ranks")?;
        let experts: u32 = wanted(sets, "experts")?;
        let layers: u32 = optional(sets, "layers")?.unwrap_or(1);
        let there = self.services.contains_key(&service);
        need(there, "there is no such service")?;
        let sized = ranks > 0 && experts >= ranks && layers > 0 && layers <= MOST_LAYERS;
        need(
            sized,
            "give at least one expert a rank, and 1 to 256 layers",
        )?;
        let map = ExpertMap::round_robin(layers as usize, experts as usize, ranks as usize);
        let group = Group {
            service,
            ranks,
            map_version: 1,
            map_step: 0,
            map,
            wanted: None,
            versions: 1,
            reserved: 0,
        };
        self.groups.insert(name.into(), group);
        Ok(())
    }

    fn alter(&mut self, kind: Kind, name: &str, sets: &[Setting]) -> Result<(), String> {
        let missing = || format!("there is no {name}");
        match kind {
            Kind::Service => set_service(self.services.get_mut(name).ok_or_else(missing)?, sets),
            Kind::Account => {
                set_account(self.accounts.get_mut(name).ok_or_else(missing)?, sets)?;
                let hash = self.accounts.get(name).map(|a| a.key_hash.clone());
                let same = self
                    .accounts
                    .values()
                    .filter(|a| Some(&a.key_hash) == hash.as_ref());
                need(same.count() == 1, "this key is another account's")
            }
            Kind::Entry => {
                let entry = self.entries.get_mut(name).ok_or_else(missing)?;
                known(sets, &["domain", "callers", "inbox"])?;
                let take = |s: &Setting| sets_entry(entry, s);
                sets.iter().try_for_each(take)
            }
            Kind::Group | Kind::Member => Err("use switch group, or drop and create".into()),
        }
    }

    fn drop_one(&mut self, kind: Kind, name: &str) -> Result<(), String> {
        let gone = match kind {
            Kind::Service => {
                let used = self.groups.values().any(|g| g.service == name);
                need(!used, "a group still backs this service")?;
                self.services.shift_remove(name).is_some()
            }
            Kind::Account => self.accounts.shift_remove(name).is_some(),
            Kind::Entry => self.entries.shift_remove(name).is_some(),
            Kind::Group => self.groups.shift_remove(name).is_some(),
            Kind::Member => {
                need(self.members.len() > 1, "the last member stays")?;
                self.members.shift_remove(name).is_some()
            }
        };
        need(gone, &format!("there is no {name}"))
    }

    fn drain(&mut self, place: Place, name: &str, on: bool) -> Result<(), String> {
        match place {
            Place::Backend if on => {
                self.drained.insert(name.into());
            }
            Place::Backend => {
                need(self.drained.shift_remove(name), "it is not drained")?;
            }
            Place::Entry => {
                let entry = self.entries.get_mut(name);
                entry.ok_or_else(|| format!("there is no {name}"))?.drained = on;
            }
        }
        Ok(())
    }

    /// `map=` asks for a switch; the leader then prepares it and commits it with
    /// `commit=` at a step, or gives it up with `cancel=`; `reserve=` bounds what it
    /// may grant.
    fn switch(&mut self, name: &str, sets: &[Setting]) -> Result<(), String> {
        known(sets, &["map", "commit", "step", "cancel", "reserve"])?;
        let group = self
            .groups
            .get_mut(name)
            .ok_or_else(|| format!("there is no {name}"))?;
        if let Some(version) = optional::<u64>(sets, "cancel")? {
            return group.take_wanted(version).map(drop);
        }
        if let Some(until) = optional::<u64>(sets, "reserve")? {
            group.reserved = group.reserved.max(until);
            return Ok(());
        }
        if let Some(version) = optional::<u64>(sets, "commit")? {
            let step: u64 = wanted(sets, "step")?;
            need(
                step >= group.map_step,
                "the step lies before the last switch",
            )?;
            let map = group.take_wanted(version)?;
            (group.map_version, group.map_step, group.map) = (version, step, map);
            return Ok(());
        }
        let text: String = wanted(sets, "map")?;
        let map = ExpertMap::parse(&text).map_err(|e| e.to_string())?;
        need(
            map.shape() == group.map.shape(),
            "the map must name every expert of every layer",
        )?;
        need(
            map.is_valid_for(group.ranks),
            "the map names a rank that is not there, or one twice",
        )?;
        need(
            group.wanted.is_none(),
            "a switch of this group is under way",
        )?;
        group.versions += 1;
        group.wanted = Some((group.versions, map));
        Ok(())
    }
}

impl Group {
    fn take_wanted(&mut self, version: u64) -> Result<ExpertMap, String> {
        let found = self.wanted.take_if(|(v, _)| *v == version);
        found
            .map(|(_, map)| map)
            .ok_or_else(|| "this version is not wanted".into())
    }
}

fn set_service(service: &mut Service, sets: &[Setting]) -> Result<(), String> {
    for s in sets {
        match s.name.as_str() {
            "engine" => service.engine = value(s)?,
            "repeatable" => service.repeatable = value(s)?,
            "skew_weight" => service.skew_weight = positive(s)?,
            "move_weight" => service.move_weight = positive(s)?,
            _ => return Err(unknown(s)),
        }
    }
    Ok(())
}

fn set_account(account: &mut Account, sets: &[Setting]) -> Result<(), String> {
    for s in sets {
        match s.name.as_str() {
            "key" => account.key_hash = digest(&s.value),
            "key_hash" => account.key_hash = s.value.to_ascii_lowercase(),
            "rate" => account.rate = positive(s)?,
            "share" => account.share = value(s)?,
            "top" => {
                let top = Priority::parse(&s.value);
                account.top = top.ok_or("top: give batch, normal or urgent")?;
            }
            _ => return Err(unknown(s)),
        }
    }
    Ok(())
}

fn sets_entry(entry: &mut Entry, s: &Setting) -> Result<(), String> {
    match s.name.as_str() {
        "domain" => entry.domain = s.value.clone(),
        "callers" => entry.callers = value::<SocketAddr>(s)?,
        _ => entry.inbox = value::<SocketAddr>(s)?,
    }
    Ok(())
}

fn is_leaders(statement: &Statement) -> bool {
    let own = |s: &Setting| ["commit", "reserve"].contains(&s.name.as_str());
    matches!(statement, Statement::Switch(_, sets) if sets.iter().any(own))
}

fn need(holds: bool, reason: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(reason.into()) }
}

fn unknown(s: &Setting) -> String {
    format!("there is no setting {:?} here", s.name)
}

fn known(sets: &[Setting], names: &[&str]) -> Result<(), String> {
    let stray = sets.iter().find(|s| !names.contains(&s.name.as_str()));
    stray.map_or(Ok(()), |s| Err(unknown(s)))
}

fn value<T: FromStr>(s: &Setting) -> Result<T, String> {
    s.value
        .parse()
        .map_err(|_| format!("{}: {:?} does not fit", s.name, s.value))
}

fn positive(s: &Setting) -> Result<f64, String> {
    let n: f64 = value(s)?;
    need(
        n.is_finite() && n >= 0.0,
        &format!("{}: give a number, 0 or more", s.name),
    )?;
    Ok(n)
}

fn optional<T: FromStr>(sets: &[Setting], name: &str) -> Result<Option<T>, String> {
    sets.iter().find(|s| s.name == name).map(value).transpose()
}

fn wanted<T: FromStr>(sets: &[Setting], name: &str) -> Result<T, String> {
    let found = sets.iter().find(|s| s.name == name);
    value(found.ok_or_else(|| format!("{name}=... is missing"))?)
}

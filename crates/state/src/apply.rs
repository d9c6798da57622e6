//! Application of numbered commands, each one atomically.

use crate::model::{Account, CommandRecord, Entry, Group, Priority, Revision, Service, State};
use crate::{Refusal, Result};
use bn_group::ExpertMap;
use bn_query::{DrainTarget, ObjectKind, Setting, Statement};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::str::FromStr;

/// Operator name of the leader's own commands. They carry no number: each names the version
/// that it commits, so a duplicate finds nothing to commit.
pub const LEADER_OPERATOR: &str = "control";
/// Number of commands recorded to answer resends.
const MAX_COMMAND_RECORDS: usize = 10_000;
const MAX_LAYERS: u32 = 256;
/// Initial rate of client accounts, in requests per second.
const DEFAULT_RATE: f64 = 1000.0;

/// A numbered command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Operator that sends it.
    pub operator: String,
    /// Unique among all commands; of commands that race for one number, one wins.
    pub number: u64,
    /// Distinguishes a resend from another command.
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
    /// Applies the command at log index `index`. A resend returns the first outcome; a failed
    /// command changes only the revision.
    pub fn apply(&mut self, index: Revision, command: &Command) -> Result<Revision> {
        self.revision = index;
        if command.operator == LEADER_OPERATOR {
            return self.execute(command).map(|()| index);
        }
        if let Some(outcome) = self.prior_outcome(command) {
            return outcome;
        }
        let outcome = self.execute(command);
        let refusal = outcome.as_ref().err().map(ToString::to_string);
        self.record_outcome(index, command, refusal);
        outcome.map(|()| index)
    }

    /// The outcome already determined by the command's number, if any. The leader checks it before
    /// proposing, so that a resend costs no log entry.
    pub fn prior_outcome(&self, command: &Command) -> Option<Result<Revision>> {
        let number = command.number;
        if let Some(record) = self.command_records.get(&number) {
            let same = record.token == command.token && record.digest == digest(&command.text);
            let winner = record.operator.clone();
            return Some(match &record.refusal {
                _ if !same => Err(Refusal::NumberTaken {
                    number,
                    winner,
                    revision: record.revision,
                }),
                Some(reason) => Err(Refusal::Replayed {
                    reason: reason.clone(),
                }),
                None => Ok(record.revision),
            });
        }
        // Below the lowest recorded number, a resend cannot be distinguished from a new command;
        // executing it could undo later commands.
        let floor = self
            .command_records
            .keys()
            .next()
            .copied()
            .filter(|_| self.command_records.len() >= MAX_COMMAND_RECORDS)?;
        (number < floor).then_some(Err(Refusal::TooOld { number, floor }))
    }

    fn record_outcome(&mut self, revision: Revision, command: &Command, refusal: Option<String>) {
        let record = CommandRecord {
            operator: command.operator.clone(),
            token: command.token.clone(),
            digest: digest(&command.text),
            revision,
            refusal,
        };
        self.command_records.insert(command.number, record);
        while self.command_records.len() > MAX_COMMAND_RECORDS {
            self.command_records.pop_first();
        }
    }

    fn execute(&mut self, command: &Command) -> Result<()> {
        let statements =
            bn_query::parse(&command.text).map_err(|source| Refusal::Syntax { source })?;
        // The command records are large and no statement changes them, so they are not copied.
        let records = std::mem::take(&mut self.command_records);
        let mut next = self.clone();
        self.command_records = records;
        let by_leader = command.operator == LEADER_OPERATOR;
        for (i, statement) in statements.iter().enumerate() {
            let at = |reason| Refusal::Statement {
                position: i + 1,
                reason,
            };
            // A commit by an operator, at a step of its choice, would mix maps.
            ensure(
                by_leader || !is_leader_only(statement),
                "only the leader says this",
            )
            .map_err(at)?;
            next.execute_statement(statement).map_err(at)?;
        }
        if !next.entries.keys().eq(self.entries.keys()) {
            next.claim_epoch = self.revision;
        }
        next.command_records = std::mem::take(&mut self.command_records);
        *self = next;
        Ok(())
    }

    fn execute_statement(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Show(_) => Err("show changes nothing: ask it on its own".into()),
            Statement::Create(kind, name, settings) => self.create(*kind, name, settings),
            Statement::Alter(kind, name, settings) => self.alter(*kind, name, settings),
            Statement::Drop(kind, name) => self.drop_object(*kind, name),
            Statement::Drain(target, name) => self.drain(*target, name, true),
            Statement::Undrain(target, name) => self.drain(*target, name, false),
            Statement::Switch(name, settings) => self.switch(name, settings),
        }
    }

    fn create(&mut self, kind: ObjectKind, name: &str, settings: &[Setting]) -> Result<(), String> {
        let exists = match kind {
            ObjectKind::Service => self.services.contains_key(name),
            ObjectKind::Account => self.accounts.contains_key(name),
            ObjectKind::Entry => self.entries.contains_key(name),
            ObjectKind::Group => self.groups.contains_key(name),
            ObjectKind::Member => self.members.contains_key(name),
        };
        if exists {
            return Err(format!("{name} exists already"));
        }
        match kind {
            ObjectKind::Service => {
                let mut s = Service {
                    engine: false,
                    repeatable: true,
                    skew_weight: 1.0,
                    move_weight: 1.0,
                };
                set_service(&mut s, settings)?;
                self.services.insert(name.into(), s);
            }
            ObjectKind::Account => {
                let mut a = Account {
                    key_hash: String::new(),
                    rate: DEFAULT_RATE,
                    share: 1,
                    max_priority: Priority::Normal,
                };
                set_account(&mut a, settings)?;
                ensure(
                    !a.key_hash.is_empty(),
                    "an account needs key=... or key_hash=...",
                )?;
                let taken = self.account_by_hash(&a.key_hash).map(|(n, _)| n.clone());
                ensure(taken.is_none(), "this key is another account's")?;
                self.accounts.insert(name.into(), a);
            }
            ObjectKind::Entry => {
                let e = Entry {
                    domain: required(settings, "domain")?,
                    callers: required(settings, "callers")?,
                    inbox: required(settings, "inbox")?,
                    drained: false,
                };
                reject_unknown(settings, &["domain", "callers", "inbox"])?;
                self.entries.insert(name.into(), e);
            }
            ObjectKind::Member => {
                reject_unknown(settings, &["inbox"])?;
                self.members
                    .insert(name.into(), required(settings, "inbox")?);
            }
            ObjectKind::Group => self.create_group(name, settings)?,
        }
        Ok(())
    }

    fn create_group(&mut self, name: &str, settings: &[Setting]) -> Result<(), String> {
        reject_unknown(settings, &["service", "ranks", "experts", "layers"])?;
        let service: String = required(settings, "service")?;
        let ranks: u32 = required(settings, "ranks")?;
        let experts: u32 = required(settings, "experts")?;
        let layers: u32 = optional(settings, "layers")?.unwrap_or(1);
        let exists = self.services.contains_key(&service);
        ensure(exists, "there is no such service")?;
        let valid = ranks > 0 && experts >= ranks && layers > 0 && layers <= MAX_LAYERS;
        ensure(
            valid,
            "give at least one expert a rank, and 1 to 256 layers",
        )?;
        let map = ExpertMap::round_robin(layers as usize, experts as usize, ranks as usize);
        let group = Group {
            service,
            ranks,
            map_version: 1,
            map_step: 0,
            map,
            pending: None,
            last_version: 1,
            reserved_until: 0,
        };
        self.groups.insert(name.into(), group);
        Ok(())
    }

    fn alter(&mut self, kind: ObjectKind, name: &str, settings: &[Setting]) -> Result<(), String> {
        let missing = || format!("there is no {name}");
        match kind {
            ObjectKind::Service => {
                set_service(self.services.get_mut(name).ok_or_else(missing)?, settings)
            }
            ObjectKind::Account => {
                set_account(self.accounts.get_mut(name).ok_or_else(missing)?, settings)?;
                let hash = self.accounts.get(name).map(|a| a.key_hash.clone());
                let same = self
                    .accounts
                    .values()
                    .filter(|a| Some(&a.key_hash) == hash.as_ref());
                ensure(same.count() == 1, "this key is another account's")
            }
            ObjectKind::Entry => {
                let entry = self.entries.get_mut(name).ok_or_else(missing)?;
                reject_unknown(settings, &["domain", "callers", "inbox"])?;
                let set = |s: &Setting| set_entry(entry, s);
                settings.iter().try_for_each(set)
            }
            ObjectKind::Group | ObjectKind::Member => {
                Err("use switch group, or drop and create".into())
            }
        }
    }

    fn drop_object(&mut self, kind: ObjectKind, name: &str) -> Result<(), String> {
        let removed = match kind {
            ObjectKind::Service => {
                let used = self.groups.values().any(|g| g.service == name);
                ensure(!used, "a group still backs this service")?;
                self.services.shift_remove(name).is_some()
            }
            ObjectKind::Account => self.accounts.shift_remove(name).is_some(),
            ObjectKind::Entry => self.entries.shift_remove(name).is_some(),
            ObjectKind::Group => self.groups.shift_remove(name).is_some(),
            ObjectKind::Member => {
                ensure(self.members.len() > 1, "the last member stays")?;
                self.members.shift_remove(name).is_some()
            }
        };
        ensure(removed, &format!("there is no {name}"))
    }

    fn drain(&mut self, target: DrainTarget, name: &str, drained: bool) -> Result<(), String> {
        match target {
            DrainTarget::Backend if drained => {
                self.drained.insert(name.into());
            }
            DrainTarget::Backend => {
                ensure(self.drained.shift_remove(name), "it is not drained")?;
            }
            DrainTarget::Entry => {
                let entry = self.entries.get_mut(name);
                entry.ok_or_else(|| format!("there is no {name}"))?.drained = drained;
            }
        }
        Ok(())
    }

    /// `map=` requests a switch; the leader then prepares it and commits it with `commit=` at a
    /// step, or abandons it with `cancel=`; `reserve=` bounds the steps that it may grant.
    fn switch(&mut self, name: &str, settings: &[Setting]) -> Result<(), String> {
        reject_unknown(settings, &["map", "commit", "step", "cancel", "reserve"])?;
        let group = self
            .groups
            .get_mut(name)
            .ok_or_else(|| format!("there is no {name}"))?;
        if let Some(version) = optional::<u64>(settings, "cancel")? {
            return group.take_pending(version).map(drop);
        }
        if let Some(until) = optional::<u64>(settings, "reserve")? {
            group.reserved_until = group.reserved_until.max(until);
            return Ok(());
        }
        if let Some(version) = optional::<u64>(settings, "commit")? {
            let step: u64 = required(settings, "step")?;
            ensure(
                step >= group.map_step,
                "the step lies before the last switch",
            )?;
            let map = group.take_pending(version)?;
            (group.map_version, group.map_step, group.map) = (version, step, map);
            return Ok(());
        }
        let text: String = required(settings, "map")?;
        let map = ExpertMap::parse(&text).map_err(|e| e.to_string())?;
        ensure(
            map.shape() == group.map.shape(),
            "the map must name every expert of every layer",
        )?;
        ensure(
            map.is_valid_for(group.ranks),
            "the map names a rank that is not there, or one twice",
        )?;
        ensure(
            group.pending.is_none(),
            "a switch of this group is under way",
        )?;
        group.last_version += 1;
        group.pending = Some((group.last_version, map));
        Ok(())
    }
}

impl Group {
    fn take_pending(&mut self, version: u64) -> Result<ExpertMap, String> {
        let found = self.pending.take_if(|(v, _)| *v == version);
        found
            .map(|(_, map)| map)
            .ok_or_else(|| "this version is not wanted".into())
    }
}

fn set_service(service: &mut Service, settings: &[Setting]) -> Result<(), String> {
    for s in settings {
        match s.name.as_str() {
            "engine" => service.engine = parse_value(s)?,
            "repeatable" => service.repeatable = parse_value(s)?,
            "skew_weight" => service.skew_weight = non_negative(s)?,
            "move_weight" => service.move_weight = non_negative(s)?,
            _ => return Err(unknown_setting(s)),
        }
    }
    Ok(())
}

fn set_account(account: &mut Account, settings: &[Setting]) -> Result<(), String> {
    for s in settings {
        match s.name.as_str() {
            "key" => account.key_hash = digest(&s.value),
            "key_hash" => account.key_hash = s.value.to_ascii_lowercase(),
            "rate" => account.rate = non_negative(s)?,
            "share" => account.share = parse_value(s)?,
            "top" => {
                let top = Priority::parse(&s.value);
                account.max_priority = top.ok_or("top: give batch, normal or urgent")?;
            }
            _ => return Err(unknown_setting(s)),
        }
    }
    Ok(())
}

fn set_entry(entry: &mut Entry, s: &Setting) -> Result<(), String> {
    match s.name.as_str() {
        "domain" => entry.domain = s.value.clone(),
        "callers" => entry.callers = parse_value::<SocketAddr>(s)?,
        _ => entry.inbox = parse_value::<SocketAddr>(s)?,
    }
    Ok(())
}

fn is_leader_only(statement: &Statement) -> bool {
    let leader_only = |s: &Setting| ["commit", "reserve"].contains(&s.name.as_str());
    matches!(statement, Statement::Switch(_, settings) if settings.iter().any(leader_only))
}

fn ensure(valid: bool, reason: &str) -> Result<(), String> {
    if valid { Ok(()) } else { Err(reason.into()) }
}

fn unknown_setting(s: &Setting) -> String {
    format!("there is no setting {:?} here", s.name)
}

fn reject_unknown(settings: &[Setting], names: &[&str]) -> Result<(), String> {
    let unknown = settings.iter().find(|s| !names.contains(&s.name.as_str()));
    unknown.map_or(Ok(()), |s| Err(unknown_setting(s)))
}

fn parse_value<T: FromStr>(s: &Setting) -> Result<T, String> {
    s.value
        .parse()
        .map_err(|_| format!("{}: {:?} does not fit", s.name, s.value))
}

fn non_negative(s: &Setting) -> Result<f64, String> {
    let n: f64 = parse_value(s)?;
    ensure(
        n.is_finite() && n >= 0.0,
        &format!("{}: give a number, 0 or more", s.name),
    )?;
    Ok(n)
}

fn optional<T: FromStr>(settings: &[Setting], name: &str) -> Result<Option<T>, String> {
    settings
        .iter()
        .find(|s| s.name == name)
        .map(parse_value)
        .transpose()
}

fn required<T: FromStr>(settings: &[Setting], name: &str) -> Result<T, String> {
    let found = settings.iter().find(|s| s.name == name);
    parse_value(found.ok_or_else(|| format!("{name}=... is missing"))?)
}

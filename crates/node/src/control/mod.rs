//! The control role: the replicated log, the settled configuration it means, and
//! leases of it to entries. One thread owns all of this.

mod groups;
pub(crate) mod lease;
mod members;
mod propose;

use crate::clock::{Clock, ms};
use crate::run::Common;
use crate::{DecodeSnafu, Result, SeedSnafu};
use bn_quorum::{
    Entry, Member, Message, Output, Payload, Replica, ReplicaConfig, Restored, Role, Timing,
};
use bn_state::{Command, State};
use bn_store::{Disk, LoadedState, Store};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire, Envelope};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use prost::Message as _;
use snafu::{OptionExt, ResultExt};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an event.
const TICK: Duration = Duration::from_millis(10);
/// Events taken before one write: group commit.
const GROUP: usize = 512;
/// Entries after which a snapshot replaces the log.
const SNAPSHOT_ENTRIES: u64 = 1000;

/// What the control thread is told.
pub(crate) enum Event {
    /// A message of another process.
    Message(Box<Envelope>),
    /// Begin a graceful stop.
    Stop,
}

/// The control role's state.
pub(crate) struct Control {
    common: Common,
    quorum: Replica,
    store: Store,
    state: State,
    /// Index of the last entry applied, of whatever kind.
    applied: u64,
    /// The first command, for a system that has none yet.
    seed: Option<Command>,
    leases: lease::Leases,
    waits: propose::Waits,
    groups: groups::Groups,
    /// Steps that groups may run ahead of their slowest rank.
    grant_steps: u64,
    /// Where each process was last heard from.
    inboxes: HashMap<String, SocketAddr>,
    role: Role,
}

impl Control {
    /// Opens the data folder and starts the replica from it.
    pub(crate) fn open(common: Common, conf: &bn_conf::Control) -> Result<Control> {
        let (store, loaded) =
            Store::open(&conf.data_dir, rand::random::<u64>() | 1, Disk::default())?;
        let what = format!(
            "identity {:016x}, {} entries, snapshot at {}, {} torn bytes cut",
            loaded.identity,
            loaded.entries.len(),
            loaded.snapshot.as_ref().map_or(0, |s| s.index),
            loaded.truncated_bytes
        );
        common.events.note("data", what);
        let first = |p: &bn_conf::Peer| {
            let address = p.inbox.to_string();
            (
                p.id.clone(),
                Member {
                    identity: 0,
                    address,
                    voter: true,
                },
            )
        };
        let setup = ReplicaConfig {
            id: common.id.clone(),
            identity: loaded.identity,
            initial_members: conf.peers.iter().map(first).collect(),
            timing: Timing::default(),
            seed: rand::random(),
        };
        let restored = restored(loaded)?;
        let (state, applied) = match &restored.snapshot {
            Some(s) => (decode_state(&s.state)?, s.index),
            None => (State::default(), 0),
        };
        let quorum = Replica::new(setup, restored, common.clock.now());
        let role = quorum.role();
        Ok(Control {
            common,
            quorum,
            store,
            state,
            applied,
            seed: conf.seed.as_deref().map(seed).transpose()?,
            leases: lease::Leases::default(),
            waits: propose::Waits::default(),
            groups: groups::Groups::default(),
            grant_steps: conf.grant_steps,
            inboxes: HashMap::new(),
            role,
        })
    }

    /// Runs until told to stop, or the disk fails.
    pub(crate) fn run(mut self, ring: &Receiver<Event>) -> Result<()> {
        loop {
            match ring.recv_timeout(TICK) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(Event::Message(m)) => self.take(*m),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for event in ring.try_iter().take(GROUP) {
                match event {
                    Event::Stop => return Ok(()),
                    Event::Message(m) => self.take(*m),
                }
            }
            let now = self.now();
            self.quorum.tick(now);
            self.flush()?;
            self.lead(now);
            self.flush()?;
        }
    }

    fn now(&self) -> Duration {
        self.common.clock.now()
    }

    fn take(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        self.inboxes.insert(envelope.from.clone(), inbox);
        match envelope.body {
            Some(Body::Quorum(m)) => {
                if let Ok(message) = Message::try_from(m) {
                    let now = self.now();
                    self.quorum.receive(now, &envelope.from, message);
                }
            }
            Some(Body::LeaseAsk(ask)) => self.on_lease_ask(&envelope.from, inbox, &ask),
            Some(Body::Proposal(p)) => self.on_proposal(inbox, p),
            Some(Body::SwitchReport(r)) => self.on_switch_report(envelope.incarnation, inbox, r),
            _ => {}
        }
    }

    /// Stores, then sends, then applies, until nothing is left to do. A message that
    /// left before the sync could acknowledge what a crash then forgets.
    fn flush(&mut self) -> Result<()> {
        loop {
            let out = self.quorum.take_output();
            if out == Output::default() {
                return Ok(());
            }
            self.persist(&out)?;
            for (to, message) in &out.messages {
                self.send(to, message);
            }
            for entry in out.committed {
                self.apply(entry);
            }
            self.compact()?;
        }
    }

    fn persist(&mut self, out: &Output) -> Result<()> {
        if let Some(snapshot) = &out.snapshot {
            self.store.replace_snapshot(&snapshot.into(), Vec::new())?;
            self.state = decode_state(&snapshot.state)?;
            self.applied = snapshot.index;
            self.common
                .events
                .note("snapshot", format!("restored at {}", snapshot.index));
        }
        if out.hard.is_some() || out.truncate_from.is_some() || !out.append.is_empty() {
            let batch = wire::Batch {
                hard: out.hard.as_ref().map(Into::into),
                cut_from: out.truncate_from.unwrap_or(0),
                entries: out.append.iter().map(Into::into).collect(),
            };
            let start = self.now();
            self.store.append(&batch)?;
            metrics::histogram!("commit_seconds").record(self.now() - start);
        }
        Ok(())
    }

    fn send(&self, to: &str, message: &Message) {
        let member = self
            .quorum
            .members()
            .get(to)
            .and_then(|m| m.address.parse().ok());
        if let Some(address) = member.or_else(|| self.inboxes.get(to).copied()) {
            self.common.net.send(address, Body::Quorum(message.into()));
        }
    }

    fn apply(&mut self, entry: Entry) {
        self.applied = entry.index;
        match entry.payload {
            Payload::Empty => {}
            Payload::Members(m) => {
                let names: Vec<_> = m
                    .iter()
                    .map(|(id, m)| format!("{id}{}", if m.voter { "" } else { " (learner)" }))
                    .collect();
                self.common.events.note("members", names.join(", "));
            }
            Payload::Command(bytes) => match wire::Command::decode(&bytes[..]) {
                Ok(command) => {
                    let outcome = self.state.apply(entry.index, &command.into());
                    self.answer_wait(entry.index, &outcome);
                }
                // Every replica skips it alike.
                Err(_) => log::error!("entry {} does not decode", entry.index),
            },
        }
    }

    fn compact(&mut self) -> Result<()> {
        if self.applied < self.quorum.snapshot().index + SNAPSHOT_ENTRIES {
            return Ok(());
        }
        let state = wire::State::from(&self.state).encode_to_vec();
        if let Some(snapshot) = self.quorum.compact(self.applied, state) {
            let rest = self
                .quorum
                .entries_after(snapshot.index)
                .iter()
                .map(Into::into)
                .collect();
            self.store.replace_snapshot(&(&snapshot).into(), rest)?;
            self.common
                .events
                .note("snapshot", format!("taken at {}", snapshot.index));
        }
        Ok(())
    }

    /// What a leader does with each turn.
    fn lead(&mut self, now: Duration) {
        let role = self.quorum.role();
        if role != self.role {
            self.role = role;
            let detail = format!("{role:?} in term {}", self.quorum.term());
            self.common.events.note("role", detail);
            if role == Role::Leader {
                self.leases.start(now);
                self.groups.start(self.quorum.term());
            }
        }
        if role != Role::Leader {
            self.waits.clear();
            return;
        }
        if self.quorum.holds_lease(now) {
            self.sow();
            self.reconcile_members();
            self.answer_in_force(now);
            self.tick_groups(now);
        }
    }

    /// Proposes the first statements where no command was ever applied.
    fn sow(&mut self) {
        let bare = self.state.revision == 0 && self.applied == self.quorum.last_index();
        if !bare {
            return;
        }
        if let Some(seed) = self.seed.take() {
            let bytes = wire::Command::from(&seed).encode_to_vec();
            let taken = self.quorum.propose(bytes);
            self.common
                .events
                .note("seed", format!("proposed: {taken:?}"));
        }
    }
}

fn seed(path: &std::path::Path) -> Result<Command> {
    let text = std::fs::read_to_string(path).context(SeedSnafu { path })?;
    Ok(Command {
        operator: "seed".into(),
        number: 0,
        token: "seed".into(),
        text,
    })
}

fn restored(loaded: LoadedState) -> Result<Restored> {
    let entries = loaded
        .entries
        .into_iter()
        .map(Entry::try_from)
        .collect::<Result<_, _>>();
    Ok(Restored {
        hard: loaded.hard.into(),
        snapshot: loaded.snapshot.map(Into::into),
        entries: entries.ok().context(DecodeSnafu { what: "log entry" })?,
    })
}

fn decode_state(bytes: &[u8]) -> Result<State> {
    let raw = wire::State::decode(bytes)
        .ok()
        .context(DecodeSnafu { what: "state" })?;
    State::try_from(raw)
        .ok()
        .context(DecodeSnafu { what: "state" })
}

/// Milliseconds of the clock, for tables.
fn shown(clock: &Clock, at: Duration) -> f64 {
    ms(at.saturating_sub(clock.now())) as f64
}

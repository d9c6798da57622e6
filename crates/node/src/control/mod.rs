//! The control role: the replicated log, the configuration that it defines, and configuration
//! leases for entries. One thread owns all of this state.

mod groups;
pub(crate) mod lease;
mod members;
mod propose;

use crate::clock::{Clock, ms};
use crate::run::Common;
use crate::{DecodeSnafu, Result, SeedSnafu};
use bn_quorum::{
    Entry, Member, Members, Message, Output, Payload, Replica, ReplicaConfig, Restored, Role,
    Timing,
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

/// Maximum wait for an event.
const TICK: Duration = Duration::from_millis(10);
/// Maximum number of events handled before one write (group commit).
const MAX_BATCH: usize = 512;
/// Number of log entries after which a snapshot replaces them.
const SNAPSHOT_ENTRIES: u64 = 1000;

/// Events handled by the control thread.
pub(crate) enum Event {
    /// A message from another process.
    Message(Box<Envelope>),
    /// Start a graceful shutdown.
    Stop,
}

/// State of the control role.
pub(crate) struct Control {
    common: Common,
    replica: Replica,
    store: Store,
    state: State,
    /// Index of the last applied entry of any kind.
    applied: u64,
    /// Initial command for a system without any.
    seed: Option<Command>,
    leases: lease::Leases,
    proposals: propose::Proposals,
    groups: groups::Groups,
    /// Number of steps that groups may run ahead of their slowest rank.
    grant_steps: u64,
    /// Latest inbox of each process.
    inboxes: HashMap<String, SocketAddr>,
    role: Role,
}

impl Control {
    /// Opens the data directory and starts the replica from it.
    pub(crate) fn open(common: Common, conf: &bn_conf::Control) -> Result<Control> {
        let (store, loaded) =
            Store::open(&conf.data_dir, rand::random::<u64>() | 1, Disk::default())?;
        let detail = format!(
            "identity {:016x}, {} entries, snapshot at {}, {} torn bytes cut",
            loaded.identity,
            loaded.entries.len(),
            loaded.snapshot.as_ref().map_or(0, |s| s.index),
            loaded.truncated_bytes
        );
        common.events.note("data", detail);
        let initial_member = |p: &bn_conf::Peer| {
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
        let config = ReplicaConfig {
            id: common.id.clone(),
            identity: loaded.identity,
            initial_members: Members::new(
                conf.peers.iter().map(initial_member).collect(),
                conf.peers.len().saturating_sub(1) / 2,
            ),
            timing: Timing::default(),
            seed: rand::random(),
        };
        let restored = restored(loaded)?;
        let (state, applied) = match &restored.snapshot {
            Some(s) => (decode_state(&s.state)?, s.index),
            None => (State::default(), 0),
        };
        let replica = Replica::new(config, restored, common.clock.now());
        let role = replica.role();
        Ok(Control {
            common,
            replica,
            store,
            state,
            applied,
            seed: conf.seed.as_deref().map(seed).transpose()?,
            leases: lease::Leases::default(),
            proposals: propose::Proposals::default(),
            groups: groups::Groups::default(),
            grant_steps: conf.grant_steps,
            inboxes: HashMap::new(),
            role,
        })
    }

    /// Runs until it is stopped or the disk fails.
    pub(crate) fn run(mut self, channel: &Receiver<Event>) -> Result<()> {
        loop {
            match channel.recv_timeout(TICK) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
                Ok(Event::Message(m)) => self.on_message(*m),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for event in channel.try_iter().take(MAX_BATCH) {
                match event {
                    Event::Stop => return Ok(()),
                    Event::Message(m) => self.on_message(*m),
                }
            }
            let now = self.now();
            self.replica.tick(now);
            self.flush()?;
            self.run_leader(now);
            self.flush()?;
        }
    }

    fn now(&self) -> Duration {
        self.common.clock.now()
    }

    fn on_message(&mut self, envelope: Envelope) {
        let Ok(inbox) = envelope.inbox.parse::<SocketAddr>() else {
            return;
        };
        self.inboxes.insert(envelope.from.clone(), inbox);
        match envelope.body {
            Some(Body::Quorum(m)) => {
                if let Ok(message) = Message::try_from(m) {
                    let now = self.now();
                    self.replica.receive(now, &envelope.from, message);
                }
            }
            Some(Body::LeaseAsk(request)) => self.on_lease_request(&envelope.from, inbox, &request),
            Some(Body::Proposal(p)) => self.on_proposal(inbox, p),
            Some(Body::SwitchReport(r)) => self.on_switch_report(envelope.incarnation, inbox, r),
            _ => {}
        }
    }

    /// Stores, then sends, then applies the replica's output until there is none. A message sent
    /// before the sync could acknowledge entries that a crash then loses.
    fn flush(&mut self) -> Result<()> {
        loop {
            let out = self.replica.take_output();
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
            .replica
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
                    self.complete_proposals(entry.index, &outcome);
                }
                // Every replica skips it in the same way.
                Err(_) => log::error!("cannot decode log entry {}", entry.index),
            },
        }
    }

    fn compact(&mut self) -> Result<()> {
        if self.applied < self.replica.snapshot().index + SNAPSHOT_ENTRIES {
            return Ok(());
        }
        let state = wire::State::from(&self.state).encode_to_vec();
        if let Some(snapshot) = self.replica.compact(self.applied, state) {
            let remaining = self
                .replica
                .entries_after(snapshot.index)
                .iter()
                .map(Into::into)
                .collect();
            self.store
                .replace_snapshot(&(&snapshot).into(), remaining)?;
            self.common
                .events
                .note("snapshot", format!("taken at {}", snapshot.index));
        }
        Ok(())
    }

    /// Performs the leader's periodic duties and tracks role changes.
    fn run_leader(&mut self, now: Duration) {
        let role = self.replica.role();
        if role != self.role {
            self.role = role;
            let detail = format!("{role:?} in term {}", self.replica.term());
            self.common.events.note("role", detail);
            if role == Role::Leader {
                self.leases.start(now);
                self.groups.start(self.replica.term());
            }
        }
        if role != Role::Leader {
            self.proposals.clear();
            return;
        }
        if self.replica.holds_lease(now) {
            self.propose_seed();
            self.reconcile_members();
            self.answer_in_force(now);
            self.tick_groups(now);
        }
    }

    /// Proposes the initial statements if no command was ever applied.
    fn propose_seed(&mut self) {
        let unused = self.state.revision == 0 && self.applied == self.replica.last_index();
        if !unused {
            return;
        }
        if let Some(seed) = self.seed.take() {
            let bytes = wire::Command::from(&seed).encode_to_vec();
            let proposed = self.replica.propose(bytes);
            self.common
                .events
                .note("seed", format!("proposed: {proposed:?}"));
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

/// Milliseconds until `at`, for tables.
fn remaining_ms(clock: &Clock, at: Duration) -> f64 {
    ms(at.saturating_sub(clock.now())) as f64
}

//! Domain types of the committed configuration.

use bn_group::ExpertMap;
use indexmap::{IndexMap, IndexSet};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Control log index of the last applied command.
pub type Revision = u64;
/// Name of a service.
pub type ServiceId = String;
/// Name of a client account.
pub type AccountId = String;
/// Process id of an entry.
pub type EntryId = String;
/// Name of a lock-step group.
pub type GroupId = String;
/// Id of a backend server.
pub type BackendId = String;

/// Priority of a request; higher ones are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Priority {
    /// Can wait.
    Batch,
    /// The default.
    #[default]
    Normal,
    /// For takeovers.
    Urgent,
}

impl Priority {
    /// Parses its name.
    pub fn parse(text: &str) -> Option<Priority> {
        match text {
            "batch" => Some(Priority::Batch),
            "normal" => Some(Priority::Normal),
            "urgent" => Some(Priority::Urgent),
            _ => None,
        }
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Priority::Batch => "batch",
            Priority::Normal => "normal",
            Priority::Urgent => "urgent",
        }
    }
}

/// A service that callers can request.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its backend servers are engines; otherwise it is a plain service.
    pub engine: bool,
    /// A request may run more than once unless it carries an idempotency key.
    pub repeatable: bool,
    /// Weight of a step's skew in rebalancing.
    pub skew_weight: f64,
    /// Weight of a move's pause, as a cost, in rebalancing.
    pub move_weight: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// SHA-256 of the bearer key, hexadecimal.
    pub key_hash: String,
    /// Requests per second over all entries.
    pub rate: f64,
    /// Weight among accounts of the same priority.
    pub share: u32,
    /// Highest priority that it may use.
    pub max_priority: Priority,
}

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the system's own messages are sent.
    pub inbox: SocketAddr,
    /// An operator requested that it be drained.
    pub drained: bool,
}

/// A lock-step group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The service that it serves.
    pub service: ServiceId,
    /// Number of ranks that advance together.
    pub ranks: u32,
    /// Version of the expert map in force.
    pub map_version: u64,
    /// First step that uses this map.
    pub map_step: u64,
    /// The expert map in force.
    pub map: ExpertMap,
    /// The map to switch to next, with its version.
    pub pending: Option<(u64, ExpertMap)>,
    /// Last version assigned; none is used twice.
    pub last_version: u64,
    /// Steps below this one may have been granted.
    pub reserved_until: u64,
}

/// Outcome of a numbered command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandRecord {
    /// Operator that sent it.
    pub operator: String,
    /// The sender's token.
    pub token: String,
    /// Digest of its text.
    pub digest: String,
    /// Its log index.
    pub revision: Revision,
    /// Why it was rejected; `None`: accepted.
    pub refusal: Option<String>,
}

/// The committed configuration at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    /// Revision of the last applied command.
    pub revision: Revision,
    /// By name.
    pub services: IndexMap<ServiceId, Service>,
    /// By name.
    pub accounts: IndexMap<AccountId, Account>,
    /// By process id.
    pub entries: IndexMap<EntryId, Entry>,
    /// By name.
    pub groups: IndexMap<GroupId, Group>,
    /// Backend servers that get no new work.
    pub drained: IndexSet<BackendId>,
    /// Commands by number, only the highest numbers.
    pub command_records: BTreeMap<u64, CommandRecord>,
    /// Members of the control log that operators configured, with their inboxes; the leader
    /// changes the actual membership towards them, one at a time.
    pub members: IndexMap<String, SocketAddr>,
    /// Changes with the set of entries, and therefore with the holders of claims.
    pub claim_epoch: u64,
}

impl State {
    /// The account that a key belongs to, by the hash of the key.
    pub fn account_by_hash(&self, hash: &str) -> Option<(&AccountId, &Account)> {
        self.accounts.iter().find(|(_, a)| a.key_hash == hash)
    }
}

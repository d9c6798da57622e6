//! The settled configuration as domain types.

use bn_group::ExpertMap;
use indexmap::{IndexMap, IndexSet};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Index in the control log of the last command applied.
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

/// Urgency of a request; the largest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Priority {
    /// May wait.
    Batch,
    /// The usual.
    #[default]
    Normal,
    /// Takeovers.
    Urgent,
}

impl Priority {
    /// From its name.
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

/// A service callers can ask for.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its backend servers are engines; otherwise a plain service.
    pub engine: bool,
    /// A request may run more than once unless it carries an idempotency key.
    pub repeatable: bool,
    /// Worth of a step's skew, for rebalancing.
    pub skew_weight: f64,
    /// Cost of a move's pause, for rebalancing.
    pub move_weight: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// SHA-256 of the bearer key, hexadecimal.
    pub key_hash: String,
    /// Requests a second over all entries.
    pub rate: f64,
    /// Weight among accounts of one priority.
    pub share: u32,
    /// Highest priority it may use.
    pub top: Priority,
}

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the system's own messages go.
    pub inbox: SocketAddr,
    /// An operator wants it empty.
    pub drained: bool,
}

/// A lock-step group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The service it backs.
    pub service: ServiceId,
    /// Ranks that advance together.
    pub ranks: u32,
    /// Version of the expert map in force.
    pub map_version: u64,
    /// First step that runs on it.
    pub map_step: u64,
    /// The map.
    pub map: ExpertMap,
    /// The map that is wanted next, with its version.
    pub wanted: Option<(u64, ExpertMap)>,
    /// Latest version handed out; none is used twice.
    pub versions: u64,
    /// Steps below this one may have been granted.
    pub reserved: u64,
}

/// What became of a numbered command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Who sent it.
    pub operator: String,
    /// The sender's token.
    pub token: String,
    /// Digest of its text.
    pub digest: String,
    /// Where it stands in the log.
    pub revision: Revision,
    /// Why it was refused; `None`: accepted.
    pub refusal: Option<String>,
}

/// The settled configuration at one revision.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    /// Of the last command applied.
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
    /// Commands by number, the largest numbers only.
    pub seen: BTreeMap<u64, Seen>,
    /// Members of the control log as operators want them, with their inboxes; the
    /// leader changes the log's group towards it, one at a time.
    pub members: IndexMap<String, SocketAddr>,
    /// Changes with the set of entries, and so with the holders of claims.
    pub claim_epoch: u64,
}

impl State {
    /// The account of a key, by the key's hash.
    pub fn account_by_hash(&self, hash: &str) -> Option<(&AccountId, &Account)> {
        self.accounts.iter().find(|(_, a)| a.key_hash == hash)
    }
}

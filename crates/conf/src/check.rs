//! Checked settings and their validation.

use crate::roles::{self, Coordinator, Gateway, Relay};
use crate::{Error, Result};
use bn_wire::settings as wire;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_ADDRESSES_TTL: Duration = Duration::from_secs(10);
const DEFAULT_GRANT_STEPS: u64 = 2000;
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;
const MAX_BODY_BYTES_LIMIT: u32 = 64 << 20;
/// Routing policies: the first is the project's own, the others are baselines.
pub const POLICIES: [&str; 5] = [
    "predicted",
    "random",
    "round_robin",
    "least_reported",
    "two_choices",
];
const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// An error in one field of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, such as `entry.callers`.
    pub field: String,
    /// The value found.
    pub value: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}: {}", self.field, self.value, self.remedy)
    }
}

/// Checked settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Id of this process, unique in the system.
    pub id: String,
    /// Failure domain of this process.
    pub domain: String,
    /// Address at which peers reach it for internal messages.
    pub inbox: SocketAddr,
    /// Address at which it listens for them; differs from the inbox only behind an intermediary.
    pub listen: SocketAddr,
    /// Address at which it listens for operators, metrics and announcements.
    pub operators: SocketAddr,
    /// Certificate for callers and operators; `None` for plain TCP.
    pub tls: Option<Tls>,
    /// Log level, format and event file.
    pub log: Logging,
    /// The entry role.
    pub entry: Option<Entry>,
    /// The control role.
    pub control: Option<Control>,
    /// The agent role.
    pub agent: Option<Agent>,
    /// The gateway role: forwards callers directly to backend servers.
    pub gateway: Option<Gateway>,
    /// The coordinator role: committed documents and registrations.
    pub coordinator: Option<Coordinator>,
    /// The relay role, beside an engine of a lock-step group.
    pub relay: Option<Relay>,
}

/// PEM files of a certificate chain and its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// The chain.
    pub cert: PathBuf,
    /// The key.
    pub key: PathBuf,
}

/// Settings of logs and the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logging {
    /// One of error, warn, info, debug.
    pub level: String,
    /// JSON lines instead of text.
    pub json: bool,
    /// File for the timeline's events.
    pub events: Option<PathBuf>,
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Inboxes of the control processes.
    pub control: Vec<SocketAddr>,
    /// Time for which callers may cache the answer of `/v1/addresses`.
    pub addresses_ttl: Duration,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Routing policy, one of [`POLICIES`].
    pub policy: String,
}

/// A control process and its inbox.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Process id.
    pub id: String,
    /// Its inbox.
    pub inbox: SocketAddr,
}

/// Settings of the control role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Control {
    /// The data directory.
    pub data_dir: PathBuf,
    /// The initial voters; empty for a process that joins later.
    pub peers: Vec<Peer>,
    /// File with the initial statements, run once in the lifetime of the system.
    pub seed: Option<PathBuf>,
    /// Steps that groups may run ahead of their slowest rank: the time for which they continue
    /// while no leader can be reached, and the least duration of a switch.
    pub grant_steps: u64,
}

/// Settings of the agent role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Inboxes of the entries that it attaches to at first.
    pub entries: Vec<SocketAddr>,
}

/// Parses settings from JSON text and checks them.
pub fn parse(text: &str) -> Result<Settings> {
    let mut errors = FieldErrors::default();
    let mut reader = serde_json::Deserializer::from_str(text);
    let raw: wire::Settings = serde_ignored::deserialize(&mut reader, |path| {
        errors.add(
            path.to_string(),
            "",
            "unknown field: remove it or correct its name",
        );
    })
    .map_err(|source| Error::Json { source })?;
    reader.end().map_err(|source| Error::Json { source })?;
    check(raw, errors)
}

impl TryFrom<wire::Settings> for Settings {
    type Error = Error;

    fn try_from(raw: wire::Settings) -> Result<Self> {
        check(raw, FieldErrors::default())
    }
}

/// Collects errors, so that all of them are reported at once.
#[derive(Default)]
pub(crate) struct FieldErrors(Vec<FieldError>);

impl FieldErrors {
    pub(crate) fn add(&mut self, field: impl Into<String>, value: impl Into<String>, remedy: &str) {
        self.0.push(FieldError {
            field: field.into(),
            value: value.into(),
            remedy: remedy.into(),
        });
    }

    fn check_name(&mut self, field: &str, value: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if value.is_empty() || value.len() > 64 || !value.chars().all(is_allowed) {
            self.add(
                field,
                value,
                "give 1 to 64 letters, digits, '-', '_' or '.'",
            );
        }
    }

    /// Parses an address; adds an error and returns an unused placeholder if it is invalid.
    pub(crate) fn parse_address(&mut self, field: &str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.add(
                field,
                value,
                "give an IP number and a port, such as 127.0.0.1:7100",
            );
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Parses an address that may be left empty.
    pub(crate) fn parse_optional_address(
        &mut self,
        field: &str,
        value: &str,
    ) -> Option<SocketAddr> {
        (!value.is_empty()).then(|| self.parse_address(field, value))
    }

    /// Converts a time in seconds, fractions allowed; 0 selects `default`.
    pub(crate) fn parse_seconds(&mut self, field: &str, value: f64, default: Duration) -> Duration {
        if value == 0.0 {
            return default;
        }
        Duration::try_from_secs_f64(value).unwrap_or_else(|_| {
            self.add(
                field,
                value.to_string(),
                "give a non-negative time in seconds",
            );
            default
        })
    }

    pub(crate) fn parse_addresses(&mut self, field: &str, values: &[String]) -> Vec<SocketAddr> {
        if values.is_empty() {
            self.add(field, "[]", "give at least one address");
        }
        let item = |(i, v): (usize, &String)| self.parse_address(&format!("{field}[{i}]"), v);
        values.iter().enumerate().map(item).collect()
    }
}

fn check(raw: wire::Settings, mut errors: FieldErrors) -> Result<Settings> {
    errors.check_name("id", &raw.id);
    errors.check_name("domain", &raw.domain);
    let roles = [
        raw.entry.is_some(),
        raw.control.is_some(),
        raw.agent.is_some(),
        raw.gateway.is_some(),
        raw.coordinator.is_some(),
        raw.relay.is_some(),
    ];
    if !roles.contains(&true) {
        errors.add(
            "entry, control, agent, gateway, coordinator, relay",
            "",
            "give the section of at least one role",
        );
    }
    let inbox = errors.parse_address("inbox", &raw.inbox);
    let checked = Settings {
        inbox,
        listen: match raw.listen.as_str() {
            "" => inbox,
            other => errors.parse_address("listen", other),
        },
        operators: errors.parse_address("operators", &raw.operators),
        tls: raw.tls.as_ref().map(|t| tls(t, &mut errors)),
        log: logging(raw.log.unwrap_or_default(), &mut errors),
        entry: raw.entry.map(|e| entry(&e, &mut errors)),
        control: raw.control.map(|c| control(&c, &raw.id, &mut errors)),
        agent: raw.agent.map(|a| Agent {
            entries: errors.parse_addresses("agent.entries", &a.entries),
        }),
        gateway: raw.gateway.map(|g| roles::gateway(&g, &mut errors)),
        coordinator: raw.coordinator.map(|c| roles::coordinator(&c, &mut errors)),
        relay: raw.relay.map(|r| roles::relay(&r, &mut errors)),
        id: raw.id,
        domain: raw.domain,
    };
    if errors.0.is_empty() {
        Ok(checked)
    } else {
        Err(Error::Invalid { errors: errors.0 })
    }
}

fn tls(raw: &wire::TlsSettings, errors: &mut FieldErrors) -> Tls {
    for (field, value) in [("tls.cert", &raw.cert), ("tls.key", &raw.key)] {
        if value.is_empty() {
            errors.add(field, "", "give a PEM file");
        }
    }
    Tls {
        cert: PathBuf::from(&raw.cert),
        key: PathBuf::from(&raw.key),
    }
}

fn logging(raw: wire::LogSettings, errors: &mut FieldErrors) -> Logging {
    let level = if raw.level.is_empty() {
        "info".to_string()
    } else {
        raw.level
    };
    if !LEVELS.contains(&level.as_str()) {
        errors.add("log.level", &level, "give error, warn, info or debug");
    }
    Logging {
        level,
        json: raw.json,
        events: path(raw.events),
    }
}

fn entry(raw: &wire::EntrySettings, errors: &mut FieldErrors) -> Entry {
    if raw.max_body_bytes > MAX_BODY_BYTES_LIMIT {
        let value = raw.max_body_bytes.to_string();
        errors.add("entry.max_body_bytes", value, "give at most 67108864");
    }
    let policy = match raw.policy.as_str() {
        "" => POLICIES[0],
        given => given,
    };
    if !POLICIES.contains(&policy) {
        errors.add(
            "entry.policy",
            policy,
            &format!("give one of {}", POLICIES.join(", ")),
        );
    }
    let max_body = match raw.max_body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        n => n as usize,
    };
    let addresses_ttl = match raw.addresses_ttl_ms {
        0 => DEFAULT_ADDRESSES_TTL,
        ms => Duration::from_millis(ms),
    };
    Entry {
        callers: errors.parse_address("entry.callers", &raw.callers),
        control: errors.parse_addresses("entry.control", &raw.control),
        addresses_ttl,
        max_body,
        policy: policy.to_string(),
    }
}

fn control(raw: &wire::ControlSettings, id: &str, errors: &mut FieldErrors) -> Control {
    if raw.data.is_empty() {
        errors.add("control.data", "", "give the data directory");
    }
    if !raw.peers.is_empty() && !raw.peers.iter().any(|p| p.id == id) {
        errors.add(
            "control.peers",
            id,
            "list this process among the initial voters, or leave the list empty",
        );
    }
    let peer = |(i, p): (usize, &wire::Peer)| {
        errors.check_name(&format!("control.peers[{i}].id"), &p.id);
        let inbox = errors.parse_address(&format!("control.peers[{i}].inbox"), &p.inbox);
        Peer {
            id: p.id.clone(),
            inbox,
        }
    };
    let peers = raw.peers.iter().enumerate().map(peer).collect();
    Control {
        data_dir: PathBuf::from(&raw.data),
        peers,
        seed: path(raw.seed.clone()),
        grant_steps: match raw.grant_steps {
            0 => DEFAULT_GRANT_STEPS,
            n => n,
        },
    }
}

fn path(text: String) -> Option<PathBuf> {
    (!text.is_empty()).then(|| PathBuf::from(text))
}

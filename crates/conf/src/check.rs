//! The checked settings and the checks.

use crate::roles::{self, Coordinator, Gateway, Relay};
use crate::{Error, Result};
use bn_wire::settings as wire;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const DEFAULT_TTL: Duration = Duration::from_secs(10);
const DEFAULT_GRANT_STEPS: u64 = 2000;
const DEFAULT_MAX_BODY: usize = 1 << 20;
const LARGEST_MAX_BODY: u32 = 64 << 20;
/// Routing policies: the first is the project's, the others are baselines.
pub const POLICIES: [&str; 5] = [
    "predicted",
    "random",
    "round_robin",
    "least_reported",
    "two_choices",
];
const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];

/// One thing wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `entry.callers`.
    pub field: String,
    /// The value that stands there.
    pub value: String,
    /// What would be right.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}: {}", self.field, self.value, self.remedy)
    }
}

/// Checked settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Id of this process, unique in the system.
    pub id: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Where others reach it for the system's own messages.
    pub inbox: SocketAddr,
    /// Where it listens for them: the inbox, unless something stands in between.
    pub listen: SocketAddr,
    /// Where it listens for operators, metrics and announcements.
    pub operators: SocketAddr,
    /// Certificate for callers and operators; none: plain TCP.
    pub tls: Option<Tls>,
    /// What it logs, and where.
    pub log: Logging,
    /// The entry role.
    pub entry: Option<Entry>,
    /// The control role.
    pub control: Option<Control>,
    /// The agent role.
    pub agent: Option<Agent>,
    /// Callers straight to backend servers.
    pub gateway: Option<Gateway>,
    /// Settled documents and registrations.
    pub coordinator: Option<Coordinator>,
    /// Beside an engine of a lock-step group.
    pub relay: Option<Relay>,
}

/// A certificate chain and its key, PEM files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// The chain.
    pub cert: PathBuf,
    /// The key.
    pub key: PathBuf,
}

/// Logs and the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Logging {
    /// One of error, warn, info, debug.
    pub level: String,
    /// JSON lines in place of text.
    pub json: bool,
    /// File for the time line's events.
    pub events: Option<PathBuf>,
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Inboxes of the control processes.
    pub control: Vec<SocketAddr>,
    /// How long callers may keep the answer of `/v1/addresses`.
    pub ttl: Duration,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// How it routes: one of [`POLICIES`].
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
    /// The data folder.
    pub data: PathBuf,
    /// The first voters; empty for one that joins later.
    pub peers: Vec<Peer>,
    /// File with the first statements, run once in the life of the system.
    pub seed: Option<PathBuf>,
    /// Steps that groups may run ahead of their slowest rank: so long they go on while
    /// no leader can be reached, and so long a switch takes at least.
    pub grant_steps: u64,
}

/// Settings of the agent role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Inboxes of the first entries it attaches to.
    pub entries: Vec<SocketAddr>,
}

/// Reads settings from JSON text and checks them.
pub fn parse(text: &str) -> Result<Settings> {
    let mut faults = Faults::default();
    let mut reader = serde_json::Deserializer::from_str(text);
    let raw: wire::Settings = serde_ignored::deserialize(&mut reader, |path| {
        faults.add(
            path.to_string(),
            "",
            "unknown field: remove it or mend its name",
        );
    })
    .map_err(|source| Error::Json { source })?;
    reader.end().map_err(|source| Error::Json { source })?;
    settings(raw, faults)
}

impl TryFrom<wire::Settings> for Settings {
    type Error = Error;

    fn try_from(raw: wire::Settings) -> Result<Self> {
        settings(raw, Faults::default())
    }
}

/// Collects faults, so that one run reports them all.
#[derive(Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, field: impl Into<String>, value: impl Into<String>, remedy: &str) {
        self.0.push(Fault {
            field: field.into(),
            value: value.into(),
            remedy: remedy.into(),
        });
    }

    fn name(&mut self, field: &str, value: &str) {
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if value.is_empty() || value.len() > 64 || !value.chars().all(fits) {
            self.add(
                field,
                value,
                "give 1 to 64 letters, digits, '-', '_' or '.'",
            );
        }
    }

    /// An address, or a fault and a stand-in that is never used.
    pub(crate) fn address(&mut self, field: &str, value: &str) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.add(
                field,
                value,
                "give an IP number and a port, such as 127.0.0.1:7100",
            );
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// The same where empty says that there is none.
    pub(crate) fn optional_address(&mut self, field: &str, value: &str) -> Option<SocketAddr> {
        (!value.is_empty()).then(|| self.address(field, value))
    }

    /// A time in seconds, fractions of one allowed; `default` where none is given.
    pub(crate) fn seconds(&mut self, field: &str, value: f64, default: Duration) -> Duration {
        if value == 0.0 {
            return default;
        }
        Duration::try_from_secs_f64(value).unwrap_or_else(|_| {
            self.add(field, value.to_string(), "give a time in seconds from 0 on");
            default
        })
    }

    pub(crate) fn addresses(&mut self, field: &str, values: &[String]) -> Vec<SocketAddr> {
        if values.is_empty() {
            self.add(field, "[]", "give at least one address");
        }
        let item = |(i, v): (usize, &String)| self.address(&format!("{field}[{i}]"), v);
        values.iter().enumerate().map(item).collect()
    }
}

fn settings(raw: wire::Settings, mut faults: Faults) -> Result<Settings> {
    faults.name("id", &raw.id);
    faults.name("domain", &raw.domain);
    let roles = [
        raw.entry.is_some(),
        raw.control.is_some(),
        raw.agent.is_some(),
        raw.gateway.is_some(),
        raw.coordinator.is_some(),
        raw.relay.is_some(),
    ];
    if !roles.contains(&true) {
        faults.add(
            "entry, control, agent, gateway, coordinator, relay",
            "",
            "give the section of at least one role",
        );
    }
    let inbox = faults.address("inbox", &raw.inbox);
    let checked = Settings {
        inbox,
        listen: match raw.listen.as_str() {
            "" => inbox,
            other => faults.address("listen", other),
        },
        operators: faults.address("operators", &raw.operators),
        tls: raw.tls.as_ref().map(|t| tls(t, &mut faults)),
        log: logging(raw.log.unwrap_or_default(), &mut faults),
        entry: raw.entry.map(|e| entry(&e, &mut faults)),
        control: raw.control.map(|c| control(&c, &raw.id, &mut faults)),
        agent: raw.agent.map(|a| Agent {
            entries: faults.addresses("agent.entries", &a.entries),
        }),
        gateway: raw.gateway.map(|g| roles::gateway(&g, &mut faults)),
        coordinator: raw.coordinator.map(|c| roles::coordinator(&c, &mut faults)),
        relay: raw.relay.map(|r| roles::relay(&r, &mut faults)),
        id: raw.id,
        domain: raw.domain,
    };
    if faults.0.is_empty() {
        Ok(checked)
    } else {
        Err(Error::Faults { faults: faults.0 })
    }
}

fn tls(raw: &wire::TlsSettings, faults: &mut Faults) -> Tls {
    for (field, value) in [("tls.cert", &raw.cert), ("tls.key", &raw.key)] {
        if value.is_empty() {
            faults.add(field, "", "give a PEM file");
        }
    }
    Tls {
        cert: PathBuf::from(&raw.cert),
        key: PathBuf::from(&raw.key),
    }
}

fn logging(raw: wire::LogSettings, faults: &mut Faults) -> Logging {
    let level = if raw.level.is_empty() {
        "info".to_string()
    } else {
        raw.level
    };
    if !LEVELS.contains(&level.as_str()) {
        faults.add("log.level", &level, "give error, warn, info or debug");
    }
    Logging {
        level,
        json: raw.json,
        events: path(raw.events),
    }
}

fn entry(raw: &wire::EntrySettings, faults: &mut Faults) -> Entry {
    if raw.max_body_bytes > LARGEST_MAX_BODY {
        let value = raw.max_body_bytes.to_string();
        faults.add("entry.max_body_bytes", value, "give at most 67108864");
    }
    let policy = match raw.policy.as_str() {
        "" => POLICIES[0],
        named => named,
    };
    if !POLICIES.contains(&policy) {
        faults.add(
            "entry.policy",
            policy,
            &format!("give one of {}", POLICIES.join(", ")),
        );
    }
    let max_body = match raw.max_body_bytes {
        0 => DEFAULT_MAX_BODY,
        n => n as usize,
    };
    let ttl = match raw.addresses_ttl_ms {
        0 => DEFAULT_TTL,
        ms => Duration::from_millis(ms),
    };
    Entry {
        callers: faults.address("entry.callers", &raw.callers),
        control: faults.addresses("entry.control", &raw.control),
        ttl,
        max_body,
        policy: policy.to_string(),
    }
}

fn control(raw: &wire::ControlSettings, id: &str, faults: &mut Faults) -> Control {
    if raw.data.is_empty() {
        faults.add("control.data", "", "give the data folder");
    }
    if !raw.peers.is_empty() && !raw.peers.iter().any(|p| p.id == id) {
        faults.add(
            "control.peers",
            id,
            "list this process among the first voters, or leave empty",
        );
    }
    let peer = |(i, p): (usize, &wire::Peer)| {
        faults.name(&format!("control.peers[{i}].id"), &p.id);
        let inbox = faults.address(&format!("control.peers[{i}].inbox"), &p.inbox);
        Peer {
            id: p.id.clone(),
            inbox,
        }
    };
    let peers = raw.peers.iter().enumerate().map(peer).collect();
    Control {
        data: PathBuf::from(&raw.data),
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

//! Settings of the gateway, coordinator and relay roles.

use crate::check::FieldErrors;
use bn_wire::settings as wire;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Time for a graceful stop if the settings give none.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_secs(8);
const BYTES_PER_MB: f64 = 1_048_576.0;
/// Window of the retry budget if the settings give none.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Settings of the gateway role.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which the platform checks whether it accepts callers.
    pub readiness: SocketAddr,
    /// Addresses of some coordinators; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Time from the signal to stop to forced termination.
    pub grace_period: Duration,
    /// Retries in the window, as a fraction of its requests.
    pub retry_ratio: f64,
    /// Retries in the window beyond that, over all gateways together.
    pub retry_slack: u32,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Address at which callers resolve addresses; `None` if other processes serve that.
    pub directory: Option<SocketAddr>,
    /// Requests per second that a cold backend server may get, relative to the rate that its
    /// service names.
    pub cold_ratio: f64,
    /// Requests per second that a cold backend server may get beyond that.
    pub cold_slack: f64,
    /// Memory of the process in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// What admission to lock-step groups aims at.
    pub admission: Admission,
}

/// What admission to lock-step groups aims at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Admission {
    /// Single pauses between events that stay within the allowed one.
    #[default]
    Pauses,
    /// Streams that are in time to their end.
    Streams,
}

/// Settings of the coordinator role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coordinator {
    /// Address for calls of operators and backend servers.
    pub control: SocketAddr,
    /// Address at which callers resolve addresses; `None` if gateways serve that.
    pub directory: Option<SocketAddr>,
    /// Addresses of some coordinators; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time: the seeds form the log.
    pub first_start: bool,
    /// The data directory.
    pub data_dir: PathBuf,
    /// Number of disks that may be lost at the same time.
    pub max_losses: u32,
}

/// Settings of the relay role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The engine beside the relay.
    pub engine: SocketAddr,
}

pub(crate) fn relay(raw: &wire::RelaySettings, errors: &mut FieldErrors) -> Relay {
    Relay {
        engine: errors.parse_address("relay.engine", &raw.engine),
    }
}

pub(crate) fn gateway(raw: &wire::GatewaySettings, errors: &mut FieldErrors) -> Gateway {
    for (field, value) in [
        ("gateway.cold_ratio", raw.cold_ratio),
        ("gateway.cold_slack", raw.cold_slack),
        ("gateway.memory_mb", raw.memory_mb),
    ] {
        if !(value >= 0.0 && value.is_finite()) {
            errors.add(field, value.to_string(), "give a non-negative number");
        }
    }
    if !(0.0..=1.0).contains(&raw.retry_ratio) {
        let value = raw.retry_ratio.to_string();
        errors.add("gateway.retry_ratio", value, "give a fraction from 0 to 1");
    }
    if !(raw.retry_slack >= 0.0 && raw.retry_slack.is_finite()) {
        let value = raw.retry_slack.to_string();
        errors.add(
            "gateway.retry_slack",
            value,
            "give a non-negative number of retries",
        );
    }
    Gateway {
        callers: errors.parse_address("gateway.callers", &raw.callers),
        readiness: errors.parse_address("gateway.readiness", &raw.readiness),
        seeds: errors.parse_addresses("gateway.seeds", &raw.seeds),
        grace_period: errors.parse_seconds("gateway.grace_s", raw.grace_s, DEFAULT_GRACE_PERIOD),
        retry_ratio: raw.retry_ratio,
        // A fraction of a retry is rounded down.
        retry_slack: raw.retry_slack.max(0.0) as u32,
        retry_window: errors.parse_seconds(
            "gateway.retry_window_s",
            raw.retry_window_s,
            DEFAULT_RETRY_WINDOW,
        ),
        directory: errors.parse_optional_address("gateway.directory", &raw.directory),
        cold_ratio: match raw.cold_ratio {
            0.0 => 1.0,
            ratio => ratio,
        },
        cold_slack: raw.cold_slack,
        memory_bytes: (raw.memory_mb > 0.0).then_some((raw.memory_mb * BYTES_PER_MB) as u64),
        admission: admission(&raw.admission, errors),
    }
}

fn admission(raw: &str, errors: &mut FieldErrors) -> Admission {
    match raw {
        "" | "pauses" => Admission::Pauses,
        "streams" => Admission::Streams,
        other => {
            errors.add("gateway.admission", other, "give pauses or streams");
            Admission::default()
        }
    }
}

pub(crate) fn coordinator(
    raw: &wire::CoordinatorSettings,
    errors: &mut FieldErrors,
) -> Coordinator {
    if raw.data.is_empty() {
        errors.add("coordinator.data", "", "give the data directory");
    }
    Coordinator {
        control: errors.parse_address("coordinator.control", &raw.control),
        directory: errors.parse_optional_address("coordinator.directory", &raw.directory),
        seeds: errors.parse_addresses("coordinator.seeds", &raw.seeds),
        first_start: raw.first,
        data_dir: PathBuf::from(&raw.data),
        max_losses: raw.losses,
    }
}

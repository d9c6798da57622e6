//! Settings of the gateway and coordinator roles.

use crate::check::Faults;
use bn_wire::settings as wire;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Time for a graceful stop where the settings name none.
const DEFAULT_GRACE: Duration = Duration::from_secs(8);
/// Window of the retry budget where the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

/// Settings of the gateway role.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether it takes callers.
    pub readiness: SocketAddr,
    /// Addresses of some coordinators; their ports do not matter.
    pub seeds: Vec<SocketAddr>,
    /// From the signal to stop to the forced end.
    pub grace: Duration,
    /// Second tries in the window, as a part of its requests.
    pub retry_ratio: f64,
    /// Second tries in the window beyond that, over all gateways together.
    pub retry_slack: u32,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Where callers ask for addresses; none: they ask others.
    pub directory: Option<SocketAddr>,
}

/// Settings of the coordinator role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Coordinator {
    /// Where operators and backend servers call.
    pub control: SocketAddr,
    /// Where callers ask for addresses; none: they ask gateways.
    pub directory: Option<SocketAddr>,
    /// Addresses of some coordinators; their ports do not matter.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time: the seeds form the log.
    pub first: bool,
    /// The data folder.
    pub data: PathBuf,
    /// Disks that may be lost at once.
    pub losses: u32,
}

/// Settings of the relay role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// The engine that it stands beside.
    pub engine: SocketAddr,
}

pub(crate) fn relay(raw: &wire::RelaySettings, faults: &mut Faults) -> Relay {
    Relay {
        engine: faults.address("relay.engine", &raw.engine),
    }
}

pub(crate) fn gateway(raw: &wire::GatewaySettings, faults: &mut Faults) -> Gateway {
    if !(0.0..=1.0).contains(&raw.retry_ratio) {
        let value = raw.retry_ratio.to_string();
        faults.add("gateway.retry_ratio", value, "give a part from 0 to 1");
    }
    if !(raw.retry_slack >= 0.0 && raw.retry_slack.is_finite()) {
        let value = raw.retry_slack.to_string();
        faults.add(
            "gateway.retry_slack",
            value,
            "give a number of tries from 0 on",
        );
    }
    Gateway {
        callers: faults.address("gateway.callers", &raw.callers),
        readiness: faults.address("gateway.readiness", &raw.readiness),
        seeds: faults.addresses("gateway.seeds", &raw.seeds),
        grace: faults.seconds("gateway.grace_s", raw.grace_s, DEFAULT_GRACE),
        retry_ratio: raw.retry_ratio,
        // A part of a try is none.
        retry_slack: raw.retry_slack.max(0.0) as u32,
        retry_window: faults.seconds("gateway.retry_window_s", raw.retry_window_s, DEFAULT_WINDOW),
        directory: faults.optional_address("gateway.directory", &raw.directory),
    }
}

pub(crate) fn coordinator(raw: &wire::CoordinatorSettings, faults: &mut Faults) -> Coordinator {
    if raw.data.is_empty() {
        faults.add("coordinator.data", "", "give the data folder");
    }
    Coordinator {
        control: faults.address("coordinator.control", &raw.control),
        directory: faults.optional_address("coordinator.directory", &raw.directory),
        seeds: faults.addresses("coordinator.seeds", &raw.seeds),
        first: raw.first,
        data: PathBuf::from(&raw.data),
        losses: raw.losses,
    }
}

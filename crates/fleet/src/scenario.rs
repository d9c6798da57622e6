//! One run of the simulation: all processes start at once, then nothing changes for a time, then
//! changes come one by one.

use crate::simulation::{FleetSpec, Simulation};
use crate::traffic::TrafficRate;
use bn_registry::CONTACT_INTERVAL;
use std::time::Duration;

/// Time over which the first backend servers announce themselves.
const STARTUP: Duration = Duration::from_secs(5);
const IDLE: Duration = Duration::from_secs(10);
/// Number of changes after the idle time, and the time between two of them.
const CHANGES: usize = 50;
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the last change for it to reach all gateways.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Results of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Peak rates of a coordinator and of a gateway while the fleet is starting up.
    pub startup: (TrafficRate, TrafficRate),
    /// The same while no registration changes.
    pub idle: (TrafficRate, TrafficRate),
    /// The same while registrations change.
    pub changes: (TrafficRate, TrafficRate),
    /// Peak rate of a coordinator's reports of contacts, sent and received, while all servers announce
    /// themselves again and again.
    pub contacts: TrafficRate,
    /// Mean number of copies of one registration that one gateway received.
    pub mean_copies: f64,
    /// Longest time until a gateway learned of a backend server; `None` if one never did.
    pub max_delay: Option<Duration>,
}

/// Rate of contact reports. Gateways get none, so that there are none here.
fn contact_rate(seed: u64, spec: FleetSpec, servers: usize) -> TrafficRate {
    let coordinators = spec.coordinators;
    let mut simulation = Simulation::new(
        seed,
        FleetSpec {
            gateways: 0,
            ..spec
        },
    );
    for number in 0..servers {
        simulation.start_server(number, 1, number % coordinators.max(1));
    }
    simulation.run(CONTACT_INTERVAL);
    simulation.reset_counts();
    simulation.run(4 * CONTACT_INTERVAL);
    simulation.contact_rate()
}

/// Simulates a fleet that has this many backend servers.
pub fn run_scenario(seed: u64, spec: FleetSpec, servers: usize) -> Report {
    let mut simulation = Simulation::new(seed, spec);
    let interval = STARTUP / servers.max(1) as u32;
    for number in 0..servers {
        simulation.announce(number);
        simulation.run(interval);
    }
    let startup = simulation.peak_rates();
    simulation.run(SETTLE_TIME);
    simulation.reset_counts();
    simulation.run(IDLE);
    let idle = simulation.peak_rates();
    simulation.reset_counts();
    for number in 0..CHANGES {
        simulation.announce(servers + number);
        simulation.run(CHANGE_INTERVAL);
    }
    let changes = simulation.peak_rates();
    simulation.run(SETTLE_TIME);
    let contacts = contact_rate(seed, spec, servers);
    Report {
        contacts,
        startup,
        idle,
        changes,
        mean_copies: simulation.mean_copies(),
        max_delay: simulation.max_delay(),
    }
}

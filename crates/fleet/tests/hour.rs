//! A calm hour of backend servers that announce themselves to one coordinator each, and what happens
//! then: longer than every timeout of the control plane but the retention of cases.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_fleet::{FleetSpec, Simulation};
use googletest::prelude::*;
use std::time::Duration;

const COORDINATORS: usize = 5;
const GATEWAYS: usize = 6;
const SERVERS: usize = 20;
const HOUR: Duration = Duration::from_secs(3_600);
/// What nobody hears of for this long is forgotten: the timeout, and some for it to be told.
const FORGOTTEN: Duration = Duration::from_secs(75);

fn fleet(seed: u64, loss_rate: f64) -> Simulation {
    let spec = FleetSpec {
        gateways: GATEWAYS,
        coordinators: COORDINATORS,
        loss_rate,
    };
    let mut simulation = Simulation::new(seed, spec);
    for number in 0..SERVERS {
        simulation.start_server(number, 1, number % COORDINATORS);
    }
    simulation.run(Duration::from_secs(5));
    simulation
}

/// Guards against live backend servers that are forgotten by all coordinators but one a minute
/// after the start.
#[googletest::test]
fn after_a_calm_hour_all_are_known() {
    for (seed, loss_rate) in [(1, 0.0), (2, 0.1)] {
        let mut simulation = fleet(seed, loss_rate);

        simulation.run(HOUR);
        simulation.start_gateway();
        simulation.run(Duration::from_secs(5));

        for number in 0..SERVERS {
            let knowing = simulation.knowing(number);
            expect_that!(knowing, eq((COORDINATORS, GATEWAYS + 1)), "seed {seed}");
        }
    }
}

/// Guards against dead backend servers that coordinators remind each other of, and that gateways
/// never forget.
#[googletest::test]
fn what_nobody_hears_of_is_forgotten_by_all() {
    let mut simulation = fleet(3, 0.0);
    simulation.run(Duration::from_secs(120));

    simulation.crash_server(0);
    simulation.run(Duration::from_secs(30));
    simulation.restart(1);
    simulation.run(Duration::from_secs(20));

    simulation.restart(2);
    let before = simulation.knowing(0);
    simulation.run(FORGOTTEN - Duration::from_secs(50));
    simulation.run(Duration::from_secs(60));

    expect_that!(before.1, eq(GATEWAYS));
    expect_that!(simulation.knowing(0), eq((0, 0)));
    expect_that!(simulation.knowing(1), eq((COORDINATORS, GATEWAYS)));
}

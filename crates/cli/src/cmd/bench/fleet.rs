//! `bench fleet`: traffic of the control plane at sizes too large for any available machine,
//! from the model in `bn-fleet`.

use super::table;
use crate::error::CliResult;
use bn_fleet::{FleetSpec, Report, TrafficRate, run_scenario};
use bn_registry::{Registry, SharedRecord};
use std::time::{Duration, Instant};

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch bench fleet --sizes 6,427,854,1708")]
pub(crate) struct Args {
    /// Numbers of gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 147, 427, 854, 1708])]
    sizes: Vec<usize>,
    /// Number of coordinators.
    #[arg(long, default_value_t = 9)]
    coordinators: usize,
    /// Number of backend servers that announce themselves at the start.
    #[arg(long, default_value_t = 594)]
    servers: usize,
    /// Fraction of the messages that is lost.
    #[arg(long, default_value_t = 0.0)]
    lost: f64,
    /// Random seed of delays and losses.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let mut t = table(&[
        "gateways",
        "copies",
        "known by all, ms",
        "coordinator: start, KB/s",
        "calm, msg/s; KB/s",
        "changes, msg/s; KB/s",
        "gateway: start, KB/s",
        "calm, msg/s; KB/s",
        "changes, msg/s; KB/s",
        "contacts, msg/s; KB/s",
        "s to play",
    ]);
    for gateways in &args.sizes {
        let started = Instant::now();
        let spec = FleetSpec {
            gateways: *gateways,
            coordinators: args.coordinators,
            loss_rate: args.lost.clamp(0.0, 1.0),
        };
        let report = run_scenario(args.seed, spec, args.servers);
        t.add_row(row(*gateways, &report, started));
    }
    println!("{t}");
    let contact = contact_cost(args.servers, args.coordinators);
    println!("A reported contact: {contact:.2} us to collect and to merge.");
    println!("Busiest instance of each role, sent and received; the transport adds to it.");
    Ok(())
}

/// Microseconds that a coordinator takes for each contact that it reports, or that is reported to it.
fn contact_cost(servers: usize, coordinators: usize) -> f64 {
    let now = Duration::from_secs(100);
    let (mut own, mut other) = (Registry::default(), Registry::default());
    let share = servers / coordinators.max(1);
    for number in 0..servers {
        let record = bn_fleet::record(number, 1);
        other.announce(now, record.clone());
        match number < share {
            true => own.announce(now, record),
            false => own.merge(now, SharedRecord::announced(record)),
        };
    }
    let started = Instant::now();
    let contacts = own.take_contacts(now);
    for contact in &contacts {
        other.record_contact(now, contact);
    }
    started.elapsed().as_secs_f64() * 1e6 / contacts.len().max(1) as f64
}

fn row(gateways: usize, report: &Report, started: Instant) -> Vec<String> {
    let kilobytes = |load: TrafficRate| format!("{:.1}", load.bytes / 1e3);
    let rates = |load: TrafficRate| format!("{:.1}; {:.2}", load.messages, load.bytes / 1e3);
    vec![
        gateways.to_string(),
        format!("{:.2}", report.mean_copies),
        report
            .max_delay
            .map_or("never".into(), |t| t.as_millis().to_string()),
        kilobytes(report.startup.0),
        rates(report.idle.0),
        rates(report.changes.0),
        kilobytes(report.startup.1),
        rates(report.idle.1),
        rates(report.changes.1),
        rates(report.contacts),
        format!("{:.1}", started.elapsed().as_secs_f64()),
    ]
}

//! `bench fleet`: what the control plane exchanges at sizes that no machine here holds, by the model
//! of `bn-fleet`.

use super::table;
use crate::error::CliResult;
use bn_fleet::{FleetSpec, Report, TrafficRate, run_scenario};
use std::time::Instant;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch bench fleet --sizes 6,427,854,1708")]
pub(crate) struct Args {
    /// Gateways.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 147, 427, 854, 1708])]
    sizes: Vec<usize>,
    /// Coordinators.
    #[arg(long, default_value_t = 9)]
    coordinators: usize,
    /// Backend servers that announce themselves at the start.
    #[arg(long, default_value_t = 594)]
    servers: usize,
    /// Part of the messages that is lost.
    #[arg(long, default_value_t = 0.0)]
    lost: f64,
    /// Seed of delays and losses.
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
        "s to play",
    ]);
    for gateways in &args.sizes {
        let began = Instant::now();
        let shape = FleetSpec {
            gateways: *gateways,
            coordinators: args.coordinators,
            loss_rate: args.lost.clamp(0.0, 1.0),
        };
        let report = run_scenario(args.seed, shape, args.servers);
        t.add_row(row(*gateways, &report, began));
    }
    println!("{t}");
    println!("Busiest instance of each role, sent and received; the transport adds to it.");
    Ok(())
}

fn row(gateways: usize, report: &Report, began: Instant) -> Vec<String> {
    let start = |load: TrafficRate| format!("{:.1}", load.bytes / 1e3);
    let both = |load: TrafficRate| format!("{:.1}; {:.2}", load.messages, load.bytes / 1e3);
    vec![
        gateways.to_string(),
        format!("{:.2}", report.mean_copies),
        report
            .max_delay
            .map_or("never".into(), |t| t.as_millis().to_string()),
        start(report.startup.0),
        both(report.idle.0),
        both(report.changes.0),
        start(report.startup.1),
        both(report.idle.1),
        both(report.changes.1),
        format!("{:.1}", began.elapsed().as_secs_f64()),
    ]
}

//! `buckthornnotch bench NAME`: measures a running system or the policies alone. Loads
//! and figures are for comparison on one machine; each table says what it counted.

mod claim;
mod control;
mod fleet;
mod group;
mod load;
mod page;

use crate::error::CliResult;
use clap::Subcommand;

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    bench: Bench,
}

#[derive(Subcommand)]
enum Bench {
    /// Send a steady load to callers' addresses, or straight to backend servers.
    Load(load::Args),
    /// Cost of control against the number of nodes, and the time to being in force.
    Control(control::Args),
    /// What coordinators and gateways exchange at any size, by a model.
    Fleet(fleet::Args),
    /// The balancing policy on drifting expert loads, against its baselines.
    Group(group::Args),
    /// Claims of idempotency keys: rate and memory of a holder, time of a claim.
    Claim(claim::Args),
}

pub(crate) fn run(args: &Args) -> CliResult {
    match &args.bench {
        Bench::Load(args) => load::run(args),
        Bench::Control(args) => control::run(args),
        Bench::Fleet(args) => fleet::run(args),
        Bench::Group(args) => group::run(args),
        Bench::Claim(args) => claim::run(args),
    }
}

/// A table for people.
fn table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header.iter().copied());
    table
}

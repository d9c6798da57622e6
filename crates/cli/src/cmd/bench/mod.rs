//! `buckthornnotch bench NAME`: benchmarks a running system, or the policies in isolation. Loads
//! and figures are for comparison on one machine; each table states what it counted.

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
    /// Send a steady load to callers' addresses, or directly to backend servers.
    Load(load::Args),
    /// Cost of control by number of nodes, and the time until a command is in force.
    Control(control::Args),
    /// Traffic of coordinators and gateways at any size, from a model.
    Fleet(fleet::Args),
    /// The balancing policy on drifting expert loads, compared with its baselines.
    Group(group::Args),
    /// Claims of idempotency keys: rate and memory use of a holder, time per claim.
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

/// An empty table in Markdown.
fn table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header.iter().copied());
    table
}

//! `buckthornnotch bench NAME`: measures a running system or the policies alone.

use crate::error::CliResult;
use clap::Subcommand;

#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(subcommand)]
    bench: Bench,
}

#[derive(Subcommand)]
enum Bench {}

pub(crate) fn run(args: &Args) -> CliResult {
    match args.bench {}
}

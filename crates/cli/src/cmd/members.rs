//! `buckthornnotch members`: lists the coordinators that replicate the log, as known to one.

use crate::error::CliResult;
use crate::http;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch members --at 10.1.0.42:9464")]
pub(crate) struct Args {
    /// Operators' address of any coordinator.
    #[arg(long)]
    at: String,
}

pub(crate) fn run(args: &Args) -> CliResult {
    http::print_page(&args.at, bn_coordinator::MEMBERS)
}

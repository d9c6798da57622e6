//! `buckthornnotch members`: which coordinators keep the log, as one of them knows it.

use crate::error::{CliResult, HttpSnafu};
use crate::http;
use std::time::Duration;

/// The coordinator answers from memory.
const WITHIN: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch members --at 10.1.0.42:9464")]
pub(crate) struct Args {
    /// Operators' address of any coordinator.
    #[arg(long)]
    at: String,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let url = http::url(&args.at, bn_coordinator::MEMBERS);
    let got = http::get(&url, WITHIN)?;
    if got.status != 200 {
        let reason = format!("status {}: {}", got.status, got.text);
        return HttpSnafu { url, reason }.fail();
    }
    println!("{}", got.text);
    Ok(())
}

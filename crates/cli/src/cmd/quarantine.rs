//! `buckthornnotch quarantine`: which requests are refused since backend servers ended under them, and
//! an operator's word for one of them.

use crate::error::{CliResult, FailedSnafu, HttpSnafu};
use crate::http;
use std::time::Duration;

/// The coordinator answers from memory.
const WITHIN: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  buckthornnotch quarantine --at 10.1.0.42:9464\n  \
    buckthornnotch quarantine --at 10.1.0.42:9464 --pardon 5f1c07a2e4402b7d91bd3f0600c3a9d8"
)]
pub(crate) struct Args {
    /// Operators' address of any coordinator.
    #[arg(long)]
    at: String,
    /// Digest of a request that is to be sent again.
    #[arg(long)]
    pardon: Option<String>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let page = bn_coordinator::QUARANTINE;
    let (url, got) = match &args.pardon {
        None => {
            let url = http::url(&args.at, page);
            let got = http::get(&url, WITHIN)?;
            (url, got)
        }
        Some(digest) => {
            let url = http::url(&args.at, &format!("{page}/{digest}"));
            let got = http::delete(&url, WITHIN)?;
            (url, got)
        }
    };
    match got.status {
        200 => println!("{}", got.text),
        404 => {
            let reason = "nothing is held against that request here".to_string();
            return FailedSnafu { reason }.fail();
        }
        status => {
            let reason = format!("status {status}: {}", got.text);
            return HttpSnafu { url, reason }.fail();
        }
    }
    Ok(())
}

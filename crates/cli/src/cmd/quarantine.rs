//! `buckthornnotch quarantine`: lists the requests that are refused because backend servers
//! terminated while running them, and lets an operator pardon one.

use crate::error::{CliResult, FailedSnafu, HttpSnafu};
use crate::http;
use std::time::Duration;

/// Timeout of a request; the coordinator answers from memory.
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  buckthornnotch quarantine --at 10.1.0.42:9464\n  \
    buckthornnotch quarantine --at 10.1.0.42:9464 --pardon 5f1c07a2e4402b7d91bd3f0600c3a9d8"
)]
pub(crate) struct Args {
    /// Operators' address of any coordinator.
    #[arg(long)]
    at: String,
    /// Digest of a request that may be sent to backend servers again.
    #[arg(long)]
    pardon: Option<String>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let page = bn_coordinator::QUARANTINE;
    let (url, reply) = match &args.pardon {
        None => {
            let url = http::url(&args.at, page);
            let reply = http::get(&url, TIMEOUT)?;
            (url, reply)
        }
        Some(digest) => {
            let url = http::url(&args.at, &format!("{page}/{digest}"));
            let reply = http::delete(&url, TIMEOUT)?;
            (url, reply)
        }
    };
    match reply.status {
        200 => println!("{}", reply.text),
        404 => {
            let reason = "this coordinator has no quarantine case for that request".to_string();
            return FailedSnafu { reason }.fail();
        }
        status => {
            let reason = format!("status {status}: {}", reply.text);
            return HttpSnafu { url, reason }.fail();
        }
    }
    Ok(())
}

//! `buckthornnotch evacuations`: lists the evacuated failure domains, or starts or ends an evacuation.

use crate::error::{CliResult, HttpSnafu};
use crate::http;
use std::time::Duration;

/// Timeout of an order; a coordinator answers within a second.
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  buckthornnotch evacuations --at 10.1.0.42:9464\n  \
    buckthornnotch evacuations --at 10.1.0.42:9464 --start zone-b"
)]
pub(crate) struct Args {
    /// Operators' address of any coordinator.
    #[arg(long)]
    at: String,
    /// Failure domain that gets no more requests.
    #[arg(long, conflicts_with = "end")]
    start: Option<String>,
    /// Failure domain that gets requests again.
    #[arg(long)]
    end: Option<String>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let page = bn_coordinator::EVACUATIONS;
    let order_url = |name: &str| http::url(&args.at, &format!("{page}/{name}"));
    let (url, reply) = match (&args.start, &args.end) {
        (Some(name), _) => {
            let url = order_url(name);
            let reply = http::post(&url, "", TIMEOUT)?;
            (url, reply)
        }
        (None, Some(name)) => {
            let url = order_url(name);
            let reply = http::delete(&url, TIMEOUT)?;
            (url, reply)
        }
        (None, None) => return http::print_page(&args.at, page),
    };
    if reply.status != 200 {
        let reason = match reply.status {
            503 => "not known to be in force: try again, at any coordinator".to_string(),
            status => format!("status {status}: {}", reply.text),
        };
        return HttpSnafu { url, reason }.fail();
    }
    println!("{}", reply.text);
    Ok(())
}

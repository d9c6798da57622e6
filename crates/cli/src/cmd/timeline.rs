//! `buckthornnotch timeline FILE|ADDRESS...`: merges the events of files and of running
//! processes into one timeline, as text or for a trace viewer.

use crate::error::{CliResult, Error};
use crate::http;
use bn_trace::{Event, merge, read_lines, to_chrome, to_text};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    buckthornnotch timeline run/*.events 127.0.0.1:7201 --chrome > trace.json")]
pub(crate) struct Args {
    /// Event files, and operators' addresses of running processes.
    #[arg(required = true)]
    sources: Vec<String>,
    /// Print the Chrome trace format.
    #[arg(long)]
    chrome: bool,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let mut events = Vec::new();
    for source in &args.sources {
        events.extend(match source.parse::<SocketAddr>() {
            Ok(_) => fetch_events(source)?,
            Err(_) => read_lines(Path::new(source))?,
        });
    }
    let events = merge(events);
    match args.chrome {
        true => println!("{}", to_chrome(&events)),
        false => print!("{}", to_text(&events)),
    }
    Ok(())
}

fn fetch_events(address: &str) -> CliResult<Vec<Event>> {
    let url = http::url(address, "/v1/events");
    let reply = http::get(&url, TIMEOUT)?;
    serde_json::from_str(&reply.text).map_err(|e| Error::Http {
        url,
        reason: format!("response is not a list of events: {e}"),
    })
}

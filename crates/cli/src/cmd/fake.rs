//! `buckthornnotch fake`: a stand-in backend server that announces itself to an agent
//! and keeps a record of what it ran.

use crate::error::{CliResult, IoSnafu};
use bn_fake::{Fake, Kind};
use clap::ValueEnum;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Clone, Copy, ValueEnum)]
enum Stand {
    Engine,
    Plain,
}

#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    buckthornnotch fake --kind engine --name n1 --service notice-gen \
--listen 127.0.0.1:7501 --agent 127.0.0.1:7401\n  \
    curl -d 1.5 127.0.0.1:7501/fake/limit   # rest SECONDS, say-leaving, stall MS, leave, die")]
pub(crate) struct Args {
    /// What it stands for.
    #[arg(long, value_enum, default_value = "engine")]
    kind: Stand,
    /// Its id.
    #[arg(long)]
    name: String,
    /// Its service.
    #[arg(long)]
    service: String,
    /// Its lock-step group.
    #[arg(long, default_value = "")]
    group: String,
    /// Its rank in the group.
    #[arg(long, default_value_t = 0)]
    rank: u32,
    /// Where it serves.
    #[arg(long)]
    listen: SocketAddr,
    /// Operators' address of its agent.
    #[arg(long)]
    agent: Option<SocketAddr>,
    /// Where coordinators take announcements, for gateways that send it requests themselves.
    #[arg(long)]
    control: Option<SocketAddr>,
    /// Requests it runs at once.
    #[arg(long, default_value_t = 16)]
    capacity: u32,
    /// Milliseconds of a step.
    #[arg(long, default_value_t = 5)]
    step_ms: u64,
    /// Milliseconds by which its load reports lag.
    #[arg(long, default_value_t = 0)]
    lag_ms: u64,
    /// It refuses orders with old fencing numbers.
    #[arg(long)]
    fences: bool,
    /// Milliseconds to load the weights of an expert map.
    #[arg(long, default_value_t = 200)]
    load_ms: u64,
    /// Write each step into the record.
    #[arg(long)]
    record_steps: bool,
    /// File for its record, JSON lines.
    #[arg(long)]
    record: Option<PathBuf>,
    /// A request whose body holds this text ends the process.
    #[arg(long)]
    fatal: Option<String>,
}

pub(crate) fn run(args: Args) -> CliResult {
    let fake = Fake {
        kind: match args.kind {
            Stand::Engine => Kind::Engine,
            Stand::Plain => Kind::Plain,
        },
        name: args.name,
        service: args.service,
        group: args.group,
        rank: args.rank,
        listen: args.listen,
        agent: args.agent,
        control: args.control,
        capacity: args.capacity,
        step_time: Duration::from_millis(args.step_ms.max(1)),
        load_lag: Duration::from_millis(args.lag_ms),
        checks_fences: args.fences,
        load_time: Duration::from_millis(args.load_ms),
        record_steps: args.record_steps,
        record: args.record,
        fatal_text: args.fatal,
    };
    bn_fake::run(fake).context(IoSnafu { what: "fake" })
}

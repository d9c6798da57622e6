//! `buckthornnotch fake`: a fake backend server that announces itself to an agent and
//! records what it ran.

use crate::error::{CliResult, IoSnafu};
use bn_fake::{Fake, Kind};
use clap::ValueEnum;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Clone, Copy, ValueEnum)]
enum FakeKind {
    Engine,
    Plain,
}

#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    buckthornnotch fake --kind engine --name n1 --service notice-gen \
--listen 127.0.0.1:7501 --agent 127.0.0.1:7401\n  \
    curl -d 1.5 127.0.0.1:7501/fake/limit   # rest SECONDS, cold MS, say-leaving, stall MS, leave, die")]
pub(crate) struct Args {
    /// Kind of backend server.
    #[arg(long, value_enum, default_value = "engine")]
    kind: FakeKind,
    /// Id of the backend server.
    #[arg(long)]
    name: String,
    /// Name of its service.
    #[arg(long)]
    service: String,
    /// Name of its lock-step group.
    #[arg(long, default_value = "")]
    group: String,
    /// Its rank in that group.
    #[arg(long, default_value_t = 0)]
    rank: u32,
    /// Address that it listens on.
    #[arg(long)]
    listen: SocketAddr,
    /// Operators' address of its agent.
    #[arg(long)]
    agent: Option<SocketAddr>,
    /// Where coordinators accept announcements, for gateways that send it requests directly.
    #[arg(long)]
    control: Option<SocketAddr>,
    /// Number of requests that it runs concurrently.
    #[arg(long, default_value_t = 16)]
    capacity: u32,
    /// Duration of a step in milliseconds.
    #[arg(long, default_value_t = 5)]
    step_ms: u64,
    /// Delay of its load reports in milliseconds.
    #[arg(long, default_value_t = 0)]
    lag_ms: u64,
    /// Refuse orders with old fencing tokens.
    #[arg(long)]
    fences: bool,
    /// Time to load the weights of an expert map in milliseconds.
    #[arg(long, default_value_t = 200)]
    load_ms: u64,
    /// Write each step to the record.
    #[arg(long)]
    record_steps: bool,
    /// File for its record, in JSON lines.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Terminate the process on a request whose body contains this text.
    #[arg(long)]
    fatal: Option<String>,
    /// Time for which it is cold from its start on, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
}

pub(crate) fn run(args: Args) -> CliResult {
    let fake = Fake {
        kind: match args.kind {
            FakeKind::Engine => Kind::Engine,
            FakeKind::Plain => Kind::Plain,
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
        cold_time: Duration::from_millis(args.cold_ms),
    };
    bn_fake::run(fake).context(IoSnafu { name: "fake" })
}

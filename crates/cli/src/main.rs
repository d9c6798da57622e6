//! buckthornnotch: a load balancer for expert-parallel model groups. This file only
//! dispatches; each command has a file in `cmd`.

mod cmd;
mod error;
mod http;
mod lines;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "buckthornnotch",
    version,
    about = "Load balancer for expert-parallel model groups"
)]
struct Cli {
    /// Connect by TLS and trust the certificate in this PEM file.
    #[arg(long, global = true)]
    ca: Option<std::path::PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one process with the roles that its settings list.
    Run(cmd::run::Args),
    /// Check a settings file; changes nothing.
    Check(cmd::check::Args),
    /// Ask and command a running system in the operator language.
    Ctl(cmd::ctl::Args),
    /// Merge the events of many processes into one time line.
    Timeline(cmd::timeline::Args),
    /// Tell the story of one request from the logs of several processes.
    Explain(cmd::explain::Args),
    /// Count late and refused requests by time and cause, from logs.
    Losses(cmd::losses::Args),
    /// Show which requests end backend servers and are refused, or vouch for one.
    Quarantine(cmd::quarantine::Args),
    /// Show which backend servers name a limit.
    Limits(cmd::limits::Args),
    /// Show which coordinators keep the log.
    Members(cmd::members::Args),
    /// Send one request of each kind through a running system.
    Demo(cmd::demo::Args),
    /// Measure a running system, or the policies alone.
    Bench(cmd::bench::Args),
    /// A stand-in backend server for tries and tests.
    Fake(cmd::fake::Args),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let trusted = cli.ca.as_deref().map_or(Ok(()), http::trust);
    let done = trusted.and_then(|()| dispatch(cli.command));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.code())
        }
    }
}

fn dispatch(command: Command) -> error::CliResult {
    match command {
        Command::Run(args) => cmd::run::run(&args),
        Command::Check(args) => cmd::check::run(&args),
        Command::Ctl(args) => cmd::ctl::run(&args),
        Command::Timeline(args) => cmd::timeline::run(&args),
        Command::Explain(args) => cmd::explain::run(&args),
        Command::Losses(args) => cmd::losses::run(&args),
        Command::Quarantine(args) => cmd::quarantine::run(&args),
        Command::Limits(args) => cmd::limits::run(&args),
        Command::Members(args) => cmd::members::run(&args),
        Command::Demo(args) => cmd::demo::run(&args),
        Command::Bench(args) => cmd::bench::run(&args),
        Command::Fake(args) => cmd::fake::run(args),
    }
}

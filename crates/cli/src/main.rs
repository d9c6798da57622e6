//! buckthornnotch: a load balancer for expert-parallel model groups. Dispatches to the
//! commands, one module each in `cmd`.

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
    /// Connect over TLS and trust the certificate in this PEM file.
    #[arg(long, global = true)]
    ca: Option<std::path::PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one process with the roles listed in its settings.
    Run(cmd::run::Args),
    /// Validate a settings file without applying it.
    Check(cmd::check::Args),
    /// Query and control a running system with statements of the operator language.
    Ctl(cmd::ctl::Args),
    /// Merge the events of many processes into one timeline.
    Timeline(cmd::timeline::Args),
    /// Show the history of one request from the logs of several processes.
    Explain(cmd::explain::Args),
    /// Count late and refused requests in logs by time and cause.
    Losses(cmd::losses::Args),
    /// List the requests refused because they terminate backend servers, or pardon one.
    Quarantine(cmd::quarantine::Args),
    /// List the backend servers that declare a limit.
    Limits(cmd::limits::Args),
    /// List the evacuated failure domains, or start or end an evacuation.
    Evacuations(cmd::evacuations::Args),
    /// List the coordinators that replicate the log.
    Members(cmd::members::Args),
    /// Send one request of each kind through a running system.
    Demo(cmd::demo::Args),
    /// Benchmark a running system, or the policies in isolation.
    Bench(cmd::bench::Args),
    /// Run a fake backend server for experiments and tests.
    Fake(cmd::fake::Args),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ca = cli.ca.as_deref().map_or(Ok(()), http::set_ca);
    let result = ca.and_then(|()| dispatch(cli.command));
    match result {
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
        Command::Evacuations(args) => cmd::evacuations::run(&args),
        Command::Members(args) => cmd::members::run(&args),
        Command::Demo(args) => cmd::demo::run(&args),
        Command::Bench(args) => cmd::bench::run(&args),
        Command::Fake(args) => cmd::fake::run(args),
    }
}

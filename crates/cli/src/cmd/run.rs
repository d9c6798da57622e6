//! `buckthornnotch run --settings FILE`: runs one process until SIGTERM or SIGINT. Either
//! starts a graceful stop; a second one exits at once. SIGHUP reloads the settings.

use crate::error::{CliResult, IoSnafu};
use bn_conf::{Coordinator, Gateway, Relay, Settings};
use bn_trace::{Lines, Metrics};
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// Exit code after a second signal.
const FORCED_EXIT: i32 = 130;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch run --settings examples/local/e1.json")]
pub(crate) struct Args {
    /// Settings file of this process, in JSON.
    #[arg(long)]
    settings: PathBuf,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let conf = bn_conf::load(&args.settings)?;
    let result = match (&conf.gateway, &conf.coordinator, &conf.relay) {
        (Some(gateway), ..) => run_gateway(&conf, gateway)?,
        (_, Some(coordinator), _) => run_coordinator(&conf, coordinator, &args.settings)?,
        (.., Some(relay)) => run_relay(&conf, relay)?,
        _ => run_node(&conf)?,
    };
    if let Err(e) = &result {
        eprintln!("{e}");
    }
    // On a normal exit the C library of the links destroys its locks while its threads
    // still use them, which occasionally aborted the process after a graceful stop. Nothing
    // is buffered at this point, so the exit handlers are skipped.
    signal_hook::low_level::exit(i32::from(result.is_err()))
}

/// How a role exited; its error is printed.
type Exit = Result<(), String>;

fn run_node(conf: &Settings) -> CliResult<Exit> {
    bn_trace::start_log(&conf.id, &conf.log.level, conf.log.json)?;
    let metrics = bn_trace::start_metrics()?;
    let handle = bn_node::start(conf, metrics)?;
    let stopper = handle.stopper();
    on_signals(stopper, || {})?;
    Ok(handle.wait().map_err(|e| e.to_string()))
}

fn run_gateway(conf: &Settings, gateway: &Gateway) -> CliResult<Exit> {
    let (lines, metrics) = start_lines(conf)?;
    let handle = bn_gateway::start(conf, gateway, lines.clone())?;
    bn_node::serve_metrics(conf.operators, metrics, Vec::new())?;
    lines.put(
        "started",
        json!({ "role": "gateway", "domain": conf.domain }),
    );
    let reload = move || lines.put("reloaded", json!({ "changed": [] }));
    on_signals(handle.stopper(), reload)?;
    Ok(handle.wait().map_err(|e| e.to_string()))
}

fn run_relay(conf: &Settings, relay: &Relay) -> CliResult<Exit> {
    let (lines, metrics) = start_lines(conf)?;
    let handle = bn_engine::start(conf, relay, lines.clone())?;
    bn_node::serve_metrics(conf.operators, metrics, Vec::new())?;
    let fields = json!({ "role": "relay", "domain": conf.domain, "engine": relay.engine });
    lines.put("started", fields);
    let reload = move || lines.put("reloaded", json!({ "changed": [] }));
    on_signals(handle.stopper(), reload)?;
    Ok(handle.wait())
}

fn run_coordinator(conf: &Settings, coordinator: &Coordinator, file: &Path) -> CliResult<Exit> {
    let (lines, metrics) = start_lines(conf)?;
    let (events, thread) = bn_coordinator::start(conf, coordinator, lines.clone())?;
    let pages = Box::new(bn_coordinator::pages(events.clone()));
    bn_node::serve_metrics(conf.operators, metrics, vec![pages])?;
    lines.put(
        "started",
        json!({ "role": "coordinator", "domain": conf.domain }),
    );
    let stop = events.clone();
    let stopper = move || send(&stop, bn_coordinator::Event::Stop);
    let file = file.to_path_buf();
    let reload = move || match bn_conf::load(&file).map(|c| c.coordinator) {
        Ok(Some(c)) => {
            lines.put("reloaded", json!({ "changed": ["coordinator.seeds"] }));
            send(&events, bn_coordinator::Event::SeedsChanged(c.seeds));
        }
        Ok(None) => log::error!("settings not reloaded: the coordinator section is missing"),
        Err(e) => log::error!("settings not reloaded: {e}"),
    };
    on_signals(stopper, reload)?;
    let result = thread.join();
    Ok(result
        .map_err(|_| "the coordinator thread panicked".to_string())
        .and_then(|e| e.map_err(|e| e.to_string())))
}

fn send(events: &bn_coordinator::EventSender, event: bn_coordinator::Event) {
    if !events.send(event) {
        log::info!("event not delivered: the coordinator has stopped or is too busy");
    }
}

fn start_lines(conf: &Settings) -> CliResult<(Lines, Metrics)> {
    let lines = Lines::start(&conf.id).context(IoSnafu { name: "log writer" })?;
    bn_trace::start_lines_log(&conf.log.level, &lines)?;
    Ok((lines, bn_trace::start_metrics()?))
}

/// Handles signals on a dedicated thread.
fn on_signals(stop: impl Fn() + Send + 'static, reload: impl Fn() + Send + 'static) -> CliResult {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).context(IoSnafu { name: "signals" })?;
    std::thread::spawn(move || {
        let mut stopping = false;
        for signal in signals.forever() {
            match (signal, stopping) {
                (SIGHUP, _) => reload(),
                (_, false) => {
                    stopping = true;
                    stop();
                }
                (_, true) => std::process::exit(FORCED_EXIT),
            }
        }
    });
    Ok(())
}

//! `buckthornnotch run --settings FILE`: one process, until SIGTERM or SIGINT. Both
//! begin a graceful stop; a second one ends it at once.

use crate::error::{CliResult, IoSnafu};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::path::PathBuf;
use std::sync::Arc;

/// Exit code after a second signal.
const CUT: i32 = 130;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch run --settings examples/local/e1.json")]
pub(crate) struct Args {
    /// Settings of this process, JSON.
    #[arg(long)]
    settings: PathBuf,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let conf = bn_conf::load(&args.settings)?;
    bn_trace::start_log(&conf.id, &conf.log.level, conf.log.json)?;
    let metrics = bn_trace::start_metrics()?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(IoSnafu { what: "signals" })?;
    let running = bn_node::start(&conf, metrics)?;
    let stopper = Arc::new(running.stopper());
    std::thread::spawn(move || {
        for (i, _) in signals.forever().enumerate() {
            match i {
                0 => stopper(),
                _ => std::process::exit(CUT),
            }
        }
    });
    let ended = running.wait();
    if let Err(e) = &ended {
        eprintln!("{e}");
    }
    // The links' C library tears its locks down at an ordinary exit while its threads
    // still use them: now and then the process aborted after a graceful stop. Nothing is
    // buffered by now, so it ends without those handlers.
    signal_hook::low_level::exit(i32::from(ended.is_err()))
}

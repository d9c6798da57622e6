//! What a process shows of itself: log lines, counters, and the events of the
//! time line. Counters come first; a log line or event marks a change of state.

mod events;
mod lines;
mod process_usage;

pub use events::{Event, Events, merge, read_lines, to_chrome, to_text};
pub use lines::Lines;

use log::LevelFilter;
use metrics_exporter_prometheus::PrometheusBuilder;
pub use process_usage::{ProcessUsage, process_usage};

pub use metrics_exporter_prometheus::PrometheusHandle as Metrics;
use snafu::{ResultExt, Snafu};

/// Why logging or metrics could not be set up, or events not read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A logger was set before.
    #[snafu(display("logging was already set up: {source}"))]
    Logger {
        /// What `log` said.
        source: log::SetLoggerError,
    },
    /// A recorder was set before.
    #[snafu(display("metrics were already set up: {what}"))]
    Recorder {
        /// What the exporter said.
        what: String,
    },
    /// The events file failed.
    #[snafu(display("events file {path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
}

/// Result of setting up.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Starts logging to stderr, as text or JSON lines.
pub fn start_log(id: &str, level: &str, json: bool) -> Result<()> {
    let id = id.to_string();
    let level = level.parse().unwrap_or(LevelFilter::Info);
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let ms = events::wall_ms();
            if json {
                let line = serde_json::json!({
                    "ms": ms, "level": record.level().as_str(), "process": id,
                    "module": record.target(), "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!("{ms} {} {id} {message}", record.level()));
            }
        })
        .chain(std::io::stderr())
        .apply()
        .context(LoggerSnafu)
}

/// Sends what libraries and rarer places log through the same lines.
pub fn start_lines_log(level: &str, lines: &Lines) -> Result<()> {
    let lines = lines.clone();
    let level = level.parse().unwrap_or(LevelFilter::Info);
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            let fields = serde_json::json!({
                "level": record.level().as_str(), "module": record.target(),
                "message": record.args().to_string(),
            });
            lines.put("log", fields);
        }))
        .apply()
        .context(LoggerSnafu)
}

/// Installs the metrics recorder; the handle renders the Prometheus page.
pub fn start_metrics() -> Result<Metrics> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| Error::Recorder {
            what: e.to_string(),
        })
}

//! Observability of a process: log lines, metrics, and timeline events. Counters are preferred; a
//! log line or event marks a state change.

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

/// Why logging or metrics could not be set up, or events could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A logger was already installed.
    #[snafu(display("failed to install the logger: {source}"))]
    Logger {
        /// Error of the `log` crate.
        source: log::SetLoggerError,
    },
    /// A metrics recorder was already installed.
    #[snafu(display("failed to install the metrics recorder: {message}"))]
    Recorder {
        /// Error message of the exporter.
        message: String,
    },
    /// The events file could not be opened.
    #[snafu(display("events file {path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of setting up, or of reading events.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Installs a logger that writes text or JSON lines to stderr.
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

/// Installs a logger that writes the records of libraries and of infrequent log calls as
/// structured `log` lines.
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

/// Installs the metrics recorder; the returned handle renders the Prometheus page.
pub fn start_metrics() -> Result<Metrics> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| Error::Recorder {
            message: e.to_string(),
        })
}

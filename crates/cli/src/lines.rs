//! Reads the structured logs of processes.

use crate::error::{CliResult, IoSnafu};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// One structured log line.
pub(crate) struct Line {
    pub(crate) ms: u64,
    pub(crate) process: String,
    pub(crate) event: String,
    pub(crate) fields: Map<String, Value>,
}

impl Line {
    pub(crate) fn text(&self, field: &str) -> &str {
        let value = self.fields.get(field);
        value.and_then(Value::as_str).unwrap_or_default()
    }

    pub(crate) fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field)?.as_f64()
    }

    pub(crate) fn is_true(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }
}

/// Lines of all files, sorted by time.
pub(crate) fn read_all(files: &[PathBuf]) -> CliResult<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by_key(|l| l.ms);
    Ok(lines)
}

/// Skips lines that are not JSON, since a log may be truncated anywhere.
fn read(file: &Path) -> CliResult<Vec<Line>> {
    let name = file.display().to_string();
    let opened = File::open(file).context(IoSnafu { name })?;
    let lines = BufReader::new(opened).lines().map_while(Result::ok);
    Ok(lines.filter_map(|l| parse(&l)).collect())
}

/// Skips any text before the JSON object, such as a timestamp added by the log collector.
fn parse(text: &str) -> Option<Line> {
    let object = text.get(text.find('{')?..)?;
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let mut take = |name: &str| fields.remove(name);
    Some(Line {
        ms: take("ms")?.as_u64()?,
        process: take("process")?.as_str()?.into(),
        event: take("event")?.as_str()?.into(),
        fields,
    })
}

//! Structured logs of processes, read back.

use crate::error::{CliResult, IoSnafu};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// One line of a log.
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

    pub(crate) fn is(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }
}

/// The lines of all files, in the order of time.
pub(crate) fn read_all(files: &[PathBuf]) -> CliResult<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by_key(|l| l.ms);
    Ok(lines)
}

/// Lines that are no JSON are passed over: a log may be cut anywhere.
fn read(file: &Path) -> CliResult<Vec<Line>> {
    let what = file.display().to_string();
    let opened = File::open(file).context(IoSnafu { what })?;
    let lines = BufReader::new(opened).lines().map_while(Result::ok);
    Ok(lines.filter_map(|l| parse(&l)).collect())
}

/// What stands before the object, such as a time that whoever kept the log wrote, is skipped.
fn parse(text: &str) -> Option<Line> {
    let object = text.get(text.find('{')?..)?;
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let mut word = |name: &str| fields.remove(name);
    Some(Line {
        ms: word("ms")?.as_u64()?,
        process: word("process")?.as_str()?.into(),
        event: word("event")?.as_str()?.into(),
        fields,
    })
}

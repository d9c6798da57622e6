//! `buckthornnotch ctl --at ADDRESS 'STATEMENTS'`: sends one command, or with `-` one
//! command per line of standard input. A command is accepted or refused as a unit.

use crate::error::{CliResult, Error, IoSnafu};
use crate::http;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::io::BufRead;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(clap::Args)]
#[command(after_help = "Examples:\n  \
    buckthornnotch ctl --at 127.0.0.1:7201 'show backends where state = serving sort by load desc'\n  \
    buckthornnotch ctl --at 127.0.0.1:7201 'drain backend n3; drain backend n4'")]
pub(crate) struct Args {
    /// Operators' address of any entry.
    #[arg(long, default_value = "127.0.0.1:7201")]
    at: String,
    /// Name of the operator.
    #[arg(long, default_value = "operator")]
    operator: String,
    /// Number of the command; default: taken from the clock.
    #[arg(long)]
    number: Option<u64>,
    /// Token that distinguishes a resend from another command; default: random.
    #[arg(long)]
    token: Option<String>,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// Statements, or `-` for one command per line of standard input.
    text: String,
}

pub(crate) fn run(args: &Args) -> CliResult {
    if args.text != "-" {
        return execute(args, &args.text);
    }
    for line in std::io::stdin().lock().lines() {
        let line = line.context(IoSnafu {
            name: "standard input",
        })?;
        if !line.trim().is_empty() {
            execute(args, &line)?;
        }
    }
    Ok(())
}

fn execute(args: &Args, text: &str) -> CliResult {
    let number = args.number.unwrap_or_else(clock_number);
    let token = args
        .token
        .clone()
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let body = json!({
        "operator": args.operator, "number": number, "token": token, "text": text,
    });
    let url = http::url(&args.at, "/v1/command");
    let reply = http::post(&url, &body.to_string(), TIMEOUT)?;
    if reply.status == 504 {
        eprintln!("resend with: --number {number} --token {token}");
    }
    let value: Value = serde_json::from_str(&reply.text).unwrap_or(Value::Null);
    if reply.status != 200 {
        let reason = value
            .get("error")
            .or(value.get("reason"))
            .and_then(Value::as_str);
        let reason = reason.unwrap_or(&reply.text).to_string();
        return Err(Error::Refused { reason });
    }
    match args.json {
        true => println!("{}", reply.text.trim_end()),
        false => print_value(&value),
    }
    Ok(())
}

/// Sends one command with a new number; fails unless it is accepted.
pub(crate) fn post_command(at: &str, operator: &str, text: &str) -> CliResult {
    let (number, token) = (clock_number(), "once");
    let body = json!({ "operator": operator, "number": number, "token": token, "text": text });
    let reply = http::post(&http::url(at, "/v1/command"), &body.to_string(), TIMEOUT)?;
    match reply.status {
        200 => Ok(()),
        _ => Err(Error::Refused { reason: reply.text }),
    }
}

/// Microseconds since 1970: increases, and two operators rarely get the same number.
fn clock_number() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

fn print_value(value: &Value) {
    let columns = value.get("columns").and_then(Value::as_array);
    let rows = value.get("rows").and_then(Value::as_array);
    if let (Some(columns), Some(rows)) = (columns, rows) {
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::NOTHING);
        table.set_header(columns.iter().map(cell));
        for row in rows.iter().filter_map(Value::as_array) {
            table.add_row(row.iter().map(cell));
        }
        println!("{table}");
        return;
    }
    let revision = value.get("revision").and_then(Value::as_u64).unwrap_or(0);
    let in_force = value
        .get("in_force")
        .and_then(Value::as_bool)
        .unwrap_or(false);
    let status = if in_force {
        "in force"
    } else {
        "not yet in force"
    };
    println!("accepted at revision {revision}, {status}");
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::Number(n) => match n.as_f64() {
            Some(f) if f.fract() != 0.0 => format!("{f:.2}"),
            Some(f) => format!("{f:.0}"),
            None => n.to_string(),
        },
        other => other.to_string(),
    }
}

//! `buckthornnotch check FILE...`: validates settings files without applying them. Exits
//! with 0 if all files are valid and with 2 if one is not.

use crate::error::{CliResult, Error};
use std::path::PathBuf;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch check examples/local/*.json")]
pub(crate) struct Args {
    /// Settings files, in JSON.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let mut last: Option<Error> = None;
    for file in &args.files {
        match bn_conf::load(file) {
            Ok(conf) => println!("{}: right; process {}", file.display(), conf.id),
            Err(e) => {
                eprintln!("{}:", file.display());
                if let Some(e) = last.replace(e.into()) {
                    eprintln!("{e}");
                }
            }
        }
    }
    last.map_or(Ok(()), Err)
}

//! `bench claim`: claims at one holder in isolation. The cost that a claim adds to a request
//! is the difference between two runs of `bench load`, with and without `--keyed`.

use super::table;
use crate::error::CliResult;
use bn_claim::{Answer, Holder};
use bn_trace::process_usage;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(clap::Args)]
#[command(after_help = "Example:\n  buckthornnotch bench claim --keys 1000000")]
pub(crate) struct Args {
    /// Number of keys to claim.
    #[arg(long, default_value_t = 1_000_000)]
    keys: u64,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut holder = Holder::new(now - Duration::from_secs(100));
    holder.new_epoch(now, 1);
    let before = process_usage().resident_bytes;
    let start = Instant::now();
    let mut granted = 0;
    for i in 0..args.keys {
        let key = format!("a1/{}", uuid::Uuid::now_v7());
        let answer = holder.claim(now, &key, now, (1, i), 1);
        granted += u64::from(answer == Answer::Granted);
    }
    let seconds = start.elapsed().as_secs_f64();
    let growth = process_usage().resident_bytes.saturating_sub(before);
    let mut t = table(&["keys", "granted", "claims/s", "bytes a key"]);
    t.add_row([
        args.keys.to_string(),
        granted.to_string(),
        format!("{:.0}", args.keys as f64 / seconds),
        format!("{:.0}", growth as f64 / args.keys.max(1) as f64),
    ]);
    println!("{t}");
    Ok(())
}

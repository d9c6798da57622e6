//! `bench load`: an open-loop load with seeded arrivals. Reports times to the first token and
//! between tokens, refusals by verdict, and how evenly replicas were used.

use super::{page, table};
use crate::cmd::demo::first_address;
use crate::error::{CliResult, Error};
use crate::http;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::Read;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest time in a histogram, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

#[derive(clap::Args)]
#[command(after_help = "Examples:\n  \
    buckthornnotch bench load --ask 127.0.0.1:7101 --rate 200 --seconds 20\n  \
    buckthornnotch bench load --direct 127.0.0.1:7501,127.0.0.1:7502 --rate 200")]
pub(crate) struct Args {
    /// Callers' address of an entry; requests go round-robin to the addresses in its reply.
    #[arg(long, default_value = "127.0.0.1:7101")]
    ask: String,
    /// Send directly to these backend servers in round-robin order, for comparison.
    #[arg(long, value_delimiter = ',')]
    direct: Vec<String>,
    /// Operators' addresses of the processes whose CPU time is counted.
    #[arg(long, value_delimiter = ',')]
    count: Vec<String>,
    #[arg(long, default_value = "notice-gen")]
    service: String,
    #[arg(long, default_value = "key-a1")]
    key: String,
    /// Requests per second.
    #[arg(long, default_value_t = 100)]
    rate: u32,
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Tokens per answer.
    #[arg(long, default_value_t = 32)]
    tokens: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Send an idempotency key with each request.
    #[arg(long)]
    keyed: bool,
}

/// Result of one request.
struct Outcome {
    first_token: Duration,
    gaps: Vec<Duration>,
    /// `whole`, or why it is not.
    result: String,
    replica: String,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let targets = targets(args)?;
    let before = cpu_seconds(args)?;
    let outcomes = send_all(args, &targets);
    // After this wait the counters include the cost of the last requests.
    thread::sleep(Duration::from_millis(300));
    let used = cpu_seconds(args)? - before;
    report(args, &outcomes, used)
}

fn targets(args: &Args) -> CliResult<Vec<String>> {
    if !args.direct.is_empty() {
        return Ok(args.direct.clone());
    }
    first_address(&args.ask)?;
    let text = http::get(&http::url(&args.ask, "/v1/addresses"), TIMEOUT)?.text;
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let all = value
        .get("addresses")
        .and_then(|a| a.as_array())
        .cloned()
        .unwrap_or_default();
    Ok(all
        .iter()
        .filter_map(|a| a.as_str().map(String::from))
        .collect())
}

fn cpu_seconds(args: &Args) -> CliResult<f64> {
    args.count
        .iter()
        .map(|a| page::read(a).map(|c| c.cpu_seconds))
        .sum()
}

fn send_all(args: &Args, targets: &[String]) -> Vec<Outcome> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let (tx, rx) = mpsc::channel();
    let start = Instant::now();
    let mut offset = 0.0;
    for i in 0..args.rate * args.seconds {
        // Exponential gaps: arrivals are independent of each other.
        offset += -(1.0 - rng.random::<f64>()).ln() / f64::from(args.rate);
        let due = start + Duration::from_secs_f64(offset);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let Some(target) = targets.get(i as usize % targets.len().max(1)) else {
            break;
        };
        let request = Request {
            url: match args.direct.is_empty() {
                true => http::url(target, &format!("/svc/{}/v1/run", args.service)),
                false => format!("http://{target}/v1/run"),
            },
            key: args.key.clone(),
            idempotency_key: args.keyed.then(|| uuid::Uuid::now_v7().to_string()),
            prompt: format!("load {} {i}", args.seed),
            tokens: args.tokens,
            due,
        };
        let tx = tx.clone();
        thread::spawn(move || drop(tx.send(request.send())));
    }
    drop(tx);
    rx.into_iter().collect()
}

struct Request {
    url: String,
    key: String,
    idempotency_key: Option<String>,
    prompt: String,
    tokens: usize,
    /// Scheduled start: a late start counts as waiting time.
    due: Instant,
}

impl Request {
    fn send(self) -> Outcome {
        let mut outcome = Outcome {
            first_token: Duration::ZERO,
            gaps: Vec::new(),
            result: String::new(),
            replica: String::new(),
        };
        outcome.result = self
            .read(&mut outcome)
            .unwrap_or_else(|e| format!("cut: {e:.60}"));
        outcome
    }

    fn read(&self, outcome: &mut Outcome) -> Result<String, String> {
        let body = serde_json::json!({ "prompt": self.prompt, "tokens": self.tokens });
        let mut request = http::agent(TIMEOUT)
            .post(&self.url)
            .header("authorization", format!("Bearer {}", self.key));
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send(body.to_string()).map_err(|e| e.to_string())?;
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let (verdict, replica) = (header("x-verdict"), header("x-fake"));
        let status = response.status().as_u16();
        outcome.replica = replica;
        let mut reader = response.into_body().into_reader();
        let (mut text, mut buffer) = (Vec::new(), [0u8; 4096]);
        let mut last = self.due;
        loop {
            let n = reader.read(&mut buffer).map_err(|e| e.to_string())?;
            if n == 0 {
                break;
            }
            let now = Instant::now();
            match text.is_empty() {
                true => outcome.first_token = now - self.due,
                false => outcome.gaps.push(now - last),
            }
            last = now;
            text.extend_from_slice(buffer.get(..n).unwrap_or_default());
        }
        if !verdict.is_empty() {
            return Ok(format!("{verdict} ({status})"));
        }
        let expected = bn_fake::expected_answer(&self.prompt, self.tokens);
        Ok(if text == expected.as_bytes() {
            "whole"
        } else {
            "wrong"
        }
        .into())
    }
}

fn report(args: &Args, outcomes: &[Outcome], cpu: f64) -> CliResult {
    let complete: Vec<&Outcome> = outcomes.iter().filter(|o| o.result == "whole").collect();
    let first_tokens = histogram(complete.iter().map(|o| o.first_token))?;
    let gaps = histogram(complete.iter().flat_map(|o| o.gaps.iter().copied()))?;
    let mut times = table(&["time in ms", "50%", "95%", "99%", "most"]);
    for (name, h) in [("first token", &first_tokens), ("between tokens", &gaps)] {
        let ms = |q: f64| format!("{:.1}", h.value_at_quantile(q) as f64 / 1e3);
        times.add_row([name.into(), ms(0.5), ms(0.95), ms(0.99), ms(1.0)]);
    }
    println!("{times}\n");
    let mut results: IndexMap<&str, usize> = IndexMap::new();
    let mut replicas: IndexMap<&str, usize> = IndexMap::new();
    for o in outcomes {
        *results.entry(&o.result).or_default() += 1;
    }
    for o in &complete {
        *replicas.entry(&o.replica).or_default() += 1;
    }
    results.sort_unstable_by(|_, a, _, b| b.cmp(a));
    for (result, count) in &results {
        println!("{count:>7} {result}");
    }
    let busiest = replicas.values().copied().max().unwrap_or(0) as f64;
    let mean = complete.len() as f64 / replicas.len().max(1) as f64;
    println!(
        "\n{} replicas, busiest over mean {:.2}",
        replicas.len(),
        busiest / mean.max(1.0)
    );
    if !args.count.is_empty() {
        let per_request = cpu / outcomes.len().max(1) as f64;
        println!(
            "processor time of {} processes: {:.2} ms a request",
            args.count.len(),
            per_request * 1e3
        );
    }
    let wrong = results.get("wrong").copied().unwrap_or(0);
    match wrong {
        0 => Ok(()),
        n => Err(Error::Failed {
            reason: format!("{n} wrong answers"),
        }),
    }
}

fn histogram(times: impl Iterator<Item = Duration>) -> CliResult<Histogram<u64>> {
    let created = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
    let mut h = created.map_err(|e| Error::Failed {
        reason: e.to_string(),
    })?;
    for t in times {
        h.saturating_record((t.as_micros() as u64).max(1));
    }
    Ok(h)
}

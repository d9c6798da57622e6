//! `bench control`: cost of control by number of nodes. Simulated entries request leases
//! from the running system's leader, and simulated agents attach to one of its entries;
//! the counters of both real processes give the slopes.

use super::{page, table};
use crate::cmd::ctl::post_command;
use crate::error::{CliResult, Error};
use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{Attach, LeaseAsk, Profile};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// First port of the simulated inboxes, below the ephemeral ports.
const FIRST_PORT: u16 = 20_000;

#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    buckthornnotch bench control --leader 127.0.0.1:7201 --entry 127.0.0.1:7204 \
--entry-inbox 127.0.0.1:7004 --sizes 7,50,100,200,300")]
pub(crate) struct Args {
    /// Operators' address of the control leader (see `show members`).
    #[arg(long, default_value = "127.0.0.1:7201")]
    leader: String,
    /// Inbox of the control leader.
    #[arg(long, default_value = "127.0.0.1:7001")]
    leader_inbox: SocketAddr,
    /// Operators' address of the entry that the agents attach to.
    #[arg(long, default_value = "127.0.0.1:7204")]
    entry: String,
    /// Inbox of that entry.
    #[arg(long, default_value = "127.0.0.1:7004")]
    entry_inbox: SocketAddr,
    /// Numbers of simulated nodes of each role, in ascending order.
    #[arg(long, value_delimiter = ',', default_value = "7,50,100,200,300")]
    sizes: Vec<usize>,
    /// Measuring time at each size, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of commands timed at each size.
    #[arg(long, default_value_t = 20)]
    commands: usize,
}

pub(crate) fn run(args: &Args) -> CliResult {
    let mut rows = table(&[
        "nodes",
        "role",
        "cpu % of a core",
        "MB",
        "sent B/s",
        "received B/s",
        "in force ms 50%",
        "99%",
    ]);
    let stop = Arc::new(AtomicBool::new(false));
    let mut running = 0;
    for size in &args.sizes {
        while running < *size {
            start_pair(args, running, &stop)?;
            running += 1;
        }
        thread::sleep(Duration::from_secs(4));
        let times = command_times(args)?;
        let quantile = |q: f64| {
            let index = (times.len() as f64 * q).ceil() as usize;
            times
                .get(index.saturating_sub(1))
                .copied()
                .unwrap_or_default()
                .as_secs_f64()
                * 1e3
        };
        let processes = [("control leader", &args.leader), ("entry", &args.entry)];
        let before = [page::read(&args.leader)?, page::read(&args.entry)?];
        thread::sleep(Duration::from_secs(args.seconds));
        for ((role, address), old) in processes.iter().zip(before) {
            let new = page::read(address)?;
            let rate = |a: f64, b: f64| (b - a) / args.seconds as f64;
            let mut row = vec![
                size.to_string(),
                (*role).to_string(),
                format!("{:.2}", rate(old.cpu_seconds, new.cpu_seconds) * 100.0),
                format!("{:.1}", new.resident_bytes / 1e6),
                format!("{:.0}", rate(old.sent_bytes, new.sent_bytes)),
                format!("{:.0}", rate(old.received_bytes, new.received_bytes)),
            ];
            if *role == "control leader" {
                row.extend([
                    format!("{:.0}", quantile(0.5)),
                    format!("{:.0}", quantile(0.99)),
                ]);
            }
            rows.add_row(row);
        }
    }
    stop.store(true, Ordering::Relaxed);
    println!("{rows}");
    for i in 0..running {
        post_command(&args.leader, "bench", &format!("drop entry x{i}"))?;
    }
    Ok(())
}

/// Adds one entry at the leader and one agent at the entry.
fn start_pair(args: &Args, i: usize, stop: &Arc<AtomicBool>) -> CliResult {
    let port = FIRST_PORT + 2 * i as u16;
    let entry = SocketAddr::from(([127, 0, 0, 1], port));
    let agent = SocketAddr::from(([127, 0, 0, 1], port + 1));
    let name = format!("x{i}");
    let text = format!("create entry {name} domain=gulberg callers={entry} inbox={entry}");
    post_command(&args.leader, "bench", &text)?;
    start_entry(&name, entry, args.leader_inbox, stop)?;
    start_agent(&format!("y{i}"), agent, args.entry_inbox, stop)
}

/// An entry that only holds a lease and acknowledges each new revision at once.
fn start_entry(
    name: &str,
    at: SocketAddr,
    leader: SocketAddr,
    stop: &Arc<AtomicBool>,
) -> CliResult {
    let start = Instant::now();
    let revision = Arc::new(AtomicU64::new(0));
    let (latest, channel) = (revision.clone(), wake_channel());
    let wake = channel.0.clone();
    let sink = move |envelope: bn_wire::messages::Envelope| {
        if let Some(Body::LeaseGrant(grant)) = envelope.body
            && grant.refusal.is_empty()
            && latest.fetch_max(grant.revision, Ordering::Relaxed) < grant.revision
        {
            let _ = wake.try_send(());
        }
    };
    let net = open_net(name, at, sink)?;
    let (stopped, rx) = (stop.clone(), channel.1);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let request = LeaseAsk {
                sent_ms: start.elapsed().as_millis() as u64 + 1,
                revision: revision.load(Ordering::Relaxed),
                ..LeaseAsk::default()
            };
            net.send(leader, Body::LeaseAsk(request));
            let _ = rx.recv_timeout(RENEW_INTERVAL);
        }
    });
    Ok(())
}

type WakeChannel = (
    std::sync::mpsc::SyncSender<()>,
    std::sync::mpsc::Receiver<()>,
);

fn wake_channel() -> WakeChannel {
    std::sync::mpsc::sync_channel(1)
}

/// An agent that only reports.
fn start_agent(name: &str, at: SocketAddr, entry: SocketAddr, stop: &Arc<AtomicBool>) -> CliResult {
    let start = Instant::now();
    let checksum = Arc::new(AtomicU32::new(0));
    let received = checksum.clone();
    let sink = move |envelope: bn_wire::messages::Envelope| {
        if let Some(Body::AgentLease(lease)) = envelope.body
            && !lease.entries.is_empty()
        {
            let sum = crc32c::crc32c(lease.entries.join(" ").as_bytes());
            received.store(sum, Ordering::Relaxed);
        }
    };
    let net = open_net(name, at, sink)?;
    let mut profile = Some(Profile {
        name: name.into(),
        service: "bench".into(),
        group: "bench-a".into(),
        domain: "gulberg".into(),
        capacity: 16,
        ..Profile::default()
    });
    let stopped = stop.clone();
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let attach = Attach {
                agent_ms: start.elapsed().as_millis() as u64,
                healthy: true,
                entries: checksum.load(Ordering::Relaxed),
                profile: profile.take(),
                ..Attach::default()
            };
            net.send(entry, Body::Attach(attach));
            thread::sleep(REPORT_INTERVAL);
        }
    });
    Ok(())
}

fn open_net(
    name: &str,
    at: SocketAddr,
    sink: impl Fn(bn_wire::messages::Envelope) + Send + 'static,
) -> CliResult<Net> {
    let opened = Net::open(name, rand::random::<u64>() | 1, at, at, sink);
    opened.map_err(|e| Error::Failed {
        reason: e.to_string(),
    })
}

/// Sorted times from sending a command to its response, which must have status 200.
fn command_times(args: &Args) -> CliResult<Vec<Duration>> {
    let mut times = Vec::new();
    for i in 0..args.commands {
        let verb = if i % 2 == 0 { "drain" } else { "undrain" };
        let start = Instant::now();
        post_command(&args.leader, "bench", &format!("{verb} backend bench"))?;
        times.push(start.elapsed());
    }
    times.sort();
    Ok(times)
}

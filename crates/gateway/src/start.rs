//! Starting and stopping a gateway.

use crate::feedback::ColdAllowance;
use crate::link::Link;
use crate::shared::Shared;
use crate::{ListenSnafu, Result, RuntimeSnafu, buffer_guard, frontend};
use bn_conf::{Admission, Gateway as Conf, Settings};
use bn_net::Net;
use bn_route::{FillRule, RetryAllowance};
use bn_serve::{Body, ConnectionLimits, OpenConnections};
use bn_trace::Lines;
use bn_wire::messages::Role;
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of the queues of messages for the gateway's thread.
const QUEUE_CAPACITY: usize = 4096;
/// A connection that is idle for longer is closed. Documents allow callers some tens of seconds (15
/// by default); a request that crosses a close would have to be repeated.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Send buffer of a caller's connection. The kernel's own sizing gives megabytes to a caller that
/// does not read. Twice the product of 100 Mbit/s and a round trip of 6 ms fits after the kernel has
/// doubled the value for its own overhead.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Callers cache a directory response for two seconds and learn of the stop from the next one; no
/// process exits before that.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_000);
/// Fraction of the grace period during which new requests are accepted. A stream takes some
/// seconds; one that started later would be cut at the end of the grace period.
const ACCEPT_FRACTION: f64 = 0.33;
/// Part of the grace period reserved for the exit itself.
const STOP_RESERVE: Duration = Duration::from_millis(400);
/// Interval between checks whether all requests have finished.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Handle {
    shared: Shared,
    thread: JoinHandle<Result<()>>,
}

impl Handle {
    /// Returns a function that starts a graceful stop: no new callers are sent here, those that
    /// arrive are served, and the process exits after the last request.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let shared = self.shared.clone();
        move || {
            shared
                .lines
                .put("stopping", json!({ "in_flight": shared.in_flight() }));
            shared.closing.send_replace(true);
        }
    }

    /// Waits until the gateway has stopped.
    pub fn wait(self) -> Result<()> {
        self.thread.join().unwrap_or(Ok(()))
    }
}

/// Starts a gateway on its own thread.
pub fn start(settings: &Settings, conf: &Conf, lines: Lines) -> Result<Handle> {
    let allowance = RetryAllowance {
        ratio: conf.retry_ratio,
        slack: conf.retry_slack,
        window: conf.retry_window,
    };
    let (reports, report_queue) = mpsc::channel(QUEUE_CAPACITY);
    let rule = match conf.admission {
        Admission::Pauses => FillRule::Pauses,
        Admission::Streams => FillRule::Streams,
    };
    let shared = Shared::new(
        &settings.domain,
        allowance,
        conf.memory_bytes,
        rule,
        lines,
        reports,
    );
    let (sender, inbox) = mpsc::channel(QUEUE_CAPACITY);
    let deliver = move |envelope| sender.try_send(envelope).is_ok();
    let net = Net::start(
        Role::Gateway,
        &settings.id,
        settings.inbox,
        settings.listen,
        deliver,
    )?;
    let port = settings.inbox.port();
    let seeds = conf.seeds.iter().map(|s| SocketAddr::new(s.ip(), port));
    let link = Link::new(
        shared.clone(),
        net,
        conf.callers,
        settings.domain.clone(),
        seeds.collect(),
        ColdAllowance {
            ratio: conf.cold_ratio,
            slack: conf.cold_slack,
        },
    );
    let callers = bind(conf.callers)?;
    let ready = bind(conf.readiness)?;
    let directory = conf.directory.map(bind).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let grace = conf.grace_period;
    let serving = shared.clone();
    let thread = std::thread::spawn(move || {
        runtime.block_on(async move {
            tokio::spawn(buffer_guard::watch(serving.clone()));
            tokio::spawn(link.run(inbox, report_queue));
            tokio::spawn(serve_pages(serving.clone(), ready, frontend::readiness));
            if let Some(directory) = directory {
                tokio::spawn(serve_pages(serving.clone(), directory, frontend::directory));
            }
            let accepting = tokio::spawn(serve_callers(serving.clone(), callers));
            until_stopped(&serving, grace, || accepting.abort()).await;
        });
        Ok(())
    });
    Ok(Handle { shared, thread })
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

async fn serve_callers(shared: Shared, listener: TcpListener) {
    let limits = ConnectionLimits {
        header_timeout: IDLE_TIMEOUT,
        send_buffer: Some(SEND_BUFFER_BYTES),
        ..ConnectionLimits::default()
    };
    let closing = shared.closing.subscribe();
    let open = shared.callers.clone();
    let handle = move |request| frontend::answer(shared.clone(), request);
    if let Err(e) = bn_serve::accept(listener, None, limits, closing, &open, handle).await {
        log::error!("cannot accept connections of callers: {e}");
    }
}

/// Serves requests that are answered at once from known state.
async fn serve_pages(
    shared: Shared,
    listener: TcpListener,
    answer: fn(&Shared, &Request<Incoming>) -> Response<Body>,
) {
    let closing = shared.closing.subscribe();
    let handle = move |request| {
        let response = answer(&shared, &request);
        async move { response }
    };
    let (limits, open) = (ConnectionLimits::default(), OpenConnections::default());
    if let Err(e) = bn_serve::accept(listener, None, limits, closing, &open, handle).await {
        log::error!("cannot accept connections for readiness or directory requests: {e}");
    }
}

/// Returns once a stop was requested, the last request has finished and its answer is written, or the
/// grace period is nearly over. `stop_accepting` closes the callers' listener.
async fn until_stopped(shared: &Shared, grace: Duration, stop_accepting: impl Fn()) {
    let mut closing = shared.closing.subscribe();
    if closing.wait_for(|c| *c).await.is_err() {
        return;
    }
    let started_at = shared.now();
    let latest = started_at + grace.saturating_sub(STOP_RESERVE);
    let earliest = (started_at + MIN_STOP_TIME).min(latest);
    let accept_until = started_at + grace.mul_f64(ACCEPT_FRACTION);
    loop {
        let now = shared.now();
        if now >= accept_until && !shared.has_stopped_accepting() {
            shared.stop_accepting();
            stop_accepting();
        }
        let idle = shared.in_flight() == 0 && shared.callers.count() == 0;
        if now >= latest || (now >= earliest && idle) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let fields = json!({
        "in_flight": shared.in_flight(), "connections": shared.callers.count(),
    });
    shared.lines.put("stopped", fields);
}

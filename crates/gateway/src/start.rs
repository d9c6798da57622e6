//! Starting and stopping a gateway.

use crate::link::Link;
use crate::shared::Shared;
use crate::{ListenSnafu, Result, RuntimeSnafu, front};
use bn_conf::{Gateway as Conf, Settings};
use bn_net::Net;
use bn_route::RetryAllowance;
use bn_serve::{Body, ConnectionLimits};
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

/// Messages that wait for the gateway's thread.
const RING: usize = 4096;
/// A connection that stays idle for longer is closed. Documents allow callers some tens
/// of seconds (15 by default); a request that crosses a close would have to be repeated.
const IDLE: Duration = Duration::from_secs(90);
/// Callers keep an answer of the directory for two seconds and learn of the stop with
/// the next one; no process ends before that.
const SHORTEST_STOP: Duration = Duration::from_millis(3_000);
/// Part of the grace for which new requests are taken in. A stream takes some seconds;
/// one that began later would be cut at the end of the grace.
const TAKING: f64 = 0.33;
/// Kept of the grace for the end itself.
const RESERVE: Duration = Duration::from_millis(400);
/// Between two looks whether all requests have ended.
const LOOK: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Handle {
    shared: Shared,
    thread: JoinHandle<Result<()>>,
}

impl Handle {
    /// What begins a graceful stop: no new callers are sent here, those that come are
    /// served, and the process ends with the last request.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let shared = self.shared.clone();
        move || {
            shared
                .lines
                .put("stopping", json!({ "in_flight": shared.open() }));
            shared.closing.send_replace(true);
        }
    }

    /// Waits for the end.
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
    let (reports, reported) = mpsc::channel(RING);
    let shared = Shared::new(&settings.domain, allowance, lines, reports);
    let (sink, inbox) = mpsc::channel(RING);
    let put = move |envelope| sink.try_send(envelope).is_ok();
    let net = Net::start(
        Role::Gateway,
        &settings.id,
        settings.inbox,
        settings.listen,
        put,
    )?;
    let port = settings.inbox.port();
    let seeds = conf.seeds.iter().map(|s| SocketAddr::new(s.ip(), port));
    let link = Link::new(
        shared.clone(),
        net,
        conf.callers,
        settings.domain.clone(),
        seeds.collect(),
    );
    let callers = bind(conf.callers)?;
    let ready = bind(conf.readiness)?;
    let directory = conf.directory.map(bind).transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let grace = conf.grace_period;
    let running = shared.clone();
    let thread = std::thread::spawn(move || {
        runtime.block_on(async move {
            tokio::spawn(link.run(inbox, reported));
            tokio::spawn(serve_pages(running.clone(), ready, front::readiness));
            if let Some(directory) = directory {
                tokio::spawn(serve_pages(running.clone(), directory, front::directory));
            }
            let accepting = tokio::spawn(serve_callers(running.clone(), callers));
            until_stopped(&running, grace, || accepting.abort()).await;
        });
        Ok(())
    });
    Ok(Handle { shared, thread })
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

async fn serve_callers(shared: Shared, listener: TcpListener) {
    let bounds = ConnectionLimits {
        header_timeout: IDLE,
        ..ConnectionLimits::default()
    };
    let closing = shared.closing.subscribe();
    let handle = move |request| front::answer(shared.clone(), request);
    if let Err(e) = bn_serve::accept(listener, None, bounds, closing, handle).await {
        log::error!("callers: {e}");
    }
}

/// Serves what is answered at once from what is known.
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
    if let Err(e) =
        bn_serve::accept(listener, None, ConnectionLimits::default(), closing, handle).await
    {
        log::error!("readiness or directory: {e}");
    }
}

/// Returns once a stop was asked for and the last request has ended, or the grace is
/// nearly over. `stop_taking` closes the callers' listener.
async fn until_stopped(shared: &Shared, grace: Duration, stop_taking: impl Fn()) {
    let mut closing = shared.closing.subscribe();
    if closing.wait_for(|c| *c).await.is_err() {
        return;
    }
    let began = shared.now();
    let forced = began + grace.saturating_sub(RESERVE);
    let earliest = (began + SHORTEST_STOP).min(forced);
    let taking = began + grace.mul_f64(TAKING);
    loop {
        let now = shared.now();
        if now >= taking && !shared.is_shut() {
            shared.shut();
            stop_taking();
        }
        if now >= forced || (now >= earliest && shared.open() == 0) {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    shared
        .lines
        .put("stopped", json!({ "in_flight": shared.open() }));
}

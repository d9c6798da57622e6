//! The relay: beside an engine, where its report is fresh and counts and orders cost
//! nothing, it looks at the engine and hands it orders for whichever coordinator asks.
//!
//! It decides nothing and keeps nothing. It may die, freeze, or deliver an order late, as
//! any link may: orders carry the group's epoch and a fencing token, and a coordinator
//! that hears nothing turns to the engine itself.

use crate::calls::{Answer, What, ask};
use crate::{Result, RuntimeSnafu};
use bn_conf::{Relay as Conf, Settings};
use bn_net::Net;
use bn_platform::engine;
use bn_serve::client::Pool;
use bn_trace::Lines;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswer, EngineAsk, EngineView, Envelope};
use serde_json::json;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Asks that wait for the thread.
const RING: usize = 256;
/// An engine on the same machine answers within a millisecond; one whose answer is lost
/// must be asked again before a held group makes its streams late.
const TIMEOUT: Duration = Duration::from_millis(60);
/// Between two looks whether copies are complete: a quarter of a pass.
const COPY_LOOK: Duration = Duration::from_millis(15);
/// Longest wait for copies under one ask. The asker gives up later than this.
const COPY_WAIT: Duration = Duration::from_millis(400);

/// A running relay.
pub struct Handle {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// What ends it. Nothing is in flight here that a caller waits for.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let stop = self.stop.clone();
        move || {
            stop.send_replace(true);
        }
    }

    /// Waits for the end.
    pub fn wait(self) -> std::result::Result<(), String> {
        let ended = self.thread.join();
        ended.map_err(|_| "the relay's thread failed".into())
    }
}

/// Starts a relay on its own thread.
pub fn start(settings: &Settings, conf: &Conf, lines: Lines) -> Result<Handle> {
    let (sink, inbox) = mpsc::channel(RING);
    let incarnation = rand::random::<u64>() | 1;
    let net = Net::open(
        &settings.id,
        incarnation,
        settings.inbox,
        settings.listen,
        move |e| {
            if sink.try_send(e).is_err() {
                metrics::counter!("ring_lost_total").increment(1);
            }
        },
    )?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let (stop, stopped) = watch::channel(false);
    let relay = Relay {
        engine: conf.engine,
        start: Instant::now(),
        net,
        lines,
        pool: Pool::default(),
    };
    let thread = std::thread::spawn(move || {
        runtime.block_on(Arc::new(relay).run(inbox, stopped));
    });
    Ok(Handle { stop, thread })
}

struct Relay {
    engine: SocketAddr,
    start: Instant,
    net: Net,
    lines: Lines,
    pool: Pool,
}

impl Relay {
    async fn run(
        self: Arc<Relay>,
        mut inbox: mpsc::Receiver<Envelope>,
        mut stopped: watch::Receiver<bool>,
    ) {
        loop {
            let envelope = tokio::select! {
                Some(envelope) = inbox.recv() => envelope,
                _ = stopped.wait_for(|s| *s) => return,
            };
            let (Ok(asker), Some(Body::EngineAsk(ask))) =
                (envelope.inbox.parse::<SocketAddr>(), envelope.body)
            else {
                continue;
            };
            self.pool.sweep(self.start.elapsed());
            let relay = self.clone();
            // Each ask on its own: an order must not wait for one that is never answered.
            tokio::spawn(async move {
                let answer = relay.serve(ask).await;
                relay.net.send(asker, Body::EngineAnswer(answer));
            });
        }
    }

    async fn serve(&self, ask: EngineAsk) -> EngineAnswer {
        let call = ask.call;
        let answer = match ask.order.is_empty() {
            true => self.look(&ask).await,
            false => self.order(ask).await,
        };
        EngineAnswer { call, ..answer }
    }

    async fn order(&self, ask: EngineAsk) -> EngineAnswer {
        let status = self.call(engine::ORDER, Some(ask.order), &ask.engine).await;
        let status = status.map_or(0, |(status, _)| u32::from(status));
        let fields = json!({ "engine": ask.engine, "call": ask.call, "status": status });
        self.lines.put("order_handed_over", fields);
        EngineAnswer {
            status,
            ..EngineAnswer::default()
        }
    }

    async fn look(&self, ask: &EngineAsk) -> EngineAnswer {
        let until = self.start.elapsed() + COPY_WAIT;
        let (status, view) = loop {
            let (status, view) = self.report(&ask.engine).await;
            let copied = view.as_ref().is_none_or(|v| v.prepared == Some(ask.copied));
            if ask.copied == 0 || copied || self.start.elapsed() >= until {
                break (status, view);
            }
            tokio::time::sleep(COPY_LOOK).await;
        };
        let counts = match ask.counts && view.is_some() {
            true => self.counts(&ask.engine).await,
            false => Vec::new(),
        };
        EngineAnswer {
            status,
            view,
            counts,
            ..EngineAnswer::default()
        }
    }

    async fn report(&self, server: &str) -> (u32, Option<EngineView>) {
        let Some((status, body)) = self.call(engine::REPORT, None, server).await else {
            return (0, None);
        };
        let view = match (status, engine::report(&body)) {
            (200, Ok(report)) => Some(view(report)),
            (200, Err(e)) => {
                log::warn!("a report of {server}: {e}");
                None
            }
            _ => None,
        };
        (u32::from(status), view)
    }

    /// Counts of chosen experts; none where they could not be had.
    async fn counts(&self, server: &str) -> Vec<u64> {
        let answer = self.call(engine::PICKED, None, server).await;
        let Some((200, body)) = answer else {
            return Vec::new();
        };
        engine::counts(&body).map_or_else(
            |e| {
                log::warn!("counts of {server}: {e}");
                Vec::new()
            },
            |c| c.counts,
        )
    }

    async fn call(&self, path: &'static str, body: Option<Vec<u8>>, server: &str) -> Answer {
        let what = What {
            address: self.engine,
            path,
            body,
            server: server.into(),
        };
        let asked = ask(&self.pool, self.start, &what);
        tokio::time::timeout(TIMEOUT, asked).await.ok().flatten()
    }
}

fn view(report: engine::Report) -> EngineView {
    EngineView {
        group: report.group,
        epoch: report.epoch,
        rank: report.rank,
        open: report.open,
        size: report.size,
        pass: report.pass,
        map: report.map,
        prepared: report.prepared,
        armed: report.armed,
        held: report.held,
        pace: report.pace,
    }
}

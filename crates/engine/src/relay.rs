//! The relay: beside an engine, where its report is fresh and counts and orders cost
//! nothing, it looks at the engine and hands it orders for whichever coordinator asks.
//!
//! It decides nothing, and keeps nothing but the counts of its last look. It may die, freeze, or deliver an order late, as
//! any link may: orders carry the group's epoch and a fencing token, and a coordinator
//! that hears nothing turns to the engine itself.

use crate::calls::{Answer, What, ask};
use crate::others::Others;
use crate::places::unpack_places;
use crate::{Result, RuntimeSnafu};
use bn_conf::{Relay as Conf, Settings};
use bn_net::{Net, UsageReporter};
use bn_platform::engine::{self, Operation, RankedMap};
use bn_serve::client::Pool;
use bn_trace::Lines;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{
    EngineAnswer, EngineAnswers, EngineAsk, EngineAsks, EngineView, Envelope, Role,
};
use serde_json::json;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Asks that wait for the thread.
const RING: usize = 256;
/// An engine on the same machine answers within a millisecond; one whose answer is lost
/// must be asked again before a held group makes its streams late.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(60);
/// Between two looks whether copies are complete: a quarter of a pass.
const COPY_LOOK: Duration = Duration::from_millis(15);
/// Longest wait for copies under one ask. The asker gives up later than this.
pub(crate) const COPY_WAIT: Duration = Duration::from_millis(400);

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
    let put = move |envelope| sink.try_send(envelope).is_ok();
    let net = Net::start(
        Role::Relay,
        &settings.id,
        settings.inbox,
        settings.listen,
        put,
    )?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let (stop, stopped) = watch::channel(false);
    let relay = Relay {
        engine: conf.engine,
        inbox: settings.inbox,
        start: Instant::now(),
        net,
        lines,
        pool: Pool::default(),
        others: Others::default(),
        counted: Mutex::default(),
    };
    let thread = std::thread::spawn(move || {
        runtime.block_on(Arc::new(relay).run(inbox, stopped));
    });
    Ok(Handle { stop, thread })
}

struct Relay {
    engine: SocketAddr,
    inbox: SocketAddr,
    start: Instant,
    net: Net,
    lines: Lines,
    pool: Pool,
    others: Others,
    counted: Mutex<Counted>,
}

/// Counts at the last look, and the forming of the group that they are of.
#[derive(Default)]
struct Counted {
    epoch: u64,
    counts: Vec<u64>,
}

impl Relay {
    async fn run(
        self: Arc<Relay>,
        mut inbox: mpsc::Receiver<Envelope>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let mut usage = UsageReporter::default();
        loop {
            let envelope = tokio::select! {
                Some(envelope) = inbox.recv() => envelope,
                _ = stopped.wait_for(|s| *s) => return,
            };
            let queues = || json!({ "inbox": inbox.len() });
            usage.report_if_due(self.start.elapsed(), &self.net, &self.lines, queues);
            let Ok(asker) = envelope.inbox.parse::<SocketAddr>() else {
                continue;
            };
            match envelope.body {
                Some(Body::EngineAsks(asks)) => {
                    self.pool.evict_expired(self.start.elapsed());
                    let relay = self.clone();
                    // On its own: an order must not wait for one that is never answered.
                    tokio::spawn(async move {
                        let answers = relay.clone().serve_all(asks).await;
                        relay.net.send(asker, Body::EngineAnswers(answers));
                    });
                }
                Some(Body::EngineAnswers(answers)) => self.others.answered(answers),
                _ => {}
            }
        }
    }

    /// Answers what is for this relay, and has the rest answered by the others.
    async fn serve_all(self: Arc<Relay>, asks: EngineAsks) -> EngineAnswers {
        let EngineAsks { asks, map } = asks;
        let map: Arc<[u8]> = map.into();
        let mut parts = JoinSet::new();
        for ask in asks {
            let (relay, map) = (self.clone(), map.clone());
            parts.spawn(async move {
                match ask.relay.parse() {
                    Ok(other) if other != relay.inbox => {
                        relay.others.ask(&relay.net, other, ask, &map).await
                    }
                    _ => relay.serve(ask, &map).await,
                }
            });
        }
        let mut all = EngineAnswers::default();
        while let Some(part) = parts.join_next().await {
            match part {
                Ok(part) => merge(&mut all, part),
                Err(e) => log::error!("an ask was not served: {e}"),
            }
        }
        all
    }

    async fn serve(&self, ask: EngineAsk, map: &[u8]) -> EngineAnswers {
        let call = ask.call;
        let (answer, counts) = match body(&ask, map) {
            Some(order) => (self.order(&ask, order).await, Vec::new()),
            None => self.look(&ask).await,
        };
        EngineAnswers {
            answers: vec![EngineAnswer { call, ..answer }],
            counts,
        }
    }

    async fn order(&self, ask: &EngineAsk, order: Vec<u8>) -> EngineAnswer {
        let answer = self.call(engine::ORDER, Some(order), &ask.engine).await;
        let status = answer.map_or(0, |(status, _)| u32::from(status));
        let fields = json!({ "engine": ask.engine, "call": ask.call, "status": status });
        self.lines.put("order_handed_over", fields);
        EngineAnswer {
            status,
            ..EngineAnswer::default()
        }
    }

    async fn look(&self, ask: &EngineAsk) -> (EngineAnswer, Vec<u64>) {
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
        let answer = EngineAnswer {
            status,
            view,
            ..EngineAnswer::default()
        };
        (answer, counts)
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

    /// How often experts were chosen since the last look; none where that is not known.
    async fn counts(&self, server: &str) -> Vec<u64> {
        let answer = self.call(engine::PICKED, None, server).await;
        let Some((200, body)) = answer else {
            return Vec::new();
        };
        match engine::counts(&body) {
            Ok(counts) => self.since_last(counts),
            Err(e) => {
                log::warn!("counts of {server}: {e}");
                Vec::new()
            }
        }
    }

    fn since_last(&self, now: engine::Counts) -> Vec<u64> {
        let engine::Counts { epoch, counts } = now;
        let mut last = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        let comparable = last.epoch == epoch && last.counts.len() == counts.len();
        let since = match comparable {
            true => counts.iter().zip(&last.counts),
            // The engine or its group is another one: what it chose of late is not known.
            false => [].iter().zip(&[]),
        };
        let since = since.map(|(new, old)| new.saturating_sub(*old)).collect();
        *last = Counted { epoch, counts };
        since
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

/// Body of the order that an ask holds, if it holds one.
fn body(ask: &EngineAsk, map: &[u8]) -> Option<Vec<u8>> {
    let Some(prepare) = &ask.prepare else {
        return (!ask.order.is_empty()).then(|| ask.order.clone());
    };
    // An engine refuses an empty order, and the asker sees that.
    let map = unpack_places(map)
        .map_err(|e| log::warn!("a map: {e}"))
        .ok();
    let map = map.and_then(|map| {
        RankedMap::new(&map)
            .map_err(|e| log::warn!("a map: {e}"))
            .ok()
    });
    let operation = map.map(|map| Operation::Prepare {
        version: prepare.version,
        map,
    });
    Some(operation.map_or_else(Vec::new, |o| engine::order(o, prepare.epoch, prepare.token)))
}

fn merge(all: &mut EngineAnswers, part: EngineAnswers) {
    all.answers.extend(part.answers);
    if all.counts.is_empty() {
        all.counts = part.counts;
        return;
    }
    let pairs = all.counts.iter_mut().zip(part.counts);
    pairs.for_each(|(sum, more)| *sum += more);
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

//! The relay: a process beside an engine, where reports are fresh and counts and orders are cheap.
//! It polls the engine and delivers orders to it on behalf of any coordinator.
//!
//! It decides nothing, and its only state is the counts of its last poll. It may crash, freeze or
//! deliver an order late, as any link may: orders carry the group's epoch and a fencing token, and
//! a coordinator that gets no answer calls the engine itself.

use crate::calls::{Answer, CallPool, CallRequest, HttpAnswer, send};
use crate::forward::Forwarder;
use crate::placements::decompress_placements;
use crate::{Result, RuntimeSnafu};
use bn_conf::{Relay as Conf, Settings};
use bn_net::{Net, UsageReporter};
use bn_platform::engine::{self, Operation, RankedMap};
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

/// Capacity of the queue of messages to the thread.
const QUEUE_CAPACITY: usize = 256;
/// An engine on the same instance answers within a millisecond; if its answer is lost, the call
/// must be retried before a held group makes its streams late.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(60);
/// Interval of polls for complete copies: a quarter of a pass.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for copies in one request. The requester's timeout is longer than this.
pub(crate) const COPY_WAIT: Duration = Duration::from_millis(400);

/// A running relay.
pub struct Handle {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Returns a function that stops the relay. No caller waits for anything in flight here.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let stop = self.stop.clone();
        move || {
            stop.send_replace(true);
        }
    }

    /// Waits until the relay's thread has terminated.
    pub fn wait(self) -> std::result::Result<(), String> {
        let joined = self.thread.join();
        joined.map_err(|_| "the relay's thread panicked".into())
    }
}

/// Starts a relay on a separate thread.
pub fn start(settings: &Settings, conf: &Conf, lines: Lines) -> Result<Handle> {
    let (sink, inbox) = mpsc::channel(QUEUE_CAPACITY);
    let deliver = move |envelope| sink.try_send(envelope).is_ok();
    let net = Net::start(
        Role::Relay,
        &settings.id,
        settings.inbox,
        settings.listen,
        deliver,
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
        pool: CallPool::default(),
        forwarder: Forwarder::default(),
        last_counts: Mutex::default(),
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
    pool: CallPool,
    forwarder: Forwarder,
    last_counts: Mutex<LastCounts>,
}

/// Counts at the last poll, with the group's epoch at that time.
#[derive(Default)]
struct LastCounts {
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
            let Ok(requester) = envelope.inbox.parse::<SocketAddr>() else {
                continue;
            };
            match envelope.body {
                Some(Body::EngineAsks(requests)) => {
                    self.pool.evict_expired(self.start.elapsed());
                    let relay = self.clone();
                    // A separate task: an order must not wait for one that is never answered.
                    tokio::spawn(async move {
                        let answers = relay.clone().serve_all(requests).await;
                        relay.net.send(requester, Body::EngineAnswers(answers));
                    });
                }
                Some(Body::EngineAnswers(answers)) => self.forwarder.on_answers(answers),
                _ => {}
            }
        }
    }

    /// Serves the requests for this relay and forwards the others; returns all answers together.
    async fn serve_all(self: Arc<Relay>, requests: EngineAsks) -> EngineAnswers {
        let EngineAsks { asks, map } = requests;
        let map: Arc<[u8]> = map.into();
        let mut parts = JoinSet::new();
        for request in asks {
            let (relay, map) = (self.clone(), map.clone());
            parts.spawn(async move {
                match request.relay.parse() {
                    Ok(peer) if peer != relay.inbox => {
                        relay
                            .forwarder
                            .forward(&relay.net, peer, request, &map)
                            .await
                    }
                    _ => relay.serve(request, &map).await,
                }
            });
        }
        let mut all = EngineAnswers::default();
        while let Some(part) = parts.join_next().await {
            match part {
                Ok(part) => merge(&mut all, part),
                Err(e) => log::error!("a request's task failed: {e}"),
            }
        }
        all
    }

    async fn serve(&self, request: EngineAsk, map: &[u8]) -> EngineAnswers {
        let call = request.call;
        let (answer, counts) = match order_body(&request, map) {
            Some(order) => (self.order(&request, order).await, Vec::new()),
            None => self.poll(&request).await,
        };
        EngineAnswers {
            answers: vec![EngineAnswer { call, ..answer }],
            counts,
        }
    }

    async fn order(&self, request: &EngineAsk, order: Vec<u8>) -> EngineAnswer {
        let answer = self.call(engine::ORDER, Some(order), &request.engine).await;
        let status = answer.map_or(0, |a| u32::from(a.status));
        let fields = json!({ "engine": request.engine, "call": request.call, "status": status });
        self.lines.put("order_handed_over", fields);
        EngineAnswer {
            status,
            ..EngineAnswer::default()
        }
    }

    async fn poll(&self, request: &EngineAsk) -> (EngineAnswer, Vec<u64>) {
        let until = self.start.elapsed() + COPY_WAIT;
        let (status, view) = loop {
            let (status, view) = self.report(&request.engine).await;
            let copied = view
                .as_ref()
                .is_none_or(|v| v.prepared == Some(request.copied));
            if request.copied == 0 || copied || self.start.elapsed() >= until {
                break (status, view);
            }
            tokio::time::sleep(COPY_POLL_INTERVAL).await;
        };
        let counts = match request.counts && view.is_some() {
            true => self.counts(&request.engine).await,
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
        let Some(HttpAnswer { status, body, .. }) = self.call(engine::REPORT, None, server).await
        else {
            return (0, None);
        };
        let view = match (status, engine::parse_report(&body)) {
            (200, Ok(report)) => Some(to_view(report)),
            (200, Err(e)) => {
                log::warn!("invalid report of {server}: {e}");
                None
            }
            _ => None,
        };
        (u32::from(status), view)
    }

    /// How often each expert was chosen since the last poll; empty if that is not known.
    async fn counts(&self, server: &str) -> Vec<u64> {
        let answer = self.call(engine::COUNTS, None, server).await;
        let Some(HttpAnswer {
            status: 200, body, ..
        }) = answer
        else {
            return Vec::new();
        };
        match engine::parse_counts(&body) {
            Ok(counts) => self.increase(counts),
            Err(e) => {
                log::warn!("invalid counts of {server}: {e}");
                Vec::new()
            }
        }
    }

    fn increase(&self, now: engine::Counts) -> Vec<u64> {
        let engine::Counts { epoch, counts } = now;
        let mut last = self
            .last_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let comparable = last.epoch == epoch && last.counts.len() == counts.len();
        let pairs = match comparable {
            true => counts.iter().zip(&last.counts),
            // The engine or its group has restarted, so its recent counts are not known.
            false => [].iter().zip(&[]),
        };
        let increase = pairs.map(|(new, old)| new.saturating_sub(*old)).collect();
        *last = LastCounts { epoch, counts };
        increase
    }

    async fn call(&self, path: &'static str, body: Option<Vec<u8>>, server: &str) -> Answer {
        let request = CallRequest {
            address: self.engine,
            path: path.into(),
            body,
            server: server.into(),
        };
        let exchange = send(&self.pool, self.start, &request);
        tokio::time::timeout(TIMEOUT, exchange).await.ok().flatten()
    }
}

/// Body of a request's order, if it has one.
fn order_body(request: &EngineAsk, map: &[u8]) -> Option<Vec<u8>> {
    let Some(prepare) = &request.prepare else {
        return (!request.order.is_empty()).then(|| request.order.clone());
    };
    // An invalid map gives an empty order, which the engine refuses; the requester gets the status.
    let map = decompress_placements(map)
        .map_err(|e| log::warn!("invalid map: {e}"))
        .ok();
    let map = map.and_then(|map| {
        RankedMap::new(&map)
            .map_err(|e| log::warn!("invalid map: {e}"))
            .ok()
    });
    let operation = map.map(|map| Operation::Prepare {
        version: prepare.version,
        map,
    });
    Some(operation.map_or_else(Vec::new, |o| {
        engine::encode_order(o, prepare.epoch, prepare.token)
    }))
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

fn to_view(report: engine::Report) -> EngineView {
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
        pace: report.slowdown,
    }
}

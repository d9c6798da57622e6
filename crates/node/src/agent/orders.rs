//! Sends orders to the engine on a separate thread: the agent's thread must not block on an engine
//! that is loading weights or has stalled.

use crate::http_client;
use bn_group::{Order, OrderKind};
use bn_trace::Events;
use crossbeam::channel::{Receiver, Sender, bounded};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Maximum number of queued orders; further ones are dropped, and the leader sends them again after
/// a later report.
const QUEUE_CAPACITY: usize = 32;
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

/// An order and the engine that it is sent to.
pub(crate) struct EngineCommand {
    pub(crate) engine: SocketAddr,
    pub(crate) order: Order,
}

/// Starts the thread and returns the channel for orders.
pub(crate) fn start(events: Arc<Events>) -> Sender<EngineCommand> {
    let (tx, rx) = bounded(QUEUE_CAPACITY);
    thread::spawn(move || send_commands(&rx, &events));
    tx
}

fn send_commands(channel: &Receiver<EngineCommand>, events: &Events) {
    for command in channel {
        let (path, body) = encode(&command.order);
        let url = format!("http://{}/orders/{path}", command.engine);
        let sent = http_client::once(ENGINE_TIMEOUT)
            .post(&url)
            .send(body.to_string());
        match sent.map(|r| r.status().as_u16()) {
            Ok(200) => {}
            Ok(status) => events.note("order", format!("{path} refused by the engine: {status}")),
            Err(e) => {
                metrics::counter!("orders_failed").increment(1);
                log::debug!("cannot send {path} order to the engine: {e}");
            }
        }
    }
}

fn encode(order: &Order) -> (&'static str, serde_json::Value) {
    match &order.kind {
        OrderKind::Prepare { version, map } => (
            "prepare",
            json!({ "version": version, "map": map, "fence": order.fence }),
        ),
        OrderKind::Grant {
            version,
            from,
            until,
            map,
        } => (
            "grant",
            json!({
                "version": version, "from": from, "until": until, "map": map,
                "fence": order.fence,
            }),
        ),
    }
}

//! Restarts the core after a disk failure.

use crate::Result;
use crate::core::Core;
use crate::events::{EventReceiver, EventSender};
use bn_conf::Coordinator as Conf;
use bn_engine::EngineClient;
use bn_net::Net;
use bn_trace::Lines;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between two attempts to reopen a data directory that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// What a core is opened with, at the start and again after its disk failed.
pub(crate) struct CoreArgs {
    pub(crate) inbox: SocketAddr,
    /// Start of the process: state that is kept over a disk failure has times relative to it.
    pub(crate) start: Instant,
    pub(crate) conf: Conf,
    pub(crate) net: Net,
    pub(crate) lines: Lines,
    pub(crate) calls: EngineClient,
    pub(crate) events: EventSender,
}

/// Runs the core. A disk that is full or stalled refuses writes for a while: the core then restarts
/// from what is on disk, as after a restart of the process, but keeps its soft state, so that
/// backend servers and gateways need not use other coordinators for longer than that.
pub(crate) fn supervise(mut core: Core, args: &CoreArgs, receiver: &EventReceiver) -> Result<()> {
    loop {
        match core.run(receiver) {
            Ok(()) => return Ok(()),
            Err(crate::Error::Store { source }) => {
                let fields = json!({ "why": source.to_string() });
                args.lines.put("disk_failed", fields);
                if core.leaving_since.is_some() {
                    return Ok(());
                }
            }
            Err(e) => return Err(e),
        }
        let next = loop {
            std::thread::sleep(RETRY_INTERVAL);
            // Dropping the events signals waiting callers that there is no answer.
            if receiver.discard_all() {
                return Ok(());
            }
            match Core::open(args) {
                Ok(next) => break next,
                Err(e) => log::warn!("cannot reopen the data directory, retrying: {e}"),
            }
        };
        let before = std::mem::replace(&mut core, next);
        core.inherit(before);
    }
}

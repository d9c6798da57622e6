//! Keeping the core running over failures of its disk.

use crate::Result;
use crate::core::Core;
use crate::ring::{Inlet, Ring};
use bn_conf::Coordinator as Conf;
use bn_engine::EngineClient;
use bn_net::Net;
use bn_trace::Lines;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Between two tries to open a data folder that failed.
const DISK_PAUSE: Duration = Duration::from_millis(400);

/// What a core is opened with, at the start and again after its disk failed.
pub(crate) struct Opening {
    pub(crate) inbox: SocketAddr,
    /// Start of the process: what is kept over a failure of the disk has times since it.
    pub(crate) start: Instant,
    pub(crate) conf: Conf,
    pub(crate) net: Net,
    pub(crate) lines: Lines,
    pub(crate) calls: EngineClient,
    pub(crate) ring: Ring,
}

/// Runs the core. A disk that is full or stalled refuses writes for a while: the process
/// then begins again from what is on it, as after a restart, but keeps its soft state,
/// and backend servers and gateways need not turn elsewhere for longer than that.
pub(crate) fn supervise(mut core: Core, opening: &Opening, inlet: &Inlet) -> Result<()> {
    loop {
        match core.run(inlet) {
            Ok(()) => return Ok(()),
            Err(crate::Error::Store { source }) => {
                let fields = json!({ "why": source.to_string() });
                opening.lines.put("disk_failed", fields);
            }
            Err(e) => return Err(e),
        }
        let next = loop {
            std::thread::sleep(DISK_PAUSE);
            // Whoever waits for an answer is told that there is none now.
            if inlet.drain() {
                return Ok(());
            }
            match Core::open(opening) {
                Ok(next) => break next,
                Err(e) => log::warn!("the data folder cannot be opened yet: {e}"),
            }
        };
        let before = std::mem::replace(&mut core, next);
        core.inherit(before);
    }
}

//! Parts of answers on their way to entries. A thread for each entry gathers what comes
//! within a moment into one message: an engine's step ends for all its requests at once,
//! and a message each would wake the entry as often. The threads stay for good: one
//! that ended for want of work could leave a part behind in its ring.

use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::part::Kind;
use bn_wire::messages::{Part, Parts};
use crossbeam::channel::{Receiver, Sender, bounded};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Parts that wait for one entry; past that its requests wait, each on its thread.
const RING: usize = 1024;
/// How long a full ring or link is waited for before an answer is given up.
const PATIENCE: Duration = Duration::from_secs(2);
/// Wait for more parts after the first.
const GATHER: Duration = Duration::from_micros(300);
const MOST_PARTS: usize = 256;
const LINK_PAUSE: Duration = Duration::from_millis(1);

type Rings = Arc<Mutex<HashMap<SocketAddr, Sender<Kind>>>>;

/// The way to all entries. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Outbox {
    net: Net,
    rings: Rings,
}

impl Outbox {
    pub(crate) fn new(net: Net) -> Outbox {
        Outbox {
            net,
            rings: Rings::default(),
        }
    }

    /// Hands a part over, in order for each caller; waits while the entry takes
    /// nothing. `false`: it took nothing for too long.
    pub(crate) fn send(&self, entry: SocketAddr, part: Kind) -> bool {
        self.ring(entry).send_timeout(part, PATIENCE).is_ok()
    }

    fn ring(&self, entry: SocketAddr) -> Sender<Kind> {
        let start = || {
            let (tx, rx) = bounded(RING);
            let net = self.net.clone();
            thread::spawn(move || carry(&net, entry, &rx));
            tx
        };
        let mut rings = self.rings.lock().unwrap_or_else(PoisonError::into_inner);
        rings.entry(entry).or_insert_with(start).clone()
    }
}

fn carry(net: &Net, entry: SocketAddr, ring: &Receiver<Kind>) {
    for first in ring {
        thread::sleep(GATHER);
        let more = ring.try_iter().take(MOST_PARTS - 1);
        let parts = std::iter::once(first).chain(more);
        let parts = parts.map(|kind| Part { kind: Some(kind) }).collect();
        deliver(net, entry, &Parts { parts });
    }
}

/// Waits a while for room on the link, so that a burst slows answers down and loses
/// nothing of them. What is lost after that the entry notices by its offset.
fn deliver(net: &Net, entry: SocketAddr, parts: &Parts) {
    let start = Instant::now();
    while !net.send(entry, Body::Parts(parts.clone())) {
        if start.elapsed() > PATIENCE {
            metrics::counter!("parts_dropped").increment(parts.parts.len() as u64);
            return;
        }
        thread::sleep(LINK_PAUSE);
    }
}

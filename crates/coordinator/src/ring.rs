//! The way into the coordinator's thread: what consensus and held groups wait for goes before
//! the rest.
//!
//! On one ring a flood of announcements and asks for news stands before heartbeats. After a common
//! start of some hundred processes a thousand events wait, at a millisecond and more each on a
//! twentieth of a core, and leaders are deposed one after the other. So there are two rings, and of
//! the second no more is taken at once than a heartbeat may be late.

use bn_group::switch_controller::Reply;
use bn_settle::Document;
use bn_wire::messages::Envelope;
use bn_wire::messages::envelope::Body;
use crossbeam::channel::{Receiver, Select, Sender, bounded};
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

use crate::relays::GroupId;

/// Events of the first kind that wait: answers of all engines of some groups at once.
const FIRST: usize = 8192;
/// Events of the second kind that wait. What does not fit is asked again by its sender, at another
/// coordinator where that has more time; a longer line would only make each answer too late.
const REST: usize = 1024;

/// What the thread is told.
pub enum Event {
    /// A message of another process.
    Message(Box<Envelope>),
    /// A backend server announced itself; answered with whether it is one of ours.
    Announce(bn_registry::Record, oneshot::Sender<bool>),
    /// A backend server left.
    Leave(String, oneshot::Sender<()>),
    /// An operator's checked document.
    Settle(Box<Document>, Vec<u8>, oneshot::Sender<bool>),
    /// An operator reads the document in force; answered with none where unsure.
    Read(oneshot::Sender<Option<Vec<u8>>>),
    /// An operator asks which requests are refused; answered as JSON.
    Cases(oneshot::Sender<String>),
    /// An operator asks who keeps the log; answered as JSON.
    Members(oneshot::Sender<String>),
    /// An operator asks which backend servers name a limit; answered as JSON.
    Limits(oneshot::Sender<String>),
    /// An operator vouches for a request; answered with whether anything was held against it.
    Pardon(bn_quarantine::Digest, oneshot::Sender<bool>),
    /// A caller in that failure domain asks for addresses.
    Resolve(String, oneshot::Sender<Vec<SocketAddr>>),
    /// An engine replied to a call about its group, or did not.
    Called(GroupId, u64, Reply),
    /// The settings name other seeds.
    Seeds(Vec<SocketAddr>),
    /// Begin a graceful stop.
    Stop,
}

impl Event {
    /// It may wait: its sender asks again, or turns elsewhere.
    fn may_wait(&self) -> bool {
        match self {
            Event::Announce(..) | Event::Leave(..) | Event::Resolve(..) => true,
            Event::Message(m) => matches!(
                m.body,
                Some(Body::NewsAsk(_) | Body::News(_) | Body::LimitsHeard(_))
            ),
            _ => false,
        }
    }
}

/// The sending end. Cheap to clone.
#[derive(Clone)]
pub struct Ring {
    first: Sender<Event>,
    rest: Sender<Event>,
}

/// The thread's end.
pub struct Inlet {
    first: Receiver<Event>,
    rest: Receiver<Event>,
    /// Most events that waited on each.
    longest: Cell<(usize, usize)>,
}

/// Both ends.
pub fn ring() -> (Ring, Inlet) {
    let (first, first_out) = bounded(FIRST);
    let (rest, rest_out) = bounded(REST);
    let inlet = Inlet {
        first: first_out,
        rest: rest_out,
        longest: Cell::default(),
    };
    (Ring { first, rest }, inlet)
}

impl Ring {
    /// Hands an event over; `false`, and counted, where there is no room or nobody takes it.
    pub fn put(&self, event: Event) -> bool {
        let way = match event.may_wait() {
            true => &self.rest,
            false => &self.first,
        };
        let taken = way.try_send(event).is_ok();
        if !taken {
            metrics::counter!("ring_lost_total").increment(1);
        }
        taken
    }
}

impl Inlet {
    /// Waits until there is an event, `most` long.
    pub(crate) fn wait(&self, most: Duration) {
        let mut either = Select::new();
        either.recv(&self.first);
        either.recv(&self.rest);
        // Either way the caller looks at both.
        let _ = either.ready_timeout(most);
        let (first, rest) = self.longest.get();
        let longest = (first.max(self.first.len()), rest.max(self.rest.len()));
        self.longest.set(longest);
    }

    /// The next event that must not wait.
    pub fn first(&self) -> Option<Event> {
        self.first.try_recv().ok()
    }

    /// The next event of the rest.
    pub fn rest(&self) -> Option<Event> {
        self.rest.try_recv().ok()
    }

    /// How much waits, and how much did at the most since this was asked last.
    pub(crate) fn waiting(&self) -> Value {
        let longest = self.longest.take();
        json!({
            "first": self.first.len(), "rest": self.rest.len(),
            "first_longest": longest.0, "rest_longest": longest.1,
        })
    }

    /// Drops all that waits; whether a stop was among it.
    pub(crate) fn drain(&self) -> bool {
        let waiting = self.first.try_iter().chain(self.rest.try_iter());
        let stops = waiting.filter(|e| matches!(e, Event::Stop));
        stops.count() > 0
    }
}

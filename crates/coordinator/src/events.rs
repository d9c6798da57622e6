//! Queues into the coordinator's thread: events that consensus and held groups wait for are handled
//! first.
//!
//! In a single queue, a flood of announcements and polls delays heartbeats. After a common start of
//! some hundred processes a thousand events are queued, each taking a millisecond or more on 5 % of
//! a core, and one leader after the other is deposed. So there are two queues, and the second one
//! is only processed for as long as a heartbeat may be late.

use bn_group::switch_controller::Reply;
use bn_registry::StartTime;
use bn_settle::Document;
use bn_wire::messages::Envelope;
use bn_wire::messages::envelope::Body;
use crossbeam::channel::{Receiver, Select, Sender, bounded};
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

use crate::departures::Health;
use crate::evacuations::EvacuationCall;
use crate::relays::GroupId;

/// Capacity of the urgent queue: responses of all engines of some groups at once.
const URGENT_CAPACITY: usize = 8192;
/// Capacity of the deferrable queue. Senders of events that do not fit retry, at another
/// coordinator that is less busy; a longer queue would only make each answer too late.
const DEFERRABLE_CAPACITY: usize = 1024;

/// Event for the coordinator's thread.
pub enum Event {
    /// A message of another process.
    Message(Box<Envelope>),
    /// A backend server announces itself; answered with whether it was accepted.
    Announce(bn_registry::Record, oneshot::Sender<bool>),
    /// A backend server leaves; the start that does, if it says so. Answered with whether its
    /// departure is in force.
    Leave(String, Option<StartTime>, oneshot::Sender<bool>),
    /// Result of a health check, by the number of the departure that it is for.
    HealthChecked(u64, Health),
    /// An operator's validated document.
    Propose(Box<Document>, Vec<u8>, oneshot::Sender<bool>),
    /// An operator reads the document in force; answered with `None` if that is uncertain.
    ReadDocument(oneshot::Sender<Option<Vec<u8>>>),
    /// An operator orders the start or end of an evacuation.
    Evacuate(EvacuationCall),
    /// An operator requests the evacuations; answered as JSON.
    Evacuations(oneshot::Sender<String>),
    /// An operator requests the refused requests; answered as JSON.
    Cases(oneshot::Sender<String>),
    /// An operator requests the members of the log; answered as JSON.
    Members(oneshot::Sender<String>),
    /// An operator requests the backend servers that set a limit; answered as JSON.
    Limits(oneshot::Sender<String>),
    /// An operator declares a request harmless; answered with whether there was a case against it.
    Pardon(bn_quarantine::Digest, oneshot::Sender<bool>),
    /// A caller in that failure domain requests gateway addresses.
    Resolve(String, oneshot::Sender<Vec<SocketAddr>>),
    /// Reply to a call to an engine about its group, or a failure.
    EngineReplied(GroupId, u64, Reply),
    /// The settings have other seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// Starts a graceful stop.
    Stop,
}

impl Event {
    /// Whether the event may wait: its sender retries, or tries another coordinator.
    fn is_deferrable(&self) -> bool {
        match self {
            Event::Announce(..) | Event::Leave(..) | Event::Resolve(..) => true,
            Event::Message(m) => matches!(
                m.body,
                Some(
                    Body::NewsAsk(_)
                        | Body::News(_)
                        | Body::LimitsHeard(_)
                        | Body::RegistrationAsk(_)
                        | Body::RegistrationAnswer(_)
                )
            ),
            _ => false,
        }
    }
}

/// Sending end. Cheap to clone.
#[derive(Clone)]
pub struct EventSender {
    urgent: Sender<Event>,
    deferrable: Sender<Event>,
}

/// Receiving end, of the coordinator's thread.
pub struct EventReceiver {
    urgent: Receiver<Event>,
    deferrable: Receiver<Event>,
    /// Most events queued in each.
    longest: Cell<(usize, usize)>,
}

/// Creates both ends.
pub fn event_queue() -> (EventSender, EventReceiver) {
    let (urgent, urgent_out) = bounded(URGENT_CAPACITY);
    let (deferrable, deferrable_out) = bounded(DEFERRABLE_CAPACITY);
    let receiver = EventReceiver {
        urgent: urgent_out,
        deferrable: deferrable_out,
        longest: Cell::default(),
    };
    (EventSender { urgent, deferrable }, receiver)
}

impl EventSender {
    /// Queues an event; `false`, and counted, if the queue is full or closed.
    pub fn send(&self, event: Event) -> bool {
        let queue = match event.is_deferrable() {
            true => &self.deferrable,
            false => &self.urgent,
        };
        let queued = queue.try_send(event).is_ok();
        if !queued {
            metrics::counter!("ring_lost_total").increment(1);
        }
        queued
    }
}

impl EventReceiver {
    /// Waits for an event, for at most `timeout`.
    pub(crate) fn wait(&self, timeout: Duration) {
        let mut select = Select::new();
        select.recv(&self.urgent);
        select.recv(&self.deferrable);
        // In either case the caller checks both queues.
        let _ = select.ready_timeout(timeout);
        let (urgent, deferrable) = self.longest.get();
        let longest = (
            urgent.max(self.urgent.len()),
            deferrable.max(self.deferrable.len()),
        );
        self.longest.set(longest);
    }

    /// The next urgent event.
    pub fn next_urgent(&self) -> Option<Event> {
        self.urgent.try_recv().ok()
    }

    /// The next deferrable event.
    pub fn next_deferrable(&self) -> Option<Event> {
        self.deferrable.try_recv().ok()
    }

    /// Current queue lengths, and the greatest since the last call.
    pub(crate) fn queue_lengths(&self) -> Value {
        let longest = self.longest.take();
        json!({
            "first": self.urgent.len(), "rest": self.deferrable.len(),
            "first_longest": longest.0, "rest_longest": longest.1,
        })
    }

    /// Discards all queued events; whether a stop was among them.
    pub(crate) fn discard_all(&self) -> bool {
        let queued = self.urgent.try_iter().chain(self.deferrable.try_iter());
        let stops = queued.filter(|e| matches!(e, Event::Stop));
        stops.count() > 0
    }
}

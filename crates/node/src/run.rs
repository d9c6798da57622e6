//! Starts a process with every role that its settings list.

use crate::clock::Clock;
use crate::control::Control;
use crate::entry::{self, Entry};
use crate::pages::{self, Pages};
use crate::{ListenSnafu, Result, agent, caller, control, tls};
use bn_conf::Settings;
use bn_net::Net;
use bn_trace::Events;
use bn_trace::Metrics;
use bn_wire::messages::Envelope;
use bn_wire::messages::envelope::Body;
use crossbeam::channel::{Receiver, Sender, bounded};
use snafu::ResultExt;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Maximum number of events that wait for a role's thread.
const CHANNEL_CAPACITY: usize = 16_384;

/// Context that every role receives.
#[derive(Clone)]
pub(crate) struct Common {
    pub(crate) id: String,
    pub(crate) domain: String,
    pub(crate) net: Net,
    pub(crate) clock: Clock,
    pub(crate) events: Arc<Events>,
}

/// Starts the graceful shutdown of a role.
type StopFn = Arc<dyn Fn() + Send + Sync>;

/// Handle of a started process.
pub struct ProcessHandle {
    stops: Vec<StopFn>,
    threads: Vec<(&'static str, JoinHandle<Result<()>>)>,
    events: Arc<Events>,
}

impl ProcessHandle {
    /// Returns a function that gracefully stops every role: no request in flight is cut.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let (stops, events) = (self.stops.clone(), self.events.clone());
        move || {
            events.note("stop", "graceful stop begins");
            stops.iter().for_each(|s| s());
        }
    }

    /// Waits until every role has terminated; returns the first failure immediately.
    pub fn wait(self) -> Result<()> {
        let mut pending = self.threads;
        while !pending.is_empty() {
            let finished = pending.iter().position(|(_, t)| t.is_finished());
            let Some(at) = finished else {
                thread::sleep(std::time::Duration::from_millis(20));
                continue;
            };
            let (role, thread) = pending.swap_remove(at);
            thread
                .join()
                .map_err(|_| crate::Error::Panicked { role })??;
        }
        self.events.note("stop", "stopped");
        Ok(())
    }
}

/// Channels to the roles of this process.
#[derive(Default)]
struct Channels {
    entry: Option<Sender<entry::Event>>,
    agent: Option<Sender<agent::Event>>,
    control: Option<Sender<control::Event>>,
}

/// Starts all roles listed in `settings`.
pub fn start(settings: &Settings, metrics: Metrics) -> Result<ProcessHandle> {
    let events = Arc::new(Events::open(&settings.id, settings.log.events.as_deref())?);
    let mut channels = Channels::default();
    let mut receivers = (None, None, None);
    if settings.entry.is_some() {
        (channels.entry, receivers.0) = channel();
    }
    if settings.agent.is_some() {
        (channels.agent, receivers.1) = channel();
    }
    if settings.control.is_some() {
        (channels.control, receivers.2) = channel();
    }
    let senders = (
        channels.entry.clone(),
        channels.agent.clone(),
        channels.control.clone(),
    );
    let incarnation = rand::random::<u64>() | 1;
    let net = Net::open(
        &settings.id,
        incarnation,
        settings.inbox,
        settings.listen,
        move |e| channels.deliver(e),
    )?;
    let common = Common {
        id: settings.id.clone(),
        domain: settings.domain.clone(),
        net,
        clock: Clock::start(),
        events: events.clone(),
    };
    let tls = settings.tls.as_ref().map(tls::acceptor).transpose()?;
    events.note("start", format!("{} in {}", settings.id, settings.domain));
    let mut running = ProcessHandle {
        stops: Vec::new(),
        threads: Vec::new(),
        events: events.clone(),
    };
    let mut handlers: Vec<pages::Handler> = Vec::new();

    if let (Some(conf), Some(tx), Some(rx)) = (&settings.control, senders.2, receivers.2) {
        let control = Control::open(common.clone(), conf)?;
        running
            .threads
            .push(("control", thread::spawn(move || control.run(&rx))));
        running
            .stops
            .push(Arc::new(move || drop(tx.send(control::Event::Stop))));
    }
    if let (Some(conf), Some(tx), Some(rx)) = (&settings.entry, senders.0, receivers.0) {
        let listener = TcpListener::bind(conf.callers).context(ListenSnafu {
            address: conf.callers,
        })?;
        caller::serve(listener, tls.clone(), tx.clone(), conf.max_body).context(ListenSnafu {
            address: conf.callers,
        })?;
        handlers.push(entry::command_page(tx.clone()));
        let entry = Entry::new(common.clone(), conf);
        running
            .threads
            .push(("entry", thread::spawn(move || entry.run(&rx))));
        running
            .stops
            .push(Arc::new(move || drop(tx.send(entry::Event::Stop))));
    }
    if let (Some(conf), Some(tx), Some(rx)) = (&settings.agent, senders.1, receivers.1) {
        handlers.push(agent::announce_page(tx.clone()));
        let agent = agent::Agent::new(common.clone(), conf, tx.clone());
        running
            .threads
            .push(("agent", thread::spawn(move || agent.run(&rx))));
        running
            .stops
            .push(Arc::new(move || drop(tx.send(agent::Event::Stop))));
    }
    pages::serve(
        settings.operators,
        tls,
        Pages {
            events,
            metrics,
            handlers: handlers.into(),
        },
    )?;
    Ok(running)
}

fn channel<T>() -> (Option<Sender<T>>, Option<Receiver<T>>) {
    let (tx, rx) = bounded(CHANNEL_CAPACITY);
    (Some(tx), Some(rx))
}

impl Channels {
    /// Passes a message to the role that handles it. A full channel drops it, as a link may.
    fn deliver(&self, envelope: Envelope) {
        let dropped = match &envelope.body {
            Some(
                Body::Attach(_)
                | Body::Started(_)
                | Body::Piece(_)
                | Body::Finish(_)
                | Body::LeaseGrant(_)
                | Body::Outcome(_)
                | Body::ClaimAsk(_)
                | Body::ClaimAnswer(_),
            ) => is_dropped(&self.entry, entry::Event::Message(Box::new(envelope))),
            Some(
                Body::AgentLease(_) | Body::Dispatch(_) | Body::Cancel(_) | Body::SwitchOrder(_),
            ) => is_dropped(&self.agent, agent::Event::Message(Box::new(envelope))),
            Some(
                Body::Quorum(_) | Body::LeaseAsk(_) | Body::Proposal(_) | Body::SwitchReport(_),
            ) => is_dropped(&self.control, control::Event::Message(Box::new(envelope))),
            // Messages for the gateway and coordinator roles, which run as separate processes.
            _ => true,
        };
        if dropped {
            metrics::counter!("ring_lost").increment(1);
        }
    }
}

fn is_dropped<T>(channel: &Option<Sender<T>>, event: T) -> bool {
    channel.as_ref().is_none_or(|r| r.try_send(event).is_err())
}

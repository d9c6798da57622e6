//! Backend servers that ask for something with their answers, and callers of several gateways.

use super::scripts::{head, say};
use super::{Backend, Fleet, Message, call, request};
use bn_platform::header::{ATTEMPT, SIGNATURE};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that reached a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    /// The gateway that sent it.
    pub(crate) gateway: u8,
}

/// A backend server that records what reaches it and when.
#[derive(Clone)]
pub(crate) struct Asker {
    pub(crate) backend: Backend,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// What it answers: the status with its reason, and further lines of the head.
pub(crate) type Answer = (&'static str, String);

impl Asker {
    /// `answer` decides by the gateway that sent the request.
    pub(crate) fn start(id: &str, answer: impl Fn(u8) -> Answer + Send + Sync + 'static) -> Asker {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let record = arrivals.clone();
        let backend = Backend::start(id, move |request, stream| {
            let attempt = request.header(ATTEMPT);
            let gateway = attempt.split('-').next().and_then(|g| g.parse().ok());
            // What coordinators ask engines is no request of a caller.
            let Some(gateway) = gateway else {
                return say(
                    stream,
                    "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
                );
            };
            let at = Instant::now();
            record.lock().expect("record").push(Arrival { at, gateway });
            let (status, more) = answer(gateway);
            say(stream, &whole(request, status, &more))
        });
        Asker { backend, arrivals }
    }

    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals").clone()
    }
}

fn whole(request: &Message, status: &str, more: &str) -> String {
    let streams = request.first.contains("/draft/");
    let (kind, body) = match streams && status.starts_with("200") {
        true => ("text/event-stream", "id: 1\ndata: piece\n\n"),
        false => ("text/plain", "whole"),
    };
    let more = format!(
        "{SIGNATURE}: s\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n{more}",
        body.len()
    );
    format!("{}\r\n{body}", head(request, status, &more))
}

/// An answer of a caller's request, with when it was asked.
pub(crate) struct Asked {
    pub(crate) at: Instant,
    pub(crate) answer: Message,
}

/// Asks at each of these gateways at once, every `gap` for `time`.
pub(crate) fn ask_all(
    fleet: &Fleet,
    gateways: &[u8],
    (method, path): (&'static str, &'static str),
    gap: Duration,
    time: Duration,
) -> Vec<Asked> {
    let until = Instant::now() + time;
    let ask = |n: u8| {
        let address = fleet.callers(n);
        thread::spawn(move || {
            let mut asked = Vec::new();
            for turn in 0.. {
                let at = Instant::now();
                if at >= until {
                    break;
                }
                let head = request(method, path, &format!("{n}-{path}-{turn}"), "key-1");
                let answer = call(address, &head, "body").unwrap_or_default();
                asked.push(Asked { at, answer });
                thread::sleep(gap.saturating_sub(at.elapsed()));
            }
            asked
        })
    };
    let asking: Vec<_> = gateways.iter().map(|n| ask(*n)).collect();
    let ended = asking.into_iter().map(|a| a.join().expect("caller"));
    ended.flatten().collect()
}

/// The most of these that lie within any span of this length.
pub(crate) fn most_within(times: &[Instant], span: Duration) -> usize {
    let within = |from: Instant| {
        let after = times.iter().filter(|t| **t >= from && **t < from + span);
        after.count()
    };
    times.iter().map(|t| within(*t)).max().unwrap_or(0)
}

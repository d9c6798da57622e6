//! Backend servers that set response headers for gateways, and callers of several gateways.

use super::scripts::{response_head, write_text};
use super::{Backend, Fleet, Message, call, request_head};
use bn_platform::header::{ATTEMPT, SIGNATURE};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that reached a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    /// The gateway that sent it, by its number.
    pub(crate) gateway: u8,
}

/// A backend server that records when and from which gateway each request arrived.
#[derive(Clone)]
pub(crate) struct Recorder {
    pub(crate) backend: Backend,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

/// A response: the status with its reason phrase, and additional header lines.
pub(crate) type ResponseHead = (&'static str, String);

impl Recorder {
    /// `respond` returns the response for a request, given the gateway that sent it.
    pub(crate) fn start(
        id: &str,
        respond: impl Fn(u8) -> ResponseHead + Send + Sync + 'static,
    ) -> Recorder {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let record = arrivals.clone();
        let backend = Backend::start(id, move |request, stream| {
            let attempt = request.header(ATTEMPT);
            let gateway = attempt.split('-').next().and_then(|g| g.parse().ok());
            // Coordinators' requests to engines are not callers' requests.
            let Some(gateway) = gateway.filter(|_| request.is_callers()) else {
                return write_text(
                    stream,
                    "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
                );
            };
            let at = Instant::now();
            record.lock().expect("record").push(Arrival { at, gateway });
            let (status, headers) = respond(gateway);
            write_text(stream, &response_text(request, status, &headers))
        });
        Recorder { backend, arrivals }
    }

    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals").clone()
    }
}

fn response_text(request: &Message, status: &str, headers: &str) -> String {
    let is_stream = request.start_line.contains("/draft/");
    let (kind, body) = match is_stream && status.starts_with("200") {
        true => ("text/event-stream", "id: 1\ndata: piece\n\n"),
        false => ("text/plain", "whole"),
    };
    let headers = format!(
        "{SIGNATURE}: s\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n{headers}",
        body.len()
    );
    format!("{}\r\n{body}", response_head(request, status, &headers))
}

/// The response to a caller's request, with the time at which the request was sent.
pub(crate) struct TimedResponse {
    pub(crate) sent_at: Instant,
    pub(crate) response: Message,
}

/// Sends requests to all these gateways concurrently, to each every `interval` for `duration`.
pub(crate) fn send_all(
    fleet: &Fleet,
    gateways: &[u8],
    (method, path): (&'static str, &'static str),
    interval: Duration,
    duration: Duration,
) -> Vec<TimedResponse> {
    let deadline = Instant::now() + duration;
    let start_caller = |n: u8| {
        let address = fleet.callers(n);
        thread::spawn(move || {
            let mut responses = Vec::new();
            for i in 0.. {
                let sent_at = Instant::now();
                if sent_at >= deadline {
                    break;
                }
                let head = request_head(method, path, &format!("{n}-{path}-{i}"), "key-1");
                let response = call(address, &head, "body").unwrap_or_default();
                responses.push(TimedResponse { sent_at, response });
                thread::sleep(interval.saturating_sub(sent_at.elapsed()));
            }
            responses
        })
    };
    let callers: Vec<_> = gateways.iter().map(|n| start_caller(*n)).collect();
    let responses = callers.into_iter().map(|c| c.join().expect("caller"));
    responses.flatten().collect()
}

/// The largest number of these times within any span of this length.
pub(crate) fn max_within(times: &[Instant], span: Duration) -> usize {
    let count_from = |from: Instant| {
        let inside = times.iter().filter(|t| **t >= from && **t < from + span);
        inside.count()
    };
    times.iter().map(|t| count_from(*t)).max().unwrap_or(0)
}

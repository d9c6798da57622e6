//! One request at the backend server, on its own thread: sent once, with the answer streamed back.

use super::Event;
use crate::clock::Clock;
use crate::http_client;
use bn_backpressure::{Directives, Feedback};
use bn_claim::RunKey;
use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::finish::Kind;
use bn_wire::messages::{Dispatch, Finish, Header, Piece, Started};
use crossbeam::channel::Sender;
use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Maximum size of a piece of an answer.
const MAX_PIECE_BYTES: usize = 16 * 1024;
/// Time to wait for a full link before the answer is abandoned.
const LINK_TIMEOUT: Duration = Duration::from_secs(2);
const LINK_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Headers of the backend server's response that are forwarded to callers.
const FORWARDED_HEADERS: [&str; 4] = ["content-type", "cache-control", "x-fake", "retry-after"];

/// A request to run at the backend server.
pub(crate) struct BackendCall {
    pub(crate) net: Net,
    pub(crate) channel: Sender<Event>,
    pub(crate) base_url: String,
    pub(crate) entry: SocketAddr,
    pub(crate) key: RunKey,
    pub(crate) dispatch: Dispatch,
    pub(crate) cancelled: Arc<AtomicBool>,
    pub(crate) clock: Clock,
    /// Number of requests running at this backend server.
    pub(crate) running: Arc<AtomicU32>,
}

/// Outcome of the request.
struct Completion {
    kind: Kind,
    length: u64,
    reason: String,
}

impl BackendCall {
    /// Runs the request and reports its completion; never sends it twice.
    pub(crate) fn run(self) {
        let completion = self.execute();
        let finish = Finish {
            attempt: self.dispatch.attempt,
            kind: completion.kind.into(),
            length: completion.length,
            reason: completion.reason,
            // This request has completed.
            running: self.running.load(Ordering::Relaxed).saturating_sub(1),
            full: false,
        };
        self.send(Body::Finish(finish));
        self.notify(Event::RequestEnded(self.key));
    }

    /// Notifies the agent's thread. It has terminated only if the process terminates.
    fn notify(&self, event: Event) {
        if self.channel.send(event).is_err() {
            log::info!("the agent thread terminated while a request was running");
        }
    }

    fn execute(&self) -> Completion {
        self.send(Body::Started(Started {
            attempt: self.dispatch.attempt,
        }));
        let sent_at = self.clock.now();
        match self.send_request() {
            Ok(response) => self.stream(sent_at, response),
            Err(ureq::Error::Io(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                completion(Kind::NotRun, 0, "the backend server refused the connection")
            }
            Err(e) => completion(Kind::MayHaveRun, 0, &e.to_string()),
        }
    }

    fn send_request(&self) -> Result<http::Response<ureq::Body>, ureq::Error> {
        let d = &self.dispatch;
        let agent = http_client::once(Duration::from_millis(d.time_left_ms.max(1)));
        let mut request = http::Request::builder()
            .method(d.method.as_str())
            .uri(format!("{}{}", self.base_url, d.path))
            .header("x-attempt", format!("{:x}-{}", self.key.0, self.key.1))
            .header("x-priority", d.priority)
            .header("x-resume-at", d.resume_at);
        if !d.key.is_empty() {
            request = request.header("idempotency-key", &d.key);
        }
        for h in &d.headers {
            request = request.header(&h.name, &h.value);
        }
        if d.body.is_empty() {
            agent.run(request.body(())?)
        } else {
            agent.run(request.body(&d.body[..])?)
        }
    }

    /// Reports to the agent whether the backend server accepts more, before the caller gets a byte.
    fn report_response(&self, sent_at: Duration, head: &http::response::Parts) {
        let backoff = match head.status {
            http::StatusCode::SERVICE_UNAVAILABLE => retry_after(&head.headers),
            _ => None,
        };
        let directives = Directives {
            backoff,
            ..Directives::default()
        };
        self.notify(Event::ResponseHead(Feedback {
            directives,
            sent_at,
            authentic: true,
        }));
    }

    fn stream(&self, sent_at: Duration, response: http::Response<ureq::Body>) -> Completion {
        let (head, body) = response.into_parts();
        self.report_response(sent_at, &head);
        let forwarded = |name: &&str| {
            let value = head.headers.get(*name)?.to_str().ok()?;
            Some(Header {
                name: (*name).into(),
                value: value.into(),
            })
        };
        let mut headers: Vec<Header> = FORWARDED_HEADERS.iter().filter_map(forwarded).collect();
        let framed = is_framed(&head);
        let mut offset = self.dispatch.resume_at;
        let mut reader = body.into_reader();
        let mut buffer = vec![0; MAX_PIECE_BYTES];
        let mut first = true;
        loop {
            if self.cancelled.load(Ordering::Relaxed) {
                return completion(Kind::MayHaveRun, offset, "cancelled");
            }
            let read = match reader.read(&mut buffer) {
                Ok(n) => n,
                Err(e) => return completion(Kind::MayHaveRun, offset, &format!("cut: {e}")),
            };
            if read > 0 || first {
                let piece = Piece {
                    attempt: self.dispatch.attempt,
                    offset,
                    data: buffer.get(..read).unwrap_or_default().to_vec(),
                    status: u32::from(head.status.as_u16()),
                    headers: std::mem::take(&mut headers),
                };
                first = false;
                offset += read as u64;
                if !self.send(Body::Piece(piece)) {
                    return completion(
                        Kind::MayHaveRun,
                        offset,
                        "the link to the entry takes nothing",
                    );
                }
            }
            match read {
                0 if framed => return completion(Kind::Whole, offset, ""),
                0 => return completion(Kind::MayHaveRun, offset, "nothing marks the answer's end"),
                _ => {}
            }
        }
    }

    /// Waits up to `LINK_TIMEOUT` for capacity on the link, so that a burst delays this answer and
    /// drops no part of it.
    fn send(&self, body: Body) -> bool {
        let start = Instant::now();
        loop {
            if self.net.send(self.entry, body.clone()) {
                return true;
            }
            if start.elapsed() > LINK_TIMEOUT || self.cancelled.load(Ordering::Relaxed) {
                return false;
            }
            std::thread::sleep(LINK_RETRY_INTERVAL);
        }
    }
}

/// Whether the end of an answer is marked. Otherwise it ends with its connection, and the library
/// reports a reset connection as an ordinary end.
fn is_framed(head: &http::response::Parts) -> bool {
    use http::StatusCode;
    use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    let marks = [CONTENT_LENGTH, TRANSFER_ENCODING];
    has_no_body || marks.iter().any(|name| head.headers.contains_key(name))
}

fn completion(kind: Kind, length: u64, reason: &str) -> Completion {
    Completion {
        kind,
        length,
        reason: reason.into(),
    }
}

/// Parses the seconds of a `Retry-After` header; HTTP dates are not supported.
fn retry_after(headers: &http::HeaderMap) -> Option<Duration> {
    let value = headers.get(http::header::RETRY_AFTER)?;
    let seconds = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    let time = seconds.and_then(|s: f64| Duration::try_from_secs_f64(s).ok());
    if time.is_none() {
        log::warn!("invalid Retry-After header from the backend server: {value:?}");
    }
    time
}

//! Forwards requests to other relays and returns their answers: a coordinator with a share of a
//! core cannot reach dozens of ranks within a pass, but a relay can reach a few.

use crate::relay::{COPY_WAIT, TIMEOUT};
use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswer, EngineAnswers, EngineAsk, EngineAsks};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Round trip to another relay, added to the time that it waits for its engine.
const ROUND_TRIP: Duration = Duration::from_millis(30);

/// Requests forwarded to other relays.
#[derive(Default)]
pub(crate) struct Forwarder(Mutex<Pending>);

#[derive(Default)]
struct Pending {
    count: u64,
    requests: IndexMap<u64, oneshot::Sender<EngineAnswers>>,
}

impl Forwarder {
    /// Forwards a request to the relay that it is for; the answer says so if that relay does not
    /// answer in time.
    pub(crate) async fn forward(
        &self,
        net: &Net,
        peer: SocketAddr,
        request: EngineAsk,
        map: &[u8],
    ) -> EngineAnswers {
        let call = request.call;
        let timeout = match request.copied {
            0 => TIMEOUT * 2 + ROUND_TRIP,
            _ => COPY_WAIT + TIMEOUT + ROUND_TRIP,
        };
        let (number, receiver) = self.register(net.incarnation());
        let asks = EngineAsks {
            map: request
                .prepare
                .as_ref()
                .map_or_else(Vec::new, |_| map.to_vec()),
            asks: vec![EngineAsk {
                call: number,
                ..request
            }],
        };
        net.send(peer, Body::EngineAsks(asks));
        let answers = tokio::time::timeout(timeout, receiver).await;
        self.pending().requests.swap_remove(&number);
        match answers {
            Ok(Ok(mut answers)) => {
                answers.answers.iter_mut().for_each(|a| a.call = call);
                answers
            }
            _ => {
                // Messages queued on the link must not arrive once the peer is back.
                net.disconnect(peer);
                unanswered(call)
            }
        }
    }

    /// Delivers the answer to a forwarded request. Late answers are dropped, as their requests have
    /// timed out.
    pub(crate) fn on_answers(&self, answers: EngineAnswers) {
        let number = answers.answers.first().map_or(0, |a| a.call);
        let sender = self.pending().requests.swap_remove(&number);
        if sender.is_none_or(|sender| sender.send(answers).is_err()) {
            metrics::counter!("answers_unwanted_total").increment(1);
        }
    }

    /// Numbers start at a random one, so that answers to an earlier incarnation match no request.
    fn register(&self, first: u64) -> (u64, oneshot::Receiver<EngineAnswers>) {
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.pending();
        pending.count += 1;
        let number = first.wrapping_add(pending.count);
        pending.requests.insert(number, sender);
        (number, receiver)
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unanswered(call: u64) -> EngineAnswers {
    let answer = EngineAnswer {
        call,
        unheard: true,
        ..EngineAnswer::default()
    };
    EngineAnswers {
        answers: vec![answer],
        counts: Vec::new(),
    }
}

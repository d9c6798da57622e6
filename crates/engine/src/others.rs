//! Passing asks on to other relays, and their answers back: a coordinator with a share of a
//! core cannot talk to dozens of ranks within a pass, one relay with a few can.

use crate::relay::{COPY_WAIT, TIMEOUT};
use bn_net::Net;
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{EngineAnswer, EngineAnswers, EngineAsk, EngineAsks};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// For the way to another relay and back, beside what it waits for its engine.
const WAY: Duration = Duration::from_millis(30);

/// Asks that others are to answer.
#[derive(Default)]
pub(crate) struct Others(Mutex<Waiting>);

#[derive(Default)]
struct Waiting {
    made: u64,
    asks: IndexMap<u64, oneshot::Sender<EngineAnswers>>,
}

impl Others {
    /// Has an ask answered by the relay that it is for; says where that one stays silent.
    pub(crate) async fn ask(
        &self,
        net: &Net,
        other: SocketAddr,
        ask: EngineAsk,
        map: &[u8],
    ) -> EngineAnswers {
        let call = ask.call;
        let time = match ask.copied {
            0 => TIMEOUT * 2 + WAY,
            _ => COPY_WAIT + TIMEOUT + WAY,
        };
        let (number, answered) = self.begin(net.incarnation());
        let asks = EngineAsks {
            map: ask.prepare.as_ref().map_or_else(Vec::new, |_| map.to_vec()),
            asks: vec![EngineAsk {
                call: number,
                ..ask
            }],
        };
        net.send(other, Body::EngineAsks(asks));
        let answers = tokio::time::timeout(time, answered).await;
        self.waiting().asks.swap_remove(&number);
        match answers {
            Ok(Ok(mut answers)) => {
                answers.answers.iter_mut().for_each(|a| a.call = call);
                answers
            }
            _ => {
                // What waits on the link must not arrive when the other one is back.
                net.disconnect(other);
                unheard(call)
            }
        }
    }

    /// Takes the answer to an ask that was passed on. One that is late was given up.
    pub(crate) fn answered(&self, answers: EngineAnswers) {
        let number = answers.answers.first().map_or(0, |a| a.call);
        let ask = self.waiting().asks.swap_remove(&number);
        if ask.is_none_or(|ask| ask.send(answers).is_err()) {
            metrics::counter!("answers_unwanted_total").increment(1);
        }
    }

    /// Numbers begin at a random one, so that answers to an earlier start fit nothing.
    fn begin(&self, first: u64) -> (u64, oneshot::Receiver<EngineAnswers>) {
        let (done, answered) = oneshot::channel();
        let mut waiting = self.waiting();
        waiting.made += 1;
        let number = first.wrapping_add(waiting.made);
        waiting.asks.insert(number, done);
        (number, answered)
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unheard(call: u64) -> EngineAnswers {
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

//! What one start of a backend server asks for, and what follows at one gateway.

use crate::backoff::Rest;
use crate::limit::{Limit, stricter};
use crate::senders::{Share, gap};
use crate::{ServerId, Turn};
use std::time::Duration;

/// A gateway that was not one of those that may send waits for so long before it does: whoever sent
/// until now may not have heard of the change. Twice the time that gateways take to hear of it.
const STEP_IN: Duration = Duration::from_secs(2);

/// A limit rises or ends with an answer to a request that was sent so long after the last one that named it. A
/// backend server may name it in some answers only, and by turns it would be sent what it takes and all.
const HOLDS: Duration = Duration::from_secs(1);

/// Between two tellings of values that change with each answer.
const TELL_GAP: Duration = Duration::from_secs(1);

/// A limit that rises by less than this factor stays as it is: one that is worked out anew for each answer
/// would be told to all gateways as often.
const RAISED: f64 = 1.25;

/// What an answer of a backend server asks for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Asked {
    /// Requests a second that it takes from all gateways together.
    pub limit: Option<f64>,
    /// It wants nothing from this gateway for so long.
    pub rest: Option<Duration>,
    /// It takes no new work any more.
    pub leaving: bool,
    /// Something in it cannot be read, and counts as not said.
    pub unread: bool,
}

/// An answer of a start of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// What it asks for.
    pub asked: Asked,
    /// When its request was sent.
    pub sent: Duration,
    /// It is surely the backend server's own, to that request. What another one asks for counts, and
    /// what it does not ask for says nothing.
    pub own: bool,
}

/// Whether, and how often, this gateway may send while there is a limit.
#[derive(Debug, Clone, Copy, Default)]
struct Gate {
    /// Time between two requests; none where others send.
    gap: Option<Duration>,
    /// When the next request may go.
    due: Duration,
}

/// What one start of a backend server asks for, as far as this gateway knows.
#[derive(Debug, Clone, Default)]
pub struct Terms {
    asked: Asked,
    /// When answers began to ask for that.
    asked_at: Duration,
    limit: Limit,
    /// When the limit became known here, or was named last.
    named: Duration,
    /// While there is a limit.
    gate: Option<Gate>,
    /// Until an answer shows that it is over.
    rest: Option<Rest>,
    /// It said that it takes no new work. No start of it takes that back.
    leaving: bool,
    /// Counts what changed of when requests may be sent.
    mark: u64,
}

impl Terms {
    /// Takes in an answer; where it asks for something else than the one before, how long that was asked.
    /// `draw` is a number in `0..1`: gateways that learn of a limit together don't send together.
    pub fn heard(
        &mut self,
        now: Duration,
        id: &ServerId,
        answer: &Answer,
        share: &Share,
        draw: f64,
    ) -> Option<Duration> {
        let news = self.note(now, answer.asked);
        let rate = answer.asked.limit;
        let raised = stricter(self.limit.rate.map(|r| r * RAISED), rate);
        if !raised {
            self.named = now;
        }
        // Answers overtake each other: what was asked before the word came may be older than the word.
        let later = answer.own && answer.sent >= self.named + HOLDS;
        if (raised && later) || stricter(rate, self.limit.rate) {
            let turn = self.limit.turn + 1;
            self.follow(now, id, Limit { rate, turn }, share, draw);
        }
        self.rest(now, answer, draw);
        self.leaving |= answer.asked.leaving;
        news
    }

    fn note(&mut self, now: Duration, asked: Asked) -> Option<Duration> {
        let kinds = |a: &Asked| (a.limit.is_some(), a.rest.is_some(), a.leaving, a.unread);
        let same = kinds(&self.asked) == kinds(&asked);
        if self.asked == asked || (same && now < self.asked_at + TELL_GAP) {
            return None;
        }
        self.asked = asked;
        let before = std::mem::replace(&mut self.asked_at, now);
        Some(now.saturating_sub(before))
    }

    /// It said with an answer that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn rest(&mut self, now: Duration, answer: &Answer, draw: f64) {
        let asked = answer.asked.rest;
        let asked = asked.and_then(|time| Rest::asked(now, time, draw));
        match (self.rest, asked) {
            (held, Some(rest)) => {
                self.rest = Some(held.map_or(rest, |held| held.and(rest)));
                self.mark += 1;
            }
            (Some(held), None) if answer.own && held.is_over(answer.sent) => self.rest = None,
            (_, None) => {}
        }
    }

    /// Takes in what others know of the limit; `true` where that is news.
    pub fn learn(
        &mut self,
        now: Duration,
        id: &ServerId,
        limit: Limit,
        share: &Share,
        draw: f64,
    ) -> bool {
        let limit = self.limit.or(limit);
        let news = limit != self.limit;
        if news {
            self.follow(now, id, limit, share, draw);
        }
        news
    }

    fn follow(&mut self, now: Duration, id: &ServerId, limit: Limit, share: &Share, draw: f64) {
        self.limit = limit;
        self.named = now;
        self.reshare(now, id, share, draw);
    }

    /// The limit, or the list of gateways, is another one.
    pub fn reshare(&mut self, now: Duration, id: &ServerId, share: &Share, draw: f64) {
        let Some(rate) = self.limit.rate else {
            self.mark += u64::from(self.gate.take().is_some());
            return;
        };
        let gap = gap(rate, id, share);
        let first = self.gate.is_none();
        let gate = self.gate.get_or_insert_default();
        if !first && gate.gap == gap {
            return;
        }
        self.mark += 1;
        match (gate.gap, gap) {
            (Some(before), Some(gap)) => gate.due = gate.due.saturating_sub(before) + gap,
            (None, Some(gap)) => {
                let step_in = if first { Duration::ZERO } else { STEP_IN };
                gate.due = gate.due.max(now + step_in + gap.mul_f64(draw));
            }
            (_, None) => {}
        }
        gate.gap = gap;
    }

    /// When the next request may be sent; in the past where one may be now. None where others send.
    pub fn open_at(&self) -> Option<Duration> {
        let rested = self.rest.map_or(Duration::ZERO, |r| r.until());
        match &self.gate {
            None => Some(rested),
            Some(gate) => gate.gap.map(|_| gate.due.max(rested)),
        }
    }

    /// It had asked for rest, and nobody knows yet whether it takes requests again.
    pub fn is_resting(&self) -> bool {
        self.rest.is_some()
    }

    /// A request may be sent now.
    pub fn is_open(&self, now: Duration) -> bool {
        self.open_at().is_some_and(|at| at <= now)
    }

    /// A request is sent, or will be in a moment.
    pub fn sent(&mut self, now: Duration) {
        if let Some(gate) = &mut self.gate {
            gate.due = now + gate.gap.unwrap_or_default();
        }
        if let Some(rest) = &mut self.rest {
            rest.tried(now);
        }
    }

    /// Tells whether anything changed between two moments of when requests may be sent.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// The limit that is known.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Time between two requests of this gateway while there is a limit; none where others send.
    pub fn gap(&self) -> Option<Duration> {
        self.gate.and_then(|g| g.gap)
    }

    /// Whether others know of the limit what is known here, where they know it up to `turn`.
    pub fn is_told(&self, turn: Turn) -> bool {
        self.limit.turn <= turn
    }
}

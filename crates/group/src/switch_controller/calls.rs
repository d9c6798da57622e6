//! Rounds of calls: to all ranks, to some, or to the one that holds the group; with a higher
//! token each time an order is repeated.

use super::{Ask, Call, Command, EngineId, NO_VERSION, PER_TERM, Phase, Pilot, Reply, Round, View};
use indexmap::IndexMap;
use std::time::Duration;

/// Ranks whose counts are read. Requests are spread over ranks whatever they are about, so
/// that a few ranks tell what all of them choose; each reading from another machine makes the
/// group pause.
const SAMPLE: usize = 3;

impl Pilot {
    pub(super) fn ask_all(&mut self, phase: Phase, ask: Ask) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let engines = self.engines.clone();
        let calls = engines.into_iter().map(|e| self.call(e, ask.clone(), 1));
        calls.collect()
    }

    /// Counts that came with fresh looks, or else those of the sampled ranks.
    pub(super) fn count(&mut self, now: Duration) -> Vec<Call> {
        let mut views: Vec<&mut View> = self.views.values_mut().collect();
        views.sort_by_key(|v| v.rank);
        let counts = views.into_iter().filter_map(|v| v.lately.take());
        let mut counts: Vec<Vec<u64>> = counts.collect();
        if counts.is_empty() {
            return self.ask_some();
        }
        let size = self.shape.sets * self.shape.experts;
        counts.retain(|c| c.len() == size);
        self.demand.add(&counts);
        self.judge(now)
    }

    /// Asks the sampled ranks for counts.
    fn ask_some(&mut self) -> Vec<Call> {
        self.phase = Phase::Count;
        self.round = Round::default();
        let engines: Vec<_> = self.engines.iter().take(SAMPLE).cloned().collect();
        let calls = engines.into_iter().map(|e| self.call(e, Ask::Counts, 1));
        calls.collect()
    }

    pub(super) fn order_all(
        &mut self,
        phase: Phase,
        command: impl Fn(&EngineId) -> Command,
    ) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let engines = self.engines.clone();
        let order = |e: EngineId| {
            let command = command(&e);
            self.order(e, command, 1)
        };
        engines.into_iter().map(order).collect()
    }

    pub(super) fn order_holder(&mut self, phase: Phase, command: Command) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let holder = self.switch.holder.clone();
        vec![self.order(holder, command, 1)]
    }

    pub(super) fn order(&mut self, engine: EngineId, command: Command, tries: u32) -> Call {
        self.tokens += 1;
        let token = self.term * PER_TERM + self.tokens;
        let ask = Ask::Order(command, self.epoch, token);
        self.call(engine, ask, tries)
    }

    pub(super) fn call(&mut self, engine: EngineId, ask: Ask, tries: u32) -> Call {
        self.calls += 1;
        let call = self.calls;
        self.round.out.insert(engine.clone(), (call, tries));
        Call {
            call,
            engine,
            tries,
            ask,
        }
    }

    /// The same once more, an order with a higher token.
    pub(super) fn again(&mut self, engine: &EngineId, tries: u32) -> Vec<Call> {
        let engine = engine.clone();
        let (version, pass) = (self.switch.version, self.switch.pass);
        let command = match self.phase {
            Phase::Prepare => Command::Prepare(version, self.switch.map.clone()),
            Phase::Hold | Phase::Rehold => Command::Hold(pass),
            Phase::Arm => Command::Arm(version, pass),
            Phase::Undo => Command::Disarm(self.to_disarm(&engine)),
            Phase::Go => Command::Go(pass),
            Phase::Fence => Command::Disarm(NO_VERSION),
            Phase::List => return vec![self.call(engine, Ask::List, tries)],
            Phase::Count => return vec![self.call(engine, Ask::Counts, tries)],
            Phase::Survey => return vec![self.call(engine, Ask::Look, tries)],
            Phase::CopyLook => return vec![self.call(engine, Ask::Copied(version), tries)],
            _ => return vec![self.call(engine, Ask::Report, tries)],
        };
        vec![self.order(engine, command, tries)]
    }
}

pub(super) fn views(back: IndexMap<EngineId, Reply>) -> IndexMap<EngineId, View> {
    let views = back.into_iter().filter_map(|(e, r)| match r {
        Reply::View(view) => Some((e, view)),
        _ => None,
    });
    views.collect()
}

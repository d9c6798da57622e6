//! Rounds of calls: to all ranks, to some, or to the one that holds the group. A repeated order
//! gets a higher token each time.

use super::{
    Call, Command, EngineId, EngineReport, EngineRequest, NO_VERSION, PER_TERM, Phase, Reply,
    Round, SwitchController,
};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of ranks whose counts are read. Requests are spread over the ranks whatever their
/// content, so a few ranks are representative, and each read from another instance pauses the
/// group.
const SAMPLE: usize = 3;

impl SwitchController {
    pub(super) fn request_all(&mut self, phase: Phase, request: EngineRequest) -> Vec<Call> {
        self.phase = phase;
        self.round = Round::default();
        let engines = self.engines.clone();
        let calls = engines
            .into_iter()
            .map(|e| self.call(e, request.clone(), 1));
        calls.collect()
    }

    /// Uses the counts that came with fresh reports, or else queries the sampled ranks.
    pub(super) fn count(&mut self, now: Duration) -> Vec<Call> {
        let mut reports: Vec<&mut EngineReport> = self.reports.values_mut().collect();
        reports.sort_by_key(|r| r.rank);
        let counts = reports.into_iter().filter_map(|r| r.recent_counts.take());
        let mut counts: Vec<Vec<u64>> = counts.collect();
        if counts.is_empty() {
            return self.request_counts();
        }
        let size = self.shape.sets * self.shape.experts;
        counts.retain(|c| c.len() == size);
        self.demand.add_counts(&counts);
        self.update_demand(now)
    }

    /// Queries the sampled ranks for counts.
    fn request_counts(&mut self) -> Vec<Call> {
        self.phase = Phase::Count;
        self.round = Round::default();
        let engines: Vec<_> = self.engines.iter().take(SAMPLE).cloned().collect();
        let calls = engines
            .into_iter()
            .map(|e| self.call(e, EngineRequest::Counts, 1));
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

    pub(super) fn order(&mut self, engine: EngineId, command: Command, attempt: u32) -> Call {
        self.tokens += 1;
        let token = self.term * PER_TERM + self.tokens;
        let request = EngineRequest::Order(command, self.epoch, token);
        self.call(engine, request, attempt)
    }

    pub(super) fn call(&mut self, engine: EngineId, request: EngineRequest, attempt: u32) -> Call {
        self.calls += 1;
        let call = self.calls;
        self.round.pending.insert(engine.clone(), (call, attempt));
        Call {
            id: call,
            engine,
            attempt,
            request,
        }
    }

    /// Repeats a call; an order gets a higher token.
    pub(super) fn repeat(&mut self, engine: &EngineId, attempt: u32) -> Vec<Call> {
        let engine = engine.clone();
        let (version, pass) = (self.switch.version, self.switch.pass);
        let command = match self.phase {
            Phase::Prepare => Command::Prepare(version, self.switch.map.clone()),
            Phase::Hold | Phase::RenewHold => Command::Hold(pass),
            Phase::Arm => Command::Arm(version, pass),
            Phase::RollBack => Command::Disarm(self.version_to_disarm(&engine)),
            Phase::Go => Command::Go(pass),
            Phase::Fence => Command::Disarm(NO_VERSION),
            Phase::ListExperts => return vec![self.call(engine, EngineRequest::List, attempt)],
            Phase::Count => return vec![self.call(engine, EngineRequest::Counts, attempt)],
            Phase::Poll => return vec![self.call(engine, EngineRequest::Poll, attempt)],
            Phase::PollCopies => {
                return vec![self.call(engine, EngineRequest::ReportWhenCopied(version), attempt)];
            }
            _ => return vec![self.call(engine, EngineRequest::Report, attempt)],
        };
        vec![self.order(engine, command, attempt)]
    }
}

pub(super) fn collect_reports(
    replies: IndexMap<EngineId, Reply>,
) -> IndexMap<EngineId, EngineReport> {
    let reports = replies.into_iter().filter_map(|(e, r)| match r {
        Reply::Report(report) => Some((e, report)),
        _ => None,
    });
    reports.collect()
}

//! Polls the group: which engines form it, whether it is fenced against earlier leaders, what an
//! earlier leader left unfinished, and which map is in use.

use super::calls::collect_reports;
use super::{
    Call, Command, EngineId, EngineReport, EngineRequest, NO_VERSION, Phase, Reply, Shape, Switch,
    SwitchController,
};
use crate::map::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Reports are a few hundred milliseconds old. After an order and after fencing, this time must
/// pass before a report is relied on.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(700);

/// Granularity of reported slowdowns, in hundredths. They are rounded to the nearest step, so a
/// rank counts as slow from half a step on; smaller changes are not worth a message.
const SLOWDOWN_STEP: u32 = 25;
/// Slowdown of a healthy rank.
const HEALTHY: u32 = 100;

/// Rounded slowdown; 0 for a healthy rank.
fn rounded_slowdown(slowdown: u32) -> u32 {
    let step = (slowdown + SLOWDOWN_STEP / 2) / SLOWDOWN_STEP * SLOWDOWN_STEP;
    if step > HEALTHY { step } else { 0 }
}

impl SwitchController {
    /// Starts with the registered engines.
    pub(super) fn discover(&mut self, engines: &[EngineId]) -> Vec<Call> {
        self.registered = engines.to_vec();
        self.engines = engines.to_vec();
        self.request_all(Phase::Discover, EngineRequest::Report)
    }

    /// The first reports show which engines form the group; others that are registered may be dead
    /// or not yet part of it. Then each rank gets an order without effect, whose token invalidates
    /// lost orders with lower ones.
    pub(super) fn on_discovered(
        &mut self,
        now: Duration,
        replies: IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        self.reports = collect_reports(replies);
        self.engines = self.reports.keys().cloned().collect();
        let Some(epoch) = self.complete_epoch() else {
            return self.wait_for_ranks(now);
        };
        if epoch != self.epoch {
            // A newly formed group knows no orders and starts with map 0.
            self.map = None;
            self.last_counts.clear();
            self.demand.discard_counts();
        }
        self.epoch = epoch;
        self.order_all(Phase::Fence, |_| Command::Disarm(NO_VERSION))
    }

    pub(super) fn on_fenced(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        if !replies.values().all(|r| matches!(r, Reply::Done)) {
            return self.restart(now);
        }
        // Any other leader would have to fence the whole group before its first order, and an
        // engine that this leader fenced before keeps it out. So old reports hide no order of
        // another leader.
        let known = self.engines.iter().any(|e| self.fenced.contains(e));
        self.fenced = self.engines.clone();
        if known {
            return self.request_all(Phase::Poll, EngineRequest::Poll);
        }
        self.request_all(Phase::CheckHold, EngineRequest::Report)
    }

    /// A group that an earlier leader left held is stalled, so this cannot wait until reports are
    /// certain to be recent. The hold is renewed immediately. If all reports are fresh, the switch
    /// is also rolled back immediately; an old report might not yet show that its rank was armed,
    /// and that rank alone would stay armed.
    pub(super) fn on_hold_checked(
        &mut self,
        now: Duration,
        replies: IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        self.reports = collect_reports(replies);
        if self.complete_epoch() != Some(self.epoch) {
            return self.wait_for_ranks(now);
        }
        self.reports_current = self.all_fresh();
        if let Some(calls) = self.renew_found_hold() {
            return calls;
        }
        if self.reports_current {
            // Reports read after fencing already show all effects of earlier leaders, so there is
            // no need to wait until old reports have been superseded.
            return self.request_all(Phase::Poll, EngineRequest::Poll);
        }
        self.phase = Phase::AwaitReports(now + REPORT_LAG);
        Vec::new()
    }

    pub(super) fn renew_found_hold(&mut self) -> Option<Vec<Call>> {
        let held = |(e, r): (&EngineId, &EngineReport)| Some((e.clone(), r.held?));
        let (holder, pass) = self.reports.iter().find_map(held)?;
        self.record_event("hold_found", pass);
        self.switch = Switch {
            holder,
            pass,
            ..Switch::default()
        };
        Some(self.order_holder(Phase::RenewHold, Command::Hold(pass)))
    }

    pub(super) fn on_polled(
        &mut self,
        now: Duration,
        replies: IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        self.reports = collect_reports(replies);
        let Some(epoch) = self.complete_epoch() else {
            return self.wait_for_ranks(now);
        };
        if epoch != self.epoch {
            return self.wait_for_ranks(now);
        }
        self.reports_current = true;
        if let Some(calls) = self.renew_found_hold() {
            return calls;
        }
        if self.reports.values().any(|r| r.armed.is_some()) {
            // The pass is still to come; an idle group starts none.
            return self.wait_for_poll(now);
        }
        self.measure_pass(now);
        self.update_slowdowns();
        match self.is_map_known() {
            // The group has just formed: earlier demand still applies, and passes on map 0 are
            // slow.
            Some(true) if self.is_initial_map() && self.demand.polls() > 0.0 => {
                match self.find_better_map() {
                    Some(map) => self.prepare(now, map),
                    None => self.count(now),
                }
            }
            Some(true) => self.count(now),
            Some(false) => self.request_all(Phase::ListExperts, EngineRequest::List),
            None => self.wait_for_poll(now),
        }
    }

    /// Records the slowdowns whose rounded value changed. The first time all are recorded, since
    /// those reported by an earlier leader may be outdated.
    fn update_slowdowns(&mut self) {
        for (engine, report) in &self.reports {
            let slowdown = rounded_slowdown(report.slowdown);
            if self.reported_slowdowns.get(engine) != Some(&slowdown) {
                self.reported_slowdowns.insert(engine.clone(), slowdown);
                self.slowdown_updates.push((engine.clone(), slowdown));
            }
        }
    }

    /// The epoch, if the reports cover all ranks of one open group exactly once.
    pub(super) fn complete_epoch(&self) -> Option<u64> {
        let first = self.reports.values().next()?;
        let mut ranks: Vec<u32> = self.reports.values().map(|r| r.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let alike = |r: &EngineReport| r.open && r.epoch == first.epoch && r.group == first.group;
        let all = self.reports.len() == self.engines.len()
            && ranks.len() == first.size as usize
            && ranks.len() == self.reports.len();
        (all && self.reports.values().all(alike)).then_some(first.epoch)
    }

    /// Whether the content of the map in use is known; `None` if reports disagree, since they were
    /// made at different times around a switch.
    pub(super) fn is_map_known(&mut self) -> Option<bool> {
        let mut versions = self.reports.values().map(|r| r.map);
        let version = versions.next()?;
        if versions.any(|v| v != version) {
            return None;
        }
        if version == 0 {
            let shape = self.shape;
            let initial = ExpertMap::round_robin(shape.sets, shape.experts, self.reports.len());
            self.map = Some((0, Arc::new(initial)));
        }
        Some(self.map.as_ref().is_some_and(|(v, _)| *v == version))
    }

    pub(super) fn is_initial_map(&self) -> bool {
        self.map.as_ref().is_some_and(|(version, _)| *version == 0)
    }

    pub(super) fn on_experts_listed(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        let Shape { sets, experts, .. } = self.shape;
        let mut layers = vec![vec![Vec::new(); experts]; sets];
        let mut version = None;
        for (engine, reply) in replies {
            let (Reply::List(v, held), Some(report)) = (reply, self.reports.get(engine)) else {
                return self.restart(now);
            };
            if version.is_some_and(|known| known != *v) {
                return self.restart(now);
            }
            version = Some(*v);
            for (layer, experts) in layers.iter_mut().zip(held) {
                for expert in experts {
                    if let Some(holders) = layer.get_mut(*expert as usize) {
                        holders.push(report.rank);
                    }
                }
            }
        }
        let everywhere = layers.iter().flatten().all(|holders| !holders.is_empty());
        let Some(version) = version.filter(|_| everywhere) else {
            return self.restart(now);
        };
        self.map = Some((version, Arc::new(ExpertMap { layers })));
        self.count(now)
    }
}

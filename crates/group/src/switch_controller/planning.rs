//! Chooses the next map from the measured demand and has it copied.

use super::calls::collect_reports;
use super::{
    Call, Command, EngineId, FRESH_MIN_AHEAD, MAX_AHEAD, MAX_PASS, MIN_AHEAD, MIN_PASS, PER_TERM,
    Pass, Phase, Reply, Switch, SwitchController, SwitchEvent,
};
use crate::map::ExpertMap;
use crate::rebalance::{Limits, imbalance, rebalance};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between polls for completed copies.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Usual age of a report: completed copies show that much later.
const REPORT_AGE: Duration = Duration::from_millis(220);
/// Copying that takes longer is abandoned; nothing is armed at that point.
const COPY_TIMEOUT: Duration = Duration::from_secs(6);
/// Copying time that one switch may cost a rank. Until copying is done nothing improves, and passes
/// take 15 % longer.
const COPY_BUDGET: Duration = Duration::from_millis(120);
/// Minimum relief of a layer's busiest rank by one change, as a fraction of the mean: copies use
/// the link and slow the passes down, and small gains vanish with the next change of demand.
const MIN_CHANGE_GAIN: f64 = 0.1;
/// The search is not repeated while imbalance exceeds that of the last map found by less than this.
const IMBALANCE_TOLERANCE: f64 = 0.04;
/// The search is repeated once this many times the polls of the last one are known, which reduces
/// the error of the mean by three tenths.
const SEARCH_AGAIN_FACTOR: f64 = 2.0;
/// Minimum relief of the busiest rank by a new map, as a fraction of the mean.
const MIN_MAP_GAIN: f64 = 0.12;

impl SwitchController {
    pub(super) fn on_counts(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        if !self.take_counts(replies) {
            self.demand.discard_counts();
            return self.wait_for_poll(now);
        }
        self.update_demand(now)
    }

    /// Updates the demand estimate if enough was counted, and starts preparing a better map if any.
    pub(super) fn update_demand(&mut self, now: Duration) -> Vec<Call> {
        if !self.demand.has_enough_counts() {
            return self.wait_for_poll(now);
        }
        if self.demand.update() {
            self.record_event("demand_moved", self.map.as_ref().map_or(0, |(v, _)| *v));
            self.last_search_polls = 0.0;
        }
        match self.find_better_map() {
            Some(map) => self.prepare(now, map),
            None => self.wait_for_poll(now),
        }
    }

    /// Adds the selections of the sampled ranks since the last poll; `false` if one reports none.
    fn take_counts(&mut self, replies: &IndexMap<EngineId, Reply>) -> bool {
        let size = self.shape.sets * self.shape.experts;
        let mut poll = Vec::new();
        let mut replies: Vec<_> = replies.iter().collect();
        replies.sort_by_key(|(engine, _)| *engine);
        for (engine, reply) in replies {
            let Reply::Counts(epoch, counts) = reply else {
                return false;
            };
            if *epoch != self.epoch || counts.len() != size {
                return false;
            }
            // The first count of an engine has no earlier one to subtract.
            let Some(before) = self.last_counts.insert(engine.clone(), counts.clone()) else {
                continue;
            };
            let pairs = counts.iter().zip(&before);
            poll.push(pairs.map(|(new, old)| new.saturating_sub(*old)).collect());
        }
        self.demand.add_counts(&poll);
        true
    }

    pub(super) fn find_better_map(&mut self) -> Option<ExpertMap> {
        let (_, map) = self.map.as_ref()?;
        let slowdowns = self.slowdowns();
        let limits = Limits {
            ranks: self.reports.len(),
            slots: self.shape.slots,
            new_per_layer: self.shape.new_per_set,
            new_total: self.shape.copies_within(COPY_BUDGET),
            min_gain: MIN_CHANGE_GAIN,
            slowdowns: &slowdowns,
        };
        let [search_loads, test_loads] = self.demand.halves(self.shape.experts);
        let before = imbalance(map, &test_loads, limits);
        // The map is about as good as the last one found, and the counts are hardly more certain. A
        // search would hardly find a better map, and takes 2 to 3 ms for 72 ranks, many times that
        // on a leader's fraction of a core.
        let more_certain = self.demand.polls() >= SEARCH_AGAIN_FACTOR * self.last_search_polls;
        if before < self.last_imbalance + IMBALANCE_TOLERANCE && !more_certain {
            return None;
        }
        self.last_search_polls = self.demand.polls();
        let next = rebalance(map, &search_loads, limits);
        let after = imbalance(&next, &test_loads, limits);
        self.last_imbalance = after;
        let pays = before - after >= MIN_MAP_GAIN;
        if pays {
            // One switch can add only few experts to a rank, so the next may continue from there.
            self.last_search_polls = 0.0;
        }
        self.events.push(SwitchEvent {
            event: if pays { "map_better" } else { "map_kept" },
            number: self.map.as_ref().map_or(0, |(v, _)| *v),
            skew: Some((before, after)),
            max_slowdown: slowdowns.iter().copied().reduce(f64::max),
        });
        pays.then_some(next)
    }

    /// Slowdown of each rank, indexed by rank.
    pub(super) fn slowdowns(&self) -> Vec<f64> {
        let mut slowdowns = vec![1.0; self.reports.len()];
        for report in self.reports.values().filter(|r| r.slowdown > 0) {
            if let Some(slowdown) = slowdowns.get_mut(report.rank as usize) {
                *slowdown = f64::from(report.slowdown) / 100.0;
            }
        }
        slowdowns
    }

    pub(super) fn prepare(&mut self, now: Duration, map: ExpertMap) -> Vec<Call> {
        let map = Arc::new(map);
        self.versions += 1;
        let version = self.term * PER_TERM + self.versions;
        self.switch = Switch {
            version,
            map: map.clone(),
            started: now,
            ..Switch::default()
        };
        self.order_all(Phase::Prepare, |_| Command::Prepare(version, map.clone()))
    }

    pub(super) fn on_prepared(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        if !replies.values().all(|r| matches!(r, Reply::Done)) {
            return self.abandon(now, "prepare_refused");
        }
        let copies = self
            .map
            .as_ref()
            .map_or(0, |(_, map)| max_new_experts(map, &self.switch.map));
        let copying = self.shape.copy_time * copies as u32;
        if self.all_fresh() {
            return self.poll_copies();
        }
        self.phase = Phase::AwaitCopies(now + REPORT_AGE + copying);
        Vec::new()
    }

    pub(super) fn on_copies_polled(
        &mut self,
        now: Duration,
        replies: IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        self.reports = collect_reports(replies);
        if self.complete_epoch() != Some(self.epoch) {
            return self.abandon(now, "group_changed");
        }
        let version = self.switch.version;
        if !self.reports.values().all(|r| r.prepared == Some(version)) {
            if now >= self.switch.started + COPY_TIMEOUT {
                return self.abandon(now, "copies_late");
            }
            self.phase = Phase::AwaitCopies(now + COPY_POLL_INTERVAL);
            return Vec::new();
        }
        let last = self.reports.values().map(|r| r.pass).max().unwrap_or(0);
        self.switch.pass = last + self.passes_ahead();
        self.switch.hold_sent = now;
        // Any rank can hold the group.
        let holder = self.engines.first().cloned().unwrap_or_default();
        self.switch.holder = holder;
        self.order_holder(Phase::Hold, Command::Hold(self.switch.pass))
    }

    /// Measures the duration of a pass from two polls.
    pub(super) fn measure_pass(&mut self, now: Duration) {
        let pass = self.reports.values().map(|r| r.pass).max().unwrap_or(0);
        if let Some((then, before)) = self.last_pass
            && pass > before
        {
            let passes = u32::try_from(pass - before).unwrap_or(u32::MAX);
            let time = now.saturating_sub(then) / passes;
            self.pass_time = time.clamp(MIN_PASS, MAX_PASS);
        }
        self.last_pass = Some((now, pass));
    }

    /// Number of passes after the last reported one at which a switch is scheduled.
    pub(super) fn passes_ahead(&self) -> Pass {
        let age = if self.all_fresh() {
            Duration::ZERO
        } else {
            REPORT_AGE
        };
        let needed = (age + self.arm_time).as_secs_f64() / self.pass_time.as_secs_f64();
        let least = if self.all_fresh() {
            FRESH_MIN_AHEAD
        } else {
            MIN_AHEAD
        };
        (needed.ceil() as Pass + 1).clamp(least, MAX_AHEAD) + self.extra_ahead
    }
}

/// Maximum number of experts, over all sets, that a change of map adds to one rank.
fn max_new_experts(old: &ExpertMap, new: &ExpertMap) -> usize {
    let mut counts: IndexMap<u32, usize> = IndexMap::new();
    let pairs = old.layers.iter().flatten().zip(new.layers.iter().flatten());
    for (before, after) in pairs {
        for rank in after.iter().filter(|r| !before.contains(r)) {
            *counts.entry(*rank).or_default() += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}

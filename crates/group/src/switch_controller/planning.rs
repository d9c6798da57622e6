//! Choosing the next map from what was asked for, and having it copied.

use super::calls::views;
use super::{
    AHEAD, Call, Command, EngineId, FRESH_AHEAD, FURTHEST, LONGEST_PASS, Note, PER_TERM, Pass,
    Phase, Pilot, Reply, SHORTEST_PASS, Switch,
};
use crate::map::ExpertMap;
use crate::rebalance::{Limits, lag, spread};
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Between two looks whether copies are complete.
const COPY_LOOK: Duration = Duration::from_millis(100);
/// Usual age of a report: completed copies show so much later.
const REPORT_AGE: Duration = Duration::from_millis(220);
/// Copies that take longer than this are given up; nothing is armed yet then.
const COPY_WITHIN: Duration = Duration::from_secs(6);
/// Time that a rank may take to copy for one switch. Until it is done nothing gets better,
/// and passes take 15 in 100 longer.
const COPY_TIME: Duration = Duration::from_millis(120);
/// Part of the mean by which a change of one layer must relieve its busiest rank: copies take the
/// link and slow the passes down, and small gains are gone with the next shift of demand.
const GAIN: f64 = 0.1;
/// Lag above what the search found last up to which it is not made again.
const AS_GOOD: f64 = 0.04;
/// Looks more, in times those that the last search knew of, with which it is made again: the error of
/// the mean is smaller by three tenths then.
const SURER: f64 = 2.0;
/// A new map must lower the busiest rank by this part of the mean.
const LEAST_GAIN: f64 = 0.12;

impl Pilot {
    pub(super) fn counted(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        if !self.take_counts(back) {
            self.demand.drop_counted();
            return self.rest_a_while(now);
        }
        self.judge(now)
    }

    /// Takes what was counted into the estimate of demand, where it is enough to conclude anything; has
    /// a better map prepared.
    pub(super) fn judge(&mut self, now: Duration) -> Vec<Call> {
        if !self.demand.is_enough() {
            return self.rest_a_while(now);
        }
        if self.demand.take_in() {
            self.note("demand_moved", self.map.as_ref().map_or(0, |(v, _)| *v));
            self.searched = 0.0;
        }
        match self.better() {
            Some(map) => self.prepare(now, map),
            None => self.rest_a_while(now),
        }
    }

    /// What the sampled ranks chose since the look before; `false` where one of them does not tell.
    fn take_counts(&mut self, back: &IndexMap<EngineId, Reply>) -> bool {
        let size = self.shape.sets * self.shape.experts;
        let mut look = Vec::new();
        let mut back: Vec<_> = back.iter().collect();
        back.sort_by_key(|(engine, _)| *engine);
        for (engine, reply) in back {
            let Reply::Counts(epoch, counts) = reply else {
                return false;
            };
            if *epoch != self.epoch || counts.len() != size {
                return false;
            }
            // One that is counted for the first time tells nothing of late.
            let Some(before) = self.counted.insert(engine.clone(), counts.clone()) else {
                continue;
            };
            let pairs = counts.iter().zip(&before);
            look.push(pairs.map(|(new, old)| new.saturating_sub(*old)).collect());
        }
        self.demand.add(&look);
        true
    }

    pub(super) fn better(&mut self) -> Option<ExpertMap> {
        let (_, map) = self.map.as_ref()?;
        let paces = self.paces();
        let limits = Limits {
            ranks: self.views.len(),
            places: self.shape.places,
            spare: self.shape.spare,
            copies: self.shape.copies_within(COPY_TIME),
            gain: GAIN,
            paces: &paces,
        };
        let [searched, judged] = self.demand.halves(self.shape.experts);
        let before = lag(map, &judged, limits);
        // As good as the search found last, by counts that are hardly surer: it would hardly find a
        // better one, and takes 2 to 3 ms for 72 ranks, many times that on a leader's share of a core.
        let surer = self.demand.looks() >= SURER * self.searched;
        if before < self.reached + AS_GOOD && !surer {
            return None;
        }
        self.searched = self.demand.looks();
        let next = spread(map, &searched, limits);
        let after = lag(&next, &judged, limits);
        self.reached = after;
        let pays = before - after >= LEAST_GAIN;
        if pays {
            // One switch brings few experts new to a rank: the next may go on from there.
            self.searched = 0.0;
        }
        self.notes.push(Note {
            event: if pays { "map_better" } else { "map_kept" },
            number: self.map.as_ref().map_or(0, |(v, _)| *v),
            skew: Some((before, after)),
            pace: paces.iter().copied().reduce(f64::max),
        });
        pays.then_some(next)
    }

    /// Pace of each rank, by rank.
    pub(super) fn paces(&self) -> Vec<f64> {
        let mut paces = vec![1.0; self.views.len()];
        for view in self.views.values().filter(|v| v.pace > 0) {
            if let Some(pace) = paces.get_mut(view.rank as usize) {
                *pace = f64::from(view.pace) / 100.0;
            }
        }
        paces
    }

    pub(super) fn prepare(&mut self, now: Duration, map: ExpertMap) -> Vec<Call> {
        let map = Arc::new(map);
        self.versions += 1;
        let version = self.term * PER_TERM + self.versions;
        self.switch = Switch {
            version,
            map: map.clone(),
            began: now,
            ..Switch::default()
        };
        self.order_all(Phase::Prepare, |_| Command::Prepare(version, map.clone()))
    }

    pub(super) fn prepared(
        &mut self,
        now: Duration,
        back: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        if !back.values().all(|r| matches!(r, Reply::Done)) {
            return self.give_up(now, "prepare_refused");
        }
        let copies = self
            .map
            .as_ref()
            .map_or(0, |(_, map)| most_new(map, &self.switch.map));
        let copying = self.shape.copy * copies as u32;
        if self.all_fresh() {
            return self.look_at_copies();
        }
        self.phase = Phase::CopyWait(now + REPORT_AGE + copying);
        Vec::new()
    }

    pub(super) fn copied(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        if self.whole() != Some(self.epoch) {
            return self.give_up(now, "group_changed");
        }
        let version = self.switch.version;
        if !self.views.values().all(|v| v.prepared == Some(version)) {
            if now >= self.switch.began + COPY_WITHIN {
                return self.give_up(now, "copies_late");
            }
            self.phase = Phase::CopyWait(now + COPY_LOOK);
            return Vec::new();
        }
        let last = self.views.values().map(|v| v.pass).max().unwrap_or(0);
        self.switch.pass = last + self.ahead();
        self.switch.ordered = now;
        // Any rank may hold the group.
        let holder = self.engines.first().cloned().unwrap_or_default();
        self.switch.holder = holder;
        self.order_holder(Phase::Hold, Command::Hold(self.switch.pass))
    }

    /// Learns the time of a pass from two surveys.
    pub(super) fn clock_passes(&mut self, now: Duration) {
        let pass = self.views.values().map(|v| v.pass).max().unwrap_or(0);
        if let Some((then, before)) = self.seen
            && pass > before
        {
            let passes = u32::try_from(pass - before).unwrap_or(u32::MAX);
            let time = now.saturating_sub(then) / passes;
            self.pass_time = time.clamp(SHORTEST_PASS, LONGEST_PASS);
        }
        self.seen = Some((now, pass));
    }

    /// Passes ahead of the last one reported at which a switch is set.
    pub(super) fn ahead(&self) -> Pass {
        let age = if self.all_fresh() {
            Duration::ZERO
        } else {
            REPORT_AGE
        };
        let needed = (age + self.arming).as_secs_f64() / self.pass_time.as_secs_f64();
        let least = if self.all_fresh() { FRESH_AHEAD } else { AHEAD };
        (needed.ceil() as Pass + 1).clamp(least, FURTHEST) + self.further
    }
}

/// Most experts, over all sets, that a change of map brings new to one rank.
fn most_new(old: &ExpertMap, new: &ExpertMap) -> usize {
    let mut counts: IndexMap<u32, usize> = IndexMap::new();
    let pairs = old.layers.iter().flatten().zip(new.layers.iter().flatten());
    for (before, after) in pairs {
        for rank in after.iter().filter(|r| !before.contains(r)) {
            *counts.entry(*rank).or_default() += 1;
        }
    }
    counts.into_values().max().unwrap_or(0)
}

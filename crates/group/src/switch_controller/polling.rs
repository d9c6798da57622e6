//! Looking at the group: who forms it, that no earlier leader gives orders, what a dead one
//! left behind, and which map is in use.

use super::calls::views;
use super::{Ask, Call, Command, EngineId, NO_VERSION, Phase, Pilot, Reply, Shape, Switch, View};
use crate::map::ExpertMap;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// Reports describe the past: by some hundred milliseconds. After an order, and after
/// fencing, so long passes before one is believed.
pub(super) const LAG: Duration = Duration::from_millis(700);

/// Steps in which paces are told, in hundredths: a rank within a quarter of a sound one's time is
/// as good as sound, and smaller changes are not worth a message.
const PACE_STEP: u32 = 25;
/// Pace of a sound rank.
const SOUND: u32 = 100;

/// Pace as it is told: 0 where the rank is as good as sound.
fn told_pace(pace: u32) -> u32 {
    let step = (pace + PACE_STEP / 2) / PACE_STEP * PACE_STEP;
    if step > SOUND { step } else { 0 }
}

impl Pilot {
    /// Begins with the engines that are registered now.
    pub(super) fn meet(&mut self, engines: &[EngineId]) -> Vec<Call> {
        self.registered = engines.to_vec();
        self.engines = engines.to_vec();
        self.ask_all(Phase::Meet, Ask::Report)
    }

    /// First reports tell who forms the group. Others that are registered may be dead, or
    /// not yet part of it. Then each rank gets an order that means nothing: it makes
    /// lost ones with lower tokens void.
    pub(super) fn met(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        self.engines = self.views.keys().cloned().collect();
        let Some(epoch) = self.whole() else {
            return self.away(now);
        };
        if epoch != self.epoch {
            // A new forming knows no order: it starts with map 0.
            self.map = None;
            self.counted.clear();
            self.demand.drop_counted();
        }
        self.epoch = epoch;
        self.order_all(Phase::Fence, |_| Command::Disarm(NO_VERSION))
    }

    pub(super) fn fenced(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        if !back.values().all(|r| matches!(r, Reply::Done)) {
            return self.unwell(now);
        }
        // An engine that this leader fenced before keeps every other leader out: none can
        // fence the whole group, and none gives an order before that. So nothing foreign
        // is hidden by the age of reports.
        let known = self.engines.iter().any(|e| self.fenced.contains(e));
        self.fenced = self.engines.clone();
        if known {
            return self.ask_all(Phase::Survey, Ask::Look);
        }
        self.ask_all(Phase::Early, Ask::Report)
    }

    /// A group that an earlier leader left held stands still: this cannot wait until
    /// reports are sure to be new. The hold is renewed at once. It is undone at once, too,
    /// where all reports are fresh; where one is old, what its rank was armed with may not
    /// show in it yet, and the rank would be left armed alone.
    pub(super) fn looked_early(
        &mut self,
        now: Duration,
        back: IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        self.views = views(back);
        if self.whole() != Some(self.epoch) {
            return self.away(now);
        }
        self.current = self.all_fresh();
        if let Some(calls) = self.renew_found_hold() {
            return calls;
        }
        if self.current {
            // Made after the ranks were fenced, these show all that will ever show of an earlier
            // leader, and there is no need to wait until old reports have passed.
            return self.ask_all(Phase::Survey, Ask::Look);
        }
        self.phase = Phase::Lag(now + LAG);
        Vec::new()
    }

    pub(super) fn renew_found_hold(&mut self) -> Option<Vec<Call>> {
        let held = |(e, v): (&EngineId, &View)| Some((e.clone(), v.held?));
        let (holder, pass) = self.views.iter().find_map(held)?;
        self.note("hold_found", pass);
        self.switch = Switch {
            holder,
            pass,
            ..Switch::default()
        };
        Some(self.order_holder(Phase::Rehold, Command::Hold(pass)))
    }

    pub(super) fn surveyed(&mut self, now: Duration, back: IndexMap<EngineId, Reply>) -> Vec<Call> {
        self.views = views(back);
        let Some(epoch) = self.whole() else {
            return self.away(now);
        };
        if epoch != self.epoch {
            return self.away(now);
        }
        self.current = true;
        if let Some(calls) = self.renew_found_hold() {
            return calls;
        }
        if self.views.values().any(|v| v.armed.is_some()) {
            // The pass is still to come; an idle group makes none.
            return self.rest_a_while(now);
        }
        self.clock_passes(now);
        self.note_paces();
        match self.map_in_use() {
            // The group has just formed: what was in demand before still is, and every
            // pass on map 0 is slow.
            Some(true) if self.map_is_first() && self.demand.looks() > 0.0 => match self.better() {
                Some(map) => self.prepare(now, map),
                None => self.count(now),
            },
            Some(true) => self.count(now),
            Some(false) => self.ask_all(Phase::List, Ask::List),
            None => self.rest_a_while(now),
        }
    }

    /// Notes the paces that changed by a step. The first time all are noted: what an earlier leader
    /// told may not hold any more.
    fn note_paces(&mut self) {
        for (engine, view) in &self.views {
            let pace = told_pace(view.pace);
            if self.paced.get(engine) != Some(&pace) {
                self.paced.insert(engine.clone(), pace);
                self.repaced.push((engine.clone(), pace));
            }
        }
    }

    /// All ranks of one open group, each once: their epoch.
    pub(super) fn whole(&self) -> Option<u64> {
        let first = self.views.values().next()?;
        let mut ranks: Vec<u32> = self.views.values().map(|v| v.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let alike = |v: &View| v.open && v.epoch == first.epoch && v.group == first.group;
        let all = self.views.len() == self.engines.len()
            && ranks.len() == first.size as usize
            && ranks.len() == self.views.len();
        (all && self.views.values().all(alike)).then_some(first.epoch)
    }

    /// Whether the content of the map in use is known; none where reports differ, since
    /// they were made at different times around a switch.
    pub(super) fn map_in_use(&mut self) -> Option<bool> {
        let mut versions = self.views.values().map(|v| v.map);
        let version = versions.next()?;
        if versions.any(|v| v != version) {
            return None;
        }
        if version == 0 {
            let shape = self.shape;
            let even = ExpertMap::even(shape.sets, shape.experts, self.views.len());
            self.map = Some((0, Arc::new(even)));
        }
        Some(self.map.as_ref().is_some_and(|(v, _)| *v == version))
    }

    pub(super) fn map_is_first(&self) -> bool {
        self.map.as_ref().is_some_and(|(version, _)| *version == 0)
    }

    pub(super) fn listed(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        let Shape { sets, experts, .. } = self.shape;
        let mut layers = vec![vec![Vec::new(); experts]; sets];
        let mut version = None;
        for (engine, reply) in back {
            let (Reply::List(v, held), Some(view)) = (reply, self.views.get(engine)) else {
                return self.unwell(now);
            };
            if version.is_some_and(|known| known != *v) {
                return self.unwell(now);
            }
            version = Some(*v);
            for (layer, experts) in layers.iter_mut().zip(held) {
                for expert in experts {
                    if let Some(holders) = layer.get_mut(*expert as usize) {
                        holders.push(view.rank);
                    }
                }
            }
        }
        let everywhere = layers.iter().flatten().all(|holders| !holders.is_empty());
        let Some(version) = version.filter(|_| everywhere) else {
            return self.unwell(now);
        };
        self.map = Some((version, Arc::new(ExpertMap { layers })));
        self.count(now)
    }
}

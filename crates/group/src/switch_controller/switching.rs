//! From a prepared map to one in use: hold, arm, go; or everything undone under the hold.

use super::polling::LAG;
use super::{Call, Command, EngineId, FURTHEST, NO_VERSION, Pass, Phase, Pilot, Reply};
use crate::Version;
use indexmap::IndexMap;
use std::time::Duration;

/// What is remembered of the time that arming took, from one switch to the next.
const REMEMBERED: f64 = 0.8;
/// More of them after a pass turned out begun already.
const FURTHER: Pass = 3;

impl Pilot {
    pub(super) fn held(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        let pass = self.switch.pass;
        match back.values().next() {
            Some(Reply::Done) => {
                let version = self.switch.version;
                self.order_all(Phase::Arm, |_| Command::Arm(version, pass))
            }
            // The pass has begun already: nothing was armed, so nothing is lost.
            Some(Reply::Conflict) => {
                self.further = (self.further + FURTHER).min(FURTHEST);
                self.note("hold_late", pass);
                self.phase = Phase::CopyWait(now);
                Vec::new()
            }
            // It may be held: only what surely lifts it may follow.
            _ => self.order_holder(Phase::Go, Command::Go(pass)),
        }
    }

    pub(super) fn armed(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        if back.values().all(|r| matches!(r, Reply::Done)) {
            self.switch.sure = true;
            let took = now.saturating_sub(self.switch.ordered);
            self.arming = took.max(self.arming.mul_f64(REMEMBERED));
            return self.order_holder(Phase::Go, Command::Go(self.switch.pass));
        }
        self.note("arm_refused", self.switch.version);
        self.undo()
    }

    pub(super) fn reheld(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        match back.values().next() {
            Some(Reply::Done) if self.current => self.undo(),
            Some(Reply::Done) => {
                self.phase = Phase::Lag(now + LAG);
                Vec::new()
            }
            // The pass has begun, or the group formed anew: there is no hold any more.
            _ => self.unwell(now),
        }
    }

    pub(super) fn undo(&mut self) -> Vec<Call> {
        let versions: IndexMap<EngineId, Version> = self
            .engines
            .iter()
            .map(|e| (e.clone(), self.to_disarm(e)))
            .collect();
        self.order_all(Phase::Undo, |e| {
            Command::Disarm(versions.get(e).copied().unwrap_or(NO_VERSION))
        })
    }

    /// What a rank may be armed with: this leader's switch, or else what it reported as
    /// armed or prepared.
    pub(super) fn to_disarm(&self, engine: &EngineId) -> Version {
        if self.switch.version > 0 {
            return self.switch.version;
        }
        let view = self.views.get(engine);
        view.and_then(|v| v.armed.or(v.prepared))
            .unwrap_or(NO_VERSION)
    }

    pub(super) fn undone(&mut self, now: Duration, back: &IndexMap<EngineId, Reply>) -> Vec<Call> {
        // Another leader has fenced some rank: it finds the hold and ends it. To go on
        // here could mix maps, since this one cannot tell what is armed there.
        if back.values().any(|r| matches!(r, Reply::Fenced)) {
            return self.unwell(now);
        }
        self.order_holder(Phase::Go, Command::Go(self.switch.pass))
    }

    pub(super) fn gone(&mut self, now: Duration) -> Vec<Call> {
        let (version, sure) = (self.switch.version, self.switch.sure);
        self.note(
            if sure {
                "map_switched"
            } else {
                "switch_undone"
            },
            version,
        );
        if sure {
            self.further = 0;
            // Known from here on. A later switch that is undone must not replace it.
            self.map = Some((version, self.switch.map.clone()));
        }
        self.rest_a_while(now)
    }
}

//! Puts a prepared map into use: hold, arm, go; or rolls everything back under the hold.

use super::polling::REPORT_LAG;
use super::{Call, Command, EngineId, MAX_AHEAD, NO_VERSION, Pass, Phase, Reply, SwitchController};
use crate::Version;
use indexmap::IndexMap;
use std::time::Duration;

/// Factor by which the measured arming time decays from one switch to the next.
const ARM_TIME_DECAY: f64 = 0.8;
/// Increase of the passes ahead after a pass turned out to have started already.
const EXTRA_AHEAD_STEP: Pass = 3;

impl SwitchController {
    pub(super) fn on_held(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        let pass = self.switch.pass;
        match replies.values().next() {
            Some(Reply::Done) => {
                let version = self.switch.version;
                self.order_all(Phase::Arm, |_| Command::Arm(version, pass))
            }
            // The pass has started already. Nothing was armed, so nothing is lost.
            Some(Reply::Conflict) => {
                self.extra_ahead = (self.extra_ahead + EXTRA_AHEAD_STEP).min(MAX_AHEAD);
                self.record_event("hold_late", pass);
                self.phase = Phase::AwaitCopies(now);
                Vec::new()
            }
            // The group may be held, so only an order that certainly lifts the hold may follow.
            _ => self.order_holder(Phase::Go, Command::Go(pass)),
        }
    }

    pub(super) fn on_armed(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        if replies.values().all(|r| matches!(r, Reply::Done)) {
            self.switch.all_armed = true;
            let took = now.saturating_sub(self.switch.hold_sent);
            self.arm_time = took.max(self.arm_time.mul_f64(ARM_TIME_DECAY));
            return self.order_holder(Phase::Go, Command::Go(self.switch.pass));
        }
        self.record_event("arm_refused", self.switch.version);
        self.roll_back()
    }

    pub(super) fn on_hold_renewed(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        match replies.values().next() {
            Some(Reply::Done) if self.reports_current => self.roll_back(),
            Some(Reply::Done) => {
                self.phase = Phase::AwaitReports(now + REPORT_LAG);
                Vec::new()
            }
            // The pass has started or the group formed again, so the hold no longer exists.
            _ => self.restart(now),
        }
    }

    pub(super) fn roll_back(&mut self) -> Vec<Call> {
        let versions: IndexMap<EngineId, Version> = self
            .engines
            .iter()
            .map(|e| (e.clone(), self.version_to_disarm(e)))
            .collect();
        self.order_all(Phase::RollBack, |e| {
            Command::Disarm(versions.get(e).copied().unwrap_or(NO_VERSION))
        })
    }

    /// The version that a rank may be armed with: that of this leader's switch, or else the one
    /// that the rank reported as armed or prepared.
    pub(super) fn version_to_disarm(&self, engine: &EngineId) -> Version {
        if self.switch.version > 0 {
            return self.switch.version;
        }
        let report = self.reports.get(engine);
        report
            .and_then(|r| r.armed.or(r.prepared))
            .unwrap_or(NO_VERSION)
    }

    pub(super) fn on_rolled_back(
        &mut self,
        now: Duration,
        replies: &IndexMap<EngineId, Reply>,
    ) -> Vec<Call> {
        // Another leader has fenced some rank; it will find the hold and lift it. Continuing here
        // could mix maps, since this leader does not know what is armed on that rank.
        if replies.values().any(|r| matches!(r, Reply::Fenced)) {
            return self.restart(now);
        }
        self.order_holder(Phase::Go, Command::Go(self.switch.pass))
    }

    pub(super) fn on_released(&mut self, now: Duration) -> Vec<Call> {
        let (version, all_armed) = (self.switch.version, self.switch.all_armed);
        self.record_event(
            if all_armed {
                "map_switched"
            } else {
                "switch_undone"
            },
            version,
        );
        if all_armed {
            self.extra_ahead = 0;
            // The content is known from now on. A later switch that is rolled back must not replace
            // it.
            self.map = Some((version, self.switch.map.clone()));
        }
        self.wait_for_poll(now)
    }
}

//! The fill limit of a unit, by the rule that the gateway's settings select.

use crate::fill_controller::{FillController, FillUpdate, PauseBounds};
use crate::on_time_controller::OnTimeController;
use std::time::Duration;

/// What the fill limit aims at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FillRule {
    /// Single pauses within the allowed one.
    #[default]
    Pauses,
    /// Streams in time to their end.
    Streams,
}

impl FillRule {
    /// Its name in settings and log lines.
    pub fn name(self) -> &'static str {
        match self {
            FillRule::Pauses => "pauses",
            FillRule::Streams => "streams",
        }
    }
}

/// Controls a unit's fill limit.
#[derive(Debug, Clone)]
pub enum UnitController {
    /// By [`FillRule::Pauses`].
    Pauses(FillController),
    /// By [`FillRule::Streams`].
    Streams(OnTimeController),
}

impl UnitController {
    /// Creates a controller that has seen no pause.
    pub fn new(rule: FillRule) -> UnitController {
        match rule {
            FillRule::Pauses => UnitController::Pauses(FillController::default()),
            FillRule::Streams => UnitController::Streams(OnTimeController::default()),
        }
    }

    /// The rule in use.
    pub fn rule(&self) -> FillRule {
        match self {
            UnitController::Pauses(_) => FillRule::Pauses,
            UnitController::Streams(_) => FillRule::Streams,
        }
    }

    /// Discards measurements from before a stall.
    pub fn reset(&mut self) {
        match self {
            UnitController::Pauses(controller) => controller.reset(),
            UnitController::Streams(controller) => controller.reset(),
        }
    }

    /// Load over slots up to which requests are placed; above 1 the slots are the limit.
    pub fn fill_limit(&self) -> f64 {
        match self {
            UnitController::Pauses(controller) => controller.fill_limit(),
            UnitController::Streams(controller) => controller.fill_limit(),
        }
    }

    /// Records an event of a stream `pause` after the previous one. Streams have `events` events in
    /// the mean; `load` is the mean load over slots of the service's backend servers. Returns the
    /// result at the end of a window.
    pub fn observe_pause(
        &mut self,
        now: Duration,
        pause: Duration,
        bounds: PauseBounds,
        events: f64,
        load: impl FnOnce() -> f64,
    ) -> Option<FillUpdate> {
        match self {
            UnitController::Pauses(controller) => {
                controller.observe_pause(now, pause, bounds, load)
            }
            UnitController::Streams(controller) => {
                controller.observe_pause(now, pause, bounds, events, load)
            }
        }
    }
}

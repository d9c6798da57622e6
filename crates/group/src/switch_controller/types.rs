//! Requests to engines, their replies, and events of a switch controller.

use crate::Version;
use crate::map::ExpertMap;
use std::sync::Arc;
use std::time::Duration;

/// Id of a rank's engine, unique per process start.
pub type EngineId = String;
/// Number of a forward pass of the whole group.
pub type Pass = u64;

/// Report of a rank.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Group that the rank belongs to.
    pub group: String,
    /// Number of this formation of the group.
    pub epoch: u64,
    /// Its rank.
    pub rank: u32,
    /// Whether the group is running.
    pub open: bool,
    /// Number of ranks in the group.
    pub size: u32,
    /// Last pass started.
    pub pass: Pass,
    /// Version of the map in use.
    pub map: Version,
    /// Version whose experts are all copied.
    pub prepared: Option<Version>,
    /// Version that is armed.
    pub armed: Option<Version>,
    /// Pass before which the rank holds the group.
    pub held: Option<Pass>,
    /// Time for the same work in hundredths of a healthy rank's; 0 if not reported.
    pub slowdown: u32,
    /// Whether it was just read through the relay beside the rank; otherwise some hundred ms old.
    pub fresh: bool,
    /// Selections of each expert since the previous poll, a flat list by set and expert: of this
    /// rank, or of it and of others whose reports arrived with it.
    pub recent_counts: Option<Vec<u64>>,
}

/// An order to a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Copy the experts that the map needs.
    Prepare(Version, Arc<ExpertMap>),
    /// Switch to the version at the start of the pass.
    Arm(Version, Pass),
    /// Do not switch to the version.
    Disarm(Version),
    /// Do not start the pass.
    Hold(Pass),
    /// Allow the pass to start.
    Go(Pass),
}

/// A request to a rank's engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineRequest {
    /// Request its report.
    Report,
    /// Request its report, with counts where these are free.
    Poll,
    /// Request its report once the version is copied, or after a while; at once without a relay.
    ReportWhenCopied(Version),
    /// Request its selection counts by expert.
    Counts,
    /// Request the list of experts that it holds.
    List,
    /// An order, with epoch and fencing token.
    Order(Command, u64, u64),
}

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call in the reply.
    pub id: u64,
    /// Engine to call.
    pub engine: EngineId,
    /// Attempt, from 1: another route may reach an engine that this one does not.
    pub attempt: u32,
    /// The request.
    pub request: EngineRequest,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A report.
    Report(EngineReport),
    /// Epoch, and selection counts by set and expert in one list.
    Counts(u64, Vec<u64>),
    /// Version of the map in use, and this rank's experts by set.
    List(Version, Vec<Vec<u32>>),
    /// The order was accepted.
    Done,
    /// The order does not match the rank's state or epoch.
    Conflict,
    /// The rank has seen a higher token: another leader is active.
    Fenced,
    /// An unexpected or undecodable answer.
    Odd,
    /// No answer, or the engine could not be reached.
    Silent,
}

/// An event to be logged.
#[derive(Debug, Clone, PartialEq)]
pub struct SwitchEvent {
    /// Name of the event.
    pub event: &'static str,
    /// Version or pass that it refers to.
    pub number: u64,
    /// Load of the busiest rank over the mean, before and after, if it was computed.
    pub skew: Option<(f64, f64)>,
    /// Time of the slowest rank for the same work, relative to a healthy one.
    pub max_slowdown: Option<f64>,
}

/// Dimensions and limits of a group's experts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Sets of layers.
    pub sets: usize,
    /// Experts per set.
    pub experts: usize,
    /// Maximum number of experts of a set on one rank.
    pub slots: usize,
    /// Maximum number of experts of a set that one switch may add to a rank.
    pub new_per_set: usize,
    /// Time that a rank takes to copy one expert.
    pub copy_time: Duration,
}

impl Shape {
    /// Number of experts that a rank can copy in this time, at least one.
    pub(super) fn copies_within(&self, time: Duration) -> usize {
        let copies = time.as_secs_f64() / self.copy_time.as_secs_f64().max(1e-3);
        (copies as usize).max(1)
    }
}

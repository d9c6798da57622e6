//! What a pilot is told, asks and notes.

use crate::Version;
use crate::map::ExpertMap;
use std::sync::Arc;
use std::time::Duration;

/// Id of a rank's engine, one start of it.
pub type EngineId = String;
/// Number of a pass of the whole group.
pub type Pass = u64;

/// What a rank reports.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    /// Group it belongs to.
    pub group: String,
    /// Number of the group's forming.
    pub epoch: u64,
    /// Its rank.
    pub rank: u32,
    /// The group runs.
    pub open: bool,
    /// Ranks of the group.
    pub size: u32,
    /// Last pass begun.
    pub pass: Pass,
    /// Version of the map in use.
    pub map: Version,
    /// Version that is copied completely.
    pub prepared: Option<Version>,
    /// Version armed.
    pub armed: Option<Version>,
    /// Pass before which it holds the group.
    pub held: Option<Pass>,
    /// Time that it takes for the same work in hundredths of a sound rank's; 0: not told.
    pub pace: u32,
    /// It was made just now, by one beside the rank; else it is some hundred ms old.
    pub fresh: bool,
    /// How often experts were chosen since the look before, by set and expert in one list:
    /// of this rank, or of it and of others whose looks came with its own.
    pub lately: Option<Vec<u64>>,
}

/// An order to a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Copy what the map needs.
    Prepare(Version, Arc<ExpertMap>),
    /// Switch to the version as the pass begins.
    Arm(Version, Pass),
    /// Do not switch to the version.
    Disarm(Version),
    /// Do not begin the pass.
    Hold(Pass),
    /// Begin it after all.
    Go(Pass),
}

/// What is asked of a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// Its report.
    Report,
    /// Its report, with counts where these are free.
    Look,
    /// Its report once the version is copied, or after a while; at once where nobody
    /// beside the rank can wait for it.
    Copied(Version),
    /// Its counts of chosen experts.
    Counts,
    /// The experts that it holds.
    List,
    /// An order, in an epoch, with a fencing token.
    Order(Command, u64, u64),
}

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number, for the reply.
    pub call: u64,
    /// Which engine.
    pub engine: EngineId,
    /// Which try this is, from 1: another way may reach an engine that this one does not.
    pub tries: u32,
    /// What to ask.
    pub ask: Ask,
}

/// What came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A report.
    View(View),
    /// Epoch, and counts by set and expert in one list.
    Counts(u64, Vec<u64>),
    /// Version of the map in use, and this rank's experts by set.
    List(Version, Vec<Vec<u32>>),
    /// The order holds.
    Done,
    /// The order does not fit the rank's state or epoch.
    Conflict,
    /// The rank has seen a higher token: another leads.
    Fenced,
    /// Another answer, or one that cannot be read.
    Odd,
    /// Nothing came, or nobody was there.
    Silent,
}

/// Something worth a line.
#[derive(Debug, Clone, PartialEq)]
pub struct Note {
    /// What happened.
    pub event: &'static str,
    /// Version or pass that it is about.
    pub number: u64,
    /// Busiest rank over mean rank before and after, where it was computed.
    pub skew: Option<(f64, f64)>,
    /// Time that the slowest rank takes for the same work, against a sound one.
    pub pace: Option<f64>,
}

/// Shape of a group's experts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Sets of layers.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// Experts of a set on one rank at most.
    pub places: usize,
    /// Experts of a set that may be new to a rank in one switch.
    pub spare: usize,
    /// Time that a rank takes to copy one expert.
    pub copy: Duration,
}

impl Shape {
    /// Experts that a rank can copy in a time, one at least.
    pub(super) fn copies_within(&self, time: Duration) -> usize {
        let copies = time.as_secs_f64() / self.copy.as_secs_f64().max(1e-3);
        (copies as usize).max(1)
    }
}

//! The rank's end of a switch, at its agent: which orders reach the engine.

use crate::{Step, Version};
use snafu::Snafu;

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Fencing number of the leader that gives it.
    pub fence: u64,
    /// Start of the agent that it is meant for.
    pub incarnation: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load what this version of the map needs.
    Prepare {
        /// The version.
        version: Version,
        /// The map, as text.
        map: String,
    },
    /// Run steps below `until`; from step `from` on with `version`.
    Grant {
        /// The settled version.
        version: Version,
        /// Its first step.
        from: Step,
        /// First step that is not granted.
        until: Step,
        /// The map, as text, for a rank that may not have loaded it; else empty.
        map: String,
    },
}

/// Why an order does not reach the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum OrderRefusal {
    /// A newer leader gave orders already, or none is known yet.
    #[snafu(display("old fencing number"))]
    OldFence,
    /// Meant for an earlier start of this agent.
    #[snafu(display("meant for an earlier start"))]
    OtherStart,
}

/// How a rank stands. The engine outlives its agent, so all but the first two are what
/// the engine itself announced; `granted` counts what was ordered since as well.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RankReport {
    /// Start of the agent.
    pub incarnation: u64,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Next step to run.
    pub next: Step,
    /// First step that is not granted.
    pub granted: Step,
    /// Latest version of which it knows the first step.
    pub version: Version,
    /// Latest version it has loaded.
    pub prepared: Version,
}

/// The gate before one rank's engine.
#[derive(Debug, Clone, Default)]
pub struct Rank {
    report: RankReport,
}

impl Rank {
    /// A rank whose agent just started.
    pub fn new(incarnation: u64) -> Rank {
        Rank {
            report: RankReport {
                incarnation,
                ..RankReport::default()
            },
        }
    }

    /// Learns of a leader's fencing number, with a lease.
    pub fn learn(&mut self, fence: u64) {
        self.report.fence = self.report.fence.max(fence);
    }

    /// Takes what the engine announces of itself. An engine that restarted has
    /// nothing granted; what was granted to it before is forgotten with it.
    pub fn announced(&mut self, next: Step, granted: Step, version: Version, prepared: Version) {
        let r = &mut self.report;
        let restarted = granted < r.granted && next < r.next;
        // An announcement lags behind the orders that were passed on.
        r.granted = if restarted {
            granted
        } else {
            r.granted.max(granted)
        };
        (r.next, r.version, r.prepared) = (next, version, prepared);
    }

    /// Whether an order may reach the engine; if so it counts as carried out, since
    /// the engine may act on it from now on.
    pub fn order(&mut self, order: &Order) -> Result<(), OrderRefusal> {
        // An agent that restarted knows no fencing number until its first lease: an
        // old leader's order could slip through.
        if order.fence < self.report.fence || self.report.fence == 0 {
            return Err(OrderRefusal::OldFence);
        }
        if order.incarnation != self.report.incarnation {
            return Err(OrderRefusal::OtherStart);
        }
        self.report.fence = order.fence;
        if let OrderKind::Grant { until, .. } = order.kind {
            self.report.granted = self.report.granted.max(until);
        }
        Ok(())
    }

    /// How it stands.
    pub fn report(&self) -> &RankReport {
        &self.report
    }
}

//! Rank side of a switch, at its agent: decides which orders reach the engine.

use crate::{Step, Version};
use snafu::Snafu;

/// An order to one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Fencing token of the leader that sends it.
    pub fence: u64,
    /// Incarnation of the agent that it is meant for.
    pub incarnation: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// Content of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the experts that this version of the map needs.
    Prepare {
        /// The version.
        version: Version,
        /// The map in text form.
        map: String,
    },
    /// Run steps below `until`; use `version` from step `from` on.
    Grant {
        /// The committed version.
        version: Version,
        /// Its first step.
        from: Step,
        /// First step that is not granted.
        until: Step,
        /// The map in text form for a rank that may not have loaded it; otherwise empty.
        map: String,
    },
}

/// Why an order is not passed to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum OrderRefusal {
    /// A newer leader has already given orders, or no leader is known yet.
    #[snafu(display("stale fencing token"))]
    StaleFence,
    /// The order is meant for an earlier incarnation of this agent.
    #[snafu(display("meant for an earlier incarnation of the agent"))]
    OtherIncarnation,
}

/// State of a rank. The engine outlives its agent, so all fields but the first two come from the
/// engine's announcements; `granted` also includes orders since then.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RankReport {
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Next step to run.
    pub next: Step,
    /// First step that is not granted.
    pub granted: Step,
    /// Latest version whose first step it knows.
    pub version: Version,
    /// Latest version it has loaded.
    pub prepared: Version,
}

/// Filters the orders to one rank's engine.
#[derive(Debug, Clone, Default)]
pub struct RankGate {
    report: RankReport,
}

impl RankGate {
    /// State of a rank whose agent has just started.
    pub fn new(incarnation: u64) -> RankGate {
        RankGate {
            report: RankReport {
                incarnation,
                ..RankReport::default()
            },
        }
    }

    /// Records a leader's fencing token, received with a lease.
    pub fn observe_fence(&mut self, fence: u64) {
        self.report.fence = self.report.fence.max(fence);
    }

    /// Records an announcement of the engine. An engine that restarted has no granted steps: its
    /// earlier grants died with it.
    pub fn on_announcement(
        &mut self,
        next: Step,
        granted: Step,
        version: Version,
        prepared: Version,
    ) {
        let r = &mut self.report;
        let restarted = granted < r.granted && next < r.next;
        // An announcement may be older than the latest orders passed on.
        r.granted = if restarted {
            granted
        } else {
            r.granted.max(granted)
        };
        (r.next, r.version, r.prepared) = (next, version, prepared);
    }

    /// Whether an order may reach the engine. An accepted order counts as carried out, since the
    /// engine may act on it at any time from then on.
    pub fn admit(&mut self, order: &Order) -> Result<(), OrderRefusal> {
        // After a restart the agent knows no fencing token until its first lease, and an earlier
        // leader's order could pass.
        if order.fence < self.report.fence || self.report.fence == 0 {
            return Err(OrderRefusal::StaleFence);
        }
        if order.incarnation != self.report.incarnation {
            return Err(OrderRefusal::OtherIncarnation);
        }
        self.report.fence = order.fence;
        if let OrderKind::Grant { until, .. } = order.kind {
            self.report.granted = self.report.granted.max(until);
        }
        Ok(())
    }

    /// State of the rank.
    pub fn report(&self) -> &RankReport {
        &self.report
    }
}

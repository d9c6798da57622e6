//! Discovers from the engines' own reports which of them form which lock-step group. The engines of
//! one service may form several groups; an engine in no group yet is left alone.

use crate::switch_controller::{Call, EngineId, EngineReport, EngineRequest, Reply};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Name of a group within its service.
pub type GroupName = String;

/// Interval between polls of engines whose group is unknown or may have changed. A group that
/// lacked a rank forms again a few hundred milliseconds after that rank returns.
const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// The groups of one service.
#[derive(Debug, Clone, Default)]
pub struct GroupDiscovery {
    /// Last report of each engine.
    reports: IndexMap<EngineId, EngineReport>,
    /// Engines with an outstanding request, and the id of its call.
    pending: IndexMap<EngineId, u64>,
    last_call: u64,
    next_poll: Duration,
    /// Groups of which every rank is known.
    complete: Vec<GroupName>,
}

impl GroupDiscovery {
    /// Starts without groups. Calls are numbered from `first`, so that earlier replies match none.
    pub fn new(first: u64) -> GroupDiscovery {
        GroupDiscovery {
            last_call: first,
            ..GroupDiscovery::default()
        }
    }

    /// Whether [`GroupDiscovery::tick`] may do something even if the engines are unchanged.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.next_poll
    }

    /// Advances time. `engines` are the registered ones; `is_uncertain` tells whether the ranks of
    /// a group may have changed.
    pub fn tick(
        &mut self,
        now: Duration,
        engines: &[EngineId],
        is_uncertain: impl Fn(&str) -> bool,
    ) -> Vec<Call> {
        let registered: IndexSet<&EngineId> = engines.iter().collect();
        self.reports.retain(|e, _| registered.contains(e));
        self.complete = self.find_complete();
        let has_unknown = engines.iter().any(|e| !self.is_known(e));
        if now < self.next_poll && !has_unknown {
            return Vec::new();
        }
        self.next_poll = now + POLL_INTERVAL;
        // When a rank leaves, its group breaks up and the remaining ranks form it again, smaller.
        let complete = &self.complete;
        let to_poll = |e: &&EngineId| {
            let report = self.reports.get(*e);
            report.is_none_or(|r| !complete.contains(&r.group) || is_uncertain(&r.group))
        };
        let to_poll: Vec<EngineId> = engines.iter().filter(to_poll).cloned().collect();
        to_poll
            .into_iter()
            .map(|e| self.request_report(e))
            .collect()
    }

    /// Processes the reply to a call. Returns the engine and its group, if it has one.
    pub fn reply(&mut self, call: u64, reply: Reply) -> Option<(EngineId, GroupName)> {
        let found = self.pending.iter().find(|(_, c)| **c == call);
        let engine = found.map(|(e, _)| e.clone())?;
        self.pending.swap_remove(&engine);
        let Reply::Report(report) = reply else {
            return None;
        };
        let group = report.group.clone();
        self.reports.insert(engine.clone(), report);
        self.complete = self.find_complete();
        (!group.is_empty()).then_some((engine, group))
    }

    /// Groups of which every rank is known.
    pub fn complete_groups(&self) -> &[GroupName] {
        &self.complete
    }

    fn find_complete(&self) -> Vec<GroupName> {
        let mut counts: IndexMap<&str, (usize, u32)> = IndexMap::new();
        for report in self.reports.values().filter(|r| !r.group.is_empty()) {
            let (known, size) = counts.entry(&report.group).or_default();
            *known += 1;
            *size = report.size;
        }
        let complete = counts
            .into_iter()
            .filter(|(_, (known, size))| *known >= *size as usize);
        complete.map(|(name, _)| name.to_string()).collect()
    }

    /// Engines of a group with their last reports.
    pub fn members(&self, group: &str) -> IndexMap<EngineId, EngineReport> {
        let members = self.reports.iter().filter(|(_, r)| r.group == group);
        members.map(|(e, r)| (e.clone(), r.clone())).collect()
    }

    fn is_known(&self, engine: &EngineId) -> bool {
        self.reports.contains_key(engine) || self.pending.contains_key(engine)
    }

    fn request_report(&mut self, engine: EngineId) -> Call {
        self.last_call += 1;
        let call = self.last_call;
        // Replaces the outstanding call, so that its reply no longer matches.
        self.pending.insert(engine.clone(), call);
        Call {
            id: call,
            engine,
            attempt: 1,
            request: EngineRequest::Report,
        }
    }
}

//! Which engines form which lock-step group, learnt from what they report themselves. The
//! engines of one service may form several groups; one that belongs to none yet is left alone.

use crate::switch_controller::{Ask, Call, EngineId, Reply, View};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Name of a group within its service.
pub type GroupName = String;

/// Between two asks of engines whose group is not known or not sure: a group that lacks a rank
/// forms again some hundred milliseconds after it is back.
const GAP: Duration = Duration::from_millis(600);

/// The groups of one service.
#[derive(Debug, Clone, Default)]
pub struct Muster {
    /// What engines reported last.
    views: IndexMap<EngineId, View>,
    /// Engines that were asked and have not replied, and the call.
    asked: IndexMap<EngineId, u64>,
    calls: u64,
    due: Duration,
    /// Groups of which every rank is known.
    whole: Vec<GroupName>,
}

impl Muster {
    /// Begins; numbers of calls begin at `first`, so that replies to an earlier one fit none.
    pub fn new(first: u64) -> Muster {
        Muster {
            calls: first,
            ..Muster::default()
        }
    }

    /// The next call of [`Muster::tick`] may do something even with the same engines.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due
    }

    /// Lets time pass; `engines` are those that are registered now, `unsure` says of which
    /// groups the ranks may have changed.
    pub fn tick(
        &mut self,
        now: Duration,
        engines: &[EngineId],
        unsure: impl Fn(&str) -> bool,
    ) -> Vec<Call> {
        let present: IndexSet<&EngineId> = engines.iter().collect();
        self.views.retain(|e, _| present.contains(e));
        self.whole = self.find_whole();
        let fresh = engines.iter().any(|e| !self.is_known(e));
        if now < self.due && !fresh {
            return Vec::new();
        }
        self.due = now + GAP;
        // A rank that left takes its group apart; the others form it anew, and smaller.
        let whole = &self.whole;
        let open = |e: &&EngineId| {
            let view = self.views.get(*e);
            view.is_none_or(|v| !whole.contains(&v.group) || unsure(&v.group))
        };
        let open: Vec<EngineId> = engines.iter().filter(open).cloned().collect();
        open.into_iter().map(|e| self.ask(e)).collect()
    }

    /// Takes the reply to a call; returns the engine and its group, where it has one.
    pub fn reply(&mut self, call: u64, reply: Reply) -> Option<(EngineId, GroupName)> {
        let found = self.asked.iter().find(|(_, c)| **c == call);
        let engine = found.map(|(e, _)| e.clone())?;
        self.asked.swap_remove(&engine);
        let Reply::View(view) = reply else {
            return None;
        };
        let group = view.group.clone();
        self.views.insert(engine.clone(), view);
        self.whole = self.find_whole();
        (!group.is_empty()).then_some((engine, group))
    }

    /// Groups of which every rank is known.
    pub fn whole(&self) -> &[GroupName] {
        &self.whole
    }

    fn find_whole(&self) -> Vec<GroupName> {
        let mut counts: IndexMap<&str, (usize, u32)> = IndexMap::new();
        for view in self.views.values().filter(|v| !v.group.is_empty()) {
            let (known, size) = counts.entry(&view.group).or_default();
            *known += 1;
            *size = view.size;
        }
        let whole = counts
            .into_iter()
            .filter(|(_, (known, size))| *known >= *size as usize);
        whole.map(|(name, _)| name.to_string()).collect()
    }

    /// Engines of a group, and what they reported last.
    pub fn members(&self, group: &str) -> IndexMap<EngineId, View> {
        let members = self.views.iter().filter(|(_, v)| v.group == group);
        members.map(|(e, v)| (e.clone(), v.clone())).collect()
    }

    fn is_known(&self, engine: &EngineId) -> bool {
        self.views.contains_key(engine) || self.asked.contains_key(engine)
    }

    fn ask(&mut self, engine: EngineId) -> Call {
        self.calls += 1;
        let call = self.calls;
        // Whoever was asked before is asked anew: the earlier reply fits nothing any more.
        self.asked.insert(engine.clone(), call);
        Call {
            call,
            engine,
            tries: 1,
            ask: Ask::Report,
        }
    }
}

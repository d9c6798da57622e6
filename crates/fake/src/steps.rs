//! The fake's progress in the steps of its group: it runs only the steps that it is granted, on the
//! map that it is ordered to use.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An order of the project to an engine.
#[derive(Debug, Deserialize)]
pub(crate) struct Order {
    pub(crate) version: u64,
    #[serde(default)]
    pub(crate) from: u64,
    #[serde(default)]
    pub(crate) until: u64,
    pub(crate) fence: u64,
}

/// Steps and maps of one rank.
#[derive(Debug, Default)]
pub(crate) struct Steps {
    pub(crate) next: u64,
    pub(crate) granted: u64,
    maps: BTreeMap<u64, u64>,
    prepared: u64,
    loading: Option<(u64, Instant)>,
    /// Highest fencing token received; only some engines check it.
    fence: u64,
}

impl Steps {
    /// Whether an order is refused; an engine that checks fencing tokens refuses old ones.
    pub(crate) fn refuses(&mut self, fence: u64, checks: bool) -> bool {
        let old = checks && fence < self.fence;
        self.fence = self.fence.max(fence);
        old
    }

    pub(crate) fn prepare(&mut self, version: u64, load_time: Duration) {
        let is_loading = self.loading.is_some_and(|(v, _)| v == version);
        if self.prepared != version && !is_loading {
            self.loading = Some((version, Instant::now() + load_time));
        }
    }

    pub(crate) fn grant(&mut self, order: &Order, load_time: Duration) {
        // An engine that rejoins starts at the first step of the committed map or later.
        if self.maps.is_empty() {
            self.next = self.next.max(order.from);
        }
        self.maps.insert(order.version, order.from);
        self.granted = self.granted.max(order.until);
        if self.prepared < order.version {
            self.prepare(order.version, load_time);
        }
    }

    /// Highest version whose first step is known.
    pub(crate) fn version(&self) -> u64 {
        self.maps.keys().last().copied().unwrap_or(0)
    }

    pub(crate) fn prepared(&mut self) -> u64 {
        if let Some((version, at)) = self.loading
            && Instant::now() >= at
        {
            (self.prepared, self.loading) = (version, None);
        }
        self.prepared
    }

    /// The map of the next step, if that step may run.
    pub(crate) fn runnable_map(&mut self) -> Option<u64> {
        let has_started = |(_, from): &(&u64, &u64)| **from <= self.next;
        let map = self
            .maps
            .iter()
            .filter(has_started)
            .map(|(v, _)| *v)
            .max()?;
        let loaded = self.prepared() >= map;
        (self.next < self.granted && loaded).then_some(map)
    }
}

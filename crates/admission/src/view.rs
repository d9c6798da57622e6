//! A gateway's view of the demand on one service at all gateways.

use crate::demand::{Demand, LevelDemand, MAX_DEMAND_AGE};
use crate::{AccountId, Priority};
use indexmap::IndexMap;
use std::time::Duration;

/// A view that covers fewer gateways than the one held replaces it only after this time: a
/// coordinator that has just started has heard from few.
const PREFER_WIDER: Duration = Duration::from_secs(1);

/// Sum of the demand on one service, as a coordinator reported it.
#[derive(Debug, Clone, Default)]
pub struct View {
    received: Option<Duration>,
    gateways: u32,
    levels: IndexMap<Priority, LevelDemand>,
    /// Tokens per second of accounts at other gateways.
    others: IndexMap<(Priority, AccountId), f64>,
}

impl View {
    /// Takes the part of a sum that belongs to `service`. `own` returns the work of an account at
    /// this gateway, which the sum may include.
    pub fn update(
        &mut self,
        now: Duration,
        service: &str,
        sum: &Demand,
        own: impl Fn(Priority, &str) -> f64,
    ) {
        let recent = self.received.is_some_and(|at| now < at + PREFER_WIDER);
        if sum.gateways == 0 || (recent && sum.gateways < self.gateways) {
            return;
        }
        self.received = Some(now);
        self.gateways = sum.gateways;
        let levels = sum.levels.iter().filter(|((s, _), _)| s == service);
        self.levels = levels.map(|((_, p), level)| (*p, *level)).collect();
        let accounts = sum.accounts.iter().filter(|((s, ..), _)| s == service);
        self.others = accounts
            .map(|((_, p, account), rate)| {
                let others = (rate - own(*p, account)).max(0.0);
                ((*p, account.clone()), others)
            })
            .collect();
    }

    /// Whether the last update is recent enough to be used.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.received.is_some_and(|at| now < at + MAX_DEMAND_AGE)
    }

    /// Rate of first attempts of priorities below `below` at `gateways` gateways, scaled up from
    /// those that it covers.
    pub(crate) fn rate(&self, now: Duration, below: Priority, gateways: u32) -> Option<f64> {
        if !self.is_fresh(now) {
            return None;
        }
        let levels = self.levels.iter().filter(|(p, _)| **p < below);
        let rate: f64 = levels.map(|(_, level)| level.rate).sum();
        let scale = f64::from(gateways) / f64::from(self.gateways.max(1));
        Some(rate * scale.max(1.0))
    }

    /// Whether requests of a priority wait at some gateway.
    pub(crate) fn is_waiting(&self, now: Duration, priority: Priority) -> bool {
        let level = self.levels.get(&priority).filter(|_| self.is_fresh(now));
        level.is_some_and(|l| l.waiting > 0)
    }

    /// Tokens per second that an account gets at other gateways.
    pub(crate) fn others(&self, now: Duration, priority: Priority, account: &str) -> f64 {
        let found = self.others.get(&(priority, account.to_string()));
        found.filter(|_| self.is_fresh(now)).copied().unwrap_or(0.0)
    }

    /// Accounts of a priority with work at other gateways.
    pub(crate) fn accounts(&self, now: Duration, priority: Priority) -> Vec<&AccountId> {
        let fresh = self.is_fresh(now);
        let known = self.others.keys().filter(|(p, _)| fresh && *p == priority);
        known.map(|(_, account)| account).collect()
    }
}

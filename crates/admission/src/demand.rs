//! Demand seen by gateways, and its sum over all that reported lately.

use crate::usage::MAX_REPORTED;
use crate::{AccountId, Priority, ServiceId};
use bn_wire::messages as wire;
use indexmap::IndexMap;
use std::hash::Hash;
use std::time::Duration;

/// Age from which a report or a sum no longer counts: two polls of one coordinator and a margin.
pub const MAX_DEMAND_AGE: Duration = Duration::from_secs(2);
/// Maximum number of pairs of service and priority accepted in one report.
const MAX_LEVELS: usize = 64;

/// First attempts of one priority.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LevelDemand {
    /// Requests per second.
    pub rate: f64,
    /// Queued requests.
    pub waiting: u32,
}

/// Demand seen by one gateway, or the sum over some.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Demand {
    /// First attempts by service and priority.
    pub levels: IndexMap<(ServiceId, Priority), LevelDemand>,
    /// Tokens per second by service, priority and account.
    pub accounts: IndexMap<(ServiceId, Priority, AccountId), f64>,
    /// Number of gateways whose demand is included.
    pub gateways: u32,
}

impl Demand {
    /// Keeps the accounts with the most work, as many as a message may list.
    pub fn truncate_accounts(&mut self) {
        self.accounts.sort_by(|_, a, _, b| b.total_cmp(a));
        self.accounts.truncate(MAX_REPORTED);
    }
}

impl From<&Demand> for wire::Demand {
    fn from(demand: &Demand) -> wire::Demand {
        let levels = demand.levels.iter();
        let accounts = demand.accounts.iter();
        wire::Demand {
            services: levels
                .map(|((service, priority), level)| wire::ServiceDemand {
                    service: service.clone(),
                    priority: *priority,
                    rate: level.rate as f32,
                    waiting: level.waiting,
                })
                .collect(),
            accounts: accounts
                .map(|((service, priority, account), rate)| wire::AccountUsage {
                    service: service.clone(),
                    priority: *priority,
                    account: account.clone(),
                    rate: *rate as f32,
                })
                .collect(),
            gateways: demand.gateways,
        }
    }
}

/// A received demand without the invalid values, and the number of these.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ReceivedDemand {
    /// Valid part.
    pub demand: Demand,
    /// Values that were dropped.
    pub invalid: u64,
}

impl From<wire::Demand> for ReceivedDemand {
    fn from(raw: wire::Demand) -> ReceivedDemand {
        let valid = |rate: f32| rate.is_finite() && rate >= 0.0;
        let all = raw.services.len() + raw.accounts.len();
        let levels = raw.services.into_iter().filter(|s| valid(s.rate));
        let levels: IndexMap<_, _> = levels
            .take(MAX_LEVELS)
            .map(|s| {
                let level = LevelDemand {
                    rate: f64::from(s.rate),
                    waiting: s.waiting,
                };
                ((s.service, s.priority), level)
            })
            .collect();
        let accounts = raw.accounts.into_iter().filter(|a| valid(a.rate));
        let accounts: IndexMap<_, _> = accounts
            .take(MAX_REPORTED)
            .map(|a| ((a.service, a.priority, a.account), f64::from(a.rate)))
            .collect();
        let invalid = all.saturating_sub(levels.len() + accounts.len()) as u64;
        ReceivedDemand {
            demand: Demand {
                levels,
                accounts,
                gateways: raw.gateways,
            },
            invalid,
        }
    }
}

/// Latest report of one gateway.
#[derive(Debug, Clone, Default)]
struct Report {
    at: Duration,
    levels: IndexMap<(ServiceId, Priority), LevelDemand>,
    /// Reported less often than the levels.
    accounts_at: Duration,
    accounts: IndexMap<(ServiceId, Priority, AccountId), f64>,
}

/// Recent reports of gateways, by their address.
#[derive(Debug, Clone)]
pub struct DemandSum<Gateway> {
    reports: IndexMap<Gateway, Report>,
}

impl<Gateway> Default for DemandSum<Gateway> {
    fn default() -> DemandSum<Gateway> {
        DemandSum {
            reports: IndexMap::new(),
        }
    }
}

impl<Gateway: Hash + Eq> DemandSum<Gateway> {
    /// Records a report.
    pub fn record(&mut self, now: Duration, gateway: Gateway, demand: Demand) {
        let report = self.reports.entry(gateway).or_default();
        report.at = now;
        report.levels = demand.levels;
        if !demand.accounts.is_empty() {
            report.accounts_at = now;
            report.accounts = demand.accounts;
        }
    }

    /// Sum over the gateways that reported lately. Gateways that stopped reporting are forgotten.
    pub fn sum(&mut self, now: Duration) -> Demand {
        self.reports.retain(|_, r| now < r.at + MAX_DEMAND_AGE);
        let mut sum = Demand {
            gateways: u32::try_from(self.reports.len()).unwrap_or(u32::MAX),
            ..Demand::default()
        };
        for report in self.reports.values() {
            for (key, level) in &report.levels {
                let total = sum.levels.entry(key.clone()).or_default();
                total.rate += level.rate;
                total.waiting = total.waiting.saturating_add(level.waiting);
            }
            let fresh = now < report.accounts_at + MAX_DEMAND_AGE;
            for (key, rate) in report.accounts.iter().filter(|_| fresh) {
                *sum.accounts.entry(key.clone()).or_default() += rate;
            }
        }
        sum.truncate_accounts();
        sum
    }
}

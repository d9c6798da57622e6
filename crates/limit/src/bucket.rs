//! One entry's share of each account's rate, as token buckets.

use crate::AccountId;
use std::collections::HashMap;
use std::time::Duration;

/// Period whose requests a bucket holds: limits an account's bursts at one entry.
const BURST: Duration = Duration::from_millis(250);
/// Minimum bucket size in requests; without it, small shares would admit nothing.
const MIN_TOKENS: f64 = 1.0;
/// Weight of the latest measurement of demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Requests per second that this entry may admit for an account, until a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateGrant {
    /// Requests per second.
    pub rate: f64,
    /// End of the share's lease; afterwards the default rate applies.
    pub until: Duration,
}

#[derive(Debug, Clone, Default)]
struct Bucket {
    grant: Option<RateGrant>,
    tokens: f64,
    refilled_at: Duration,
    /// Requests received since the last measurement.
    arrivals: u64,
    demand: f64,
}

/// Token buckets of one entry.
#[derive(Debug, Clone, Default)]
pub struct TokenBuckets {
    accounts: HashMap<AccountId, Bucket>,
    measured_at: Duration,
}

impl TokenBuckets {
    /// Applies the share granted by the leader.
    pub fn grant(&mut self, account: &str, grant: RateGrant) {
        self.accounts.entry(account.into()).or_default().grant = Some(grant);
    }

    /// Admits a request, or returns how long to wait. Without a valid grant `default_rate` applies:
    /// a quarter of an equal share, which every entry may use without a grant.
    pub fn admit(
        &mut self,
        now: Duration,
        account: &str,
        default_rate: f64,
    ) -> Result<(), Duration> {
        let bucket = self.accounts.entry(account.into()).or_default();
        bucket.arrivals += 1;
        let rate = match bucket.grant {
            Some(grant) if now < grant.until => grant.rate,
            _ => default_rate,
        };
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        let max_tokens = (rate * BURST.as_secs_f64()).max(MIN_TOKENS);
        bucket.tokens = (bucket.tokens + elapsed * rate).min(max_tokens);
        bucket.refilled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - bucket.tokens) / rate.max(1e-3);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }

    /// Demand of each account since the last call, in requests per second, smoothed. Accounts
    /// without demand are left out, and dropped unless their grant is valid.
    pub fn take_demand(&mut self, now: Duration) -> Vec<(AccountId, f64)> {
        let elapsed = now.saturating_sub(self.measured_at).as_secs_f64().max(1e-3);
        self.measured_at = now;
        for bucket in self.accounts.values_mut() {
            bucket.demand += DEMAND_WEIGHT * (bucket.arrivals as f64 / elapsed - bucket.demand);
            bucket.arrivals = 0;
        }
        self.accounts
            .retain(|_, b| b.demand > 0.05 || b.grant.is_some_and(|g| now < g.until));
        let active = self.accounts.iter().filter(|(_, b)| b.demand > 0.05);
        active
            .map(|(account, b)| (account.clone(), b.demand))
            .collect()
    }
}

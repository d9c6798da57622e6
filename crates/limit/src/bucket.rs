//! One entry's part of each account's rate, as token buckets.

use crate::AccountId;
use std::collections::HashMap;
use std::time::Duration;

/// Time whose requests a bucket holds: how bursty an account may be at one entry.
const BURST: Duration = Duration::from_millis(250);
/// A bucket holds at least so many requests, or small parts would admit nothing.
const LEAST: f64 = 1.0;
/// Weight of the newest look at demand.
const ALPHA: f64 = 0.5;

/// Requests a second that this entry may admit for an account, until a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub rate: f64,
    /// The lease of this part ends then; past that nothing is admitted.
    pub until: Duration,
}

#[derive(Debug, Clone, Default)]
struct Bucket {
    part: Option<Rate>,
    saved: f64,
    at: Duration,
    /// Requests that came since the last look.
    came: u64,
    demand: f64,
}

/// The buckets of one entry.
#[derive(Debug, Clone, Default)]
pub struct Buckets {
    accounts: HashMap<AccountId, Bucket>,
    looked: Duration,
}

impl Buckets {
    /// Takes the part that the leader gave.
    pub fn grant(&mut self, account: &str, part: Rate) {
        self.accounts.entry(account.into()).or_default().part = Some(part);
    }

    /// Admits a request, or says when to come back. An account without a part yet is
    /// given `first`, its equal part: it is what every entry may use unasked.
    pub fn admit(&mut self, now: Duration, account: &str, first: f64) -> Result<(), Duration> {
        let bucket = self.accounts.entry(account.into()).or_default();
        bucket.came += 1;
        let rate = match bucket.part {
            Some(part) if now < part.until => part.rate,
            _ => first,
        };
        let passed = now.saturating_sub(bucket.at).as_secs_f64();
        let most = (rate * BURST.as_secs_f64()).max(LEAST);
        bucket.saved = (bucket.saved + passed * rate).min(most);
        bucket.at = now;
        if bucket.saved >= 1.0 {
            bucket.saved -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - bucket.saved) / rate.max(1e-3);
        Err(Duration::from_secs_f64(wait.min(60.0)))
    }

    /// Demand of each account since the last look, in requests a second, smoothed.
    /// Accounts without demand are left out, and forgotten.
    pub fn demand(&mut self, now: Duration) -> Vec<(AccountId, f64)> {
        let passed = now.saturating_sub(self.looked).as_secs_f64().max(1e-3);
        self.looked = now;
        for bucket in self.accounts.values_mut() {
            bucket.demand += ALPHA * (bucket.came as f64 / passed - bucket.demand);
            bucket.came = 0;
        }
        self.accounts
            .retain(|_, b| b.demand > 0.05 || b.part.is_some_and(|p| now < p.until));
        let asked = self.accounts.iter().filter(|(_, b)| b.demand > 0.05);
        asked
            .map(|(account, b)| (account.clone(), b.demand))
            .collect()
    }
}

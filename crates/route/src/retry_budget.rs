//! Retry budget of one service at one gateway: all gateways together may retry a fraction of the
//! requests, plus a fixed number.
//!
//! Without it, retries overload a service that is already failing. Each gateway spends from its own
//! requests and from its share of the fixed number; this needs no messages, and a gateway that is
//! cut off stays within its share.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowance that is used. The rest covers windows that are aligned differently
/// from this one, and gateways that restarted and lost their count of retries.
const USED_SHARE: f64 = 0.5;

/// Retries allowed to all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries as a fraction of requests.
    pub ratio: f64,
    /// Retries beyond that fraction.
    pub slack: u32,
    /// Period over which both are counted.
    pub window: Duration,
}

/// Recent requests and retries.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Records a request.
    pub fn record_request(&mut self, now: Duration, allowance: &RetryAllowance) {
        self.requests.push_back(now);
        drop_expired(&mut self.requests, now, allowance.window);
    }

    /// Takes one retry if available, where `gateways` share the allowance.
    pub fn try_withdraw(
        &mut self,
        now: Duration,
        allowance: &RetryAllowance,
        gateways: u32,
    ) -> bool {
        drop_expired(&mut self.requests, now, allowance.window);
        drop_expired(&mut self.retries, now, allowance.window);
        let earned = allowance.ratio * self.requests.len() as f64;
        let share = f64::from(allowance.slack) / f64::from(gateways.max(1));
        let granted = (self.retries.len() as f64) + 1.0 <= USED_SHARE * (earned + share);
        if granted {
            self.retries.push_back(now);
        }
        granted
    }
}

fn drop_expired(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}

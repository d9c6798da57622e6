//! The retry budget of one service at one gateway: all gateways together may send a part
//! of the requests a second time, and some more.
//!
//! Without it a failing service is finished off by its callers' second tries. Each
//! gateway spends from its own requests and from its part of what is allowed on top; no
//! messages are needed, and a gateway that is cut off stays inside its part.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the allowance that is used. The rest covers windows that lie otherwise than
/// this one, and a gateway that restarted and forgot what it had spent.
const USED: f64 = 0.5;

/// What all gateways together may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Second tries, as a part of requests.
    pub ratio: f64,
    /// Second tries beyond that.
    pub slack: u32,
    /// Time over which both are counted.
    pub window: Duration,
}

/// Requests and second tries of late.
#[derive(Debug, Clone, Default)]
pub struct Retries {
    requests: VecDeque<Duration>,
    spent: VecDeque<Duration>,
}

impl Retries {
    /// A request came in.
    pub fn request(&mut self, now: Duration, allowance: &Allowance) {
        self.requests.push_back(now);
        trim(&mut self.requests, now, allowance.window);
    }

    /// Takes one second try if there is one left, among `gateways` that share.
    pub fn spend(&mut self, now: Duration, allowance: &Allowance, gateways: u32) -> bool {
        trim(&mut self.requests, now, allowance.window);
        trim(&mut self.spent, now, allowance.window);
        let earned = allowance.ratio * self.requests.len() as f64;
        let part = f64::from(allowance.slack) / f64::from(gateways.max(1));
        let some = (self.spent.len() as f64) + 1.0 <= USED * (earned + part);
        if some {
            self.spent.push_back(now);
        }
        some
    }
}

fn trim(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}

//! How a backend server fares by the requests that were sent to it: failures put it out
//! for a short time, and a share of failures makes it dearer.

use std::time::Duration;

/// Failures in a row that put it out; a grave one (nobody answers there) does at once.
const STRIKES: u32 = 3;
/// First time out; doubles with each in a row.
const FIRST_OUT: Duration = Duration::from_millis(400);
/// Longest time out. Short, since callers are served again only after it: a service all
/// of whose backend servers were down must be back within the recovery bound (12 s).
const LONGEST_OUT: Duration = Duration::from_secs(3);
/// Time over which one that was out gets back to its full part.
const RETURN: Duration = Duration::from_secs(2);
/// Part of its room that one gets right after it was out: a probe or two.
const FIRST_SHARE: f64 = 0.1;
/// Weight of the latest outcome in the share of failures.
const ALPHA: f64 = 0.15;

/// Standing of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Standing {
    strikes: u32,
    outs: u32,
    until: Option<Duration>,
    failing: f64,
}

impl Standing {
    /// A request failed there; `true` where this puts it out.
    pub fn fail(&mut self, now: Duration, gravely: bool) -> bool {
        self.failing += ALPHA * (1.0 - self.failing);
        self.strikes += 1;
        if self.out(now) || (self.strikes < STRIKES && !gravely) {
            return false;
        }
        let out = FIRST_OUT * 2u32.saturating_pow(self.outs.min(5));
        self.until = Some(now + out.min(LONGEST_OUT));
        self.outs += 1;
        self.strikes = 0;
        true
    }

    /// A request succeeded there.
    pub fn succeed(&mut self, now: Duration) {
        self.failing -= ALPHA * self.failing;
        self.strikes = 0;
        if !self.out(now) {
            self.outs = 0;
        }
        if self.share(now) >= 1.0 {
            self.until = None;
        }
    }

    /// It is out.
    pub fn out(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// When it is or was back.
    pub fn back_at(&self) -> Duration {
        self.until.unwrap_or(Duration::ZERO)
    }

    /// Share of failures of late, 0 to 1.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Part of its room that it is given now.
    pub fn share(&self, now: Duration) -> f64 {
        let Some(until) = self.until else {
            return 1.0;
        };
        let back = now.saturating_sub(until).as_secs_f64() / RETURN.as_secs_f64();
        back.clamp(FIRST_SHARE, 1.0)
    }
}

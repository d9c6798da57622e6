//! Passive health: ejection after failures in a row, and a slow return.

use std::time::Duration;

/// Failures in a row that eject.
const STRIKES: u32 = 3;
/// First time out; doubles with each ejection in a row.
const FIRST_OUT: Duration = Duration::from_secs(1);
/// Longest time out.
const LONGEST_OUT: Duration = Duration::from_secs(30);
/// Time over which a returned backend server gets back to its full part.
const RETURN: Duration = Duration::from_secs(5);

/// Health of a backend server as this entry's own requests show it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    strikes: u32,
    ejections: u32,
    out_until: Option<Duration>,
}

impl Health {
    /// A request failed there; `true` where this ejects it.
    pub fn fail(&mut self, now: Duration) -> bool {
        self.strikes += 1;
        if self.strikes < STRIKES || self.out(now) {
            return false;
        }
        let out = (FIRST_OUT * 2u32.saturating_pow(self.ejections.min(5))).min(LONGEST_OUT);
        self.out_until = Some(now + out);
        self.ejections += 1;
        self.strikes = 0;
        true
    }

    /// A request succeeded there.
    pub fn succeed(&mut self, now: Duration) {
        self.strikes = 0;
        if self.share(now) >= 1.0 {
            self.ejections = 0;
            self.out_until = None;
        }
    }

    /// It is ejected.
    pub fn out(&self, now: Duration) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Part of its capacity it is given: grows from a tenth after an ejection, so
    /// that a backend server that is still ill fails few requests.
    pub fn share(&self, now: Duration) -> f64 {
        let Some(until) = self.out_until else {
            return 1.0;
        };
        let back = now.saturating_sub(until).as_secs_f64() / RETURN.as_secs_f64();
        back.clamp(0.1, 1.0)
    }
}

//! Retry budget of an entry: limits retries to a fixed fraction of requests, so that they do not
//! overload a service that is already failing.

use std::time::Duration;

/// Retries earned per request.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Retries earned per second regardless of load, so that services with little traffic can retry.
const TOKENS_PER_SECOND: f64 = 5.0;
/// Maximum number of retries saved up.
const MAX_TOKENS: f64 = 50.0;

/// A token bucket of retries.
#[derive(Debug, Clone)]
pub struct RetryTokens {
    tokens: f64,
    refilled_at: Duration,
}

impl Default for RetryTokens {
    fn default() -> RetryTokens {
        RetryTokens {
            tokens: MAX_TOKENS,
            refilled_at: Duration::ZERO,
        }
    }
}

impl RetryTokens {
    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry if available.
    pub fn try_withdraw(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * TOKENS_PER_SECOND).min(MAX_TOKENS);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

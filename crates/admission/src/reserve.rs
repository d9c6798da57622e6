//! Capacity kept free for more urgent requests that are about to arrive.

use std::time::Duration;

/// Time by which a gateway's view of the load lags behind: the load that other gateways cause is
/// known from answers of backend servers, which are 0.1 to 0.3 s old.
pub(crate) const VIEW_LAG: Duration = Duration::from_millis(200);
/// Standard deviations of the arrivals within the lag that are reserved beyond their mean.
const DEVIATIONS: f64 = 2.0;

/// Slots to keep free for arrivals at `rate` per second within `lag`. `spread` is the measured
/// standard deviation of their number; that of independent arrivals is used if it is larger.
pub fn reserved_slots(rate: f64, lag: Duration, spread: f64) -> f64 {
    if !rate.is_finite() || rate <= 0.0 {
        return 0.0;
    }
    let expected = rate * lag.as_secs_f64();
    expected + DEVIATIONS * expected.sqrt().max(spread)
}

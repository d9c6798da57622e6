//! The time within which an answer is expected, learnt from recent answers in the way TCP learns its
//! retransmission timeout: the mean plus a multiple of the mean deviation.

use std::time::Duration;

/// Weight of the latest sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the latest sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations above the mean after which an answer is overdue.
const DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of recent response times, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResponseTimer {
    learnt: Option<(f64, f64)>,
}

impl ResponseTimer {
    /// Records the time that an answer took.
    pub fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.learnt = Some(match self.learnt {
            None => (time, time / 2.0),
            Some((mean, deviation)) => {
                let error = time - mean;
                (
                    mean + MEAN_WEIGHT * error,
                    deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
                )
            }
        });
    }

    /// Time after which an answer is overdue, within bounds; `max` if nothing was recorded. `min` goes
    /// first if it is above `max`.
    pub fn timeout(&self, min: Duration, max: Duration) -> Duration {
        let Some((mean, deviation)) = self.learnt else {
            return max.max(min);
        };
        let timeout = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        timeout.min(max).max(min)
    }
}

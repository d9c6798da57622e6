//! Requests per second that one start of a backend server accepts from all gateways together.

use crate::{ServerId, StartTime};

/// Counts the changes of a limit: a change learnt after another has a higher version, at whichever
/// gateway.
pub type LimitVersion = u64;

/// The limit of one start of a backend server, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    /// Requests per second; `None` if there is no limit.
    pub rate: Option<f64>,
    /// Version of this limit; 0 if none was ever received.
    pub version: LimitVersion,
}

impl Limit {
    /// Merges two views of a limit: the higher version wins. Of two with the same version the
    /// stricter one does, so that all processes converge whichever they receive first.
    pub fn merge(self, other: Limit) -> Limit {
        let newer = other.version > self.version;
        let stricter = other.version == self.version && stricter(other.rate, self.rate);
        if newer || stricter { other } else { self }
    }
}

/// The limit of one start of a backend server, as processes exchange it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLimit {
    /// Id of the backend server.
    pub id: ServerId,
    /// Start time of the backend server.
    pub start_time: StartTime,
    /// The limit.
    pub limit: Limit,
}

/// Whether `rate` allows fewer requests than `other`.
pub(crate) fn stricter(rate: Option<f64>, other: Option<f64>) -> bool {
    let max = |rate: Option<f64>| rate.unwrap_or(f64::INFINITY);
    max(rate) < max(other)
}

//! Conversions between limits and the schema's types.

use crate::limit::{Limit, ServerLimit};
use bn_wire::messages::{self as wire, ServerStart};
use snafu::{OptionExt, Snafu, ensure};

/// An invalid limit in a message.
#[derive(Debug, Clone, Copy, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum InvalidLimit {
    /// The start of the backend server is missing.
    #[snafu(display("limit names no backend server"))]
    MissingStart,
    /// The rate is negative or not finite.
    #[snafu(display("{rate} requests a second"))]
    Rate {
        /// The received rate.
        rate: f64,
    },
}

impl From<ServerLimit> for wire::LimitHeard {
    fn from(limited: ServerLimit) -> wire::LimitHeard {
        let start = ServerStart {
            id: limited.id,
            began: limited.start_time,
        };
        wire::LimitHeard {
            start: Some(start),
            rate: limited.limit.rate,
            turn: limited.limit.version,
        }
    }
}

impl TryFrom<wire::LimitHeard> for ServerLimit {
    type Error = InvalidLimit;

    fn try_from(raw: wire::LimitHeard) -> Result<ServerLimit, InvalidLimit> {
        let start = raw.start.context(MissingStartSnafu)?;
        Ok(ServerLimit {
            id: start.id,
            start_time: start.began,
            limit: Limit::from_wire(raw.rate, raw.turn)?,
        })
    }
}

impl Limit {
    /// A limit from the fields of a message.
    pub fn from_wire(rate: Option<f64>, version: u64) -> Result<Limit, InvalidLimit> {
        if let Some(rate) = rate {
            ensure!(rate.is_finite() && rate >= 0.0, RateSnafu { rate });
        }
        Ok(Limit { rate, version })
    }
}

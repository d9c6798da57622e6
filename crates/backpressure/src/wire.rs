//! Conversions between limits and the schema's types.

use crate::limit::{Limit, Limited};
use bn_wire::messages::{self as wire, ServerStart};
use snafu::{OptionExt, Snafu, ensure};

/// A limit of the schema that is none.
#[derive(Debug, Clone, Copy, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BadLimit {
    /// It does not say of which start.
    #[snafu(display("it names no backend server"))]
    Nobody,
    /// No number of requests.
    #[snafu(display("{rate} requests a second"))]
    Rate {
        /// What stood there.
        rate: f64,
    },
}

impl From<Limited> for wire::LimitHeard {
    fn from(heard: Limited) -> wire::LimitHeard {
        let start = ServerStart {
            id: heard.id,
            began: heard.began,
        };
        wire::LimitHeard {
            start: Some(start),
            rate: heard.limit.rate,
            turn: heard.limit.turn,
        }
    }
}

impl TryFrom<wire::LimitHeard> for Limited {
    type Error = BadLimit;

    fn try_from(raw: wire::LimitHeard) -> Result<Limited, BadLimit> {
        let start = raw.start.context(NobodySnafu)?;
        Ok(Limited {
            id: start.id,
            began: start.began,
            limit: Limit::read(raw.rate, raw.turn)?,
        })
    }
}

impl Limit {
    /// A limit as messages hold it.
    pub fn read(rate: Option<f64>, turn: u64) -> Result<Limit, BadLimit> {
        if let Some(rate) = rate {
            ensure!(rate.is_finite() && rate >= 0.0, RateSnafu { rate });
        }
        Ok(Limit { rate, turn })
    }
}

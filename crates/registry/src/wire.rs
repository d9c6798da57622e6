//! Conversions between records and the schema's type.

use crate::table::{Condition, Record};
use bn_backpressure::Limit;
use bn_wire::messages as wire;
use snafu::{OptionExt, Snafu};

/// A record of the schema whose address or limit does not parse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the registration has no usable address or limit"))]
pub struct Incomplete;

impl From<&Record> for wire::Registration {
    fn from(r: &Record) -> Self {
        wire::Registration {
            id: r.id.clone(),
            service: r.service.clone(),
            address: r.address.map(|a| a.to_string()).unwrap_or_default(),
            domain: r.domain.clone(),
            slots: r.slots,
            condition: match r.condition {
                Condition::Ready => 0,
                Condition::Draining => 1,
                Condition::Gone => 2,
            },
            sequence: r.sequence,
            began: r.began,
            group: r.group.clone(),
            pace: r.pace,
            told: r.told,
            limit: r.limit.rate,
            limit_turn: r.limit.version,
        }
    }
}

impl TryFrom<wire::Registration> for Record {
    type Error = Incomplete;

    fn try_from(r: wire::Registration) -> Result<Self, Incomplete> {
        let condition = match r.condition {
            0 => Condition::Ready,
            1 => Condition::Draining,
            _ => Condition::Gone,
        };
        let address = match r.address.as_str() {
            "" => None,
            text => Some(text.parse().ok().context(IncompleteSnafu)?),
        };
        Ok(Record {
            id: r.id,
            began: r.began,
            group: r.group,
            pace: r.pace,
            told: r.told,
            limit: Limit::from_wire(r.limit, r.limit_turn)
                .ok()
                .context(IncompleteSnafu)?,
            service: r.service,
            address,
            domain: r.domain,
            slots: r.slots,
            condition,
            sequence: r.sequence,
        })
    }
}

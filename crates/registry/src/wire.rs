//! Conversions between [`Record`] and the wire message `Registration`.

use crate::contacts::Contact;
use crate::record::{Condition, Record, SharedRecord};
use crate::table::Registry;
use bn_backpressure::Limit;
use bn_wire::messages as wire;
use snafu::{OptionExt, Snafu};
use std::time::Duration;

/// The address or limit of a `Registration` message does not parse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("registration has an invalid address or limit"))]
pub struct InvalidRegistration;

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
            began: r.start_time,
            group: r.group.clone(),
            pace: r.slowdown,
            told: r.rank_version,
            limit: r.limit.rate,
            limit_turn: r.limit.version,
            cold_ms: r.cold_left.map(to_millis),
            contact_sequence: r.sequence,
            ..wire::Registration::default()
        }
    }
}

impl Registry {
    /// The message that describes a record of this table at the time `now`.
    pub fn to_wire(&self, now: Duration, record: &Record) -> wire::Registration {
        let shared = self.shared(now, record.clone());
        wire::Registration {
            cold_ms: self.cold_left(now, record).map(to_millis),
            contact_ms: shared.contact_age.map(to_millis),
            contact_sequence: shared.contact_sequence,
            replaced_ms: shared.replaced_age.map(to_millis),
            forgotten: shared.forgotten,
            departed_ms: shared.departed_age.map(to_millis),
            ..record.into()
        }
    }
}

impl From<&Contact> for wire::Contact {
    fn from(contact: &Contact) -> Self {
        wire::Contact {
            id: contact.id.clone(),
            began: contact.start_time,
            sequence: contact.sequence,
            age_ms: to_millis(contact.age),
        }
    }
}

impl From<wire::Contact> for Contact {
    fn from(contact: wire::Contact) -> Self {
        Contact {
            id: contact.id,
            start_time: contact.began,
            sequence: contact.sequence,
            age: Duration::from_millis(contact.age_ms.into()),
        }
    }
}

impl TryFrom<wire::Registration> for SharedRecord {
    type Error = InvalidRegistration;

    fn try_from(r: wire::Registration) -> Result<Self, InvalidRegistration> {
        let age = |ms: u32| Duration::from_millis(ms.into());
        Ok(SharedRecord {
            contact_sequence: r.contact_sequence.max(r.sequence),
            contact_age: r.contact_ms.map(age),
            replaced_age: r.replaced_ms.map(age),
            forgotten: r.forgotten,
            departed_age: r.departed_ms.map(age),
            record: r.try_into()?,
        })
    }
}

/// Rounded up: an end that is early lets too many requests through.
fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}

impl TryFrom<wire::Registration> for Record {
    type Error = InvalidRegistration;

    fn try_from(r: wire::Registration) -> Result<Self, InvalidRegistration> {
        let condition = match r.condition {
            0 => Condition::Ready,
            1 => Condition::Draining,
            _ => Condition::Gone,
        };
        let address = match r.address.as_str() {
            "" => None,
            text => Some(text.parse().ok().context(InvalidRegistrationSnafu)?),
        };
        Ok(Record {
            id: r.id,
            start_time: r.began,
            group: r.group,
            slowdown: r.pace,
            rank_version: r.told,
            limit: Limit::from_wire(r.limit, r.limit_turn)
                .ok()
                .context(InvalidRegistrationSnafu)?,
            service: r.service,
            address,
            domain: r.domain,
            slots: r.slots,
            condition,
            sequence: r.sequence,
            cold_left: r.cold_ms.map(|ms| Duration::from_millis(ms.into())),
        })
    }
}

//! Conversions between orders, the state and the schema's types.

use crate::state::is_valid_name;
use crate::{Evacuations, Order};
use bn_wire::messages as wire;
use snafu::{Snafu, ensure};

/// An order or a state with an invalid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{name:?} is no name of a failure domain"))]
pub struct InvalidOrder {
    name: String,
}

impl From<&Order> for wire::EvacuationOrder {
    fn from(order: &Order) -> wire::EvacuationOrder {
        wire::EvacuationOrder {
            id: order.id,
            domain: order.domain.clone(),
            evacuated: order.evacuated,
            base: order.base,
        }
    }
}

impl TryFrom<wire::EvacuationOrder> for Order {
    type Error = InvalidOrder;

    fn try_from(raw: wire::EvacuationOrder) -> Result<Order, InvalidOrder> {
        let name = &raw.domain;
        ensure!(is_valid_name(name), InvalidOrderSnafu { name });
        Ok(Order {
            id: raw.id,
            domain: raw.domain,
            evacuated: raw.evacuated,
            base: raw.base,
        })
    }
}

impl From<&Evacuations> for wire::Evacuations {
    fn from(state: &Evacuations) -> wire::Evacuations {
        let domain = |(name, since): (&String, &u64)| wire::EvacuatedDomain {
            name: name.clone(),
            since: *since,
        };
        wire::Evacuations {
            revision: state.revision,
            domains: state.domains.iter().map(domain).collect(),
        }
    }
}

impl TryFrom<wire::Evacuations> for Evacuations {
    type Error = InvalidOrder;

    fn try_from(raw: wire::Evacuations) -> Result<Evacuations, InvalidOrder> {
        for wire::EvacuatedDomain { name, .. } in &raw.domains {
            ensure!(is_valid_name(name), InvalidOrderSnafu { name });
        }
        let domains = raw.domains.into_iter().map(|d| (d.name, d.since));
        Ok(Evacuations {
            revision: raw.revision,
            domains: domains.collect(),
        })
    }
}
